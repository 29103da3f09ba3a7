//! `cargo xtask lab --direct`: the two programs of the direct-return path on loopback, over stand-ins of
//! the users' platform, while processes die and upstreams change.

mod fleet;
mod scenario;
mod verdict;

use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::ensure;
use fleet::Fleet;
use scenario::STEPS;

use crate::process;

/// Time within which all balancers must be ready at the start.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two looks at what is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Builds and runs the lab; an error says which promise was broken.
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
    ensure!(!has_failed, "a promise was broken: {}", failures.join("; "));
    Ok(())
}
