//! Cost of an agent's control: bytes, messages, processor time and memory, by the core's own code.

pub mod agent;
mod meter;
mod service;

pub use meter::{processor_time, resident_bytes};
pub use service::{Service, Usage};
