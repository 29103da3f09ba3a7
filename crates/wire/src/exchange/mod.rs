//! Exchange of settings between instances over HTTP, encoded in MessagePack.
//!
//! Questions and answers carry a MAC with the account's key. No account can therefore read
//! another's subtree, and only a holder of the key can put a document in force. See [`Question`].

mod question;

use std::sync::Arc;

use decision::keys::Version;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize};

use crate::bounded;
use crate::delta::Delta;

pub use question::{FLEET, Kind, Question};

/// Maximum number of accounts in one digest: several times the number targeted for the next two
/// years.
pub const ACCOUNTS_MAX: usize = 4_096;

/// Versions in force at an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Whether the instance considers its settings current.
    pub current: bool,
    /// Milliseconds since the configuration service confirmed these versions, either to this
    /// instance or to the one that passed the confirmation on to it.
    pub confirmed_age_ms: u64,
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

/// A published document, with its text unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version in the text.
    pub version: u64,
    /// The text.
    pub yaml: Arc<str>,
}

/// A subtree, either whole or as a delta to the version that the asking instance named.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The whole document.
    Whole(Document),
    /// The difference to the asking instance's version.
    Changed {
        /// Version that results.
        version: u64,
        /// The difference.
        delta: Delta,
    },
}

impl Update {
    /// The new text, given the asking instance's own version and text; `None` if the delta does not
    /// fit them.
    ///
    /// ```
    /// use decision::keys::Version;
    /// use wire::{delta::Delta, exchange::Update};
    /// let delta = Delta::between(Version(1), "a: 1\n", "a: 2\n");
    /// let update = Update::Changed { version: 2, delta };
    /// assert_eq!(update.text(Some((Version(1), "a: 1\n"))).as_deref(), Some("a: 2\n"));
    /// assert_eq!(update.text(Some((Version(7), "a: 1\n"))), None);
    /// ```
    pub fn text(&self, own: Option<(Version, &str)>) -> Option<Arc<str>> {
        match self {
            Self::Whole(document) => Some(document.yaml.clone()),
            Self::Changed { delta, .. } => {
                let (_, text) = own.filter(|(version, _)| *version == delta.base())?;
                delta.apply(text).map(Into::into)
            }
        }
    }
}

/// Maximum number of accounts in one question.
pub const SUBTREES_MAX: usize = 32;

/// Subtrees of several accounts, each with its name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Updates(#[serde(deserialize_with = "updates")] pub Vec<(Arc<str>, Update)>);

/// Formats the wanted accounts, each with the version that the asking instance has, as a parameter
/// of a question.
///
/// ```
/// use decision::keys::Version;
/// use wire::exchange::{format_wanted, parse_wanted};
/// let wanted = [("cascadia".into(), Version(6)), ("bajio".into(), Version(0))];
/// assert_eq!(format_wanted(&wanted), "cascadia:6,bajio:0");
/// assert_eq!(parse_wanted("cascadia:6,bajio:0"), Some(wanted.to_vec()));
/// ```
pub fn format_wanted(wanted: &[(Arc<str>, Version)]) -> String {
    let entries = wanted.iter().map(|(account, version)| format!("{account}:{}", version.0));
    entries.collect::<Vec<_>>().join(",")
}

/// The inverse of [`format_wanted`]; `None` if `text` is malformed or names more than
/// [`SUBTREES_MAX`] accounts.
///
/// ```
/// assert_eq!(wire::exchange::parse_wanted("cascadia"), None);
/// ```
pub fn parse_wanted(text: &str) -> Option<Vec<(Arc<str>, Version)>> {
    let entry = |entry: &str| {
        let (account, version) = entry.split_once(':')?;
        Some((account.into(), Version(version.parse().ok()?)))
    };
    let wanted: Vec<_> =
        text.split(',').take(SUBTREES_MAX + 1).map(entry).collect::<Option<_>>()?;
    (wanted.len() <= SUBTREES_MAX).then_some(wanted)
}

/// The answer is malformed, not authentic or does not apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("answer about settings is malformed, not authentic or does not apply")]
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

fn updates<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<(Arc<str>, Update)>, D::Error> {
    bounded::list::<_, _, SUBTREES_MAX>(deserializer)
}

fn accounts<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<DigestEntry>, D::Error> {
    bounded::list::<_, _, ACCOUNTS_MAX>(deserializer)
}
