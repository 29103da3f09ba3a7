//! When a balancer that cannot keep up asks to be left out.
//!
//! The fabric gives all balancers of an availability zone the same share, whatever their links and
//! processors bear. A link that is full drops every other packet, so all flows of that share are
//! late, while neighbours have room. Each change of the rotation moves nearly every flow of the zone, so
//! leaving and coming back must be rare.
//!
//! Where fewer than half of a zone's balancers take part, the fabric uses all of them, dead ones too.
//! One that stays outside and gets callers' packets all the same is needed, and comes back at once.

use crate::flow::Millis;

/// Share of its link above which a balancer leaves, in percent. Bodies come in bursts, and a link that
/// is two thirds full on average is over full in every other half second.
const LINK_PERCENT_MAX: u64 = 70;
/// Behind by this much, requests are late or repeated: callers repeat data after 200 ms.
const LATE_MS: Millis = 100;
/// Time over which the traffic is taken: longer than a burst of a few bodies.
const WINDOW_MS: Millis = 1_000;
/// Windows one after the other in which it must be overloaded. A burst or a pause passes sooner.
const WINDOWS: u32 = 3;
/// First stay outside: long enough for the flows that moved to be worth it.
const STAY_MS: Millis = 30_000;
/// Longest stay outside; each one is twice as long as the one before, so that an instance that is too
/// weak for its share stops trying.
const STAY_MAX_MS: Millis = 960_000;
/// After this time outside, the fabric has missed two probes and sends nothing, unless it must.
const SETTLED_MS: Millis = 1_600;
/// Callers' packets that have come this lately show that the fabric sends.
const RECENT_MS: Millis = 100;

/// What a balancer sees of its own load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// How far it is behind.
    pub lag_ms: Millis,
    /// Bytes that it has received so far.
    pub received_bytes: u64,
    /// Time since the last packet of a caller.
    pub quiet_for_ms: Millis,
}

/// Whether a balancer takes part.
#[derive(Clone, Copy, Debug)]
pub struct Rotation {
    /// Bytes that its link takes in a second; zero if not known.
    link_bytes_per_s: u64,
    counted_ms: Millis,
    counted_bytes: u64,
    behind: bool,
    overloaded_windows: u32,
    out: Option<Stay>,
    stay_ms: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Stay {
    since_ms: Millis,
    until_ms: Millis,
}

impl Rotation {
    /// A balancer that takes part, behind a link of so many megabits a second; zero if not known.
    pub fn new(link_mbps: f64) -> Self {
        Self {
            link_bytes_per_s: (link_mbps * 1e6 / 8.0) as u64,
            counted_ms: 0,
            counted_bytes: 0,
            behind: false,
            overloaded_windows: 0,
            out: None,
            stay_ms: 0,
        }
    }

    /// Takes the load of the moment, and says whether the balancer takes part.
    ///
    /// ```
    /// use steering::rotation::{Load, Rotation};
    /// let mut rotation = Rotation::new(14.0);
    /// let full = |second| Load { lag_ms: 1, received_bytes: second * 1_700_000, quiet_for_ms: 0 };
    /// let takes_part = [0, 1, 2, 3].map(|second| rotation.take(second * 1_000, full(second)));
    /// assert_eq!(takes_part, [true, true, true, false]);
    /// ```
    pub fn take(&mut self, now_ms: Millis, load: Load) -> bool {
        self.behind |= load.lag_ms >= LATE_MS;
        self.count(now_ms, load.received_bytes);
        match self.out {
            Some(stay) => self.stay(now_ms, stay, load),
            None if self.overloaded_windows >= WINDOWS => self.leave(now_ms),
            None => {}
        }
        self.out.is_none()
    }

    fn count(&mut self, now_ms: Millis, received_bytes: u64) {
        let passed_ms = now_ms.saturating_sub(self.counted_ms);
        if passed_ms < WINDOW_MS {
            return;
        }
        let bytes = received_bytes.saturating_sub(self.counted_bytes);
        let bearable = self.link_bytes_per_s * passed_ms / 1_000 * LINK_PERCENT_MAX / 100;
        let full = self.link_bytes_per_s > 0 && bytes > bearable;
        let overloaded = full || std::mem::take(&mut self.behind);
        self.overloaded_windows = if overloaded { self.overloaded_windows + 1 } else { 0 };
        (self.counted_ms, self.counted_bytes) = (now_ms, received_bytes);
    }

    fn leave(&mut self, now_ms: Millis) {
        self.stay_ms = (self.stay_ms * 2).clamp(STAY_MS, STAY_MAX_MS);
        self.out = Some(Stay { since_ms: now_ms, until_ms: now_ms + self.stay_ms });
    }

    fn stay(&mut self, now_ms: Millis, stay: Stay, load: Load) {
        let settled = now_ms.saturating_sub(stay.since_ms) >= SETTLED_MS;
        let needed = settled && load.quiet_for_ms < RECENT_MS;
        if needed || now_ms >= stay.until_ms {
            self.out = None;
            self.overloaded_windows = 0;
        }
    }
}
