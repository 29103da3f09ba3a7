//! Balancer daemon: receives encapsulated packets and forwards them to agents.
//!
//! A balancer keeps no state about flows. For each packet it computes the home agent from the
//! settings and seals the packet for that agent. It can therefore be replaced at any moment without
//! breaking a flow.

pub mod counters;
pub mod forward;
pub mod http;
pub mod liveness;
pub mod notices;
pub mod publish;
pub mod run;
pub mod snapshot;
pub mod spreading;
mod worker;
