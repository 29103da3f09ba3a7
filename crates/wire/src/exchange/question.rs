//! Authenticated questions about settings, and answers that only a holder of the account's key can
//! give.

use std::fmt::Write as _;
use std::sync::Arc;

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{ExchangeError, decode};
use crate::sealed::{AccountKeyring, KeyId, MAC_BYTES};

/// Name that stands for the balancers in place of an account; they may read all settings. Its key
/// is derived like an account's. No account can have this name.
pub const FLEET: &str = "";

const QUESTION_LABEL: &[u8] = b"ask";
const ANSWER_LABEL: &[u8] = b"answer";

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Versions of the documents that the asking account may read.
    Digest,
    /// The root document.
    Root,
    /// The account's subtree.
    Subtree,
    /// Subtrees of several accounts; only for [`FLEET`].
    Subtrees,
}

/// A question, authenticated by a MAC with the account's key. The nonce prevents an old answer from
/// being accepted for a new question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    /// What is asked for.
    pub kind: Kind,
    /// Account whose key authenticates the question, or [`FLEET`].
    pub account: Arc<str>,
    /// Different in every question.
    pub nonce: u64,
}

impl Kind {
    /// HTTP path of the question.
    pub fn path(self) -> &'static str {
        match self {
            Self::Digest => "/v1/settings/digest",
            Self::Root => "/v1/settings/root",
            Self::Subtree => "/v1/settings/subtree",
            Self::Subtrees => "/v1/settings/subtrees",
        }
    }
}

impl Question {
    /// Path and query of the question, with its MAC; `None` if the ring has no key.
    ///
    /// ```
    /// use wire::exchange::{Kind, Question};
    /// use wire::sealed::{AccountKeyring, KeyId};
    /// let ring = AccountKeyring::new(&[(KeyId(1), [9; 32])]).unwrap();
    /// let question = Question { kind: Kind::Root, account: "cascadia".into(), nonce: 7 };
    /// let path = question.signed_path(&ring).unwrap();
    /// let (_, query) = path.split_once('?').unwrap();
    /// let parameter = |name: &str| {
    ///     query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    /// };
    /// assert_eq!(Question::verify(Kind::Root, parameter, |_| Some(ring)), Some((question, ring)));
    /// ```
    pub fn signed_path(&self, ring: &AccountKeyring) -> Option<String> {
        let (KeyId(key), proof) = self.tag(ring, QUESTION_LABEL, &[])?;
        let Self { kind, account, nonce } = self;
        let mut path =
            format!("{}?account={account}&nonce={nonce:x}&key={key}&proof=", kind.path());
        for byte in proof {
            // Writing to a string does not fail.
            let _ = write!(path, "{byte:02x}");
        }
        Some(path)
    }

    /// Reads the question from the parameters of a request and verifies its MAC. Returns it with
    /// the keyring of its account; `None` if a parameter is missing or malformed, the account is
    /// unknown or the MAC is wrong.
    pub fn verify<'q>(
        kind: Kind,
        parameter: impl Fn(&str) -> Option<&'q str>,
        keyring: impl FnOnce(&str) -> Option<AccountKeyring>,
    ) -> Option<(Self, AccountKeyring)> {
        let account = parameter("account")?;
        let nonce = u64::from_str_radix(parameter("nonce")?, 16).ok()?;
        let key = KeyId(parameter("key")?.parse().ok()?);
        let proof = mac_from_hex(parameter("proof")?)?;
        let question = Self { kind, account: account.into(), nonce };
        let ring = keyring(account)?;
        question.verify_tag(&ring, (key, proof), QUESTION_LABEL, &[]).then_some((question, ring))
    }

    /// Seals an answer to this question: key id, MAC, and the value in MessagePack.
    ///
    /// ```
    /// use wire::exchange::{Document, Kind, Question};
    /// use wire::sealed::{AccountKeyring, KeyId};
    /// let ring = AccountKeyring::new(&[(KeyId(1), [9; 32])]).unwrap();
    /// let question = Question { kind: Kind::Root, account: "cascadia".into(), nonce: 7 };
    /// let document = Document { version: 3, yaml: "version: 3".into() };
    /// let answer = question.seal_answer(&ring, &document).unwrap();
    /// assert_eq!(question.open_answer::<Document>(&ring, &answer), Ok(document));
    /// let later = Question { nonce: 8, ..question };
    /// assert!(later.open_answer::<Document>(&ring, &answer).is_err());
    /// ```
    pub fn seal_answer(&self, ring: &AccountKeyring, value: &impl Serialize) -> Option<Vec<u8>> {
        let body = rmp_serde::to_vec(value).ok()?;
        let (KeyId(key), mac) = self.tag(ring, ANSWER_LABEL, &body)?;
        Some([&[key], &mac[..], &body].concat())
    }

    /// Verifies and decodes the answer to this question.
    ///
    /// Errors: [`ExchangeError`] if it is malformed, answers another question, or was not sealed by
    /// a holder of the account's key.
    pub fn open_answer<T: DeserializeOwned>(
        &self,
        ring: &AccountKeyring,
        bytes: &[u8],
    ) -> Result<T, ExchangeError> {
        let (key, rest) = bytes.split_first().ok_or(ExchangeError)?;
        let (mac, body) = rest.split_first_chunk().ok_or(ExchangeError)?;
        if !self.verify_tag(ring, (KeyId(*key), *mac), ANSWER_LABEL, body) {
            return Err(ExchangeError);
        }
        decode(body)
    }

    fn tag(
        &self,
        ring: &AccountKeyring,
        label: &[u8],
        body: &[u8],
    ) -> Option<(KeyId, [u8; MAC_BYTES])> {
        let nonce = self.nonce.to_be_bytes();
        ring.tag(&[label, self.kind.path().as_bytes(), self.account.as_bytes(), &nonce, body])
    }

    fn verify_tag(
        &self,
        ring: &AccountKeyring,
        (key, mac): (KeyId, [u8; MAC_BYTES]),
        label: &[u8],
        body: &[u8],
    ) -> bool {
        let nonce = self.nonce.to_be_bytes();
        let path = self.kind.path().as_bytes();
        ring.verify_tag(key, &mac, &[label, path, self.account.as_bytes(), &nonce, body])
    }
}

fn mac_from_hex(text: &str) -> Option<[u8; MAC_BYTES]> {
    if text.len() != 2 * MAC_BYTES || !text.is_ascii() {
        return None;
    }
    let mut mac = [0; MAC_BYTES];
    for (index, byte) in mac.iter_mut().enumerate() {
        *byte = u8::from_str_radix(text.get(2 * index..2 * index + 2)?, 16).ok()?;
    }
    Some(mac)
}
