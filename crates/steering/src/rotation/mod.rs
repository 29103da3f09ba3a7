//! Decides when an overloaded balancer asks to be taken out of rotation.
//!
//! The fabric gives all balancers of an availability zone the same share, whatever the capacity of
//! their links and processors. A full link drops every other packet, so all flows of that share are
//! late while neighbours have capacity left. Each change of the rotation moves nearly every flow of
//! the zone, so leaving and returning must be rare.
//!
//! While fewer than half of a zone's balancers are in rotation, the fabric uses all of them,
//! including those that have failed. A balancer that is out of rotation and still gets callers'
//! packets is needed, and returns at once.

use crate::flow::Millis;

/// Share of its link above which a balancer leaves, in percent. Bodies come in bursts, and a link
/// that is two thirds full on average is overfull in every other half second.
const LINK_PERCENT_MAX: u64 = 70;
/// With this much lag, requests are late or retransmitted: callers retransmit data after 200 ms.
const LAG_MAX_MS: Millis = 100;
/// Window over which traffic is measured, longer than a burst of a few bodies.
const WINDOW_MS: Millis = 1_000;
/// Number of consecutive windows in which the balancer must be overloaded. A burst or a pause
/// passes sooner.
const OVERLOADED_WINDOWS: u32 = 3;
/// First time out of rotation, long enough to be worth moving the flows.
const ABSENCE_MIN_MS: Millis = 30_000;
/// Maximum time out of rotation. Each absence is twice as long as the previous one, so that an
/// instance that is too weak for its share stops trying.
const ABSENCE_MAX_MS: Millis = 960_000;
/// Time after leaving by which the fabric has seen two failed probes, and sends nothing unless it
/// has to.
const SETTLED_MS: Millis = 1_600;
/// Packets from callers within this time show that the fabric sends to this balancer.
const RECENT_PACKET_MS: Millis = 100;

/// A balancer's own load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// How far the process lags behind.
    pub lag_ms: Millis,
    /// Bytes received since the start.
    pub received_bytes: u64,
    /// Time since the last packet from a caller.
    pub since_last_packet_ms: Millis,
}

/// Whether a balancer is in rotation.
#[derive(Clone, Copy, Debug)]
pub struct Rotation {
    /// Capacity of the link in bytes per second; zero if unknown.
    link_bytes_per_s: u64,
    window_start_ms: Millis,
    window_start_bytes: u64,
    lagged: bool,
    overloaded_windows: u32,
    absence: Option<Absence>,
    absence_ms: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Absence {
    since_ms: Millis,
    until_ms: Millis,
}

impl Rotation {
    /// Creates a balancer in rotation behind a link with this many megabits per second; zero if
    /// unknown.
    pub fn new(link_mbps: f64) -> Self {
        Self {
            link_bytes_per_s: (link_mbps * 1e6 / 8.0) as u64,
            window_start_ms: 0,
            window_start_bytes: 0,
            lagged: false,
            overloaded_windows: 0,
            absence: None,
            absence_ms: 0,
        }
    }

    /// Updates the load, and returns whether the balancer is in rotation.
    ///
    /// ```
    /// use steering::rotation::{Load, Rotation};
    /// let mut rotation = Rotation::new(14.0);
    /// let full = |second| Load {
    ///     lag_ms: 1,
    ///     received_bytes: second * 1_700_000,
    ///     since_last_packet_ms: 0,
    /// };
    /// let in_rotation = [0, 1, 2, 3].map(|second| rotation.update(second * 1_000, full(second)));
    /// assert_eq!(in_rotation, [true, true, true, false]);
    /// ```
    pub fn update(&mut self, now_ms: Millis, load: Load) -> bool {
        self.lagged |= load.lag_ms >= LAG_MAX_MS;
        self.measure(now_ms, load.received_bytes);
        match self.absence {
            Some(absence) => self.consider_return(now_ms, absence, load),
            None if self.overloaded_windows >= OVERLOADED_WINDOWS => self.leave(now_ms),
            None => {}
        }
        self.absence.is_none()
    }

    fn measure(&mut self, now_ms: Millis, received_bytes: u64) {
        let passed_ms = now_ms.saturating_sub(self.window_start_ms);
        if passed_ms < WINDOW_MS {
            return;
        }
        let bytes = received_bytes.saturating_sub(self.window_start_bytes);
        let limit_bytes = self.link_bytes_per_s * passed_ms / 1_000 * LINK_PERCENT_MAX / 100;
        let full = self.link_bytes_per_s > 0 && bytes > limit_bytes;
        let overloaded = full || std::mem::take(&mut self.lagged);
        self.overloaded_windows = if overloaded { self.overloaded_windows + 1 } else { 0 };
        (self.window_start_ms, self.window_start_bytes) = (now_ms, received_bytes);
    }

    fn leave(&mut self, now_ms: Millis) {
        self.absence_ms = (self.absence_ms * 2).clamp(ABSENCE_MIN_MS, ABSENCE_MAX_MS);
        self.absence = Some(Absence { since_ms: now_ms, until_ms: now_ms + self.absence_ms });
    }

    fn consider_return(&mut self, now_ms: Millis, absence: Absence, load: Load) {
        let settled = now_ms.saturating_sub(absence.since_ms) >= SETTLED_MS;
        let needed = settled && load.since_last_packet_ms < RECENT_PACKET_MS;
        if needed || now_ms >= absence.until_ms {
            self.absence = None;
            self.overloaded_windows = 0;
        }
    }
}
