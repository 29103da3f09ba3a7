//! Structured logs, metrics and the time line of events.

pub mod budget;
pub mod clock;
pub mod flowline;
pub mod log;
pub mod metrics;
pub mod queued;
pub mod timeline;
