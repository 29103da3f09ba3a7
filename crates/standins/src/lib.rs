//! Stand-ins for platform, fabric, upstreams and callers; never linked by the product.
//!
//! Callers and upstreams are pure: packets and time go in, packets come out. The binaries in
//! `src/bin` put sockets and clocks around them.

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
