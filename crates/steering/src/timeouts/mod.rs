//! How long to wait for an answer of a service that may be silent, or only slow.

use std::net::Ipv4Addr;
use std::time::Duration;

/// Wait for a service that answers in 4 ms when it is well.
const SHORT: Duration = Duration::from_millis(150);
/// Wait for one that is slow, and takes up to 75 times as long.
const LONG: Duration = Duration::from_millis(600);
/// Every which wait is a long one.
const LONG_EVERY: u32 = 3;

/// Waits of one caller.
///
/// Without any view, a caller cannot tell an outage from slowness. Long waits alone would find a
/// service that returns half a second late, short ones alone would never hear one that is slow: so
/// short ones alternate with a long one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Timeouts {
    calls: u32,
}

impl Timeouts {
    /// Waits that begin at another place for each caller, so that of many at least one makes a short
    /// call at any moment.
    pub fn staggered(caller: Ipv4Addr) -> Self {
        Self { calls: caller.to_bits() % LONG_EVERY }
    }

    /// The next wait; `has_view` callers are not in a hurry.
    ///
    /// ```
    /// use std::time::Duration;
    /// use steering::timeouts::Timeouts;
    /// let mut timeouts = Timeouts::default();
    /// let waits = [(); 3].map(|()| timeouts.next(false).as_millis());
    /// assert_eq!(waits, [150, 150, 600]);
    /// assert_eq!(timeouts.next(true).as_millis(), 600);
    /// ```
    pub fn next(&mut self, has_view: bool) -> Duration {
        if has_view {
            self.calls = 0;
            return LONG;
        }
        self.calls = self.calls.wrapping_add(1);
        if self.calls.is_multiple_of(LONG_EVERY) { LONG } else { SHORT }
    }
}
