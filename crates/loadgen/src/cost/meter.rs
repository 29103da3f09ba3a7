//! Processor time and memory of this process, as counted by the kernel.

use std::time::Duration;

use anyhow::Context as _;
use nix::time::{ClockId, clock_gettime};

/// Processor time used by this process. Unlike elapsed time, it does not grow while other processes
/// run, so it can be measured on a shared machine.
///
/// ```
/// assert!(loadgen::cost::processor_time() > std::time::Duration::ZERO);
/// ```
pub fn processor_time() -> Duration {
    // The call cannot fail: every supported kernel has this clock.
    clock_gettime(ClockId::CLOCK_PROCESS_CPUTIME_ID).map_or(Duration::ZERO, Duration::from)
}

/// Resident memory of this process (VmRSS) in bytes.
///
/// Errors: `/proc/self/status` cannot be read, or has no valid `VmRSS` line.
///
/// ```
/// assert!(loadgen::cost::resident_bytes().unwrap() > 100_000);
/// ```
pub fn resident_bytes() -> anyhow::Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .context("/proc/self/status has no VmRSS line")?;
    let kilobytes = line.split_whitespace().nth(1).context("the VmRSS line has no number")?;
    Ok(kilobytes.parse::<u64>()? * 1_024)
}
