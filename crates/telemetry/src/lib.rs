//! Structured logs, metrics and the time line of events.

pub mod clock;
pub mod log;
pub mod metrics;
pub mod timeline;
