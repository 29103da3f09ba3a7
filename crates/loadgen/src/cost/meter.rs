//! What this process has used so far, as the kernel counts it.

use std::time::Duration;

use anyhow::Context as _;
use nix::time::{ClockId, clock_gettime};

/// Processor time of this process. Unlike elapsed time it does not grow while others have the
/// processor, so it can be measured on a shared machine.
///
/// ```
/// assert!(loadgen::cost::processor_time() > std::time::Duration::ZERO);
/// ```
pub fn processor_time() -> Duration {
    // The clock exists on every kernel that the product runs on.
    clock_gettime(ClockId::CLOCK_PROCESS_CPUTIME_ID).map_or(Duration::ZERO, Duration::from)
}

/// Memory that this process has in use (VmRSS), in bytes.
///
/// Errors: no `/proc`, or a status without the line.
///
/// ```
/// assert!(loadgen::cost::resident_bytes().unwrap() > 100_000);
/// ```
pub fn resident_bytes() -> anyhow::Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).context("no VmRSS")?;
    let kilobytes = line.split_whitespace().nth(1).context("VmRSS without a number")?;
    Ok(kilobytes.parse::<u64>()? * 1_024)
}
