//! What changes in the world, and how its parts learn of it.

use rand::RngExt as _;
use std::sync::Arc;
use steering::edge::{Trust, Verdict};
use steering::history::History;
use steering::membership::{Membership, OUTAGE_LINGER_MS, UpstreamRecord};
use steering::side::AgentCore;
use steering::view::{Route, RouteTable, Standing, Upstream as Listed, View};

use super::{
    BLANK, Balancer, CALM_MS, CHANGE_MS, COLD_MS, Event, FOREIGN_SERVICE, SERVICES, SPLITS, Size,
    TICK_MS, World, ZONES, address, balancer_number, route, stamp, upstream_of, zone_of,
};
use crate::direct::upstream::Upstream;
use crate::direct::{Change, Mutant, plan};

/// Time until the address of an upstream that has left is used again.
const REUSE_MS: u64 = 2_000;
/// The same where nothing waits for the instance: longer than its entry lingers.
const LATE_REUSE_MS: u64 = 7_000;

/// Of so many upstreams of a service that is scaled in, one leaves.
const SCALED_IN: usize = 3;

impl World {
    pub(super) fn tick(&mut self) {
        self.at(TICK_MS, Event::Tick);
        for balancer in 0..self.size.balancers {
            self.tick_balancer(balancer);
        }
        for upstream in 0..self.size.upstreams {
            self.tick_agent(upstream);
        }
    }

    fn tick_agent(&mut self, upstream: usize) {
        let Some(side) = &mut self.agents[upstream] else { return };
        side.on_tick(self.now_ms);
        for balancer in side.take_due_replies(self.now_ms) {
            self.say(balancer_number(balancer), upstream, Verdict::Alive, BLANK);
        }
    }

