//! Converts outcomes to series and plots them.

use std::path::Path;

use super::Outcome;
use crate::plot::{self, Line};
use crate::results::{Results, Series};

/// Reported quantiles of the latency.
const QUANTILES: [(&str, f64); 3] = [("p50", 0.5), ("p99", 0.99), ("p999", 0.999)];

/// Series by rate: for each latency quantile the median, lowest and highest run in microseconds,
/// and the median loss in percent.
///
/// ```
/// assert!(loadgen::flows::latency_series(&[]).iter().all(|series| series.points.is_empty()));
/// ```
pub fn latency_series(outcomes: &[Outcome]) -> Vec<Series> {
    let mut series = Vec::new();
    for (name, quantile) in QUANTILES {
        let value = |outcome: &Outcome| outcome.latency_ns.value_at_quantile(quantile) as f64 / 1e3;
        for (suffix, pick) in [("", MEDIAN), ("_least", MINIMUM), ("_most", MAXIMUM)] {
            let points = by_rate(outcomes, value, pick);
            let y = "us from when a packet was due";
            series.push(Series::new(&format!("{name}{suffix}"), "packets/s", y, &points));
        }
    }
    let lost_percent = |outcome: &Outcome| match outcome.sent {
        0 => 0.0,
        sent => (1.0 - outcome.received as f64 / sent as f64) * 100.0,
    };
    series.push(Series::new(
        "lost",
        "packets/s",
        "percent",
        &by_rate(outcomes, lost_percent, MEDIAN),
    ));
    series
}

/// Plots the median run of each latency quantile.
///
/// Errors: `results` contain no points, or the file cannot be written.
///
/// ```
/// let results = loadgen::results::Results { command: "true".into(), series: vec![] };
/// assert!(loadgen::flows::plot(&results, "nothing", "/nonexistent".as_ref()).is_err());
/// ```
pub fn plot(results: &Results, title: &str, path: &Path) -> anyhow::Result<()> {
    let lines: Vec<Line> = QUANTILES
        .iter()
        .filter_map(|(name, _)| results.series(name))
        .map(|series| Line {
            name: series.name.clone(),
            points: series.points.iter().map(|point| (point.x, point.y)).collect(),
        })
        .collect();
    plot::write(path, title, ("packets/s", "us"), &lines)
}

/// Selects one value from a sorted, non-empty slice.
type PickFn = fn(&[f64]) -> f64;

const MEDIAN: PickFn = |sorted| sorted[sorted.len() / 2];
const MINIMUM: PickFn = |sorted| sorted[0];
const MAXIMUM: PickFn = |sorted| sorted[sorted.len() - 1];

fn by_rate(outcomes: &[Outcome], value: impl Fn(&Outcome) -> f64, pick: PickFn) -> Vec<(f64, f64)> {
    let mut rates: Vec<u64> = outcomes.iter().map(|outcome| outcome.rate).collect();
    rates.sort_unstable();
    rates.dedup();
    let at = |rate: u64| {
        let runs = outcomes.iter().filter(|outcome| outcome.rate == rate);
        let mut values: Vec<f64> = runs.map(&value).collect();
        values.sort_by(f64::total_cmp);
        (rate as f64, pick(&values))
    };
    rates.into_iter().map(at).collect()
}
