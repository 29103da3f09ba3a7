//! Agent daemon: admits, tracks and delivers the flows of one upstream.
//!
//! All decisions are made by [`decision::agent::Agent`]. This crate does the I/O: it passes
//! packets, messages, settings and the time to the agent and executes the actions that it returns.

pub mod counters;
mod explain;
pub mod gate;
pub mod hold;
mod http;
pub mod listing;
#[cfg(feature = "mutants")]
mod mutant;
mod plane;
pub mod run;
mod status;
