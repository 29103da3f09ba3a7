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
const READY_MAX: Duration = Duration::from_secs(10);
/// Pause between two looks at what is waited for.
const LOOK: Duration = Duration::from_millis(20);

/// Builds and runs the lab; an error says which promise was broken.
pub(crate) fn run(seed: u64, out: Option<PathBuf>) -> anyhow::Result<()> {
    let programs = process::build(&["--package", "platform", "--bins"])?.join("debug");
    let folder = || std::env::temp_dir().join(format!("gooseberrysill-{}", std::process::id()));
    let kept = out.is_some();
    let out = out.unwrap_or_else(folder);
    std::fs::create_dir_all(&out)?;
    let mut fleet = Fleet::start(&programs, &out)?;
    let waiting = Instant::now();
    while fleet.ready() < fleet.balancers() {
        ensure!(waiting.elapsed() < READY_MAX, "not all balancers are ready");
        std::thread::sleep(LOOK);
    }
    fleet.start_callers(seed)?;
    let began = Instant::now();
    for step in STEPS {
        while began.elapsed() < step.at {
            fleet.tend()?;
            std::thread::sleep(LOOK);
        }
        eprintln!("lab {:>6.2} s  {:?}", began.elapsed().as_secs_f64(), step.action);
        fleet.act(step.action)?;
    }
    let verdict = fleet.end();
    println!("{}", verdict.to_json());
    let failures = verdict.failures();
    let broken = !failures.is_empty();
    if kept || broken {
        eprintln!("lab: logs are in {}", out.display());
    } else {
        std::fs::remove_dir_all(&out)?;
    }
    ensure!(!broken, "a promise was broken: {}", failures.join("; "));
    Ok(())
}
