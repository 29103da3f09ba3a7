//! The clock of the decision core.

use decision::time::Millis;
use nix::time::{ClockId, clock_gettime};

/// Milliseconds since boot, counting time that the machine was suspended: a lease measured by a
/// clock that stands still during suspension would be honoured after it has run out elsewhere.
///
/// ```
/// assert!(shell::boottime::now() > decision::time::Millis(0));
/// ```
pub fn now() -> Millis {
    // The call fails only for clocks that the kernel lacks; Linux has had this one since 2.6.39.
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).unwrap_or_else(|_| abort_without_clock());
    Millis(time.tv_sec() as u64 * 1_000 + time.tv_nsec() as u64 / 1_000_000)
}

fn abort_without_clock() -> nix::sys::time::TimeSpec {
    // Without a clock no lease can be kept: stop rather than run a request twice.
    log::error!("the kernel has no CLOCK_BOOTTIME");
    std::process::abort()
}
