//! Faults of the platform.

use decision::time::Millis;
use serde::{Deserialize, Serialize};

/// Body of `PUT /admin/mode`. The default has no faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Mode {
    /// Every read is refused with 503.
    pub down: bool,
    /// Readers see nothing that is published after the mode was set.
    pub frozen: bool,
    /// Additional delay of every read.
    pub delay_ms: u64,
    /// Additional lag with which half of the readers, chosen by name, see every publication.
    pub skew_ms: u64,
}

impl Mode {
    /// The time as of which `reader` sees the published documents, for a mode set at `since`.
    pub(super) fn seen_at(&self, since: Millis, reader: &str, now: Millis) -> Millis {
        let seen_at = if self.frozen { since } else { now };
        let sum: u32 = reader.bytes().map(u32::from).sum();
        match sum % 2 {
            0 => seen_at,
            _ => Millis(seen_at.0.saturating_sub(self.skew_ms)),
        }
    }
}
