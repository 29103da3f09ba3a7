//! Parses the table of days that the bench prints.

use serde::Serialize;

/// Prefix of randomly generated days. They differ from run to run and are ignored.
const RANDOM_DAY_PREFIX: &str = "fresh";
/// Marks a day on which a rule was violated.
const VIOLATION_MARK: &str = "BROKEN";
/// First columns of the table's header line. The lines after it are the days.
const HEADER: [&str; 4] = ["day", "own/srv", "score", "worth"];

/// Score of a standard day.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Day {
    /// Name of the day.
    pub(crate) name: String,
    /// Worth that the bench assigned, from 0 to 1.
    pub(crate) worth: f64,
    /// Whether a rule was violated.
    pub(crate) broken: bool,
}

impl Day {
    /// Whether the day contains a disturbance, which all but the quiet days do.
    pub(crate) fn has_disturbance(&self) -> bool {
        !self.name.starts_with("quiet")
    }
}

/// Returns the standard days in the output of the bench.
pub(crate) fn parse_standard_days(text: &str) -> Vec<Day> {
    let is_header = |line: &&str| line.split_whitespace().take(HEADER.len()).eq(HEADER);
    let after_header = text.lines().skip_while(|line| !is_header(line)).skip(1);
    after_header
        .map_while(parse_day)
        .filter(|day| !day.name.starts_with(RANDOM_DAY_PREFIX))
        .collect()
}

fn parse_day(line: &str) -> Option<Day> {
    let mut words = line.split_whitespace();
    let name = words.next()?.to_owned();
    let worth = words.nth(2)?.parse().ok()?;
    Some(Day { name, worth, broken: line.contains(VIOLATION_MARK) })
}

#[cfg(test)]
#[path = "tests.rs"]
mod tests;
