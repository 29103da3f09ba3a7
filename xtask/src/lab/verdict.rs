//! The verdict: from the ledgers of callers and upstreams, not from the product's own counters.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;

use anyhow::Context as _;
use standins::caller::{Incident, Kind, Outcome, Report};
use standins::clock;
use standins::platform;
use standins::protocol::RequestId;
use standins::shell::lock;
use standins::upstream::{Event, Row};

use super::Lab;
use super::figures::Figures;
use super::journal::{Drain, Journal, Publication};
use super::scenario::PhaseKind;
use super::steps::LEAVING_GRACE_MS;
use super::topology::ACCOUNTS;

/// "Within seconds": settings must be in force everywhere within this time.
const IN_FORCE_MS_MAX: u64 = 5_000;
/// A disturbance this long before a publication spoils the latency of that instance.
const DISTURBED_MS: u64 = 5_000;
/// Openings that may fail in planned changes, of a thousand: a refusal is a safe answer, but a
/// system that refuses everybody would break nothing and be of no use.
const FAILED_OPENINGS_PER_MILLE_MAX: u64 = 10;

/// Rows of every upstream's ledger with the upstream's name.
struct Ledgers {
    rows: Vec<(String, Row)>,
}

/// Reads all records of the run and judges them.
pub(super) fn judge(lab: &Lab, reports: &[Report]) -> anyhow::Result<Figures> {
    let ledgers = read_ledgers(lab)?;
    let stats: platform::Stats = lab.http.get(lab.net.platform(), "/admin/stats")?;
    let journal = lock(&lab.journal);
    let mut figures = Figures {
        scenario: lab.options.scenario.name,
        seed: lab.options.seed,
        duration_ms: clock::now().0 - lab.started_ms,
        reads_per_s_max: stats.reads_per_s_max,
        settings_published: journal.publications.len() as u64,
        settings_reverted: journal.reverted.len() as u64,
        settings_lagging_at_end: journal.lagging.len() as u64,
        exits_unclean: journal.unclean_exits.len() as u64,
        imbalance_max_over_mean: imbalance(&journal),
        ..Figures::default()
    };
    count_callers(&mut figures, reports);
    for incident in reports.iter().flat_map(|report| &report.incidents) {
        count_incident(&mut figures, &journal, &ledgers, incident);
    }
    count_runs(&mut figures, &ledgers, reports);
    count_leaving(&mut figures, &journal, &ledgers);
    count_settings(&mut figures, &journal);
    write_evidence(lab, reports, &journal)?;
    figures.failures = failures(&figures, reports, &journal);
    figures.pass = figures.failures.is_empty();
    Ok(figures)
}

fn read_ledgers(lab: &Lab) -> anyhow::Result<Ledgers> {
    let mut rows = Vec::new();
    for upstream in &lock(&lab.fleet).upstreams {
        let name = &upstream.upstream.name;
        let path = lab.out.join(format!("{name}.ledger"));
        let text = fs::read_to_string(&path).with_context(|| path.display().to_string())?;
        for line in text.lines() {
            // A killed upstream may have left half a line, which it had not answered for either.
            let Ok(row) = serde_json::from_str(line) else { continue };
            rows.push((name.clone(), row));
        }
    }
    Ok(Ledgers { rows })
}

fn count_callers(figures: &mut Figures, reports: &[Report]) {
    for report in reports {
        figures.flows_opened += report.flows_opened;
        figures.answers_complete += report.answers_complete;
        figures.datagrams_sent += report.datagrams_sent;
    }
    let all = |field: fn(&Report) -> &Vec<u32>| {
        let mut values: Vec<u32> = reports.iter().flat_map(field).copied().collect();
        values.sort_unstable();
        values
    };
    let opening_ms = all(|report| &report.opening_ms);
    let answer_ms = all(|report| &report.answer_ms);
    figures.opening_ms_p50 = percentile(&opening_ms, 50);
    figures.opening_ms_p99 = percentile(&opening_ms, 99);
    figures.answer_ms_p50 = percentile(&answer_ms, 50);
    figures.answer_ms_p99 = percentile(&answer_ms, 99);
}

