//! Decision core of the direct-return path: where a flow is placed, how it is found again, and when
//! it is given up.
//!
//! Balancers see the callers' packets only, agents see both directions, and an upstream returns
//! every packet of a flow that it does not hold. Nothing here opens a socket, reads a clock or draws
//! random numbers: packets, time and membership come in as arguments, actions come out as values.

pub mod edge;
pub mod flow;
pub mod history;
pub mod leave;
pub mod link;
pub mod membership;
pub mod peers;
pub mod policy;
pub mod rank;
pub mod rotation;
pub mod side;
pub mod timeouts;
pub mod view;
