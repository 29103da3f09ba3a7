//! Load and experiments: what the product costs, measured with the product's own code.

pub mod control;
pub mod fit;
pub mod results;
