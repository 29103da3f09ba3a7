//! How evenly the connections of a service are distributed over its upstreams.

use std::collections::BTreeMap;

use super::super::journal::Journal;
use super::super::topology::ACCOUNTS;

/// By service: connections of the most loaded upstream over the mean, median of all samples.
pub(super) fn by_service(journal: &Journal) -> BTreeMap<&'static str, f64> {
    let services = ACCOUNTS.iter().flat_map(|account| account.services);
    services.map(|service| (service.name, median_imbalance(journal, service.name))).collect()
}

fn median_imbalance(journal: &Journal, service: &str) -> f64 {
    let samples = journal.loads.iter().filter(|load| load.service == service);
    let mut ratios: Vec<f64> =
        samples.filter_map(|load| max_over_mean(journal, &load.open)).collect();
    ratios.sort_by(f64::total_cmp);
    ratios.get(ratios.len() / 2).copied().unwrap_or(0.0)
}

/// Ratio in one sample. Excludes upstreams that were drained or killed in the run, which are
/// expected to hold fewer connections.
fn max_over_mean(journal: &Journal, open: &[(String, u64)]) -> Option<f64> {
    let is_steady = |name: &str| {
        !journal.drains.iter().any(|drain| drain.upstream == name)
            && !journal.killed.iter().any(|(killed, _)| killed == name)
    };
    let open: Vec<u64> =
        open.iter().filter(|(name, _)| is_steady(name)).map(|(_, open)| *open).collect();
    let (sum, max) = (open.iter().sum::<u64>(), *open.iter().max()?);
    (sum > 0).then(|| max as f64 * open.len() as f64 / sum as f64)
}
