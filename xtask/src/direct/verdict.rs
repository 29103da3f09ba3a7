//! Whether a run has kept the promises.

use platform_standins::ledger::{Counts, Ledger};

/// Least share of requests that are served over a run with faults, in percent. Runs of the seeds 1 to
/// 10 served over 99.
const SERVED_MIN_PERCENT: u64 = 95;
/// The same for the calm end, in tenths of a percent: a datagram may get lost on a busy machine.
const SERVED_CALM_MIN_PERMILLE: u64 = 995;
/// Requests without which a run says nothing.
const ASKED_MIN: u64 = 1_000;

/// The books of a run, held against the promises.
pub(super) struct Verdict {
    counts: Counts,
    broken: Vec<String>,
}

impl Verdict {
    pub(super) fn of(ledger: &Ledger, store_calls: u64) -> Self {
        let mut counts = ledger.counts();
        counts.push(("store_calls", store_calls));
        Self { counts, broken: ledger.violations() }
    }

    /// One line for programs.
    pub(super) fn to_json(&self) -> serde_json::Value {
        let mut line: serde_json::Map<String, serde_json::Value> =
            self.counts.iter().map(|(name, count)| ((*name).to_owned(), (*count).into())).collect();
        line.insert("broken".into(), self.broken.clone().into());
        line.into()
    }

    /// What is wrong, for people.
    pub(super) fn failures(&self) -> Vec<String> {
        let mut failures = self.broken.clone();
        let (asked, served) = (self.count("asked"), self.count("served"));
        if asked < ASKED_MIN {
            failures.push(format!("only {asked} requests"));
        }
        if served * 100 < asked * SERVED_MIN_PERCENT {
            failures.push(format!("{served} of {asked} requests served"));
        }
        let (asked, served) = (self.count("asked_calm"), self.count("served_calm"));
        if served * 1_000 < asked * SERVED_CALM_MIN_PERMILLE {
            failures.push(format!("{served} of {asked} requests served in calm"));
        }
        failures
    }

    fn count(&self, name: &str) -> u64 {
        self.counts.iter().find(|(known, _)| *known == name).map_or(0, |(_, count)| *count)
    }
}
