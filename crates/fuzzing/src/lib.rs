//! Stateful fuzzing of the decision core against an oracle.
//!
//! A [`step::Step`] is one transition: load, planned change, fault, or time that passes. A
//! [`world::World`] applies it to balancers and agents of the core, to upstreams and callers, and
//! shows the [`oracle::Oracle`] what the outside sees. Every step can be deleted from a sequence
//! without making the rest invalid, so that any failing sequence shrinks.

pub mod campaign;
pub mod command;
pub mod direct;
#[cfg(feature = "mutants")]
pub mod mutants;
pub mod oracle;
pub mod shrink;
pub mod step;
pub mod world;