    fn tick_balancer(&mut self, balancer: usize) {
        let mutant = self.mutant;
        let Balancer {
            edge,
            view,
            up,
            paused_until_ms,
            cut_until_ms,
            whole_from_ms,
            confirmed_ms,
            ..
        } = &mut self.balancers[balancer];
        if !*up || *paused_until_ms > self.now_ms {
            return;
        }
        if *cut_until_ms <= self.now_ms {
            *confirmed_ms = self.now_ms;
        }
        let forgets = mutant == Some(Mutant::MissingForgotten);
        let complete_from_ms = if forgets { 0 } else { *whole_from_ms };
        edge.set_trust(Trust { confirmed_ms: *confirmed_ms, complete_from_ms });
        let pings = edge.take_pings(self.now_ms, view);
        let mut actions = Vec::new();
        edge.on_tick(self.now_ms, view, &mut actions);
        for (bytes, action) in actions {
            let index = u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]);
            let packet = self.packets[index as usize];
            self.apply(balancer, packet, vec![action]);
        }
        for agent in pings {
            let upstream = upstream_of(agent);
            let delay_ms = self.hop();
            self.at(delay_ms, Event::Ping { balancer, upstream });
        }
    }

    pub(super) fn change(&mut self) {
        let delay_ms = self.rng.random_range(1..2 * CHANGE_MS);
        // Now and then the world is left alone, so that what must calm down can be judged.
        let pause_ms = if self.rng.random_bool(0.05) { 2 * CALM_MS } else { 0 };
        self.at(delay_ms + pause_ms, Event::Change);
        let Size { balancers, upstreams, rough, moving, long_answers, .. } = self.size;
        let moved = if moving { plan::draw_move(&mut self.rng) } else { None };
        let change = moved.unwrap_or_else(|| match (long_answers, rough) {
            (true, _) => plan::draw_planned(&mut self.rng, upstreams),
            (false, true) => plan::draw_rough(&mut self.rng, balancers, upstreams),
            (false, false) => plan::draw(&mut self.rng, balancers, upstreams),
        });
        let planned = matches!(
            change,
            Change::Reshuffle
                | Change::DrainUpstream(_)
                | Change::ScaleIn(_)
                | Change::CloseZone(_)
                | Change::MoveRoute(_)
        );
        if !planned {
            self.disturbed_ms = self.disturbed_ms.max(self.now_ms);
        }
        self.outcome.played.push((self.now_ms, change));
        self.play(change);
    }

    fn play(&mut self, change: Change) {
        match change {
            Change::Reshuffle => self.salt = self.rng.random(),
            Change::RestartBalancer(balancer) => self.restart_balancer(balancer),
            Change::CutBalancer(balancer) => {
                let for_ms = self.rng.random_range(500..15_000);
                self.balancers[balancer].cut_until_ms = self.now_ms + for_ms;
                self.disturbed_ms = self.disturbed_ms.max(self.now_ms + for_ms);
                self.at(for_ms, Event::List(balancer));
            }
            Change::PauseBalancer(balancer) => {
                let for_ms = self.rng.random_range(100..4_000);
                let until_ms = &mut self.balancers[balancer].paused_until_ms;
                // What has come meanwhile waits until the end of the longest pause.
                *until_ms = (*until_ms).max(self.now_ms + for_ms);
                self.disturbed_ms = self.disturbed_ms.max(self.now_ms + for_ms);
            }
            Change::RestartAgent(upstream) => self.restart_agent(upstream),
            Change::CrashUpstream(upstream) => {
                if self.upstreams[upstream].leaving_ms.is_none() {
                    self.upstreams[upstream].end();
                    let delay_ms = self.rng.random_range(200..3_000);
                    self.at(delay_ms, Event::StartUpstream(upstream));
                }
            }
            Change::DrainUpstream(upstream) => self.drain(upstream),
            Change::ScaleIn(service) => self.scale_in(service),
            Change::Lapse => self.lapse(),
            Change::LoseAllMemory => {
                (0..self.size.balancers).for_each(|balancer| self.restart_balancer(balancer));
                (0..self.size.upstreams).for_each(|upstream| self.restart_agent(upstream));
            }
            Change::KillInstance(upstream) => self.kill_instance(upstream),
            Change::CutAgent(upstream) => {
                let for_ms = self.rng.random_range(300..3_000);
                self.away_until_ms[upstream] = self.now_ms + for_ms;
                self.disturbed_ms = self.disturbed_ms.max(self.now_ms + for_ms);
            }
            Change::SlowUpstream(upstream) => {
                let for_ms = self.rng.random_range(500..4_000);
                self.upstreams[upstream].slow_until_ms = self.now_ms + for_ms;
                self.disturbed_ms = self.disturbed_ms.max(self.now_ms + for_ms);
            }
            Change::LosePower => self.lose_power(),
            Change::CloseZone(zone) => self.close_zone(zone),
            Change::MoveRoute(endpoint) => self.move_route(endpoint),
        }
    }

    /// A new configuration, which is in force at each balancer with its next list.
    fn move_route(&mut self, endpoint_number: usize) {
        let shares = SPLITS[self.rng.random_range(0..SPLITS.len())];
        for (until_ms, weight) in self.led_until_ms[endpoint_number].iter_mut().zip(shares) {
            *until_ms = match *until_ms {
                _ if weight > 0 => u64::MAX,
                u64::MAX => self.now_ms,
                left_ms => left_ms,
            };
        }
        let moved = route(endpoint_number, shares);
        let others = self.routes.routes().iter().filter(|route| route.endpoint != moved.endpoint);
        let routes = others.cloned().chain([moved.clone()]).collect();
        let services = self.routes.services().iter().copied();
        self.routes = Arc::new(RouteTable::new(self.routes.version + 1, routes, services));
        self.publish();
    }

    /// At least one zone stays open.
    fn close_zone(&mut self, zone: usize) {
        let closed = self.closed_since_ms.iter().flatten().count();
        if self.closed_since_ms[zone].is_some() || closed + 1 >= ZONES {
            return;
        }
        self.closed_since_ms[zone] = Some(self.now_ms);
        self.publish();
        let for_ms = self.rng.random_range(1_000..10_000);
        self.at(for_ms, Event::OpenZone(zone));
    }

    pub(super) fn open_zone(&mut self, zone: usize) {
        self.closed_since_ms[zone] = None;
        self.opened_since_ms[zone] = self.now_ms;
        self.publish();
    }

    /// The upstream's entry lapses after some seconds; then it starts anew, with its agent.
    fn kill_instance(&mut self, upstream: usize) {
        if self.upstreams[upstream].leaving_ms.is_some() || self.upstreams[upstream].boot == 0 {
            return;
        }
        let boot = self.upstreams[upstream].boot;
        self.upstreams[upstream].end();
        self.agents[upstream] = None;
        let lapse_ms = self.rng.random_range(2_000..8_000);
        self.disturbed_ms = self.disturbed_ms.max(self.now_ms + lapse_ms);
        self.at(lapse_ms, Event::LapseEntry { upstream, boot });
    }

    pub(super) fn lapse_entry(&mut self, upstream: usize, boot: u64) {
        if self.listed[upstream].as_ref().is_some_and(|record| record.born_ms == boot) {
            self.listed[upstream] = None;
            self.publish();
        }
        self.at(500, Event::StartAgent(upstream));
        self.at(501, Event::StartUpstream(upstream));
    }

    fn lose_power(&mut self) {
        (0..self.size.balancers).for_each(|balancer| self.restart_balancer(balancer));
        for upstream in 0..self.size.upstreams {
            if self.rng.random_bool(0.04) {
                self.kill_instance(upstream);
            } else if self.upstreams[upstream].leaving_ms.is_none() {
                self.upstreams[upstream].end();
                self.restart_agent(upstream);
                let delay_ms = self.rng.random_range(800..1_500);
                self.at(delay_ms, Event::StartUpstream(upstream));
            }
        }
    }

    /// What waits for a process is lost with it.
    fn restart_balancer(&mut self, balancer: usize) {
        self.balancers[balancer].up = false;
        self.events.retain(|_, event| !event.is_for(balancer));
        let delay_ms = self.rng.random_range(100..800);
        self.at(delay_ms, Event::StartBalancer(balancer));
    }

    fn restart_agent(&mut self, upstream: usize) {
        self.agents[upstream] = None;
        let delay_ms = self.rng.random_range(100..800);
        self.at(delay_ms, Event::StartAgent(upstream));
    }

    pub(super) fn start_agent(&mut self, upstream: usize) {
        let away_until_ms = &mut self.away_until_ms[upstream];
        *away_until_ms = (*away_until_ms).max(self.now_ms);
        self.agents[upstream] = Some(AgentCore::new(SERVICES[self.upstreams[upstream].service]));
    }

    pub(super) fn start_upstream(&mut self, upstream: usize, service: usize) {
        self.boots += 1;
        self.upstreams[upstream].start(self.boots, service);
        if self.now_ms > 0 {
            self.upstreams[upstream].cold_until_ms = self.now_ms + COLD_MS;
        }
        self.listed[upstream] = Some(self.entry(upstream));
    }

    fn scale_in(&mut self, service: usize) {
        let first = self.rng.random_range(0..SCALED_IN);
        let leaving = (first..self.size.upstreams).step_by(SCALED_IN);
        let leaving: Vec<usize> =
            leaving.filter(|upstream| self.upstreams[*upstream].service == service).collect();
        leaving.into_iter().for_each(|upstream| self.drain(upstream));
    }

    /// At least two upstreams of a service stay, as operators keep it.
    fn drain(&mut self, upstream: usize) {
        let service = self.upstreams[upstream].service;
        let staying = |other: &&Upstream| {
            other.service == service && other.leaving_ms.is_none() && other.boot > 0
        };
        let leaves = self.upstreams[upstream].leaving_ms.is_some();
        if leaves || self.upstreams.iter().filter(staying).count() < 3 {
            return;
        }
        self.upstreams[upstream].leaving_ms = Some(self.now_ms);
        if let Some(record) = &mut self.listed[upstream] {
            record.draining = true;
        }
        self.publish();
        let delay_ms = self.rng.random_range(3_500..6_000);
        self.at(delay_ms, Event::EndUpstream(upstream));
    }

    /// The address goes to the other service after some seconds, with an agent of its own.
    pub(super) fn end_upstream(&mut self, upstream: usize) {
        if !self.upstreams[upstream].is_empty() && self.rng.random_bool(0.5) {
            self.at(500, Event::EndUpstream(upstream));
            return;
        }
        self.upstreams[upstream].end();
        self.agents[upstream] = None;
        self.listed[upstream] = None;
        self.publish();
        let service = 1 - self.upstreams[upstream].service;
        self.upstreams[upstream].service = service;
        self.upstreams[upstream].leaving_ms = None;
        let reused_ms = if self.size.long_answers { LATE_REUSE_MS } else { REUSE_MS };
        self.at(reused_ms, Event::StartAgent(upstream));
        self.at(reused_ms + 1, Event::StartUpstream(upstream));
    }

    /// Entries of upstreams that live go, and come back within two seconds. Balancers notice the
    /// outage that is behind it: they cannot reach the configuration service.
    fn lapse(&mut self) {
        for upstream in 0..self.size.upstreams {
            if self.upstreams[upstream].boot > 0 && self.rng.random_bool(0.5) {
                self.listed[upstream] = None;
                let delay_ms = self.rng.random_range(100..2_000);
                self.at(delay_ms, Event::Relist(upstream));
            }
        }
        for balancer in &mut self.balancers {
            balancer.whole_from_ms = self.now_ms + OUTAGE_LINGER_MS;
        }
        self.publish();
    }

    pub(super) fn relist(&mut self, upstream: usize) {
        if self.upstreams[upstream].boot == 0 || self.listed[upstream].is_some() {
            return;
        }
        self.listed[upstream] = Some(self.entry(upstream));
        self.publish();
    }

    /// What an upstream says of itself.
    fn entry(&self, upstream: usize) -> UpstreamRecord {
        let Upstream { boot, service, leaving_ms, cold_until_ms, .. } = self.upstreams[upstream];
        UpstreamRecord {
            id: format!("u-{upstream}").into(),
            born_ms: boot,
            address: address(upstream),
            service: SERVICES[service],
            zone: stamp(zone_of(upstream)),
            draining: leaving_ms.is_some(),
            warmup_left_ms: cold_until_ms.saturating_sub(self.now_ms),
            slots: 7,
        }
    }

    /// The entries of upstreams, and for each address one that another writer has put there: it names a
    /// service that there is not, and must hide nobody.
    pub(super) fn published(&self) -> Vec<UpstreamRecord> {
        let foreign = (0..self.size.upstreams).map(|upstream| UpstreamRecord {
            id: format!("x-{upstream}").into(),
            born_ms: u64::MAX,
            service: FOREIGN_SERVICE,
            draining: false,
            ..self.entry(upstream)
        });
        let listed = self.listed.iter().flatten().map(|record| UpstreamRecord {
            warmup_left_ms: self.cold_for_ms(record),
            ..record.clone()
        });
        listed.chain(foreign).collect()
    }

    /// Upstreams write their entries again and again while they are cold.
    fn cold_for_ms(&self, record: &UpstreamRecord) -> u64 {
        let Upstream { boot, cold_until_ms, .. } = self.upstreams[upstream_of(record.address)];
        if boot == record.born_ms { cold_until_ms.saturating_sub(self.now_ms) } else { 0 }
    }

    /// The list reaches each balancer at another moment.
    pub(super) fn publish(&mut self) {
        for balancer in 0..self.size.balancers {
            let delay_ms = self.rng.random_range(1..30);
            self.at(delay_ms, Event::List(balancer));
        }
    }

    pub(super) fn take_list(&mut self, balancer: usize) {
        let now_ms = self.now_ms;
        if self.balancers[balancer].cut_until_ms > now_ms {
            return;
        }
        let mut membership = std::mem::take(&mut self.balancers[balancer].membership);
        self.fill(&mut membership);
        membership.expire(now_ms);
        self.take_routes(balancer);
        let Balancer { routes, history, .. } = &self.balancers[balancer];
        self.balancers[balancer].view = self.view_of(&membership, routes, history);
        self.balancers[balancer].membership = membership;
    }

    /// Versions that came while the balancer was cut off are known to others only.
    fn take_routes(&mut self, balancer: usize) {
        if self.mutant == Some(Mutant::OldRoutesKept) {
            return;
        }
        let now_ms = self.now_ms;
        let Balancer { routes, history, confirmed_ms, .. } = &mut self.balancers[balancer];
        let (old, current_until_ms) = (Arc::clone(routes), *confirmed_ms);
        let mut history = history.clone();
        if self.routes.version > old.version + 1 {
            history.on_gap(now_ms);
        }
        if self.routes.version > old.version {
            history.on_routes(now_ms, &old, &self.routes);
        }
        self.learn_history(&mut history, current_until_ms);
        let taker = &mut self.balancers[balancer];
        taker.routes = Arc::clone(&self.routes);
        taker.history = history;
    }

    /// What balancers in touch tell of services that routes have left.
    pub(super) fn learn_history(&self, history: &mut History, current_until_ms: u64) {
        if self.mutant == Some(Mutant::HistoryNotLearnt) {
            *history = History::default();
            return;
        }
        let in_touch = |teller: &&Balancer| teller.up && teller.cut_until_ms <= self.now_ms;
        for teller in self.balancers.iter().filter(in_touch) {
            if history.is_behind(self.now_ms, teller.history.summary(self.now_ms)) {
                let told = teller.history.contents(self.now_ms, teller.routes.version);
                history.merge(self.now_ms, current_until_ms, &self.routes, &told);
            }
        }
    }

    pub(super) fn fill(&self, membership: &mut Membership) {
        let closed = self.closed_since_ms.iter().zip(0..).filter(|(since, _)| since.is_some());
        let mut closed: Vec<_> = closed.map(|(_, zone)| stamp(zone)).collect();
        if self.mutant == Some(Mutant::ZoneNeverOpened) {
            closed.extend(membership.closed_zones());
        }
        membership.replace(self.now_ms, &self.published(), closed);
    }

    /// What a balancer makes of its list, without the safeguard that is taken out.
    pub(super) fn view_of(
        &self,
        membership: &Membership,
        routes: &Arc<RouteTable>,
        history: &History,
    ) -> View {
        let routes = match self.mutant {
            Some(Mutant::RegionIgnored) => Arc::new(without_regions(routes)),
            _ => Arc::clone(routes),
        };
        let history = match self.mutant {
            Some(Mutant::FormerServicesForgotten) => Arc::default(),
            _ => Arc::new(history.clone()),
        };
        let view = membership.view_since(Arc::clone(&routes), Arc::clone(&history));
        let listed = view.upstreams().iter().filter_map(|upstream| altered(*upstream, self.mutant));
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

/// An upstream as a balancer without the safeguard would see it.
fn altered(upstream: Listed, mutant: Option<Mutant>) -> Option<Listed> {
    match (mutant, upstream.standing) {
        (Some(Mutant::MissingForgotten), Standing::Missing { .. }) => None,
        (Some(Mutant::DrainIgnored), Standing::Draining) => {
            Some(Listed { standing: Standing::Ready, ..upstream })
        }
        _ => Some(upstream),
    }
}
