//! The bench's table of days.

use serde::Serialize;

/// Days that were drawn just now differ from play to play.
const RANDOM_DAY_PREFIX: &str = "fresh";
/// Marks a day on which a rule was broken.
const VIOLATION_MARK: &str = "BROKEN";
/// First words of the table's head; the days follow.
const HEADER: [&str; 4] = ["day", "own/srv", "score", "worth"];

/// A standard day.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Day {
    /// Its name.
    pub(crate) name: String,
    /// Worth, from 0 to 1.
    pub(crate) worth: f64,
    /// Whether a rule was broken.
    pub(crate) broken: bool,
}

impl Day {
    /// Whether the day has trouble.
    pub(crate) fn has_disturbance(&self) -> bool {
        !self.name.starts_with("quiet")
    }
}

/// The standard days in what the bench has printed.
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
