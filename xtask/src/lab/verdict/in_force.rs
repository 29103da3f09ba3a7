//! How long published settings took to be in force.

use std::collections::BTreeMap;

use super::super::journal::{Journal, Publication};

/// A disturbance this long before a publication spoils the latency of that instance.
const DISTURBED_MS: u64 = 5_000;

/// Sorted times from each publication until each instance had it, or something newer, in force.
/// Instances that the lab killed, paused or replaced around it are left out: they show its own
/// work. That nobody stays behind is checked apart, at the end of a run.
pub(super) fn latencies(journal: &Journal) -> Vec<u64> {
    let mut latencies: Vec<u64> =
        journal.publications.iter().flat_map(|entry| latencies_of(journal, entry)).collect();
    latencies.sort_unstable();
    latencies
}

fn latencies_of(journal: &Journal, publication: &Publication) -> Vec<u64> {
    let of_account = || journal.in_force.iter().filter(|seen| seen.account == publication.account);
    let mut first: BTreeMap<&str, u64> = BTreeMap::new();
    for seen in of_account() {
        if seen.version >= publication.version && seen.at_ms >= publication.at_ms {
            let at_ms = first.entry(&seen.instance).or_insert(seen.at_ms);
            *at_ms = seen.at_ms.min(*at_ms);
        }
    }
    let ran_before = |instance: &str| {
        of_account().any(|seen| seen.instance == instance && seen.at_ms < publication.at_ms)
    };
    let undisturbed = |(instance, at_ms): (&str, u64)| {
        let is_counted =
            ran_before(instance) && !is_disturbed(journal, publication, instance, at_ms);
        is_counted.then_some(at_ms - publication.at_ms)
    };
    first.into_iter().filter_map(undisturbed).collect()
}

fn is_disturbed(
    journal: &Journal,
    publication: &Publication,
    instance: &str,
    until_ms: u64,
) -> bool {
    journal.disturbed.iter().any(|(name, at_ms)| {
        name == instance && at_ms + DISTURBED_MS > publication.at_ms && *at_ms < until_ms
    })
}
