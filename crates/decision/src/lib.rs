//! The decision core: every choice that the balancers and agents make, as plain data in and out.
//!
//! Nothing here reads a clock, opens a socket, starts a thread or draws from a global source of
//! random numbers. Time, seeds, settings and the messages of peers come in as arguments; what
//! should happen comes out as values. A shell, a fuzzer or a bench can drive the same decisions.

pub mod agent;
pub mod keys;
pub mod message;
pub mod rank;
pub mod router;
pub mod spread;
pub mod time;
pub mod view;
