//! Packets that wait for a verdict, under keys that the decision core chooses.

use decision::agent::HoldKey;
use wire::gue::Content;
use wire::sealed::Header;

/// Packets held at a time. The core bounds its own table; this bound keeps a fault there from
/// filling the memory of an instance that has 64 MB.
pub const HELD_MAX: usize = 4_096;

/// A packet with what is needed to deliver, pass on or refuse it later.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// What its frame carried.
    pub content: Content,
    /// What its sender said.
    pub header: Header,
    /// The packet.
    pub bytes: Vec<u8>,
}

/// Held packets, sorted by key.
#[derive(Debug, Default)]
pub struct HoldTable {
    entries: Vec<(HoldKey, Held)>,
}

impl HoldTable {
    /// Keeps a packet; false if there is no room or the key is in use.
    ///
    /// ```
    /// use agent::hold::HoldTable;
    /// assert!(HoldTable::default().take(decision::agent::HoldKey(1)).is_none());
    /// ```
    pub fn insert(&mut self, key: HoldKey, held: Held) -> bool {
        if self.entries.len() >= HELD_MAX {
            return false;
        }
        match self.entries.binary_search_by_key(&key, |(known, _)| *known) {
            Ok(_) => false,
            Err(index) => {
                self.entries.insert(index, (key, held));
                true
            }
        }
    }

    /// Whether no packet waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Takes a packet out.
    pub fn take(&mut self, key: HoldKey) -> Option<Held> {
        let index = self.entries.binary_search_by_key(&key, |(known, _)| *known).ok()?;
        Some(self.entries.remove(index).1)
    }
}
