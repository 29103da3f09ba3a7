//! `cargo xtask lab --direct`: runs the two programs of the direct-return path on loopback, against
//! stand-ins of the users' platform, while processes are killed and upstreams change.

mod fleet;
mod scenario;
mod verdict;

use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::ensure;
use fleet::Fleet;
use scenario::STEPS;

use crate::process;

/// Time after the start within which all balancers must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Builds the programs and runs the lab. The error lists the failed checks.
pub(crate) fn run(seed: u64, out: Option<PathBuf>) -> anyhow::Result<()> {
    let programs = process::build(&["--package", "platform", "--bins"])?.join("debug");
    let folder = || std::env::temp_dir().join(format!("gooseberrysill-{}", std::process::id()));
    let keep_logs = out.is_some();
    let out = out.unwrap_or_else(folder);
    std::fs::create_dir_all(&out)?;
    let mut fleet = Fleet::start(&programs, &out)?;
    let launched = Instant::now();
    while fleet.ready_balancers() < fleet.balancer_count() {
        ensure!(launched.elapsed() < READY_TIMEOUT, "not all balancers are ready");
        std::thread::sleep(POLL_INTERVAL);
    }
    fleet.start_callers(seed)?;
    let start = Instant::now();
    for step in STEPS {
        while start.elapsed() < step.at {
            fleet.restart_exited()?;
            std::thread::sleep(POLL_INTERVAL);
        }
        eprintln!("lab {:>6.2} s  {:?}", start.elapsed().as_secs_f64(), step.action);
        fleet.apply(step.action)?;
    }
    let verdict = fleet.end();
    println!("{}", verdict.to_json());
    let failures = verdict.failures();
    let has_failed = !failures.is_empty();
    if keep_logs || has_failed {
        eprintln!("lab: logs are in {}", out.display());
    } else {
        std::fs::remove_dir_all(&out)?;
    }
    ensure!(!has_failed, "checks failed: {}", failures.join("; "));
    Ok(())
}
