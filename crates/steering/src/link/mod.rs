//! Limits the bytes of bodies sent over a link, so that a full link still carries other packets.
//!
//! When half of a zone's balancers stop, the others take over their traffic. A narrow link then
//! gets more than it can carry and drops every other packet: openings and agents' replies as well
//! as bodies of uploads. Flows are then neither opened nor found. Bodies account for most of the
//! bytes but few of the packets. If they are dropped before the link is full, all other packets get
//! through, and the callers that send bodies send less, because they repeat at growing intervals.

use crate::flow::Millis;

/// Share of the link that bodies may fill, in percent. The queue of a link holds some tens of
/// milliseconds; the rest of the link is left for all other packets.
const BODY_SHARE_PERCENT: u64 = 85;
/// Time for which bodies may be sent at full speed, as in bursts of a few callers.
const BURST_MS: u64 = 40;

/// A token bucket over the bytes that are sent.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    bytes_per_s: u64,
    /// Thousandths of a byte that may be sent.
    credit: i64,
    at_ms: Millis,
}

impl Link {
    /// Creates a link with this many megabits per second. Zero stands for an unknown rate; such a
    /// link is never full.
    pub fn new(mbps: f64) -> Self {
        let bytes_per_s = (mbps * 1e6 / 8.0) as u64 * BODY_SHARE_PERCENT / 100;
        Self { bytes_per_s, credit: Self::full(bytes_per_s), at_ms: 0 }
    }

    /// Whether a packet of this length may be sent. Packets that are not part of a body are always
    /// admitted, and count towards the limit.
    ///
    /// ```
    /// use steering::link::Link;
    /// let mut link = Link::new(14.0);
    /// let sent = (0..100).filter(|_| link.admit(0, 1_264, true)).count();
    /// assert!((40..60).contains(&sent));
    /// assert!(link.admit(0, 64, false));
    /// ```
    pub fn admit(&mut self, now_ms: Millis, bytes: usize, body: bool) -> bool {
        let passed_ms = now_ms.saturating_sub(self.at_ms);
        self.at_ms = now_ms;
        let gained = i64::try_from(passed_ms * self.bytes_per_s).unwrap_or(i64::MAX);
        let full = Self::full(self.bytes_per_s);
        self.credit = self.credit.saturating_add(gained).min(full);
        let is_admitted = self.bytes_per_s == 0 || !body || self.credit > 0;
        if is_admitted {
            self.credit = (self.credit - 1_000 * bytes as i64).max(-full);
        }
        is_admitted
    }

    fn full(bytes_per_s: u64) -> i64 {
        i64::try_from(bytes_per_s * BURST_MS).unwrap_or(i64::MAX)
    }
}
