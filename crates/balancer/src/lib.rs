//! Balancer daemon: receives encapsulated packets and forwards them to agents.
//!
//! A balancer keeps nothing about flows. It knows the settings, works out the home of each packet
//! and seals it for that agent, so it can be replaced at any moment without breaking a flow.

pub mod counters;
pub mod forward;
mod http;
pub mod liveness;
pub mod notices;
pub mod publish;
pub mod run;
pub mod snapshot;
pub mod spreading;
mod worker;
