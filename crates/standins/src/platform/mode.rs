//! How the platform misbehaves.

use decision::time::Millis;
use serde::{Deserialize, Serialize};

/// Body of `PUT /admin/mode`. The default is good behaviour.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Mode {
    /// Every read is refused with 503.
    pub down: bool,
    /// Readers see nothing that is published from now on.
    pub frozen: bool,
    /// Every read takes this much longer.
    pub delay_ms: u64,
    /// Half of the readers, by name, see all of it this much later.
    pub skew_ms: u64,
}

impl Mode {
    /// The moment as of which `reader` sees what is published, in a mode that began at `since`.
    pub(super) fn seen_at(&self, since: Millis, reader: &str, now: Millis) -> Millis {
        let seen_at = if self.frozen { since } else { now };
        let sum: u32 = reader.bytes().map(u32::from).sum();
        match sum % 2 {
            0 => seen_at,
            _ => Millis(seen_at.0.saturating_sub(self.skew_ms)),
        }
    }
}
