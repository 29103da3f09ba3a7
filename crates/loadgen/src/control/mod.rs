//! Cost of control: bytes, messages, processor time and memory of the core's own code, driven with
//! many instances in one process and measured with the real encoding of every message.

mod fleet;
pub mod spread;

pub(crate) use fleet::exchange_overhead_bytes;
pub use fleet::{Fleet, Traffic};
