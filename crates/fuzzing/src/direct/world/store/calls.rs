//! Calls of balancers to the configuration service.

use rand::RngExt as _;
use steering::history::History;
use steering::knowledge::{Knowledge, Listing, Outcome, Update};
use steering::membership::{Change as Written, OUTAGE_LINGER_MS, UpstreamRecord};
use steering::revision::Revision;

use super::mutants::{mutate_after, mutate_before, mutate_listing};
use super::{Answer, Change, Store};
use crate::direct::Mutant;
use crate::direct::world::{Balancer, Event, LIST_DELAY_MAX_MS, World, ZONES, zone_stamp};

/// Interval at which a watch without changes ends.
const WATCH_MS: u64 = 1_000;
/// Longest delay of a slow answer.
const SLOW_ANSWER_MAX_MS: u64 = 300;
const SLOW_ANSWER_SHARE: f64 = 0.05;

impl World {
    /// Lets the readers' watches end because of a change.
    pub(super) fn wake_readers(&mut self) {
        for reader in self.readers() {
            self.call_soon(reader);
        }
    }

    /// Ends the watches that have waited for long enough.
    pub(in crate::direct::world) fn end_watches(&mut self) {
        if self.now_ms.is_multiple_of(WATCH_MS) {
            self.wake_readers();
        }
    }

    pub(in crate::direct::world) fn call_soon(&mut self, balancer: usize) {
        let Some(store) = &mut self.store else { return };
        let delay_ms = store.rng.random_range(1..LIST_DELAY_MAX_MS);
        self.schedule(delay_ms, Event::StoreCall(balancer));
    }

    /// A balancer calls the service: it watches from the revision that it knows, or lists everything.
    pub(in crate::direct::world) fn call_store(&mut self, balancer: usize) {
        if !self.exchanges_reports(balancer) {
            return;
        }
        if self.balancers[balancer].is_calling {
            self.balancers[balancer].calls_again = true;
            return;
        }
        let full = self.balancers[balancer].reads_all;
        let after = self.balancers[balancer].knowledge.revision.filter(|_| !full);
        let now_ms = self.now_ms;
        let Some(store) = &mut self.store else { return };
        if store.away_until_ms > now_ms {
            let complete_from_ms = &mut self.balancers[balancer].complete_from_ms;
            *complete_from_ms = (*complete_from_ms).max(now_ms + OUTAGE_LINGER_MS);
            return;
        }
        let slow = store.rng.random_bool(SLOW_ANSWER_SHARE);
        let delay_ms = store.rng.random_range(1..if slow { SLOW_ANSWER_MAX_MS } else { 5 });
        let answer = match after {
            Some(after) if after.number > store.contents.revision => Answer::Refused,
            Some(after) => Answer::Listing(store.changes_after(now_ms, after)),
            None => Answer::Listing(self.whole_list()),
        };
        self.balancers[balancer].is_calling = true;
        self.schedule(delay_ms, Event::StoreAnswers { balancer, answer: Box::new(answer) });
    }

    pub(in crate::direct::world) fn on_store_answer(&mut self, balancer: usize, answer: Answer) {
        self.balancers[balancer].is_calling = false;
        if std::mem::take(&mut self.balancers[balancer].calls_again) {
            self.call_soon(balancer);
        }
        if !self.exchanges_reports(balancer) {
            return;
        }
        let (now_ms, mutant) = (self.now_ms, self.mutant);
        let state = &mut self.balancers[balancer];
        let Answer::Listing(listing) = answer else {
            state.reads_all = true;
            return self.call_soon(balancer);
        };
        let is_whole = listing.after.is_none();
        let outcome = state.apply_listing(now_ms, mutant, listing);
        state.reads_all = matches!(outcome, Outcome::ListNeeded);
        let Outcome::Taken(update) = outcome else { return self.call_soon(balancer) };
        self.adopt_update(balancer, update);
        if is_whole {
            self.call_soon(balancer);
        }
    }

