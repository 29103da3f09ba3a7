//! The HTTP endpoint of a daemon, on gotham, and the client with which it asks others.

pub mod client;
pub mod routes;
mod server;

pub use server::{start, start_all};
