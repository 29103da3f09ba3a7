//! Packets that wait for a verdict, stored under keys chosen by the decision core.

use decision::agent::HoldKey;
use wire::gue::Content;
use wire::sealed::Header;

/// Maximum number of packets held at a time. The core bounds its own table; this second limit
/// prevents a fault there from exhausting the 64 MB of memory of an instance.
pub const HELD_MAX: usize = 4_096;

/// A packet with the data needed to deliver, forward or refuse it later.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// Content type of the GUE frame.
    pub content: Content,
    /// Header written by the sender.
    pub header: Header,
    /// Bytes of the packet.
    pub bytes: Vec<u8>,
}

/// Held packets, sorted by key.
#[derive(Debug, Default)]
pub struct HoldTable {
    entries: Vec<(HoldKey, Held)>,
}

impl HoldTable {
    /// Stores a packet. Returns false if the table is full or the key is already in use.
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

    /// Whether no packet is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes and returns the packet held under `key`.
    pub fn take(&mut self, key: HoldKey) -> Option<Held> {
        let index = self.entries.binary_search_by_key(&key, |(known, _)| *known).ok()?;
        Some(self.entries.remove(index).1)
    }
}
