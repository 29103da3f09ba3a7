//! Settings that balancers and agents have in common.

use std::net::SocketAddr;

use crate::codes;
use crate::document::Cursor;
use crate::fault::Fault;
use crate::fields;

/// A secret key and its number. Every packet carries the number of the key that signed it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Key {
    /// Number of the key.
    pub id: u8,
    /// Secret bytes.
    pub secret: [u8; 32],
}

/// Prints only the number, so that the secret cannot reach a log.
impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Key").field("id", &self.id).finish_non_exhaustive()
    }
}

/// Checks a list of keys given as (number, hexadecimal secret).
pub(super) fn keys<'k>(
    raw: impl Iterator<Item = (u8, &'k str)>,
    at: &Cursor<'_>,
    faults: &mut Vec<Fault>,
) -> Vec<Key> {
    let mut keys: Vec<Key> = Vec::new();
    for (index, (id, secret_hex)) in raw.enumerate() {
        let at = at.element(index);
        if keys.iter().any(|key| key.id == id) {
            let text = format!("key {id} is listed twice");
            faults.push(at.field("id").fault(codes::DUPLICATE_NAME, text));
        }
        let secret = fields::hex(secret_hex, &at.field("secret_hex"), faults);
        keys.push(Key { id, secret });
    }
    keys
}

/// Checks a list of control addresses.
pub(super) fn peers(raw: &[String], at: &Cursor<'_>, faults: &mut Vec<Fault>) -> Vec<SocketAddr> {
    let check = |(index, text): (usize, &String)| fields::address(text, &at.element(index), faults);
    raw.iter().enumerate().map(check).collect()
}

/// Reduces the faults of a settings file to the first one, which the process reports.
pub(super) fn first_fault<T>(result: Result<T, Vec<Fault>>) -> Result<T, Fault> {
    result
        .map_err(|faults| faults.into_iter().min_by_key(|fault| (fault.line, fault.column)))
        .map_err(|first| first.expect("a refused document has at least one fault"))
}
