//! Changes of the world, and the ticks of balancers and agents.

use rand::RngExt as _;
use std::sync::Arc;
use steering::edge::{Trust, Verdict};
use steering::membership::OUTAGE_LINGER_MS;
use steering::side::AgentCore;
use steering::view::RouteTable;

use super::{
    Balancer, CHANGE_INTERVAL_MS, COLD_MS, EMPTY_PACKET, Entry, Event, FLOW_TTL_MS, SERVICES,
    SPLITS, Size, TICK_MS, World, ZONES, balancer_index, overload, route, upstream_of,
};
use crate::direct::upstream::Upstream;
use crate::direct::{Change, Mutant, plan};

/// Time after which the address of an upstream that has left is reused.
const ADDRESS_REUSE_MS: u64 = 2_000;
/// The same in worlds with long answers, where nothing depends on an early restart: longer than
/// balancers keep a drained upstream whose entry is missing (`DRAINED_LINGER_MS`).
const LATE_ADDRESS_REUSE_MS: u64 = 7_000;

/// When a service is scaled in, one of this many upstreams leaves.
const SCALE_IN_DIVISOR: usize = 3;

impl World {
    pub(super) fn tick(&mut self) {
        self.schedule(TICK_MS, Event::Tick);
        for balancer in 0..self.size.balancers {
            self.tick_balancer(balancer);
        }
        for upstream in 0..self.size.upstreams {
            self.tick_agent(upstream);
        }
        self.check_counts();
    }

    fn tick_agent(&mut self, upstream: usize) {
        let Some(agent) = &mut self.agents[upstream] else { return };
        agent.on_tick(self.now_ms);
        for balancer in agent.take_due_replies(self.now_ms) {
            self.send_reply(balancer_index(balancer), upstream, Verdict::Alive, EMPTY_PACKET);
        }
        self.release_queued(upstream);
    }

