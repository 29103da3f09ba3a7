//! The published list, and what balancers derive from it: their routes, history and view.

use rand::RngExt as _;
use std::sync::Arc;
use steering::history::History;
use steering::knowledge::Knowledge;
use steering::membership::{Membership, UpstreamRecord};
use steering::view::{Route, RouteTable, Standing, Upstream as Listed, View, ZoneStamp};

use super::overload::SLOTS;
use super::{
    Balancer, Event, LIST_DELAY_MAX_MS, SERVICES, UNCONFIGURED_SERVICE, World, address,
    upstream_of, zone_of, zone_stamp,
};
use crate::direct::Mutant;
use crate::direct::upstream::Upstream;

/// What is published at one moment.
#[derive(Clone, Debug)]
pub(super) struct PublishedList {
    number: u64,
    records: Vec<UpstreamRecord>,
    closed_zones: Vec<ZoneStamp>,
    routes: Arc<RouteTable>,
}

impl World {
    /// The entry that an upstream publishes.
    pub(super) fn entry(&self, upstream: usize) -> UpstreamRecord {
        let Upstream { incarnation, service, draining_since_ms, cold_until_ms, .. } =
            self.upstreams[upstream];
        UpstreamRecord {
            id: format!("u-{upstream}").into(),
            born_ms: incarnation,
            address: address(upstream),
            service: SERVICES[service],
            zone: zone_stamp(zone_of(upstream)),
            draining: draining_since_ms.is_some(),
            warmup_left_ms: cold_until_ms.saturating_sub(self.now_ms),
            slots: if self.size.bursts { SLOTS } else { 7 },
        }
    }

    /// The published entries of upstreams, and for each address an entry by another writer. That
    /// one names a service that does not exist, and must not hide any upstream.
    pub(super) fn published(&self) -> Vec<UpstreamRecord> {
        let listed = self.listed.iter().flatten().map(|record| UpstreamRecord {
            warmup_left_ms: self.cold_for_ms(record),
            ..record.clone()
        });
        listed.chain(self.foreign_entries()).collect()
    }

