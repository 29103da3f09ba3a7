//! Structured logs, metrics and the time line of events.
