//! A hybrid logical clock: close to wall-clock time, yet never behind any message that was seen.
//!
//! A timestamp packs milliseconds since 1970 (48 bits) and a counter (16 bits), so that timestamps
//! compare as plain numbers. The order of timestamps agrees with cause and effect across all
//! processes that put them on their messages, also where wall clocks disagree.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

const COUNTER_BITS: u32 = 16;

/// Farthest that a foreign timestamp may pull our clock ahead of our own wall clock. One process
/// with a wrong clock would otherwise drag the whole fleet's time line into the future for ever.
pub const DRIFT_MAX_MS: u64 = 60_000;

/// A point in hybrid logical time; ordered by cause and effect.
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

    /// Milliseconds since 1970, as the process that made the timestamp believed.
    pub fn wall_ms(self) -> u64 {
        self.0 >> COUNTER_BITS
    }
}

impl Clock {
    /// A timestamp later than all that this clock gave or saw before.
    ///
    /// ```
    /// let clock = telemetry::clock::Clock::default();
    /// assert!(clock.now() < clock.now());
    /// ```
    pub fn now(&self) -> Timestamp {
        self.now_at(wall_ms())
    }

    /// As [`Clock::now`] with the wall clock given.
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

    /// Takes in the timestamp of a message, so that all later ones of this clock are larger.
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

    /// As [`Clock::observe_at`] with this machine's wall clock.
    pub fn observe(&self, seen: Timestamp) {
        self.observe_at(seen, wall_ms());
    }
}

/// Milliseconds since 1970 by this machine's wall clock.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
