//! Removal of the safeguards that a return of the configuration service needs.

use std::sync::Arc;

use steering::flow::Millis;
use steering::knowledge::{Knowledge, Listing};
use steering::membership::{COPY_HOLD_MS, Held, Membership, UpstreamRecord};
use steering::revision::Revision;
use steering::view::RouteTable;

use super::ReaderReport;
use crate::direct::Mutant;

/// The answer of the service as a balancer without the removed safeguard takes it.
pub(super) fn mutate_listing(
    mutant: Option<Mutant>,
    known: &Knowledge,
    listing: Listing,
) -> Listing {
    let Revision { era, number } = listing.revision;
    let known_era = known.revision.unwrap_or_default().era;
    let era = match mutant {
        Some(Mutant::EraIgnored) => 0,
        Some(Mutant::CopyContinued) if listing.after.is_some() => known_era,
        _ => era,
    };
    Listing { revision: Revision { era, number }, ..listing }
}

/// The report of another balancer as one without the removed safeguard sends it.
pub(super) fn mutate_report(mutant: Option<Mutant>, mut report: ReaderReport) -> ReaderReport {
    if mutant == Some(Mutant::HeldNotTold) {
        report.summary.held_digest = 0;
        report.view.held = Held::default();
    }
    report
}

/// What a balancer knows before it hears of a later era, without the removed safeguard.
pub(super) fn mutate_before(
    mutant: Option<Mutant>,
    now_ms: Millis,
    known: &mut Knowledge,
    next: Revision,
) {
    if known.revision.is_none_or(|revision| next.era <= revision.era) {
        return;
    }
    match mutant {
        Some(Mutant::RoutesTakenBack) => {
            let table = &known.routes;
            let services = table.services().iter().copied();
            known.routes = Arc::new(RouteTable::new(0, table.routes().to_vec(), services));
        }
        Some(Mutant::DrainTakenBack) => {
            let ready = |record| UpstreamRecord { draining: false, ..record };
            let records: Vec<UpstreamRecord> =
                known.membership.records(now_ms).into_iter().map(ready).collect();
            let closed = known.membership.closed_zones().to_vec();
            known.membership = Membership::default();
            known.membership.replace(now_ms, &records, closed);
        }
        _ => {}
    }
}

/// What a balancer knows after it has heard of a later era, without the removed safeguard.
pub(super) fn mutate_after(mutant: Option<Mutant>, now_ms: Millis, known: &mut Knowledge) {
    if mutant == Some(Mutant::CopyTakenWhole) {
        known.membership.expire(now_ms + COPY_HOLD_MS);
    }
}
