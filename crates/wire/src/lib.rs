//! What travels between the processes: GUE frames, the sealed private data of our own hop, and the
//! control messages. Wire types stay here; the core sees only its own types.

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
