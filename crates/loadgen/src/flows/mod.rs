//! Experiments that send packets at fixed rates through a running process and measure latency and
//! loss.
//!
//! Latency is measured from the time at which a packet was due, not from the time at which it was
//! sent. A process that stalls could otherwise delay the sending of exactly those packets that
//! would show the stall.

mod experiment;
mod probe;
mod report;

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use anyhow::Context as _;
use hdrhistogram::Histogram;
use indicatif::{ProgressBar, ProgressStyle};

pub use experiment::{Experiment, Source};
pub use report::{latency_series, plot};

use crate::results::Results;
use crate::traffic::{Frames, StampSchedule, stamped_flood};

/// After the last packet is sent, packets that arrive within this time are still counted.
const LATE_PACKET_WINDOW: Duration = Duration::from_millis(200);

/// Result of one run at one rate.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Intended rate in packets/s.
    pub rate: u64,
    /// Packets sent after the warm-up.
    pub sent: u64,
    /// How many of these packets came out of the process.
    pub received: u64,
    /// Time in nanoseconds from when a packet was due until it was received.
    pub latency_ns: Histogram<u64>,
}

/// Runs an experiment and returns its series.
///
/// Errors: an address is in use or not on loopback, or the frames cannot be built.
pub fn run(experiment: &Experiment) -> anyhow::Result<Results> {
    let bar = progress_bar(experiment)?;
    let mut frames = experiment.frames()?;
    let mut outcomes = Vec::new();
    for &rate in &experiment.rates {
        for run in 1..=experiment.runs {
            bar.set_message(format!("{rate} packets/s, run {run}"));
            outcomes.push(run_once(experiment, &mut frames, rate)?);
            bar.inc(1);
        }
    }
    bar.finish_and_clear();
    let command = format!("cargo xtask bench --experiment ({})", experiment.name);
    Ok(Results { command: command.into(), series: latency_series(&outcomes) })
}

fn run_once(experiment: &Experiment, frames: &mut Frames, rate: u64) -> anyhow::Result<Outcome> {
    let start = Instant::now();
    let count_from = Duration::from_millis(experiment.warm_up_ms);
    let stop = AtomicBool::new(false);
    let sockets = probe::bind(&experiment.receivers)?;
    std::thread::scope(|scope| {
        let stop = &stop;
        let receivers: Vec<_> = sockets
            .iter()
            .map(|socket| {
                scope.spawn(move || probe::record_latencies(socket, start, count_from, stop))
            })
            .collect();
        let duration = count_from + Duration::from_millis(experiment.duration_ms);
        let schedule = StampSchedule { start, rate, count_from };
        let sent = stamped_flood(frames, experiment.to, duration, schedule);
        std::thread::sleep(LATE_PACKET_WINDOW);
        stop.store(true, Ordering::Relaxed);
        let mut latency_ns = probe::histogram()?;
        for receiver in receivers {
            latency_ns.add(receiver.join().ok().context("a receiver thread panicked")??)?;
        }
        Ok(Outcome { rate, sent: sent?, received: latency_ns.len(), latency_ns })
    })
}

fn progress_bar(experiment: &Experiment) -> anyhow::Result<ProgressBar> {
    let steps = experiment.rates.len() as u64 * experiment.runs;
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} {msg}")?;
    Ok(ProgressBar::new(steps).with_style(style))
}
