//! Timeouts for a service that may be down or merely slow.

use std::net::Ipv4Addr;
use std::time::Duration;

/// Timeout for a service that answers in 4 ms in normal operation.
const SHORT: Duration = Duration::from_millis(150);
/// Timeout for a slow service, which takes up to 75 times as long.
const LONG: Duration = Duration::from_millis(600);
/// One timeout out of this many is a long one.
const LONG_EVERY: u32 = 3;

/// Timeouts of one balancer's calls.
///
/// Without any view, a balancer cannot distinguish an outage from slowness. With long timeouts
/// alone, it would notice half a second late that the service is back. With short ones alone, it
/// would never get an answer from a slow service. Therefore short timeouts alternate with a long
/// one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Timeouts {
    calls: u32,
}

impl Timeouts {
    /// Starts at a different position for each balancer, so that of many balancers at least one
    /// makes a short call at any moment.
    pub fn staggered(balancer: Ipv4Addr) -> Self {
        Self { calls: balancer.to_bits() % LONG_EVERY }
    }

    /// The next timeout. Balancers that have a view are not in a hurry and use the long one.
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
