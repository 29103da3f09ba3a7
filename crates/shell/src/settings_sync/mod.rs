//! Synchronization of the published settings.
//!
//! [`Store`] holds the settings in force. It has two sources, and the highest version wins:
//! [`platform`] watches the configuration service, and [`peers`] compares digests with other
//! instances, so that settings propagate even while the platform is down or overloaded. [`serve`]
//! handles the requests of such peers.

pub mod instances;
pub mod peers;
pub mod platform;
pub mod serve;
mod store;

use std::sync::Arc;

pub use store::{Scope, Source, Store};
use wire::sealed::AccountKeyring;

/// Returns the keyring of an account or of the fleet ([`wire::exchange::FLEET`]). A balancer can
/// derive any keyring, while an agent has only that of its own account.
pub type Keyrings = Arc<dyn Fn(&str) -> Option<AccountKeyring> + Send + Sync>;
