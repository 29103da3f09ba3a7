//! Stand-ins for the platform, the network fabric, upstreams and callers, for tests and the lab.
//! The product never links this crate.
//!
//! Callers, upstreams and the fabric do no I/O: packets and the time are passed in, and they return
//! the packets to send. The binaries in `src/bin` connect them to sockets and the system clock.

pub mod admin;
pub mod caller;
pub mod clock;
pub mod datagram;
pub mod fabric;
pub mod platform;
pub mod protocol;
pub mod shell;
pub mod stack;
pub mod upstream;
