//! Agent daemon: admits, tracks and delivers the flows of one upstream.
//!
//! All decisions are made by [`decision::agent::Agent`]; this crate feeds it packets, messages,
//! settings and time from sockets and does what it says.

pub mod counters;
pub mod gate;
pub mod hold;
mod http;
#[cfg(feature = "mutants")]
mod mutant;
mod plane;
pub mod run;
mod status;
