//! Cost of gossip among balancers: bytes, messages and processor time. The decision core of many
//! simulated balancers runs in one process, and every message has its real encoding.

mod fleet;
pub mod spread;

pub(crate) use fleet::exchange_overhead_bytes;
pub use fleet::{Fleet, Traffic};
