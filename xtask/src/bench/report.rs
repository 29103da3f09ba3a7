//! Samples, result series and the printed summary.

use std::time::Duration;

use anyhow::ensure;
use loadgen::results::{Results, Series};
use loadgen::world::TARGET_SIZE;

use super::KINDS;
use super::subject::{Kind, Reading, Subject};
use super::world::FLOWS;

/// One run of one subject.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    pub(super) kind: Kind,
    /// Packets moved per second of CPU time of the packet thread.
    pub(super) packets_per_core_s: f64,
}

/// Resource usage of the daemons without traffic.
#[derive(Clone, Copy, Debug)]
pub(super) struct Idle {
    balancer: Usage,
    agent: Usage,
}

#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    cpu_us_per_s: f64,
    memory_bytes: f64,
}

/// Packets and CPU time of one subject, summed over the turns of a run.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Totals {
    packets: u64,
    cpu_time: Duration,
}

impl Totals {
    /// Adds the difference between two readings.
    pub(super) fn add(&mut self, before: Reading, after: Reading) {
        self.packets += after.packets - before.packets;
        self.cpu_time += after.cpu_time - before.cpu_time;
    }
}

impl Sample {
    /// The sample of a run, from its totals.
    pub(super) fn of(kind: Kind, totals: Totals) -> anyhow::Result<Self> {
        let cpu_time = totals.cpu_time.as_secs_f64();
        ensure!(totals.packets > 0 && cpu_time > 0.0, "the {} moved no packets", kind.name());
        Ok(Self { kind, packets_per_core_s: totals.packets as f64 / cpu_time })
    }

    pub(super) fn describe(&self) -> String {
        format!("{}: {:.0} packets/s per core", self.kind.name(), self.packets_per_core_s)
    }
}

impl Idle {
    /// Measures the daemons over `duration`.
    pub(super) fn measure(subjects: &[Subject], duration: Duration) -> anyhow::Result<Self> {
        let times = |subjects: &[Subject]| -> anyhow::Result<Vec<Duration>> {
            subjects.iter().map(|subject| subject.process.cpu_time(None)).collect()
        };
        let before = times(subjects)?;
        std::thread::sleep(duration);
        let after = times(subjects)?;
        let mut idle = Self { balancer: Usage::default(), agent: Usage::default() };
        for ((subject, before), after) in subjects.iter().zip(before).zip(after) {
            let cpu_time = (after - before).as_secs_f64() / duration.as_secs_f64();
            let usage = Usage {
                cpu_us_per_s: cpu_time * 1e6,
                memory_bytes: subject.process.resident_bytes()? as f64,
            };
            match subject.kind() {
                Kind::Relay => {}
                Kind::Balancer => idle.balancer = usage,
                Kind::Agent => idle.agent = usage,
            }
        }
        Ok(idle)
    }
}

/// All result series: one point for each run, and one for each idle daemon.
pub(super) fn results(samples: &[Sample], idle: &Idle) -> Results {
    let mut series = Vec::new();
    for kind in KINDS {
        let rates = rates(samples, kind);
        let points: Vec<(f64, f64)> = by_run_number(&rates);
        let name = format!("{}_rate", kind.name());
        series.push(Series::new(&name, "run", "packets/s per core", &points));
    }
    for kind in [Kind::Balancer, Kind::Agent] {
        let points = by_run_number(&ratios(samples, kind));
        let name = format!("{}_ratio", kind.name());
        series.push(Series::new(&name, "run", "of the bare relay", &points));
    }
    let mut push = |name: &str, x: &str, y: &str, point| {
        series.push(Series::new(name, x, y, &[point]));
    };
    let (services, flows) = (TARGET_SIZE.services as f64, FLOWS as f64);
    let (balancer, agent) = (idle.balancer, idle.agent);
    push("balancer_memory", "services", "B of VmRSS", (services, balancer.memory_bytes));
    push("balancer_idle_processor", "services", "us/s", (services, balancer.cpu_us_per_s));
    push("agent_memory", "open flows", "B of VmRSS", (flows, agent.memory_bytes));
    push("agent_idle_processor", "open flows", "us/s", (flows, agent.cpu_us_per_s));
    Results { command: "cargo xtask bench".into(), series }
}

/// Prints the median, minimum and maximum of each series.
pub(super) fn print(results: &Results) {
    for series in &results.series {
        let mut values: Vec<f64> = series.points.iter().map(|point| point.y).collect();
        values.sort_by(f64::total_cmp);
        let (first, last) = (values[0], values[values.len() - 1]);
        let median = values[values.len() / 2];
        println!("{:24} median {median:.3}, {first:.3} to {last:.3} {}", series.name, series.y);
    }
}

/// Rates of one kind of subject, in the order of the runs.
pub(super) fn rates(samples: &[Sample], kind: Kind) -> Vec<f64> {
    let of_kind = samples.iter().filter(|sample| sample.kind == kind);
    of_kind.map(|sample| sample.packets_per_core_s).collect()
}

/// Rate of one kind of subject relative to the relay's rate in the same run.
fn ratios(samples: &[Sample], kind: Kind) -> Vec<f64> {
    let relay = rates(samples, Kind::Relay);
    rates(samples, kind).iter().zip(relay).map(|(rate, relay)| rate / relay).collect()
}

fn by_run_number(values: &[f64]) -> Vec<(f64, f64)> {
    values.iter().enumerate().map(|(index, value)| (index as f64 + 1.0, *value)).collect()
}
