//! What travels between the processes: GUE frames, the sealed private data of our own hop, and the
//! control messages. Wire types stay here; the core sees only its own types.

pub mod gue;
pub mod spread;