fn count_incident(
    figures: &mut Figures,
    journal: &Journal,
    ledgers: &Ledgers,
    incident: &Incident,
) {
    // What made no progress broke when progress ended, not when patience did.
    let waited = matches!(incident.outcome, Outcome::Stalled | Outcome::Unanswered);
    let broke_at_ms = if waited { incident.since_ms } else { incident.at_ms };
    let kind = journal.kind_at(broke_at_ms);
    if incident.outcome == Outcome::WrongService {
        figures.packets_misdelivered += 1;
    }
    if incident.outcome == Outcome::Shed {
        figures.requests_shed += 1;
        return;
    }
    if !incident.established {
        return count_opening(figures, kind, incident);
    }
    if is_killed(journal, ledgers, incident) {
        figures.flows_lost_with_killed_upstreams += 1;
        return;
    }
    figures.answers_incomplete += u64::from(incident.answer_missing);
    match kind {
        PhaseKind::Planned => figures.flows_broken_by_planned_change += 1,
        PhaseKind::Fault => figures.flows_broken_by_faults += 1,
    }
}

fn count_opening(figures: &mut Figures, kind: PhaseKind, incident: &Incident) {
    use PhaseKind::{Fault, Planned};

    let is_datagram = incident.kind == Kind::Datagram;
    let figure = match (is_datagram, incident.outcome, kind) {
        (true, Outcome::Refused, _) => &mut figures.datagrams_refused,
        (true, Outcome::Unanswered, Planned) => &mut figures.answers_incomplete,
        (true, Outcome::Unanswered, Fault) => &mut figures.datagrams_unanswered_in_faults,
        (false, Outcome::Refused, Planned) => &mut figures.openings_refused_in_planned_change,
        (false, Outcome::Refused, Fault) => &mut figures.openings_refused_in_faults,
        (false, _, Planned) => &mut figures.openings_unanswered_in_planned_change,
        (false, _, Fault) => &mut figures.openings_unanswered_in_faults,
        (true, ..) => &mut figures.answers_incomplete,
    };
    *figure += 1;
}

/// True if the connection was held by an upstream that the lab killed while it was open.
fn is_killed(journal: &Journal, ledgers: &Ledgers, incident: &Incident) -> bool {
    let holder = incident.upstream.as_deref().or_else(|| {
        let opened = |(_, row): &&(String, Row)| {
            row.at_ms <= incident.at_ms && is_opening_of(row, incident.client)
        };
        ledgers.rows.iter().filter(opened).max_by_key(|(_, row)| row.at_ms).map(|(name, _)| &**name)
    });
    let Some(holder) = holder else { return false };
    journal.killed.iter().any(|(name, at_ms)| name == holder && *at_ms <= incident.at_ms)
}

fn is_opening_of(row: &Row, client: SocketAddr) -> bool {
    matches!(row.event, Event::Open { client: known } if known == client)
}

fn count_runs(figures: &mut Figures, ledgers: &Ledgers, reports: &[Report]) {
    let mut runs: BTreeMap<RequestId, u64> = BTreeMap::new();
    for (_, row) in &ledgers.rows {
        match row.event {
            Event::Run { request, .. } => *runs.entry(request).or_default() += 1,
            Event::Misdelivered { .. } => figures.packets_misdelivered += 1,
            Event::Open { .. } | Event::Shed { .. } => {}
        }
    }
    figures.requests_run_twice = runs.values().filter(|count| **count > 1).count() as u64;
    let refused = reports.iter().flat_map(|report| &report.requests_refused);
    figures.requests_refused_but_run = refused.filter(|id| runs.contains_key(id)).count() as u64;
}

fn count_leaving(figures: &mut Figures, journal: &Journal, ledgers: &Ledgers) {
    let is_late = |drain: &Drain, name: &str, at_ms: u64| {
        drain.upstream == name
            && at_ms > drain.from_ms + LEAVING_GRACE_MS
            && drain.until_ms.is_none_or(|until_ms| at_ms < until_ms)
    };
    let openings = ledgers.rows.iter().filter(|(name, row)| {
        matches!(row.event, Event::Open { .. })
            && journal.drains.iter().any(|drain| is_late(drain, name, row.at_ms))
    });
    figures.openings_to_leaving_after_3s = openings.count() as u64;
}

fn count_settings(figures: &mut Figures, journal: &Journal) {
    let mut latencies: Vec<u64> = journal
        .publications
        .iter()
        .flat_map(|publication| latencies(journal, publication))
        .collect();
    latencies.sort_unstable();
    figures.settings_in_force_ms_p50 = percentile(&latencies, 50);
    figures.settings_in_force_ms_p99 = percentile(&latencies, 99);
}

