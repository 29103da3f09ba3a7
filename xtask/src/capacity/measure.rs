//! Repeats all measurements that need no daemon. Memory is measured in a separate process for each
//! size, because an allocator rarely returns memory to the system.

use std::path::Path;
use std::process::Command;

use anyhow::{Context as _, ensure};
use loadgen::results::{Results, Series};

const PROGRAM: &str = "target/release/gooseberrysill-load";
/// Number of memory measurements for each size, of which the median is used.
const RUNS: usize = 3;

/// Runs every measurement that needs no daemon and writes its result file.
pub(super) fn run(folder: &Path) -> anyhow::Result<()> {
    let build = ["build", "--release", "--locked", "-p", "loadgen"];
    run_command(Command::new(env!("CARGO")).args(build))?;
    for command in ["control", "agent", "tree"] {
        eprintln!("xtask: measuring {command}");
        let out = folder.join(format!("{command}.json"));
        run_command(Command::new(PROGRAM).arg(command).arg("--out").arg(out))?;
    }
    measure_memory().and_then(|results| results.write(&folder.join("memory.json")))
}

fn measure_memory() -> anyhow::Result<Results> {
    eprintln!("xtask: measuring memory");
    let series = vec![
        measure_series("agent_bytes", "agent-memory", "open flows an agent", &FLOW_COUNTS)?,
        measure_series("settings_bytes", "tree-memory", "services", &SERVICE_COUNTS)?,
    ];
    Ok(Results { command: "cargo xtask capacity --measure".into(), series })
}

const FLOW_COUNTS: [u32; 5] = [1_000, 3_700, 10_000, 25_000, 50_000];
const SERVICE_COUNTS: [u32; 4] = [475, 950, 1_425, 1_900];

fn measure_series(name: &str, command: &str, x: &str, sizes: &[u32]) -> anyhow::Result<Series> {
    let mut points = Vec::new();
    for size in sizes {
        let mut runs = Vec::new();
        for _ in 0..RUNS {
            let text = run_command(Command::new(PROGRAM).args([command, &size.to_string()]))?;
            runs.push(text.trim().parse::<f64>()?);
        }
        runs.sort_by(f64::total_cmp);
        points.push((f64::from(*size), runs[RUNS / 2]));
    }
    Ok(Series::new(name, x, "B of VmRSS", &points))
}

fn run_command(command: &mut Command) -> anyhow::Result<String> {
    let output = command.output().with_context(|| format!("{command:?}"))?;
    let error = String::from_utf8_lossy(&output.stderr);
    ensure!(output.status.success(), "{command:?}: {}\n{error}", output.status);
    Ok(String::from_utf8(output.stdout)?)
}