    fn tick_balancer(&mut self, balancer: usize) {
        let mutant = self.mutant;
        let Balancer {
            edge,
            view,
            up,
            paused_until_ms,
            cut_until_ms,
            complete_from_ms,
            current_at_ms,
            ..
        } = &mut self.balancers[balancer];
        if !*up || *paused_until_ms > self.now_ms {
            return;
        }
        if *cut_until_ms <= self.now_ms && mutant == Some(Mutant::OldListTrusted) {
            *current_at_ms = self.now_ms;
        }
        let forgets = mutant == Some(Mutant::MissingForgotten);
        let complete_from_ms = if forgets { 0 } else { *complete_from_ms };
        edge.set_trust(Trust { current_at_ms: *current_at_ms, complete_from_ms });
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
            let delay_ms = self.network_delay_ms();
            self.schedule(delay_ms, Event::Ping { balancer, upstream });
        }
        self.send_questions(balancer);
        self.begin_wanted_read(balancer);
    }

    pub(super) fn change(&mut self) {
        let delay_ms = self.rng.random_range(1..2 * CHANGE_INTERVAL_MS);
        // Occasionally leaves the world undisturbed for long enough to check what must recover.
        let pause_ms = if self.rng.random_bool(0.05) { self.size.pause_ms() } else { 0 };
        self.schedule(delay_ms + pause_ms, Event::Change);
        let Size {
            balancers,
            upstreams,
            severe_faults,
            moving_routes,
            long_answers,
            store_returns_percent,
            bursts,
            late_lists,
            ..
        } = self.size;
        let delayed = if late_lists { plan::draw_delay(&mut self.rng, balancers) } else { None };
        let moved = if moving_routes { plan::draw_move(&mut self.rng) } else { None };
        let returned = match store_returns_percent {
            0 => None,
            percent => plan::draw_return(&mut self.rng, percent),
        };
        let change =
            delayed.or(returned).or(moved).unwrap_or_else(|| match (long_answers, severe_faults) {
                _ if bursts => plan::draw_burst(&mut self.rng, balancers, upstreams),
                (true, _) => plan::draw_planned(&mut self.rng, upstreams),
                (false, true) => plan::draw_severe(&mut self.rng, balancers, upstreams),
                (false, false) => plan::draw(&mut self.rng, balancers, upstreams),
            });
        let planned = matches!(
            change,
            Change::Reshuffle
                | Change::DrainUpstream(_)
                | Change::ScaleIn(_)
                | Change::CloseZone(_)
                | Change::MoveRoute(_)
                | Change::DelayLists(_)
        );
        if !planned {
            self.disturbed_until_ms = self.disturbed_until_ms.max(self.now_ms);
        }
        self.outcome.played.push((self.now_ms, change));
        self.note(|_| Entry::Change(change));
        self.play(change);
    }

    fn play(&mut self, change: Change) {
        match change {
            Change::Reshuffle => self.salt = self.rng.random(),
            Change::RestartBalancer(balancer) => self.restart_balancer(balancer),
            Change::CutBalancer(balancer) => {
                let for_ms = self.rng.random_range(500..15_000);
                self.balancers[balancer].cut_until_ms = self.now_ms + for_ms;
                self.note(|world| Entry::BalancerCut { balancer, until_ms: world.now_ms + for_ms });
                self.disturbed_until_ms = self.disturbed_until_ms.max(self.now_ms + for_ms);
                self.schedule(for_ms, Event::ListArrives(balancer));
            }
            Change::PauseBalancer(balancer) => {
                let for_ms = self.rng.random_range(100..4_000);
                let until_ms = &mut self.balancers[balancer].paused_until_ms;
                // Packets that arrive meanwhile wait until the end of the longest pause.
                *until_ms = (*until_ms).max(self.now_ms + for_ms);
                let until_ms = *until_ms;
                self.note(|_| Entry::BalancerPaused { balancer, until_ms });
                self.disturbed_until_ms = self.disturbed_until_ms.max(self.now_ms + for_ms);
            }
            Change::RestartAgent(upstream) => self.restart_agent(upstream),
            Change::CrashUpstream(upstream) => {
                if self.upstreams[upstream].draining_since_ms.is_none() {
                    self.upstreams[upstream].stop();
                    self.note(|_| Entry::UpstreamStopped(upstream));
                    let delay_ms = self.rng.random_range(200..3_000);
                    self.schedule(delay_ms, Event::StartUpstream(upstream));
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
                self.unreachable_until_ms[upstream] = self.now_ms + for_ms;
                self.note(|world| Entry::AgentCut { upstream, until_ms: world.now_ms + for_ms });
                self.disturbed_until_ms = self.disturbed_until_ms.max(self.now_ms + for_ms);
            }
            Change::SlowUpstream(upstream) => {
                let for_ms = self.rng.random_range(500..4_000);
                self.upstreams[upstream].slow_until_ms = self.now_ms + for_ms;
                self.note(|world| Entry::UpstreamSlow {
                    upstream,
                    until_ms: world.now_ms + for_ms,
                });
                self.disturbed_until_ms = self.disturbed_until_ms.max(self.now_ms + for_ms);
            }
            Change::LosePower => self.lose_power(),
            Change::CloseZone(zone) => self.close_zone(zone),
            Change::MoveRoute(endpoint) => self.move_route(endpoint),
            Change::ReturnStore => self.lose_store(),
            Change::Burst => self.start_burst(),
            Change::DelayLists(balancer) => self.delay_lists(balancer),
        }
    }

    /// Publishes a new configuration, which takes effect at each balancer with its next list.
    fn move_route(&mut self, endpoint_index: usize) {
        let shares = SPLITS[self.rng.random_range(0..SPLITS.len())];
        for (until_ms, weight) in self.routed_until_ms[endpoint_index].iter_mut().zip(shares) {
            *until_ms = match *until_ms {
                _ if weight > 0 => u64::MAX,
                u64::MAX => self.now_ms,
                left_ms => left_ms,
            };
        }
        for (service, since_ms) in self.routed_since_ms.iter_mut().enumerate() {
            let routed = self.routed_until_ms.iter().any(|until_ms| until_ms[service] == u64::MAX);
            *since_ms = if routed { since_ms.or(Some(self.now_ms)) } else { None };
        }
        let moved = route(endpoint_index, shares);
        let others = self.routes.routes().iter().filter(|route| route.endpoint != moved.endpoint);
        let routes = others.cloned().chain([moved.clone()]).collect();
        let services = self.routes.services().iter().copied();
        self.routes = Arc::new(RouteTable::new(self.routes.version + 1, routes, services));
        self.note(|world| world.routes_published(endpoint_index, shares));
        self.publish();
    }

    /// Closes a zone for some time, unless it is the last open one.
    fn close_zone(&mut self, zone: usize) {
        let closed = self.closed_since_ms.iter().flatten().count();
        if self.closed_since_ms[zone].is_some() || closed + 1 >= ZONES {
            return;
        }
        self.closed_since_ms[zone] = Some(self.now_ms);
        self.note(|_| Entry::ZoneClosed(zone));
        self.publish();
        let for_ms = self.rng.random_range(1_000..10_000);
        self.schedule(for_ms, Event::OpenZone(zone));
    }

    pub(super) fn open_zone(&mut self, zone: usize) {
        self.closed_since_ms[zone] = None;
        self.opened_since_ms[zone] = self.now_ms;
        self.publish();
    }

    /// Stops an upstream and its agent. After some seconds its entry expires, and both start again.
    fn kill_instance(&mut self, upstream: usize) {
        if self.upstreams[upstream].draining_since_ms.is_some()
            || self.upstreams[upstream].incarnation == 0
        {
            return;
        }
        let incarnation = self.upstreams[upstream].incarnation;
        self.upstreams[upstream].stop();
        self.agents[upstream] = None;
        self.note(|_| Entry::InstanceStopped(upstream));
        let lapse_ms = self.rng.random_range(2_000..8_000);
        self.disturbed_until_ms = self.disturbed_until_ms.max(self.now_ms + lapse_ms);
        self.schedule(lapse_ms, Event::LapseEntry { upstream, incarnation });
    }

    pub(super) fn lapse_entry(&mut self, upstream: usize, incarnation: u64) {
        if self.listed[upstream].as_ref().is_some_and(|record| record.born_ms == incarnation) {
            self.listed[upstream] = None;
            self.note(|_| Entry::Delisted(upstream));
            self.publish();
        }
        self.schedule(500, Event::StartAgent(upstream));
        self.schedule(501, Event::StartUpstream(upstream));
    }

    fn lose_power(&mut self) {
        (0..self.size.balancers).for_each(|balancer| self.restart_balancer(balancer));
        for upstream in 0..self.size.upstreams {
            if self.rng.random_bool(0.04) {
                self.kill_instance(upstream);
            } else if self.upstreams[upstream].draining_since_ms.is_none() {
                self.upstreams[upstream].stop();
                self.note(|_| Entry::UpstreamStopped(upstream));
                self.restart_agent(upstream);
                let delay_ms = self.rng.random_range(800..1_500);
                self.schedule(delay_ms, Event::StartUpstream(upstream));
            }
        }
    }

    /// Restarts a balancer. Packets that wait for the process are lost with it.
    pub(super) fn restart_balancer(&mut self, balancer: usize) {
        self.balancers[balancer].up = false;
        self.note(|_| Entry::BalancerStopped(balancer));
        self.events.retain(|_, event| !event.is_for(balancer));
        let delay_ms = self.rng.random_range(100..800);
        self.schedule(delay_ms, Event::StartBalancer(balancer));
    }

    fn restart_agent(&mut self, upstream: usize) {
        self.agents[upstream] = None;
        self.note(|_| Entry::AgentStopped(upstream));
        let delay_ms = self.rng.random_range(100..800);
        self.schedule(delay_ms, Event::StartAgent(upstream));
    }

    pub(super) fn start_agent(&mut self, upstream: usize) {
        let unreachable_until_ms = &mut self.unreachable_until_ms[upstream];
        *unreachable_until_ms = (*unreachable_until_ms).max(self.now_ms);
        let service = SERVICES[self.upstreams[upstream].service];
        let agent = AgentCore::with_policy(service, overload::policy(self.size.bursts))
            .with_flow_ttl_ms(FLOW_TTL_MS);
        let agent = match self.now_ms {
            0 => agent,
            now_ms => agent.beside_running_upstream(now_ms),
        };
        self.agents[upstream] = Some(agent);
        self.note_started();
        self.note(|world| world.agent_started(upstream));
    }

    pub(super) fn start_upstream(&mut self, upstream: usize, service: usize) {
        self.incarnations += 1;
        self.upstreams[upstream].start(self.incarnations, service);
        if self.now_ms > 0 {
            self.upstreams[upstream].cold_until_ms = self.now_ms + COLD_MS;
        }
        self.listed[upstream] = Some(self.entry(upstream));
        self.note_started();
        self.note(|world| world.upstream_started(upstream));
    }

    fn scale_in(&mut self, service: usize) {
        let first = self.rng.random_range(0..SCALE_IN_DIVISOR);
        let leaving = (first..self.size.upstreams).step_by(SCALE_IN_DIVISOR);
        let leaving: Vec<usize> =
            leaving.filter(|upstream| self.upstreams[*upstream].service == service).collect();
        leaving.into_iter().for_each(|upstream| self.drain(upstream));
    }

    /// Starts draining an upstream. At least two upstreams of each service stay, as operators
    /// ensure.
    fn drain(&mut self, upstream: usize) {
        let service = self.upstreams[upstream].service;
        let staying = |other: &&Upstream| {
            other.service == service && other.draining_since_ms.is_none() && other.incarnation > 0
        };
        let leaves = self.upstreams[upstream].draining_since_ms.is_some();
        if leaves || self.upstreams.iter().filter(staying).count() < 3 {
            return;
        }
        self.upstreams[upstream].draining_since_ms = Some(self.now_ms);
        self.note(|_| Entry::UpstreamDraining(upstream));
        if let Some(record) = &mut self.listed[upstream] {
            record.draining = true;
        }
        self.publish();
        let delay_ms = self.rng.random_range(3_500..6_000);
        self.schedule(delay_ms, Event::StopUpstream(upstream));
    }

    /// Stops a drained upstream. The other service reuses the address after some seconds, with a
    /// new agent.
    pub(super) fn stop_upstream(&mut self, upstream: usize) {
        if !self.upstreams[upstream].has_no_open_flows() && self.rng.random_bool(0.5) {
            self.schedule(500, Event::StopUpstream(upstream));
            return;
        }
        self.upstreams[upstream].stop();
        self.agents[upstream] = None;
        self.note(|_| Entry::InstanceStopped(upstream));
        self.listed[upstream] = None;
        self.publish();
        let service = 1 - self.upstreams[upstream].service;
        self.upstreams[upstream].service = service;
        self.upstreams[upstream].draining_since_ms = None;
        let reuse_ms =
            if self.size.long_answers { LATE_ADDRESS_REUSE_MS } else { ADDRESS_REUSE_MS };
        self.schedule(reuse_ms, Event::StartAgent(upstream));
        self.schedule(reuse_ms + 1, Event::StartUpstream(upstream));
    }

    /// Removes entries of running upstreams, which come back within two seconds. Balancers detect
    /// the outage that causes this, because they can't reach the configuration service.
    fn lapse(&mut self) {
        for upstream in 0..self.size.upstreams {
            if self.upstreams[upstream].incarnation > 0 && self.rng.random_bool(0.5) {
                self.listed[upstream] = None;
                self.note(|_| Entry::Delisted(upstream));
                let delay_ms = self.rng.random_range(100..2_000);
                self.schedule(delay_ms, Event::Relist(upstream));
            }
        }
        for balancer in &mut self.balancers {
            balancer.complete_from_ms = self.now_ms + OUTAGE_LINGER_MS;
        }
        self.publish();
    }

    pub(super) fn relist(&mut self, upstream: usize) {
        if self.upstreams[upstream].incarnation == 0 || self.listed[upstream].is_some() {
            return;
        }
        self.listed[upstream] = Some(self.entry(upstream));
        self.note(|_| Entry::Relisted(upstream));
        self.publish();
    }
}
