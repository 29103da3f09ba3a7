//! Load and experiments: what the product costs, measured with the product's own code.

pub mod control;
pub mod cost;
pub mod fit;
pub mod flows;
pub mod plot;
pub mod results;
pub mod traffic;
pub mod world;
