//! Stateful fuzzing of the decision core against an oracle.
//!
//! A [`step::Step`] is one transition: traffic, a planned change, a fault, or the passage of time.
//! A [`world::World`] applies it to the core's balancers and agents and to simulated upstreams and
//! callers, and passes everything that is externally visible to the [`oracle::Oracle`]. Any step
//! can be deleted from a sequence without invalidating the rest, so every failing sequence can be
//! shrunk.
//!
//! The above covers balancers that forward packets through agents. [`direct`] fuzzes the
//! direct-return path in a simulation of its own.

pub mod campaign;
pub mod command;
pub mod direct;
#[cfg(feature = "mutants")]
pub mod mutants;
pub mod oracle;
pub mod shrink;
pub mod step;
pub mod world;
