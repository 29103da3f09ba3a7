//! Counts the incidents that callers reported, by cause.
//!
//! An incident counts for the phase in which it happened. A stalled connection or an unanswered
//! request counts for the phase in which progress stopped, not for the one in which the caller
//! timed out. A connection held by an upstream that the lab itself killed while it was open is
//! counted separately.

use standins::caller::{Incident, Kind, Outcome};
use standins::upstream::Event;

use super::super::figures::Figures;
use super::super::scenario::PhaseKind;
use super::{Evidence, LedgerEntry};

pub(super) fn count(figures: &mut Figures, evidence: &Evidence) {
    for incident in evidence.reports.iter().flat_map(|report| &report.incidents) {
        count_one(figures, evidence, incident);
    }
}

fn count_one(figures: &mut Figures, evidence: &Evidence, incident: &Incident) {
    let made_no_progress = matches!(incident.outcome, Outcome::Stalled | Outcome::Unanswered);
    let broke_at_ms = if made_no_progress { incident.since_ms } else { incident.at_ms };
    let kind = evidence.journal.kind_at(broke_at_ms);
    if incident.outcome == Outcome::WrongService {
        figures.packets_misdelivered += 1;
    }
    if incident.outcome == Outcome::Shed {
        // An explicit refusal. `count_ledger_events` compares refused requests with the ledger.
        return;
    }
    if !incident.established {
        *failed_opening_figure(figures, kind, incident) += 1;
        return;
    }
    if was_held_by_killed_upstream(evidence, incident) {
        figures.flows_lost_with_killed_upstreams += 1;
        return;
    }
    figures.answers_incomplete += u64::from(incident.answer_missing);
    match kind {
        PhaseKind::Planned => figures.flows_broken_by_planned_change += 1,
        PhaseKind::Fault | PhaseKind::Recovered => figures.flows_broken_by_faults += 1,
    }
}

/// Figure under which a failed opening or datagram is counted. A datagram unanswered in planned
/// changes is also counted in `answers_incomplete` here.
fn failed_opening_figure<'a>(
    figures: &'a mut Figures,
    kind: PhaseKind,
    incident: &Incident,
) -> &'a mut u64 {
    use PhaseKind::{Fault, Planned, Recovered};

    match (incident.kind, incident.outcome, kind) {
        (_, _, Recovered) => &mut figures.openings_failed_after_recovery,
        (Kind::Datagram, Outcome::Refused, _) => &mut figures.datagrams_refused,
        (Kind::Datagram, Outcome::Unanswered, Fault) => &mut figures.datagrams_unanswered_in_faults,
        (Kind::Datagram, Outcome::Unanswered, Planned) => {
            figures.answers_incomplete += 1;
            &mut figures.datagrams_unanswered_in_planned_change
        }
        (Kind::Datagram, ..) => &mut figures.answers_incomplete,
        (_, Outcome::Refused, Planned) => &mut figures.openings_refused_in_planned_change,
        (_, Outcome::Refused, Fault) => &mut figures.openings_refused_in_faults,
        (_, _, Planned) => &mut figures.openings_unanswered_in_planned_change,
        (_, _, Fault) => &mut figures.openings_unanswered_in_faults,
    }
}

/// Whether the connection was open at an upstream when the lab killed that upstream.
fn was_held_by_killed_upstream(evidence: &Evidence, incident: &Incident) -> bool {
    let Some(opened) = opening_of(evidence, incident) else { return false };
    evidence.journal.killed.iter().any(|(name, at_ms)| {
        *name == opened.upstream && (opened.row.at_ms..=incident.at_ms).contains(at_ms)
    })
}

/// The last opening by the incident's client before the incident.
fn opening_of<'a>(evidence: &'a Evidence, incident: &Incident) -> Option<&'a LedgerEntry> {
    let is_opening = |entry: &&LedgerEntry| {
        entry.row.at_ms <= incident.at_ms
            && matches!(entry.row.event, Event::Open { client } if client == incident.client)
    };
    evidence.ledger.iter().filter(is_opening).max_by_key(|entry| entry.row.at_ms)
}
