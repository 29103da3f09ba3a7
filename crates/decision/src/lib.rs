//! The decision core: all decisions of the balancers and agents, without input or output.
//!
//! Nothing here reads a clock, opens a socket, starts a thread or uses a global random number
//! generator. Time, seeds, settings and the messages of peers are arguments; the actions to perform
//! are returned as values. The daemons, the fuzzer and the benchmarks therefore run the same code.
//! The part of a daemon that does the input and output is called its *shell*.

pub mod agent;
pub mod keys;
pub mod message;
pub mod outdated;
pub mod rank;
pub mod router;
pub mod spread;
pub mod time;
pub mod view;
