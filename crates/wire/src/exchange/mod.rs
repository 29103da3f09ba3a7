//! What instances tell each other about settings over HTTP, in MessagePack.
//!
//! Questions and answers carry a MAC by the account's key: no account sees another's subtree, and
//! nobody but a holder of the key can put a document in force. See [`Question`].

mod question;

use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize};

use crate::bounded;

pub use question::{FLEET, Kind, Question};

/// Accounts that one digest may list: several times the target of two years.
pub const ACCOUNTS_MAX: usize = 4_096;

/// Versions in force at an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Whether the instance knows its settings to be current enough.
    pub current: bool,
    /// Version of the root, zero if it has none.
    pub root_version: u64,
    /// Versions of the accounts, sorted by name.
    #[serde(deserialize_with = "accounts")]
    pub accounts: Vec<DigestEntry>,
}

/// Version of one account's subtree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestEntry {
    /// Name.
    pub account: Arc<str>,
    /// Version.
    pub version: u64,
}

/// A published document, passed on as it was published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version in the text.
    pub version: u64,
    /// The text.
    pub yaml: Arc<str>,
}

/// The bytes are not what was expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("answer cannot be decoded")]
pub struct ExchangeError;

/// Decodes an answer.
///
/// ```
/// use wire::exchange::{self, Digest};
/// let bytes = rmp_serde::to_vec(&Digest::default()).unwrap();
/// assert_eq!(exchange::decode::<Digest>(&bytes), Ok(Digest::default()));
/// assert!(exchange::decode::<Digest>(&bytes[1..]).is_err());
/// ```
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, ExchangeError> {
    rmp_serde::from_slice(bytes).map_err(|_| ExchangeError)
}

fn accounts<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<DigestEntry>, D::Error> {
    bounded::list::<_, _, ACCOUNTS_MAX>(deserializer)
}
