//! A plot of the runs.

use std::path::Path;

use super::KINDS;
use super::report::{Sample, rates};

/// Writes packets a second per core by run, a line for each kind.
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
