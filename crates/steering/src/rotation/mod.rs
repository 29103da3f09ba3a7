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
const LAG_MAX_MS: Millis = 100;
/// Time over which the traffic is taken: longer than a burst of a few bodies.
const WINDOW_MS: Millis = 1_000;
/// Windows one after the other in which it must be overloaded. A burst or a pause passes sooner.
const OVERLOADED_WINDOWS: u32 = 3;
/// First absence outside: long enough for the flows that moved to be worth it.
const ABSENCE_MIN_MS: Millis = 30_000;
/// Longest absence outside; each one is twice as long as the one before, so that an instance that is too
/// weak for its share stops trying.
const ABSENCE_MAX_MS: Millis = 960_000;
/// After this time outside, the fabric has missed two probes and sends nothing, unless it must.
const SETTLED_MS: Millis = 1_600;
/// Callers' packets that have come this lately show that the fabric sends.
const RECENT_PACKET_MS: Millis = 100;

/// What a balancer sees of its own load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// How far it is lagged.
    pub lag_ms: Millis,
    /// Bytes that it has received so far.
    pub received_bytes: u64,
    /// Time since the last packet of a caller.
    pub since_last_packet_ms: Millis,
}

/// Whether a balancer takes part.
#[derive(Clone, Copy, Debug)]
pub struct Rotation {
    /// Bytes that its link takes in a second; zero if not known.
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
    /// A balancer that takes part, lagged a link of so many megabits a second; zero if not known.
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

    /// Takes the load of the moment, and says whether the balancer takes part.
    ///
    /// ```
    /// use steering::rotation::{Load, Rotation};
    /// let mut rotation = Rotation::new(14.0);
    /// let full = |second| Load { lag_ms: 1, received_bytes: second * 1_700_000, since_last_packet_ms: 0 };
    /// let takes_part = [0, 1, 2, 3].map(|second| rotation.update(second * 1_000, full(second)));
    /// assert_eq!(takes_part, [true, true, true, false]);
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
        let bearable = self.link_bytes_per_s * passed_ms / 1_000 * LINK_PERCENT_MAX / 100;
        let full = self.link_bytes_per_s > 0 && bytes > bearable;
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
