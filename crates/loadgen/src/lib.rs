//! Load generation and experiments that measure the cost of the product by running its own code.

pub mod control;
pub mod cost;
pub mod fit;
pub mod flows;
pub mod plot;
pub mod results;
pub mod traffic;
pub mod world;
