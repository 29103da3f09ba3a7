//! MACs with an account's key over data that is not sent in GUE frames.

use std::hash::Hasher as _;

use siphasher::sip128::{Hasher128 as _, SipHasher24};

use super::{AccountKeyring, KeyId, MAC_BYTES, MacKey, constant_time_eq};

/// First byte of the input of every MAC of this kind. No sealed frame begins with it, so that a MAC
/// of one kind is never valid as one of the other.
const FORMAT_TAG: u8 = 3;

impl AccountKeyring {
    /// Computes a MAC over `parts` with the first key, for data that is not sent in GUE frames.
    /// Each part is hashed with its length, so that bytes cannot be moved from one part to the
    /// next.
    ///
    /// ```
    /// use wire::sealed::{AccountKeyring, KeyId};
    /// let ring = AccountKeyring::new(&[(KeyId(1), [9; 32])]).unwrap();
    /// let (id, tag) = ring.tag(&[b"ab", b"c"]).unwrap();
    /// assert!(ring.verify_tag(id, &tag, &[b"ab", b"c"]));
    /// assert!(!ring.verify_tag(id, &tag, &[b"a", b"bc"]));
    /// ```
    pub fn tag(&self, parts: &[&[u8]]) -> Option<(KeyId, [u8; MAC_BYTES])> {
        let key = self.keys.iter().flatten().next()?;
        Some((key.id, tag(key, parts)))
    }

    /// Whether `mac` is the result of [`AccountKeyring::tag`] for `parts` with the key `id` of this
    /// ring.
    pub fn verify_tag(&self, id: KeyId, mac: &[u8; MAC_BYTES], parts: &[&[u8]]) -> bool {
        self.find(id.0).is_ok_and(|key| constant_time_eq(&tag(key, parts), mac))
    }
}

fn tag(key: &MacKey, parts: &[&[u8]]) -> [u8; MAC_BYTES] {
    let mut hasher = SipHasher24::new_with_key(&key.bytes);
    hasher.write(&[FORMAT_TAG]);
    for part in parts {
        hasher.write(&(part.len() as u64).to_be_bytes());
        hasher.write(part);
    }
    hasher.finish128().as_bytes()
}
