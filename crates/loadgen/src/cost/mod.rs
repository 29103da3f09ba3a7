//! Cost of the agents and of the settings: bytes, messages, processor time and memory, measured
//! with the product's own code.

pub mod agent;
mod list;
mod meter;
mod service;
pub mod tree;

pub use meter::{processor_time, resident_bytes};
pub use service::{SimulatedService, Usage};
