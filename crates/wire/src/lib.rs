//! Formats of the messages between processes: GUE frames, the sealed private data between
//! balancers and agents, control messages, gossip and the exchange of settings. Types that exist
//! only for encoding stay in this crate; the cores work with their own types.

mod bounded;
pub mod control;
pub mod delta;
pub mod exchange;
pub mod gue;
pub mod inner;
pub mod notice;
pub mod peers;
pub mod refusal;
pub mod sealed;
pub mod spread;
