//! Evaluates a run by the ledger of callers and upstreams, not by the product's own counters.

use platform_standins::ledger::{Counts, Ledger};

/// Smallest accepted share of served requests over the whole run, faults included, in percent. Runs
/// with the seeds 1 to 10 served over 99.
const SERVED_MIN_PERCENT: u64 = 95;
/// The same for the final phase without faults, in permille. It is below 1,000 because a datagram
/// may be lost on a busy machine.
const SERVED_CALM_MIN_PERMILLE: u64 = 995;
/// Smallest number of requests for a meaningful result.
const REQUESTS_MIN: u64 = 1_000;

/// Request counts of a run and the violations that its ledger recorded.
pub(super) struct Verdict {
    counts: Counts,
    violations: Vec<String>,
}

impl Verdict {
    pub(super) fn of(ledger: &Ledger, store_calls: u64) -> Self {
        let mut counts = ledger.counts();
        counts.push(("store_calls", store_calls));
        Self { counts, violations: ledger.violations() }
    }

    /// The counts and violations as one JSON object, for tools.
    pub(super) fn to_json(&self) -> serde_json::Value {
        let mut line: serde_json::Map<String, serde_json::Value> =
            self.counts.iter().map(|(name, count)| ((*name).to_owned(), (*count).into())).collect();
        line.insert("broken".into(), self.violations.clone().into());
        line.into()
    }

    /// Describes everything that makes the run fail.
    pub(super) fn failures(&self) -> Vec<String> {
        let mut failures = self.violations.clone();
        let (asked, served) = (self.count("asked"), self.count("served"));
        if asked < REQUESTS_MIN {
            failures.push(format!("only {asked} requests sent"));
        }
        if served * 100 < asked * SERVED_MIN_PERCENT {
            failures.push(format!("{served} of {asked} requests served"));
        }
        let (asked, served) = (self.count("asked_calm"), self.count("served_calm"));
        if served * 1_000 < asked * SERVED_CALM_MIN_PERMILLE {
            failures.push(format!(
                "{served} of {asked} requests served in the final phase without faults"
            ));
        }
        failures
    }

    fn count(&self, name: &str) -> u64 {
        self.counts.iter().find(|(known, _)| *known == name).map_or(0, |(_, count)| *count)
    }
}
