//! Time from the publication of settings until they are in force.

use std::collections::BTreeMap;

use super::super::journal::{Journal, Publication};

/// An instance disturbed within this time before a publication is excluded from its latencies.
const DISTURBED_MS: u64 = 5_000;

/// Sorted times from each publication until each instance had this or a newer version in force.
/// Instances that the lab killed, paused or replaced around that time are excluded, since the lab
/// caused their delay. A separate check at the end of a run finds instances that stay behind.
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
