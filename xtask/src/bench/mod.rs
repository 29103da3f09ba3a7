//! `cargo xtask bench`: compares the packets per second and core of balancer and agent with a bare
//! relay. The release binaries run on loopback, all in one run of the command.

mod documents;
mod plot;
mod process;
mod report;
mod subject;
mod world;

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use anyhow::{Context as _, ensure};
use loadgen::flows::Experiment;
use loadgen::traffic::{Flood, flood};
use signal_hook::consts::{SIGINT, SIGTERM};

use report::{Sample, Totals};
use subject::{Kind, Subject};
use world::World;

/// Number of runs; each yields one sample per subject.
const RUNS: usize = 5;
/// Turns of each subject in one run. The subjects alternate in short turns, so that other load on a
/// shared machine affects all of them alike.
const TURNS: usize = 8;
/// Measured time of one turn.
const TURN_DURATION: Duration = Duration::from_millis(200);
/// Time before the first reading of a turn, in which queues and caches fill.
const WARM_UP_DURATION: Duration = Duration::from_millis(60);
/// Time for which packets are still sent after the second reading is due.
const SEND_OVERLAP: Duration = Duration::from_millis(40);
/// Threads that send packets. One thread does not always saturate a subject, and a subject that
/// waits for packets receives smaller batches, which cost more per packet.
const SENDER_THREADS: usize = 2;
/// Time over which the CPU usage of the idle daemons is measured.
const IDLE_DURATION: Duration = Duration::from_secs(3);

/// Runs the bench.
pub(crate) fn run(parser: &mut lexopt::Parser) -> anyhow::Result<()> {
    let options = options(parser)?;
    let experiment = options.experiment.as_deref().map(Experiment::read).transpose()?;
    let interrupted = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(&interrupted))?;
    }
    build()?;
    if let Some(experiment) = experiment {
        let _world = World::start(&experiment.receivers)?;
        return run_experiment(&experiment, &options.out);
    }
    let world = World::start(&[])?;
    let idle = report::Idle::measure(&world.subjects, IDLE_DURATION)?;
    let mut samples = Vec::new();
    for run in 1..=RUNS {
        let mut totals = [Totals::default(); KINDS.len()];
        for _ in 0..TURNS {
            ensure!(!interrupted.load(Ordering::Relaxed), "interrupted");
            for (subject, subject_totals) in world.subjects.iter().zip(&mut totals) {
                measure(subject, subject_totals)?;
            }
        }
        for (subject, subject_totals) in world.subjects.iter().zip(totals) {
            let sample = Sample::of(subject.kind(), subject_totals)?;
            eprintln!("bench: run {run}, {}", sample.describe());
            samples.push(sample);
        }
    }
    let results = report::results(&samples, &idle);
    results.write(&options.out.join("bench.json"))?;
    plot::write(&samples, &options.out.join("bench.svg"))?;
    report::print(&results);
    Ok(())
}

/// Options of the command line.
#[derive(Debug)]
struct Options {
    out: PathBuf,
    experiment: Option<PathBuf>,
}

fn options(parser: &mut lexopt::Parser) -> anyhow::Result<Options> {
    let mut options = Options { out: "docs/results".into(), experiment: None };
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long("out") => options.out = parser.value()?.into(),
            lexopt::Arg::Long("experiment") => options.experiment = Some(parser.value()?.into()),
            argument => return Err(argument.unexpected().into()),
        }
    }
    Ok(options)
}

/// Runs an experiment against the running processes and writes its results.
fn run_experiment(experiment: &Experiment, out: &Path) -> anyhow::Result<()> {
    let results = loadgen::flows::run(experiment)?;
    let file = out.join(format!("{}.json", experiment.name));
    results.write(&file)?;
    loadgen::flows::plot(&results, &experiment.name, &file.with_extension("svg"))?;
    report::print(&results);
    Ok(())
}

fn build() -> anyhow::Result<()> {
    let packages = ["-p", "loadgen", "-p", "balancer", "-p", "agent", "-p", "standins"];
    let mut command = Command::new(env!("CARGO"));
    command.args(["build", "--release", "--locked", "--bins"]).args(packages);
    let status = command.status().context("cargo build")?;
    ensure!(status.success(), "cargo build: {status}");
    Ok(())
}

/// Folder of the release binaries.
fn release_folder() -> &'static Path {
    Path::new("target/release")
}

/// Floods one subject for a turn, and adds the packets that its fast path moved and the CPU time
/// that it used to `totals`.
fn measure(subject: &Subject, totals: &mut Totals) -> anyhow::Result<()> {
    let run = Flood {
        to: subject.address(),
        duration: WARM_UP_DURATION + TURN_DURATION + SEND_OVERLAP,
        rate: None,
        packets: u64::MAX,
    };
    std::thread::scope(|scope| {
        let senders: Vec<_> =
            (0..SENDER_THREADS).map(|_| scope.spawn(|| flood(subject.frames(), run))).collect();
        std::thread::sleep(WARM_UP_DURATION);
        let before = subject.reading()?;
        std::thread::sleep(TURN_DURATION);
        let after = subject.reading()?;
        for sender in senders {
            let sent = sender.join().ok().context("a sender panicked")??;
            ensure!(sent > 0, "no packets were sent to the {}", subject.kind().name());
        }
        totals.add(before, after);
        Ok(())
    })
}

/// Kinds of subjects that are compared, in the order of their turns.
const KINDS: [Kind; 3] = [Kind::Relay, Kind::Balancer, Kind::Agent];
