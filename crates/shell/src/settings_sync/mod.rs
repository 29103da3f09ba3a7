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

use std::sync::Arc;

pub use store::{Scope, Source, Store};
use wire::sealed::AccountKeyring;

/// Gives the keyring of an account, or of the fleet ([`wire::exchange::FLEET`]): a balancer derives
/// any, an agent has its own account's only.
pub type Keyrings = Arc<dyn Fn(&str) -> Option<AccountKeyring> + Send + Sync>;
