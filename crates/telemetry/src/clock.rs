//! A hybrid logical clock: close to the wall clock, but never behind the timestamp of a received
//! message.
//!
//! A timestamp packs milliseconds since 1970 (48 bits) and a counter (16 bits), so that timestamps
//! compare as plain numbers. Among processes that put timestamps on their messages, the order of
//! timestamps agrees with causality even if the wall clocks differ.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

const COUNTER_BITS: u32 = 16;

/// Maximum by which a received timestamp may advance this clock beyond the own wall clock. Without
/// the limit, one process with a wrong clock would shift the time line of the whole fleet into the
/// future permanently.
pub const DRIFT_MAX_MS: u64 = 60_000;

/// A point in hybrid logical time; the order agrees with causality.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(pub u64);

/// The clock of one process.
#[derive(Debug, Default)]
pub struct Clock {
    last: AtomicU64,
}

impl Timestamp {
    /// The first timestamp of a millisecond.
    ///
    /// ```
    /// use telemetry::clock::Timestamp;
    /// assert_eq!(Timestamp::from_wall_ms(5).wall_ms(), 5);
    /// ```
    pub fn from_wall_ms(wall_ms: u64) -> Self {
        Self(wall_ms << COUNTER_BITS)
    }

    /// Milliseconds since 1970 according to the process that created the timestamp.
    pub fn wall_ms(self) -> u64 {
        self.0 >> COUNTER_BITS
    }
}

impl Clock {
    /// Returns a timestamp later than all that this clock has returned or accepted before.
    ///
    /// ```
    /// let clock = telemetry::clock::Clock::default();
    /// assert!(clock.now() < clock.now());
    /// ```
    pub fn now(&self) -> Timestamp {
        self.now_at(wall_ms())
    }

    /// Like [`Clock::now`], with the wall-clock time given.
    ///
    /// ```
    /// use telemetry::clock::{Clock, Timestamp};
    /// let clock = Clock::default();
    /// assert_eq!(clock.now_at(7), Timestamp::from_wall_ms(7));
    /// ```
    pub fn now_at(&self, wall_ms: u64) -> Timestamp {
        let wall = Timestamp::from_wall_ms(wall_ms).0;
        let next = |last: u64| wall.max(last + 1);
        let update =
            self.last.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |last| Some(next(last)));
        Timestamp(update.map_or(wall, next))
    }

    /// Accepts the timestamp of a received message, so that all later ones of this clock are
    /// larger. Ignores it if it is more than [`DRIFT_MAX_MS`] ahead of the wall clock.
    ///
    /// ```
    /// use telemetry::clock::{Clock, Timestamp};
    /// let clock = Clock::default();
    /// clock.observe_at(Timestamp::from_wall_ms(9), 7);
    /// assert!(clock.now_at(7) > Timestamp::from_wall_ms(9));
    /// ```
    pub fn observe_at(&self, seen: Timestamp, wall_ms: u64) {
        if seen.wall_ms() <= wall_ms.saturating_add(DRIFT_MAX_MS) {
            self.last.fetch_max(seen.0, Ordering::Relaxed);
        }
    }

    /// Like [`Clock::observe_at`], with this machine's wall clock.
    pub fn observe(&self, seen: Timestamp) {
        self.observe_at(seen, wall_ms());
    }
}

/// Milliseconds since 1970 according to this machine's wall clock.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
