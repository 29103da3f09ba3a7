//! The monotonic clock that the decision core runs on.

use decision::time::Millis;
use nix::time::{ClockId, clock_gettime};

/// Returns the milliseconds since boot, including time that the machine was suspended.
///
/// A clock that stops during suspension would let a lease be honoured here after it has expired
/// elsewhere.
///
/// ```
/// assert!(shell::boottime::now() > decision::time::Millis(0));
/// ```
pub fn now() -> Millis {
    // The call fails only for clocks that the kernel lacks. Linux has had this one since 2.6.39.
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).unwrap_or_else(|_| abort_without_clock());
    Millis(time.tv_sec() as u64 * 1_000 + time.tv_nsec() as u64 / 1_000_000)
}

fn abort_without_clock() -> nix::sys::time::TimeSpec {
    // Leases cannot be enforced without a clock. Abort, since a request could otherwise run twice.
    log::error!("the kernel does not support CLOCK_BOOTTIME");
    std::process::abort()
}
