//! The HTTP endpoint of a daemon, built on gotham, and the HTTP client for requests to other
//! processes.

pub mod client;
pub mod routes;
mod server;

pub use server::{start, start_all};
