//! The clock that all stand-ins and the lab share, so that their records can be compared.

use decision::time::Millis;
use nix::time::{ClockId, clock_gettime};

/// Milliseconds since the machine started, counting suspended time.
///
/// ```
/// let first = standins::clock::now();
/// assert!(standins::clock::now() >= first);
/// ```
pub fn now() -> Millis {
    Millis(now_us() / 1_000)
}

/// Microseconds since the machine started, for delays below a millisecond.
///
/// ```
/// assert!(standins::clock::now_us() > 0);
/// ```
pub fn now_us() -> u64 {
    // The clock exists on every Linux since 2.6.39; there is nothing sensible to do without it.
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("CLOCK_BOOTTIME is available");
    time.tv_sec() as u64 * 1_000_000 + time.tv_nsec() as u64 / 1_000
}
