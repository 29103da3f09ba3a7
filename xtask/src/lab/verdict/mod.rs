//! Evaluates a run by the ledgers of callers and upstreams, not by the product's own counters.

mod imbalance;
mod in_force;
mod incidents;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use standins::caller::{Report, Span};
use standins::protocol::RequestId;
use standins::upstream::{Event, Row};

use super::figures::Figures;
use super::journal::{Drain, Journal};
use super::scenario::PhaseKind;
use super::steps::LEAVING_GRACE_MS;
use super::topology::ACCOUNTS;

/// Settings must be in force everywhere within this time; the requirement is "within seconds".
const IN_FORCE_MS_MAX: u64 = 5_000;
/// Failed openings allowed in planned changes, per thousand. A refusal is a safe answer, but
/// without a limit a system that refuses every opening would pass.
const FAILED_OPENINGS_PER_MILLE_MAX: u64 = 10;

/// Input of the verdict: the records of a complete run.
pub(super) struct Evidence {
    pub(super) journal: Journal,
    /// Rows of all upstreams' ledgers, in order for each upstream.
    pub(super) ledger: Vec<LedgerEntry>,
    pub(super) reports: Vec<Report>,
    pub(super) reads_per_s_max: u64,
}

/// A row of one upstream's ledger.
pub(super) struct LedgerEntry {
    pub(super) upstream: String,
    pub(super) row: Row,
}

/// Parameters of the run to evaluate.
pub(super) struct RunInfo {
    pub(super) scenario: &'static str,
    pub(super) seed: u64,
    pub(super) duration_ms: u64,
    pub(super) mutant: Option<String>,
}

/// Evaluates a run.
pub(super) fn judge(run: RunInfo, evidence: &Evidence) -> Figures {
    let journal = &evidence.journal;
    let mut figures = Figures {
        scenario: run.scenario,
        seed: run.seed,
        mutant: run.mutant,
        duration_ms: run.duration_ms,
        reads_per_s_max: evidence.reads_per_s_max,
        settings_published: journal.publications.len() as u64,
        settings_reverted: journal.reverted.len() as u64,
        settings_lagging_at_end: journal.lagging.len() as u64,
        exits_unclean: journal.unclean_exits.len() as u64,
        imbalance_max_over_mean: imbalance::by_service(journal),
        ..Figures::default()
    };
    sum_caller_counters(&mut figures, &evidence.reports);
    compute_latencies(&mut figures, evidence);
    incidents::count(&mut figures, evidence);
    count_ledger_events(&mut figures, evidence);
    figures.openings_to_leaving_after_3s = openings_to_leaving(evidence);
    let latencies = in_force::latencies(journal);
    figures.settings_in_force_ms_p50 = percentile(&latencies, 50);
    figures.settings_in_force_ms_p99 = percentile(&latencies, 99);
    figures.failures = failures(&figures, evidence);
    figures.pass = figures.failures.is_empty();
    figures
}

fn sum_caller_counters(figures: &mut Figures, reports: &[Report]) {
    for report in reports {
        figures.flows_opened += report.flows_opened;
        figures.answers_complete += report.answers_complete;
        figures.datagrams_sent += report.datagrams_sent;
    }
}

fn compute_latencies(figures: &mut Figures, evidence: &Evidence) {
    let times = |spans: fn(&Report) -> &Vec<Span>, kind| {
        let spans = evidence.reports.iter().flat_map(spans);
        let begun = spans.filter(|span| evidence.journal.kind_at(span.from_ms) == kind);
        let mut times: Vec<u64> = begun.map(|span| span.took_ms).collect();
        times.sort_unstable();
        times
    };
    let planned = times(|report| &report.openings, PhaseKind::Planned);
    let faults = times(|report| &report.openings, PhaseKind::Fault);
    figures.opening_ms_p50 = percentile(&planned, 50);
    figures.opening_ms_p99 = percentile(&planned, 99);
    figures.opening_ms_p99_in_faults = percentile(&faults, 99);
    let planned = times(|report| &report.answers, PhaseKind::Planned);
    let faults = times(|report| &report.answers, PhaseKind::Fault);
    figures.answer_ms_p50 = percentile(&planned, 50);
    figures.answer_ms_p99 = percentile(&planned, 99);
    figures.answer_ms_p99_in_faults = percentile(&faults, 99);
}

