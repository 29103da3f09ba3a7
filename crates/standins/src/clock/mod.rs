//! The clock shared by all stand-ins and the lab, so that times in their records are comparable.

use decision::time::Millis;
use nix::time::{ClockId, clock_gettime};

/// Milliseconds since boot, including time in suspend.
///
/// ```
/// let first = standins::clock::now();
/// assert!(standins::clock::now() >= first);
/// ```
pub fn now() -> Millis {
    Millis(now_us() / 1_000)
}

/// Microseconds since boot, for delays below a millisecond.
///
/// ```
/// assert!(standins::clock::now_us() > 0);
/// ```
pub fn now_us() -> u64 {
    // Available on every Linux since 2.6.39, and there is no useful fallback.
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("CLOCK_BOOTTIME is available");
    time.tv_sec() as u64 * 1_000_000 + time.tv_nsec() as u64 / 1_000
}
