//! The configuration service of a world in which it comes back from older copies.
//!
//! In such a world, balancers learn of changes as in the processes: a few of them read the service,
//! the others hear from these. In all other worlds, each balancer receives the published list.

mod calls;
mod mutants;
mod reports;

use std::sync::Arc;

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use steering::knowledge::{Listing, ViewContents};
use steering::membership::{Change as Written, Delta, UpstreamRecord};
use steering::peers::Summary;
use steering::view::RouteTable;

use super::{Event, PROPAGATION_MS, SETTLE_MS, World, ZONES, zone_stamp};

/// Oldest copy from which the service comes back.
const COPY_AGE_MAX_MS: u64 = 8_000;
/// Longest time for which the service is away before it comes back.
const AWAY_MAX_MS: u64 = 700;
/// Time within which upstreams and operators have written again what the copy lacks.
const REWRITTEN_WITHIN_MS: u64 = 2_000;
/// Time after which the entry of an upstream that has left runs out, if the copy contains it.
const LAPSE_MS: std::ops::Range<u64> = 3_600..8_100;
/// Time for which entries of running upstreams may be missing. Balancers that have lost their memory
/// cannot know of these.
const LAPSED_WITHIN_MS: u64 = 2_000;
/// Share of returns that are soon followed by another one.
const AGAIN_SHARE: f64 = 0.3;
/// Share of returns at which a balancer restarts, where they do.
const RESTARTS_SHARE: f64 = 0.6;
/// Time within which readers have learned of a change.
const LEARNED_WITHIN_MS: u64 = 150;
/// Time during which a balancer may pass over upstreams after a return, because it was told of it
/// late and holds on to what the copy lacks.
const PASSED_OVER_AFTER_RETURN_MS: u64 = 8_000;

/// An item of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Item {
    Entry(usize),
    Zone(usize),
    Routes,
}

/// The values of all items.
#[derive(Clone, PartialEq)]
struct Items {
    entries: Vec<Option<UpstreamRecord>>,
    closed: [bool; ZONES],
    routes: Arc<RouteTable>,
}

impl Items {
    fn all(&self) -> impl Iterator<Item = Item> + use<> {
        let entries = (0..self.entries.len()).map(Item::Entry);
        entries.chain((0..ZONES).map(Item::Zone)).chain([Item::Routes])
    }

    fn differs(&self, other: &Self, item: Item) -> bool {
        match item {
            Item::Entry(upstream) => self.entries[upstream] != other.entries[upstream],
            Item::Zone(zone) => self.closed[zone] != other.closed[zone],
            Item::Routes => self.routes.version != other.routes.version,
        }
    }

    fn take(&mut self, other: &Self, item: Item) {
        match item {
            Item::Entry(upstream) => self.entries[upstream].clone_from(&other.entries[upstream]),
            Item::Zone(zone) => self.closed[zone] = other.closed[zone],
            Item::Routes => self.routes = Arc::clone(&other.routes),
        }
    }
}

/// What the service holds, with the changes that led there.
#[derive(Clone)]
struct Contents {
    revision: u64,
    items: Items,
    changes: Vec<(u64, Change)>,
}

/// A recorded change.
#[derive(Clone)]
enum Change {
    Written(Written),
    Routes(Arc<RouteTable>),
}

impl Contents {
    fn write(&mut self, item: Item, values: &Items) {
        self.items.take(values, item);
        self.revision += 1;
        let zone = zone_stamp;
        let change = match item {
            Item::Entry(upstream) => Change::Written(match &self.items.entries[upstream] {
                Some(record) => Written::Listed(record.clone()),
                None => Written::Gone(format!("u-{upstream}").into()),
            }),
            Item::Zone(index) if self.items.closed[index] => {
                Change::Written(Written::ZoneClosed(zone(index)))
            }
            Item::Zone(index) => Change::Written(Written::ZoneOpened(zone(index))),
            Item::Routes => Change::Routes(Arc::clone(&self.items.routes)),
        };
        self.changes.push((self.revision, change));
    }
}

/// When the service was away and came back from a copy.
#[derive(Clone, Copy, Debug)]
struct Return {
    away_from_ms: u64,
    at_ms: u64,
}