/// Time from a publication until each undisturbed instance had it, or something newer, in force.
fn latencies(journal: &Journal, publication: &Publication) -> Vec<u64> {
    let mut first: BTreeMap<&str, u64> = BTreeMap::new();
    for seen in &journal.in_force {
        if seen.account == publication.account
            && seen.version >= publication.version
            && seen.at_ms >= publication.at_ms
        {
            let at_ms = first.entry(&seen.instance).or_insert(seen.at_ms);
            *at_ms = seen.at_ms.min(*at_ms);
        }
    }
    let is_disturbed = |instance: &str, until_ms: u64| {
        journal.disturbed.iter().any(|(name, at_ms)| {
            name == instance && at_ms + DISTURBED_MS > publication.at_ms && *at_ms < until_ms
        })
    };
    let had_before = |instance: &str| {
        journal.in_force.iter().any(|seen| {
            seen.instance == instance
                && seen.account == publication.account
                && seen.at_ms < publication.at_ms
        })
    };
    first
        .into_iter()
        .filter(|(instance, at_ms)| had_before(instance) && !is_disturbed(instance, *at_ms))
        .map(|(_, at_ms)| at_ms - publication.at_ms)
        .collect()
}

fn imbalance(journal: &Journal) -> BTreeMap<&'static str, f64> {
    let services = ACCOUNTS.iter().flat_map(|account| account.services);
    services.map(|service| (service.name, imbalance_of(journal, service.name))).collect()
}

/// Median over all looks of the fullest upstream's connections over the mean. Upstreams that were
/// drained or killed in the run are left out: they are meant to be emptier.
fn imbalance_of(journal: &Journal, service: &str) -> f64 {
    let is_steady = |name: &String| {
        !journal.drains.iter().any(|drain| drain.upstream == *name)
            && !journal.killed.iter().any(|(killed, _)| killed == name)
    };
    let mut ratios = Vec::new();
    for load in journal.loads.iter().filter(|load| load.service == service) {
        let open: Vec<u64> =
            load.open.iter().filter(|(name, _)| is_steady(name)).map(|(_, open)| *open).collect();
        let (sum, max) = (open.iter().sum::<u64>(), open.iter().max().copied().unwrap_or(0));
        if sum > 0 {
            ratios.push(max as f64 * open.len() as f64 / sum as f64);
        }
    }
    ratios.sort_by(f64::total_cmp);
    ratios.get(ratios.len() / 2).copied().unwrap_or(0.0)
}

fn failures(figures: &Figures, reports: &[Report], journal: &Journal) -> Vec<String> {
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
        ("settings_reverted", figures.settings_reverted, 0),
        ("settings_lagging_at_end", figures.settings_lagging_at_end, 0),
        ("settings_in_force_ms_p99", figures.settings_in_force_ms_p99, IN_FORCE_MS_MAX),
        ("exits_unclean", figures.exits_unclean, 0),
    ];
    let broken = checks.iter().filter(|(_, value, allowed)| value > allowed);
    let mut failures: Vec<String> = broken
        .map(|(name, value, allowed)| format!("{name} is {value}, allowed {allowed}"))
        .collect();
    let feeds =
        ACCOUNTS.iter().flat_map(|account| account.services).map(|service| service.work.feeds);
    if figures.flows_opened < feeds.map(u64::from).sum() {
        failures.push(format!("only {} connections were opened", figures.flows_opened));
    }
    let in_flight = reports.iter().filter(|report| !report.is_idle).count();
    if in_flight > 0 {
        failures.push(format!("{in_flight} callers still had requests in flight at the end"));
    }
    let notes = [&journal.unclean_exits, &journal.reverted, &journal.lagging];
    failures.extend(notes.into_iter().flatten().cloned());
    failures
}

/// Keeps the callers' reports beside the ledgers.
fn write_evidence(lab: &Lab, reports: &[Report], journal: &Journal) -> anyhow::Result<()> {
    for (report, account) in reports.iter().zip(&ACCOUNTS) {
        let path = lab.out.join(format!("caller-{}.json", account.name));
        fs::write(&path, serde_json::to_string_pretty(report)?)?;
    }
    let phases: Vec<_> =
        journal.phases.iter().map(|(from_ms, kind)| format!("{from_ms} {kind:?}\n")).collect();
    fs::write(lab.out.join("phases.txt"), phases.concat())?;
    Ok(())
}

/// The value below which so many percent of the sorted values lie; zero of none.
fn percentile<T: Copy + Default>(sorted: &[T], percent: usize) -> T {
    let place = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(place).copied().unwrap_or_default()
}
