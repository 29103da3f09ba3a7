//! Removal of the safeguards that a return of the configuration service needs.

use std::sync::Arc;

use steering::knowledge::{Knowledge, Listing};
use steering::membership::{COPY_HOLD_MS, Held, Membership, UpstreamRecord};
use steering::revision::Revision;
use steering::view::RouteTable;

use super::ReaderReport;
use crate::direct::Mutant;
use crate::direct::world::World;

impl World {
    /// The answer of the service as a balancer without the removed safeguard takes it.
    pub(super) fn mutate_listing(&self, known: &Knowledge, mut listing: Listing) -> Listing {
        match self.mutant {
            Some(Mutant::EraIgnored) => listing.revision = without_era(listing.revision),
            Some(Mutant::CopyContinued) if listing.after.is_some() => {
                let era = known.revision.unwrap_or_default().era;
                listing.revision = Revision { era, ..listing.revision };
            }
            _ => {}
        }
        listing
    }

    /// The report of another balancer as one without the removed safeguard sends it.
    pub(super) fn mutate_report(&self, mut report: ReaderReport) -> ReaderReport {
        if self.mutant == Some(Mutant::HeldNotTold) {
            report.summary.held_digest = 0;
            report.view.iter_mut().for_each(|view| view.held = Held::default());
        }
        report
    }

    /// What a balancer knows before it hears of a later era, without the removed safeguard.
    pub(super) fn mutate_before(&self, known: &mut Knowledge, next: Revision) {
        if known.revision.is_none_or(|revision| next.era <= revision.era) {
            return;
        }
        match self.mutant {
            Some(Mutant::RoutesTakenBack) => {
                let table = &known.routes;
                let services = table.services().iter().copied();
                known.routes = Arc::new(RouteTable::new(0, table.routes().to_vec(), services));
            }
            Some(Mutant::DrainTakenBack) => {
                let ready = |record| UpstreamRecord { draining: false, ..record };
                let records = known.membership.records(self.now_ms).into_iter().map(ready);
                let closed = known.membership.closed_zones().to_vec();
                known.membership = Membership::default();
                known.membership.replace(self.now_ms, &records.collect::<Vec<_>>(), closed);
            }
            _ => {}
        }
    }

    /// What a balancer knows after it has heard of a later era, without the removed safeguard.
    pub(super) fn mutate_after(&self, known: &mut Knowledge) {
        if self.mutant == Some(Mutant::CopyTakenWhole) {
            known.membership.expire(self.now_ms + COPY_HOLD_MS);
        }
    }
}

fn without_era(revision: Revision) -> Revision {
    Revision { era: 0, ..revision }
}