/// The service.
pub(super) struct Store {
    rng: Pcg64Mcg,
    era: u64,
    contents: Contents,
    /// What upstreams and operators have written last, whether the service still has it or not.
    written: Items,
    /// What the service held after each change, with the time of the change.
    copies: Vec<(u64, Contents)>,
    away_until_ms: u64,
    returns: Vec<Return>,
    /// When a balancer started and no other one could tell it what had gone before.
    memory_lost_ms: Vec<u64>,
}

/// What a balancer that reads the service tells another one.
#[derive(Clone, Debug)]
pub(super) struct ReaderReport {
    from: usize,
    summary: Summary,
    delta: Option<Delta>,
    view: ViewContents,
    /// Whether it replies to a balancer that has started, or tells a reader what that lacks.
    corrects: bool,
}

/// An answer of the service on its way.
#[derive(Clone, Debug)]
pub(super) enum Answer {
    Listing(Listing),
    /// The service lacks the changes after the revision of the call.
    Refused,
}

impl World {
    /// Sets up the service with what is published at the beginning.
    pub(super) fn start_store(&mut self, seed: u64) {
        let written = self.published_items();
        let contents = Contents { revision: 1, items: written.clone(), changes: Vec::new() };
        self.store = Some(Store {
            rng: Pcg64Mcg::seed_from_u64(seed.rotate_left(17)),
            era: 1,
            copies: vec![(0, contents.clone())],
            contents,
            written,
            away_until_ms: 0,
            returns: Vec::new(),
            memory_lost_ms: Vec::new(),
        });
    }

    fn published_items(&self) -> Items {
        Items {
            entries: self.listed.clone(),
            closed: self.closed_since_ms.map(|since| since.is_some()),
            routes: Arc::clone(&self.routes),
        }
    }

    /// Writes all items that have changed, unless the service is away.
    pub(super) fn write_changes(&mut self) {
        let now_ms = self.now_ms;
        let current = self.published_items();
        let Some(store) = &mut self.store else { return };
        if store.away_until_ms > now_ms {
            return;
        }
        let changed: Vec<Item> =
            current.all().filter(|item| current.differs(&store.written, *item)).collect();
        changed.iter().for_each(|item| store.contents.write(*item, &current));
        store.written = current;
        if !changed.is_empty() {
            store.copies.push((now_ms, store.contents.clone()));
            store.copies.retain(|(at_ms, _)| at_ms + 2 * COPY_AGE_MAX_MS >= now_ms);
            self.wake_readers();
        }
    }

    /// Writes an item again if the service has an older value of it.
    pub(super) fn write_again(&mut self, item: Item) {
        let now_ms = self.now_ms;
        let Some(store) = &mut self.store else { return };
        if store.away_until_ms > now_ms {
            self.schedule(AWAY_MAX_MS, Event::WriteAgain(item));
            return;
        }
        if store.written.differs(&store.contents.items, item) {
            let Store { contents, written, .. } = store;
            contents.write(item, written);
            store.copies.push((now_ms, store.contents.clone()));
            self.wake_readers();
        }
    }

    /// The service goes away for a moment, or not noticeably, before it comes back from a copy.
    pub(super) fn lose_store(&mut self) {
        let now_ms = self.now_ms;
        let Some(store) = &mut self.store else { return };
        if store.away_until_ms > now_ms {
            return;
        }
        let away_ms = match store.rng.random_range(0..3) {
            0 => 0,
            _ => store.rng.random_range(100..AWAY_MAX_MS),
        };
        store.away_until_ms = now_ms + away_ms;
        store.returns.push(Return { away_from_ms: now_ms, at_ms: now_ms + away_ms });
        self.disturbed_until_ms = self.disturbed_until_ms.max(now_ms + away_ms);
        self.schedule(away_ms, Event::StoreReturns);
        if away_ms > 0 {
            self.wake_readers();
        }
    }

