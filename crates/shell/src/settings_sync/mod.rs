//! How a daemon gets the published settings and keeps them current.
//!
//! [`Store`] holds what is in force. Two sources feed it and the highest version wins: [`platform`]
//! watches the configuration service, [`peers`] compares digests with other instances, so that
//! settings spread while the platform is down or overloaded. [`serve`] answers such peers.

pub mod instances;
pub mod peers;
pub mod platform;
pub mod serve;
mod store;

pub use store::{Scope, Source, Store};