    fn adopt_update(&mut self, balancer: usize, update: Option<Update>) {
        let state = &mut self.balancers[balancer];
        state.store_answered_ms = Some(self.now_ms);
        state.current_at_ms = state.knowledge.current_at_ms();
        self.adopt_knowledge(balancer);
        if let Some(update) = update.filter(|_| self.readers().contains(&balancer)) {
            self.tell_others(balancer, update.delta);
        }
    }

    /// The changes after this revision; `None` if the service is away or lacks them.
    pub(in crate::direct::world) fn available_changes(&self, after: Revision) -> Option<Listing> {
        let store = self.store.as_ref()?;
        let is_available =
            store.away_until_ms <= self.now_ms && after.number <= store.contents.revision;
        is_available.then(|| store.changes_after(self.now_ms, after))
    }

    /// Applies changes that flows in doubt required. If they do not continue what the balancer knows,
    /// it waits for what the readers tell.
    pub(in crate::direct::world) fn take_changes(&mut self, balancer: usize, listing: Listing) {
        let (now_ms, mutant) = (self.now_ms, self.mutant);
        let outcome = self.balancers[balancer].apply_listing(now_ms, mutant, listing);
        if let Outcome::Taken(update) = outcome {
            self.adopt_update(balancer, update);
        }
    }

    /// What a balancer knows at its start: nothing, unless all start together at the beginning.
    pub(in crate::direct::world) fn knowledge_at_start(&self, history: History) -> Knowledge {
        let mut knowledge = Knowledge::new(history);
        if self.now_ms == 0 {
            knowledge.apply_listing(0, self.whole_list());
        }
        knowledge
    }

    /// A balancer that has started calls the service, and the others reply to it.
    pub(in crate::direct::world) fn ask_others(&mut self, balancer: usize) {
        if self.store.is_none() {
            return;
        }
        self.call_soon(balancer);
        for other in (0..self.balancers.len()).filter(|other| *other != balancer) {
            self.tell(other, balancer, None, true);
        }
    }

    /// Everything that the service holds.
    pub(super) fn whole_list(&self) -> Listing {
        let Some(store) = &self.store else { return Listing::default() };
        let entries = store.contents.items.entries.iter().flatten().cloned();
        let listed = entries.chain(self.foreign_entries()).map(Written::Listed);
        let closed = (0..ZONES).filter(|zone| store.contents.items.closed[*zone]);
        let closed = closed.map(|zone| Written::ZoneClosed(zone_stamp(zone)));
        Listing {
            after: None,
            replaces: None,
            revision: store.revision(),
            called_ms: Some(self.now_ms),
            changes: listed.chain(closed).map(|change| self.with_warmup(change)).collect(),
            routes: vec![store.contents.items.routes.clone()],
        }
    }

    /// The change with the remaining warm-up time of the upstream.
    fn with_warmup(&self, change: Written) -> Written {
        match change {
            Written::Listed(record) => {
                let warmup_left_ms = self.cold_for_ms(&record);
                Written::Listed(UpstreamRecord { warmup_left_ms, ..record })
            }
            other => other,
        }
    }
}

impl Balancer {
    fn apply_listing(&mut self, now_ms: u64, mutant: Option<Mutant>, listing: Listing) -> Outcome {
        let listing = mutate_listing(mutant, &self.knowledge, listing);
        mutate_before(mutant, now_ms, &mut self.knowledge, listing.revision);
        let outcome = self.knowledge.apply_listing(now_ms, listing);
        mutate_after(mutant, now_ms, &mut self.knowledge);
        outcome
    }
}

impl Store {
    fn revision(&self) -> Revision {
        Revision { era: self.era, number: self.contents.revision }
    }

    fn changes_after(&self, now_ms: u64, after: Revision) -> Listing {
        let changes = &self.contents.changes;
        let newer = changes.iter().filter(|(number, _)| *number > after.number);
        let (mut changes, mut routes) = (Vec::new(), Vec::new());
        for (_, change) in newer {
            match change {
                Change::Written(change) => changes.push(change.clone()),
                Change::Routes(table) => routes.push(table.clone()),
            }
        }
        let revision = self.revision();
        let called_ms = Some(now_ms);
        Listing { after: Some(after), replaces: None, revision, called_ms, changes, routes }
    }
}
