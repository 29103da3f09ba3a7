//! Converts the table of the users' sweep to a result file.
//!
//! The users' bench prints a line for each role and quantity, with the values of the middle and the
//! busiest process at each number of instances. Other lines are ignored.

use std::path::Path;

use anyhow::{Context as _, ensure};
use loadgen::results::{Results, Series};

/// Name of the result file.
pub(super) const RESULT_FILE: &str = "sweep.json";
/// Start of the table's title; the numbers of instances are on the next line.
const HEADER: &str = "middle / busiest";

/// Imported quantities: label in the bench's table, name of the series, unit, and factor to that
/// unit.
const QUANTITIES: [(&str, &str, &str, f64); 6] = [
    ("agent: processor %", "agent_processor", "us/s", 1e4),
    ("agent: memory MB", "agent_memory", "B", 1_048_576.0),
    ("agent: kB a second", "agent_bytes", "B/s", 1e3),
    ("balancer: processor %", "balancer_processor", "us/s", 1e4),
    ("balancer: memory MB", "balancer_memory", "B", 1_048_576.0),
    ("balancer: kB a second", "balancer_bytes", "B/s", 1e3),
];

/// Reads the bench's output from the file `text` and writes the result file.
pub(super) fn import(text: &Path, folder: &Path) -> anyhow::Result<()> {
    let text = std::fs::read_to_string(text).with_context(|| text.display().to_string())?;
    results(&text)?.write(&folder.join(RESULT_FILE))
}

/// Returns the series of each quantity for the middle and the busiest process.
pub(super) fn results(text: &str) -> anyhow::Result<Results> {
    let table = text.split(HEADER).nth(1).context("no table of a sweep")?;
    let mut lines = table.lines().skip(1);
    let sizes = sizes(lines.next().context("no numbers of instances")?);
    ensure!(sizes.len() >= 2, "fewer than two numbers of instances");
    let mut series = Vec::new();
    for line in lines {
        let known = QUANTITIES.iter().find(|(label, ..)| line.trim_start().starts_with(label));
        let Some((label, name, unit, factor)) = known else { continue };
        let pairs = pairs(&line.trim_start()[label.len()..]);
        ensure!(pairs.len() == sizes.len(), "{label}: {} pairs", pairs.len());
        for (suffix, pick) in [("middle", 0), ("busiest", 1)] {
            let values = pairs.iter().map(|pair| pair[pick] * factor);
            let points: Vec<(f64, f64)> = sizes.iter().copied().zip(values).collect();
            series.push(Series::new(&format!("{name}_{suffix}"), "instances", unit, &points));
        }
    }
    ensure!(series.len() == 2 * QUANTITIES.len(), "found {} series", series.len());
    Ok(Results { command: "fleetbench sweep SITE --most 300".into(), series })
}

/// Parses the numbers of instances, up to the first word that is not a number.
fn sizes(line: &str) -> Vec<f64> {
    line.split_whitespace().map_while(|word| word.parse().ok()).collect()
}

/// Parses the pairs of values around each slash.
fn pairs(line: &str) -> Vec<[f64; 2]> {
    let words: Vec<&str> = line.split_whitespace().collect();
    let value = |word: Option<&&str>| word.and_then(|word| word.parse::<f64>().ok());
    let slashes = words.iter().enumerate().filter(|(_, word)| **word == "/");
    slashes
        .filter_map(|(index, _)| {
            let middle = value(words.get(index.wrapping_sub(1)))?;
            Some([middle, value(words.get(index + 1))?])
        })
        .collect()
}
