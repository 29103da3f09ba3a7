//! Cost of control and settings: bytes, messages, processor time and memory, by the core's own code.

pub mod agent;
mod list;
mod meter;
mod service;
pub mod tree;

pub use meter::{processor_time, resident_bytes};
pub use service::{SimulatedService, Usage};