    /// Entries by another writer, one for each upstream's address.
    pub(super) fn foreign_entries(&self) -> impl Iterator<Item = UpstreamRecord> + '_ {
        (0..self.size.upstreams).map(|upstream| UpstreamRecord {
            id: format!("x-{upstream}").into(),
            born_ms: u64::MAX,
            service: UNCONFIGURED_SERVICE,
            draining: false,
            ..self.entry(upstream)
        })
    }

    /// Remaining warm-up time of an entry: upstreams keep rewriting their entries while they are
    /// cold.
    pub(super) fn cold_for_ms(&self, record: &UpstreamRecord) -> u64 {
        let Upstream { incarnation, cold_until_ms, .. } =
            self.upstreams[upstream_of(record.address)];
        if incarnation == record.born_ms { cold_until_ms.saturating_sub(self.now_ms) } else { 0 }
    }

    /// Publishes the list, which reaches each balancer after a delay of its own.
    pub(super) fn publish(&mut self) {
        if self.store.is_some() {
            return self.write_changes();
        }
        self.list_number += 1;
        for balancer in 0..self.size.balancers {
            let delay_ms = self.rng.random_range(1..LIST_DELAY_MAX_MS);
            self.schedule(delay_ms, Event::ListArrives(balancer));
        }
    }

    pub(super) fn receive_list(&mut self, balancer: usize) {
        let Balancer { cut_until_ms, lists_delayed_until_ms, .. } = self.balancers[balancer];
        if cut_until_ms > self.now_ms {
            return;
        }
        if self.store.is_some() {
            return self.call_store(balancer);
        }
        if lists_delayed_until_ms <= self.now_ms {
            self.take_list(balancer, &self.published_list());
        }
    }

    /// What is published now.
    pub(super) fn published_list(&self) -> PublishedList {
        let closed = self.closed_since_ms.iter().zip(0..).filter(|(since, _)| since.is_some());
        PublishedList {
            number: self.list_number,
            records: self.published(),
            closed_zones: closed.map(|(_, zone)| zone_stamp(zone)).collect(),
            routes: Arc::clone(&self.routes),
        }
    }

    /// A balancer takes a list unless it has a newer one.
    pub(super) fn take_list(&mut self, balancer: usize, list: &PublishedList) {
        if list.number < self.balancers[balancer].list_number {
            return;
        }
        self.balancers[balancer].list_number = list.number;
        let mut membership = std::mem::take(&mut self.balancers[balancer].knowledge.membership);
        self.fill_membership(&mut membership, list);
        membership.expire(self.now_ms);
        self.update_routes(balancer, &list.routes);
        self.balancers[balancer].knowledge.membership = membership;
        self.rebuild_view(balancer);
        self.note(|world| world.list_taken(balancer));
    }

    /// Updates a balancer's routes. Versions that were published while it was cut off are known to
    /// other balancers only.
    fn update_routes(&mut self, balancer: usize, published: &Arc<RouteTable>) {
        if self.mutant == Some(Mutant::OldRoutesKept) {
            return;
        }
        let now_ms = self.now_ms;
        let Knowledge { routes, history, .. } = &self.balancers[balancer].knowledge;
        let old = Arc::clone(routes);
        let mut history = History::clone(history);
        let skips_versions = published.version > old.version + 1;
        if skips_versions {
            history.on_gap(now_ms);
        }
        if published.version > old.version {
            history.on_routes(now_ms, &old, published);
        }
        if self.mutant == Some(Mutant::HistoryNotLearnt) {
            history = History::default();
        } else {
            let current_at_ms = self.balancers[balancer].current_at_ms;
            let current_until_ms = if skips_versions { current_at_ms } else { now_ms };
            self.learn_from_readers(balancer, &mut history, current_until_ms, published);
        }
        let learner = &mut self.balancers[balancer].knowledge;
        learner.routes = Arc::clone(published);
        learner.history = Arc::new(history);
    }

    /// Merges what the balancers that can be reached know of services that routes have left: a
    /// starting balancer asks all of them.
    pub(super) fn learn_at_start(&self, history: &mut History) {
        if self.mutant == Some(Mutant::HistoryNotLearnt) {
            *history = History::default();
            return;
        }
        let connected = |peer: &Balancer| peer.up && peer.cut_until_ms <= self.now_ms;
        for peer in (0..self.balancers.len()).filter(|peer| connected(&self.balancers[*peer])) {
            self.merge_if_behind(history, 0, &self.routes, peer);
        }
    }

    /// Merges the history of another balancer if that contains anything which this one lacks.
    /// `routes` are those in force at the learner.
    pub(super) fn merge_if_behind(
        &self,
        history: &mut History,
        current_until_ms: u64,
        routes: &RouteTable,
        peer: usize,
    ) {
        let peer = &self.balancers[peer].knowledge;
        if history.is_behind(self.now_ms, peer.history.summary(self.now_ms)) {
            let contents = peer.history.contents(self.now_ms, peer.routes.version);
            history.merge(self.now_ms, current_until_ms, routes, &contents);
        }
    }

    /// Rebuilds a balancer's view from its list, routes and history.
    pub(super) fn rebuild_view(&mut self, balancer: usize) {
        self.balancers[balancer].view = self.view_of(&self.balancers[balancer].knowledge);
    }

    pub(super) fn fill_membership(&self, membership: &mut Membership, list: &PublishedList) {
        let mut closed = list.closed_zones.clone();
        if self.mutant == Some(Mutant::ZoneNeverOpened) {
            closed.extend(membership.closed_zones());
        }
        membership.replace(self.now_ms, &list.records, closed);
    }

    /// The view that a balancer derives from its list, without the safeguard that the mutant
    /// removes.
    pub(super) fn view_of(&self, knowledge: &Knowledge) -> View {
        let Knowledge { membership, routes, history, .. } = knowledge;
        let routes = match self.mutant {
            Some(Mutant::RegionIgnored) => Arc::new(without_regions(routes)),
            _ => Arc::clone(routes),
        };
        let history = match self.mutant {
            Some(Mutant::FormerServicesForgotten) => Arc::default(),
            _ => Arc::clone(history),
        };
        let view = membership.view_since(Arc::clone(&routes), Arc::clone(&history));
        let listed =
            view.upstreams().iter().filter_map(|upstream| apply_mutant(*upstream, self.mutant));
        let closed = match self.mutant {
            Some(Mutant::ClosedZoneIgnored) => Vec::new(),
            _ => view.closed_zones().to_vec(),
        };
        let regions = Arc::clone(&self.regions);
        View::new(routes, listed.collect())
            .with_closed_zones(closed)
            .with_regions(regions)
            .with_history(history)
    }
}

fn without_regions(table: &RouteTable) -> RouteTable {
    let free = |route: &Route| Route { regions: [].into(), ..route.clone() };
    let routes = table.routes().iter().map(free).collect();
    RouteTable::new(table.version, routes, table.services().iter().copied())
}

/// An upstream as a balancer without the removed safeguard sees it.
fn apply_mutant(upstream: Listed, mutant: Option<Mutant>) -> Option<Listed> {
    match (mutant, upstream.standing) {
        (Some(Mutant::MissingForgotten), Standing::Missing { .. }) => None,
        (Some(Mutant::DrainIgnored), Standing::Draining) => {
            Some(Listed { standing: Standing::Ready, ..upstream })
        }
        _ => Some(upstream),
    }
}