fn count_ledger_events(figures: &mut Figures, evidence: &Evidence) {
    let mut runs: BTreeMap<RequestId, u64> = BTreeMap::new();
    for entry in &evidence.ledger {
        match entry.row.event {
            Event::Run { request, .. } => *runs.entry(request).or_default() += 1,
            Event::Misdelivered { .. } => figures.packets_misdelivered += 1,
            Event::Shed { .. } => figures.requests_shed += 1,
            Event::Open { .. } => {}
        }
    }
    figures.requests_run_twice = runs.values().filter(|count| **count > 1).count() as u64;
    let refused = evidence.reports.iter().flat_map(|report| &report.requests_refused);
    figures.requests_refused_but_run = refused.filter(|id| runs.contains_key(id)).count() as u64;
}

fn openings_to_leaving(evidence: &Evidence) -> u64 {
    let is_late = |drain: &Drain, entry: &LedgerEntry| {
        drain.upstream == entry.upstream
            && entry.row.at_ms > drain.from_ms + LEAVING_GRACE_MS
            && drain.until_ms.is_none_or(|until_ms| entry.row.at_ms < until_ms)
    };
    let openings = evidence.ledger.iter().filter(|entry| {
        matches!(entry.row.event, Event::Open { .. })
            && evidence.journal.drains.iter().any(|drain| is_late(drain, entry))
    });
    openings.count() as u64
}

fn failures(figures: &Figures, evidence: &Evidence) -> Vec<String> {
    let failed_openings =
        figures.openings_refused_in_planned_change + figures.openings_unanswered_in_planned_change;
    let allowed_openings = figures.flows_opened * FAILED_OPENINGS_PER_MILLE_MAX / 1_000;
    let checks = [
        ("flows_broken_by_planned_change", figures.flows_broken_by_planned_change, 0),
        ("flows_broken_by_faults", figures.flows_broken_by_faults, 0),
        ("packets_misdelivered", figures.packets_misdelivered, 0),
        ("requests_run_twice", figures.requests_run_twice, 0),
        ("requests_refused_but_run", figures.requests_refused_but_run, 0),
        ("answers_incomplete", figures.answers_incomplete, 0),
        ("openings_to_leaving_after_3s", figures.openings_to_leaving_after_3s, 0),
        ("openings failed in planned change", failed_openings, allowed_openings),
        ("openings_failed_after_recovery", figures.openings_failed_after_recovery, 0),
        ("settings_reverted", figures.settings_reverted, 0),
        ("settings_lagging_at_end", figures.settings_lagging_at_end, 0),
        ("settings_in_force_ms_p99", figures.settings_in_force_ms_p99, IN_FORCE_MS_MAX),
        ("exits_unclean", figures.exits_unclean, 0),
    ];
    let broken = checks.iter().filter(|(_, value, allowed)| value > allowed);
    let line = |(name, value, allowed): &(_, _, _)| format!("{name} is {value}, allowed {allowed}");
    let mut failures: Vec<String> = broken.map(line).collect();
    failures.extend(insufficient_load(figures, &evidence.reports));
    let journal = &evidence.journal;
    let notes = [&journal.unclean_exits, &journal.reverted, &journal.lagging];
    failures.extend(notes.into_iter().flatten().cloned());
    failures
}

/// Failures of a run that is not conclusive: it opened too few connections, or callers still had
/// requests in flight at the end.
fn insufficient_load(figures: &Figures, reports: &[Report]) -> Vec<String> {
    let mut failures = Vec::new();
    let services = ACCOUNTS.iter().flat_map(|account| account.services);
    let feeds: u64 = services.map(|service| u64::from(service.workload.feeds)).sum();
    if figures.flows_opened < feeds {
        failures.push(format!("only {} connections were opened", figures.flows_opened));
    }
    let in_flight = reports.iter().filter(|report| !report.is_idle).count();
    if in_flight > 0 {
        failures.push(format!("{in_flight} callers had requests in flight at the end"));
    }
    failures
}

/// The given percentile of sorted values; the default value if there are none.
fn percentile<T: Copy + Default>(sorted: &[T], percent: usize) -> T {
    let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(index).copied().unwrap_or_default()
}
