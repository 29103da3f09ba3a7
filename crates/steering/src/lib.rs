//! Decision core of the direct-return path: where a flow is placed, how it is found again, and when
//! it is given up.
//!
//! The fabric, the network in front of the balancers, hands each packet of a caller to one of them,
//! and may hand later packets of the same flow to another one. The balancer forwards the packet to
//! the agent beside an upstream. Answers go from the agent to the caller directly, so balancers see
//! only the packets from callers, while agents see both directions. An upstream returns every
//! packet of a flow that it does not hold.
//!
//! Nothing in this crate opens a socket, reads a clock or draws random numbers: packets, time and
//! membership are passed in as arguments, and actions are returned as values.

pub mod edge;
pub mod flow;
pub mod history;
pub mod knowledge;
pub mod leave;
pub mod link;
pub mod membership;
pub mod peers;
pub mod policy;
pub mod rank;
pub mod revision;
pub mod rotation;
pub mod side;
pub mod timeouts;
pub mod view;