    /// The service comes back from a copy. What this lacks is written again soon; entries of
    /// upstreams that have left run out.
    pub(super) fn restore_store(&mut self) {
        let now_ms = self.now_ms;
        let Some(store) = &mut self.store else { return };
        let away_from_ms = store.returns.last().map_or(now_ms, |last| last.away_from_ms);
        let taken_ms = away_from_ms.saturating_sub(store.rng.random_range(300..COPY_AGE_MAX_MS));
        let older = store.copies.partition_point(|(at_ms, _)| *at_ms <= taken_ms).max(1);
        store.copies.truncate(older);
        store.contents.clone_from(&store.copies[older - 1].1);
        store.era += 1;
        let (held, written) = (&store.contents.items, &store.written);
        let lost: Vec<Item> = written.all().filter(|item| held.differs(written, *item)).collect();
        for item in lost {
            let Some(store) = &mut self.store else { return };
            let is_left =
                matches!(item, Item::Entry(upstream) if store.written.entries[upstream].is_none());
            let within_ms = if is_left { LAPSE_MS } else { 50..REWRITTEN_WITHIN_MS - 100 };
            let delay_ms = store.rng.random_range(within_ms);
            self.schedule(delay_ms, Event::WriteAgain(item));
        }
        self.restart_at_return();
        let Some(store) = &mut self.store else { return };
        if store.rng.random_bool(AGAIN_SHARE) {
            let delay_ms = store.rng.random_range(300..2_500);
            self.schedule(delay_ms, Event::LoseStore);
        }
        self.write_changes();
    }

    /// Restarts a balancer, which learns what the copy lacks from the others only.
    fn restart_at_return(&mut self) {
        let balancers = self.size.balancers;
        let Some(store) = self.store.as_mut().filter(|_| self.size.restarts_at_returns) else {
            return;
        };
        if store.rng.random_bool(RESTARTS_SHARE) {
            let balancer = store.rng.random_range(0..balancers);
            self.restart_balancer(balancer);
        }
    }

    /// When a change that was published then counts as acknowledged for good: what a returning
    /// service has lost before anybody could learn of it, or while nobody remembered, counts from
    /// when it is written again.
    pub(super) fn acknowledged_ms(&self, published_ms: u64) -> u64 {
        let Some(store) = &self.store else { return published_ms };
        store.returns.iter().fold(published_ms, |at_ms, returned| {
            let Return { away_from_ms, at_ms: returned_ms } = *returned;
            let rewritten_ms = returned_ms + REWRITTEN_WITHIN_MS;
            let unlearned = at_ms + LEARNED_WITHIN_MS > away_from_ms;
            let forgotten_from_ms = away_from_ms.saturating_sub(LAPSED_WITHIN_MS);
            let forgotten = forgotten_from_ms..=rewritten_ms;
            let forgotten = store.memory_lost_ms.iter().any(|at| forgotten.contains(at));
            let is_lost = at_ms <= returned_ms && (unlearned || forgotten);
            if is_lost { at_ms.max(rewritten_ms) } else { at_ms }
        })
    }

    /// Whether balancers may pass over upstreams because of a recent return.
    pub(super) fn has_returned_recently(&self) -> bool {
        let last = self.store.as_ref().and_then(|store| store.returns.last());
        last.is_some_and(|last| self.now_ms < last.at_ms + PASSED_OVER_AFTER_RETURN_MS)
    }

    /// Records that a starting balancer cannot ask any other one for what went before.
    pub(super) fn note_memory_lost(&mut self) {
        let (now_ms, lost) = (self.now_ms, self.no_peer_can_tell());
        if let Some(store) = self.store.as_mut().filter(|_| lost) {
            store.memory_lost_ms.push(now_ms);
        }
    }

    /// Whether a starting balancer reaches no other one that knows what went before.
    pub(super) fn no_peer_can_tell(&self) -> bool {
        let can_tell = |peer: &usize| {
            let alone = self.balancers[*peer].started_alone_ms;
            self.exchanges_reports(*peer) && alone.is_none_or(|at| self.now_ms - at >= SETTLE_MS)
        };
        !(0..self.balancers.len()).any(|peer| can_tell(&peer))
    }

    /// Whether a change at this time is in force at all connected balancers by now.
    pub(super) fn is_in_force(&self, since_ms: Option<u64>) -> bool {
        since_ms.is_some_and(|at_ms| self.now_ms > self.acknowledged_ms(at_ms) + PROPAGATION_MS)
    }
}
