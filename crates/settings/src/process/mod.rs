//! Settings of a single process, read from the process's own file at the start.

pub mod agent;
pub mod balancer;
mod shared;

pub use shared::Key;
