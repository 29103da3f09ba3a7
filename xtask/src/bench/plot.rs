//! Plots the samples of the runs.

use std::path::Path;

use super::KINDS;
use super::report::{Sample, rates};

/// Writes a plot of packets per second and core by run, with one line for each kind of subject.
pub(super) fn write(samples: &[Sample], path: &Path) -> anyhow::Result<()> {
    let lines: Vec<loadgen::plot::Line> = KINDS
        .iter()
        .map(|kind| {
            let rates = rates(samples, *kind);
            let points = rates.iter().enumerate().map(|(run, rate)| (run as f64 + 1.0, *rate));
            loadgen::plot::Line { name: kind.name().into(), points: points.collect() }
        })
        .collect();
    loadgen::plot::write(path, "Packets a second per core", ("run", "packets/s"), &lines)
}
