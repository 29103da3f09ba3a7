//! The world: an order of events, the processes of the core, and the oracle.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use steering::edge::{Action, Edge, Reason, Said, Trust, Verdict};
use steering::flow::{FlowKey, Segment};
use steering::membership::{Membership, SILENT_LINGER_MS, UpstreamRecord};
use steering::side::{Answer, Ask, Delivery, Report, Side};
use steering::view::{Route, RouteTable, ServiceStamp, Share, Standing, Upstream as Listed, View};

use super::caller::{Caller, State};
use super::plan;
use super::upstream::{Reaction, Upstream, number_of};
use super::{Change, Mutant, Outcome, Violation};

const BALANCERS: usize = 3;
const UPSTREAMS: usize = 7;
const CALLERS: usize = 24;
const SERVICES: [ServiceStamp; 2] = [ServiceStamp(1), ServiceStamp(2)];
const TICK_MS: u64 = 20;
/// Time for which a starting balancer waits for what others know.
const ASK_OTHERS_MS: u64 = 100;
/// Mean pause between two changes.
const CHANGE_MS: u64 = 400;
/// Time after a disturbance in which a flow may stay unfound.
const CALM_MS: u64 = 5_000;
/// An upstream that leaves gets no openings after this time.
const LEAVING_MS: u64 = 3_000;

/// A caller's packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Packet {
    pub(super) segment: Segment,
    /// The life of the upstream whose number the caller acknowledges; zero before that.
    pub(super) acknowledged_boot: u64,
}

#[derive(Clone, Debug)]
enum Event {
    Caller(usize),
    ToBalancer(usize, Packet),
    ToAgent {
        upstream: usize,
        balancer: usize,
        packet: Packet,
        service: ServiceStamp,
        report: bool,
    },
    Said {
        balancer: usize,
        upstream: usize,
        verdict: Verdict,
        packet: Packet,
    },
    Accepted {
        caller: usize,
        flow: FlowKey,
        upstream: usize,
        boot: u64,
    },
    Answered {
        caller: usize,
        flow: FlowKey,
    },
    ResetCaller {
        caller: usize,
        flow: FlowKey,
    },
    Tick,
    Change,
    List(usize),
    StartBalancer(usize),
    StartAgent(usize),
    StartUpstream(usize),
    EndUpstream(usize),
    Relist(usize),
}

impl Event {
    /// Whether it is a packet that waits for this balancer.
    fn is_for(&self, number: usize) -> bool {
        matches!(self,
            Self::ToBalancer(balancer, _) | Self::Said { balancer, .. } if *balancer == number)
    }
}

struct Balancer {
    edge: Edge,
    membership: Membership,
    view: View,
    up: bool,
    cut_until_ms: u64,
    paused_until_ms: u64,
    whole_from_ms: u64,
    confirmed_ms: u64,
    /// Since when it runs, if no other balancer could tell it then what went before.
    alone_since_ms: Option<u64>,
}

/// Everything there is.
pub struct World {
    /// What has come of it so far.
    pub outcome: Outcome,
    rng: Pcg64Mcg,
    mutant: Option<Mutant>,
    now_ms: u64,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    balancers: Vec<Balancer>,
    agents: Vec<Option<Side>>,
    upstreams: Vec<Upstream>,
    listed: Vec<Option<UpstreamRecord>>,
    callers: Vec<Caller>,
    packets: Vec<Packet>,
    routes: Arc<RouteTable>,
    salt: u64,
    boots: u64,
    ports: u16,
    disturbed_ms: u64,
}

fn address(upstream: usize) -> Ipv4Addr {
    Ipv4Addr::from_bits(0x0a00_0001 + u32::try_from(upstream).unwrap_or_default())
}

fn upstream_of(address: Ipv4Addr) -> usize {
    (address.to_bits() - 0x0a00_0001) as usize
}

fn balancer_address(balancer: usize) -> Ipv4Addr {
    Ipv4Addr::from_bits(0x0a01_0001 + u32::try_from(balancer).unwrap_or_default())
}

fn endpoint(service: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), [443, 8443][service])
}

impl World {
    /// A calm world in which all callers open their flows.
    pub fn new(seed: u64, mutant: Option<Mutant>) -> Self {
        let route = |service: usize| Route {
            endpoint: endpoint(service),
            shares: [Share { service: SERVICES[service], weight: 1 }].into(),
        };
        let mut world = Self {
            outcome: Outcome::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            mutant,
            now_ms: 0,
            events: BTreeMap::new(),
            next_event: 0,
            balancers: Vec::new(),
            agents: Vec::new(),
            upstreams: vec![Upstream::default(); UPSTREAMS],
            listed: vec![None; UPSTREAMS],
            callers: Vec::new(),
            packets: Vec::new(),
            routes: Arc::new(RouteTable::new(1, vec![route(0), route(1)])),
            salt: seed,
            boots: 0,
            ports: 1_024,
            disturbed_ms: 0,
        };
        world.populate();
        world
    }

    /// Plays for so many milliseconds.
    pub fn run(&mut self, length_ms: u64) {
        while let Some(((at_ms, _), event)) = self.events.pop_first() {
            if at_ms > length_ms {
                return;
            }
            self.now_ms = at_ms;
            self.on_event(event);
        }
    }

    fn populate(&mut self) {
        for upstream in 0..UPSTREAMS {
            self.agents.push(None);
            self.start_upstream(upstream, usize::from(upstream >= 4));
            self.start_agent(upstream);
        }
        for _ in 0..BALANCERS {
            let balancer = self.blank_balancer();
            self.balancers.push(balancer);
        }
        for caller in 0..CALLERS {
            let flow = self.new_flow();
            self.callers.push(Caller::open(flow, 0));
            self.at(caller as u64 * 7, Event::Caller(caller));
        }
        self.at(TICK_MS, Event::Tick);
        self.at(1_000, Event::Change);
    }

    fn blank_balancer(&self) -> Balancer {
        let mut membership = Membership::default();
        let records: Vec<UpstreamRecord> = self.listed.iter().flatten().cloned().collect();
        membership.replace(self.now_ms, &records);
        let view = membership.view(Arc::clone(&self.routes));
        Balancer {
            edge: Edge::default(),
            membership,
            view,
            up: true,
            cut_until_ms: 0,
            paused_until_ms: 0,
            whole_from_ms: self.doubts_of_others(),
            confirmed_ms: self.now_ms,
            alone_since_ms: self.nobody_remembers().then_some(self.now_ms),
        }
    }

    /// Whether no balancer in touch has run for longer than the time in which entries come back.
    fn nobody_remembers(&self) -> bool {
        !self.balancers.iter().any(|balancer| {
            let in_touch = balancer.up && balancer.cut_until_ms <= self.now_ms;
            let alone = balancer.alone_since_ms.is_some_and(|since| self.now_ms - since < CALM_MS);
            in_touch && !alone
        })
    }

    /// What a starting balancer hears from the others within its first moments.
    fn doubts_of_others(&self) -> u64 {
        let in_touch = |balancer: &&Balancer| balancer.up && balancer.cut_until_ms <= self.now_ms;
        let others = self.balancers.iter().filter(in_touch).map(|balancer| balancer.whole_from_ms);
        others.max().unwrap_or(0).max(self.now_ms + ASK_OTHERS_MS)
    }

    fn at(&mut self, delay_ms: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((self.now_ms + delay_ms, self.next_event), event);
    }

    fn hop(&mut self) -> u64 {
        self.rng.random_range(1..4)
    }

    fn new_flow(&mut self) -> FlowKey {
        self.ports = self.ports.wrapping_add(1).max(1_024);
        let caller = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), self.ports);
        FlowKey { caller, endpoint: endpoint(usize::from(self.rng.random_bool(0.3))) }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Caller(caller) => self.caller_acts(caller),
            Event::ToBalancer(balancer, packet) => self.at_balancer(balancer, packet),
            Event::ToAgent { upstream, balancer, packet, service, report } => {
                self.at_agent(upstream, balancer, packet, service, report);
            }
            Event::Said { balancer, upstream, verdict, packet } => {
                self.on_said(balancer, upstream, verdict, packet);
            }
            Event::Accepted { caller, flow, upstream, boot } => {
                if self.callers[caller].flow == flow {
                    let packet = self.callers[caller].on_accept(self.now_ms, upstream, boot);
                    self.send(caller, packet);
                }
            }
            Event::Answered { caller, flow } => {
                let rest_ms = self.rng.random_range(50..1_500);
                let now_ms = self.now_ms;
                let current = &mut self.callers[caller];
                if current.flow == flow && current.on_answer(now_ms, rest_ms) {
                    self.outcome.answered += 1;
                    self.at(rest_ms, Event::Caller(caller));
                }
            }
            Event::ResetCaller { caller, flow } => {
                if self.callers[caller].flow == flow {
                    self.reopen(caller);
                }
            }
            Event::Tick => self.tick(),
            Event::Change => self.change(),
            Event::List(balancer) => self.take_list(balancer),
            Event::StartBalancer(balancer) => self.balancers[balancer] = self.blank_balancer(),
            Event::StartAgent(upstream) => self.start_agent(upstream),
            Event::StartUpstream(upstream) => {
                let service = self.upstreams[upstream].service;
                self.start_upstream(upstream, service);
                self.publish();
            }
            Event::EndUpstream(upstream) => self.end_upstream(upstream),
            Event::Relist(upstream) => self.relist(upstream),
        }
    }

    fn caller_acts(&mut self, caller: usize) {
        if self.callers[caller].due_ms > self.now_ms {
            return;
        }
        let before = self.callers[caller].state;
        let packet = self.callers[caller].act(self.now_ms);
        if self.callers[caller].state == State::Ended {
            self.judge_end(caller, before);
            self.reopen(caller);
            return;
        }
        self.send(caller, packet);
    }

    /// A request that nobody answered: its flow must not live where nothing is disturbed.
    fn judge_end(&mut self, caller: usize, before: State) {
        let State::Asking { .. } = before else { return };
        let calm = self.now_ms.saturating_sub(self.disturbed_ms) >= CALM_MS;
        if calm && self.is_held(caller) {
            self.violate(Violation::FlowNotFound);
        }
    }

    fn is_held(&self, caller: usize) -> bool {
        let caller = &self.callers[caller];
        let holds =
            |(upstream, boot): (usize, u64)| self.upstreams[upstream].holds(caller.flow, boot);
        caller.holder.is_some_and(holds)
    }

    fn reopen(&mut self, caller: usize) {
        let flow = self.new_flow();
        self.callers[caller] = Caller::open(flow, self.now_ms);
        self.at(0, Event::Caller(caller));
    }

    fn send(&mut self, caller: usize, packet: Option<Packet>) {
        let Some(packet) = packet else { return };
        let due_ms = self.callers[caller].due_ms;
        self.at(due_ms - self.now_ms, Event::Caller(caller));
        let port = u64::from(packet.segment.flow.caller.port());
        let balancer = (port.wrapping_mul(0x9e37_79b9).wrapping_add(self.salt) >> 7) as usize;
        let delay_ms = self.hop();
        self.at(delay_ms, Event::ToBalancer(balancer % BALANCERS, packet));
    }

    fn at_balancer(&mut self, balancer: usize, packet: Packet) {
        if self.defer(balancer, Event::ToBalancer(balancer, packet)) {
            return;
        }
        let bytes = self.keep(packet);
        let mut actions = Vec::new();
        let Balancer { edge, view, .. } = &mut self.balancers[balancer];
        edge.on_packet(self.now_ms, view, &packet.segment, &bytes, &mut actions);
        self.apply(balancer, packet, actions);
    }

    /// Packets for a balancer that is down are lost; those for one that is paused wait.
    fn defer(&mut self, balancer: usize, event: Event) -> bool {
        let Balancer { up, paused_until_ms, .. } = self.balancers[balancer];
        if up && paused_until_ms > self.now_ms {
            self.at(paused_until_ms - self.now_ms, event);
            return true;
        }
        !up
    }

    fn keep(&mut self, packet: Packet) -> [u8; 4] {
        self.packets.push(packet);
        u32::try_from(self.packets.len() - 1).unwrap_or_default().to_le_bytes()
    }

    fn on_said(&mut self, balancer: usize, upstream: usize, verdict: Verdict, packet: Packet) {
        if self.defer(balancer, Event::Said { balancer, upstream, verdict, packet }) {
            return;
        }
        let said = Said { from: address(upstream), verdict };
        let mut actions = Vec::new();
        let Balancer { edge, view, .. } = &mut self.balancers[balancer];
        edge.on_verdict(self.now_ms, view, said, &packet.segment, &mut actions);
        self.apply(balancer, packet, actions);
    }

    fn apply(&mut self, balancer: usize, packet: Packet, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Forward { reason: Reason::Asked, .. }
                    if self.mutant == Some(Mutant::NeverAsked) => {}
                Action::Forward { to, ask, .. } => {
                    let upstream = upstream_of(to.address);
                    let (service, report) = (to.service, ask);
                    let delay_ms = self.hop();
                    self.at(
                        delay_ms,
                        Event::ToAgent { upstream, balancer, packet, service, report },
                    );
                }
                Action::Reset { .. } => self.reset(balancer, packet),
                Action::Drop { .. } if self.mutant == Some(Mutant::ResetWithoutProof) => {
                    self.reset(balancer, packet);
                }
                Action::Drop { .. } => {}
            }
        }
    }

    fn reset(&mut self, balancer: usize, packet: Packet) {
        let flow = packet.segment.flow;
        let Some(caller) = self.callers.iter().position(|caller| caller.flow == flow) else {
            return;
        };
        let Balancer { cut_until_ms, alone_since_ms, .. } = self.balancers[balancer];
        // Where all memory was lost at once, within seconds of an outage of the configuration service,
        // nobody can know which entries are missing. The platform's rules count a process as in touch
        // four seconds after its start.
        let informed = alone_since_ms.is_none_or(|since| self.now_ms - since >= CALM_MS);
        if cut_until_ms <= self.now_ms && informed && self.is_held(caller) {
            self.violate(Violation::LivingFlowReset);
        }
        self.outcome.resets += 1;
        let delay_ms = self.hop();
        self.at(delay_ms, Event::ResetCaller { caller, flow });
    }

    fn at_agent(
        &mut self,
        upstream: usize,
        balancer: usize,
        packet: Packet,
        service: ServiceStamp,
        report: bool,
    ) {
        let own = SERVICES[self.upstreams[upstream].service];
        let unchecked = self.mutant == Some(Mutant::ServiceNotChecked);
        let Some(side) = &mut self.agents[upstream] else { return };
        let service = if unchecked { own } else { service };
        let ask = Ask { balancer: balancer_address(balancer), service, slots: 0, report };
        match side.on_packet(self.now_ms, &packet.segment, &[], ask) {
            Delivery::Deliver => self.at_upstream(upstream, balancer, packet),
            Delivery::DeliverSilent { for_ms } => {
                self.at_upstream(upstream, balancer, packet);
                self.say(balancer, upstream, Verdict::Silent { for_ms }, packet);
            }
            Delivery::Foreign => self.say(balancer, upstream, Verdict::Denied, packet),
            // Without known slots nothing waits.
            Delivery::Wait { .. } => {}
        }
    }

    fn say(&mut self, balancer: usize, upstream: usize, verdict: Verdict, packet: Packet) {
        let delay_ms = self.hop();
        self.at(delay_ms, Event::Said { balancer, upstream, verdict, packet });
    }

    fn at_upstream(&mut self, upstream: usize, balancer: usize, packet: Packet) {
        let flow = packet.segment.flow;
        let reaction = self.upstreams[upstream].take(&packet);
        match reaction {
            Reaction::Nothing | Reaction::Take => {}
            Reaction::Return => {
                if let Some(side) = &mut self.agents[upstream] {
                    side.on_returned(self.now_ms, flow);
                }
                self.say(balancer, upstream, Verdict::Denied, packet);
            }
            Reaction::Accept => {
                self.judge_opening(upstream, balancer, flow);
                self.answer(upstream, packet, true);
            }
            Reaction::Answer => self.answer(upstream, packet, false),
        }
    }

    fn judge_opening(&mut self, upstream: usize, balancer: usize, flow: FlowKey) {
        let target = &self.upstreams[upstream];
        if endpoint(target.service) != flow.endpoint {
            self.violate(Violation::WrongService);
            return;
        }
        let Balancer { cut_until_ms, paused_until_ms, .. } = self.balancers[balancer];
        let in_touch = cut_until_ms.max(paused_until_ms) + CALM_MS <= self.now_ms;
        let leaving = target.leaving_ms.is_some_and(|since| self.now_ms - since > LEAVING_MS);
        if in_touch && leaving {
            self.violate(Violation::OpeningOnLeaving);
        }
    }

    fn answer(&mut self, upstream: usize, packet: Packet, opening: bool) {
        let flow = packet.segment.flow;
        let data_bytes = if opening { 0 } else { 500 };
        let opening_sequence = opening.then(|| number_of(self.upstreams[upstream].boot));
        let answer = Answer { flow, data_bytes, last: false, opening_sequence };
        let Some(side) = &mut self.agents[upstream] else { return };
        if let Some(report) = side.on_answer(self.now_ms, answer).report {
            let balancer = (report.balancer.to_bits() - balancer_address(0).to_bits()) as usize;
            let Report { busy, opening_sequence, .. } = report;
            self.say(balancer, upstream, Verdict::Held { busy, opening_sequence }, packet);
        }
        let Some(caller) = self.callers.iter().position(|caller| caller.flow == flow) else {
            return;
        };
        let boot = self.upstreams[upstream].boot;
        let delay_ms = self.hop();
        self.at(
            delay_ms,
            match opening {
                true => Event::Accepted { caller, flow, upstream, boot },
                false => Event::Answered { caller, flow },
            },
        );
    }

    fn tick(&mut self) {
        self.at(TICK_MS, Event::Tick);
        for balancer in 0..BALANCERS {
            self.tick_balancer(balancer);
        }
        for side in self.agents.iter_mut().flatten() {
            side.on_tick(self.now_ms);
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
        let whole_from_ms = if forgets { 0 } else { *whole_from_ms };
        edge.trust(Trust { confirmed_ms: *confirmed_ms, whole_from_ms });
        let mut actions = Vec::new();
        edge.on_tick(self.now_ms, view, &mut actions);
        for (bytes, action) in actions {
            let index = u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]);
            let packet = self.packets[index as usize];
            self.apply(balancer, packet, vec![action]);
        }
    }

    fn change(&mut self) {
        let delay_ms = self.rng.random_range(1..2 * CHANGE_MS);
        // Now and then the world is left alone, so that what must calm down can be judged.
        let pause_ms = if self.rng.random_bool(0.05) { 2 * CALM_MS } else { 0 };
        self.at(delay_ms + pause_ms, Event::Change);
        let change = plan::draw(&mut self.rng, BALANCERS, UPSTREAMS);
        if !matches!(change, Change::Reshuffle | Change::DrainUpstream(_)) {
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
                self.balancers[balancer].paused_until_ms = self.now_ms + for_ms;
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
            Change::Lapse => self.lapse(),
            Change::LoseAllMemory => {
                (0..BALANCERS).for_each(|balancer| self.restart_balancer(balancer));
                (0..UPSTREAMS).for_each(|upstream| self.restart_agent(upstream));
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

    fn start_agent(&mut self, upstream: usize) {
        self.agents[upstream] = Some(Side::new(SERVICES[self.upstreams[upstream].service]));
    }

    fn start_upstream(&mut self, upstream: usize, service: usize) {
        self.boots += 1;
        self.upstreams[upstream].start(self.boots, service);
        self.listed[upstream] = Some(UpstreamRecord {
            id: format!("u-{:06}", self.boots).into(),
            address: address(upstream),
            service: SERVICES[service],
            draining: false,
            warmup_left_ms: 0,
            slots: 7,
        });
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

    /// The address goes to the other service after two seconds, with an agent of its own.
    fn end_upstream(&mut self, upstream: usize) {
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
        self.at(2_000, Event::StartAgent(upstream));
        self.at(2_001, Event::StartUpstream(upstream));
    }

    /// Entries of upstreams that live go, and come back within two seconds. Balancers notice the
    /// outage that is behind it: they cannot reach the configuration service.
    fn lapse(&mut self) {
        for upstream in 0..UPSTREAMS {
            if self.upstreams[upstream].boot > 0 && self.rng.random_bool(0.5) {
                self.listed[upstream] = None;
                let delay_ms = self.rng.random_range(100..2_000);
                self.at(delay_ms, Event::Relist(upstream));
            }
        }
        for balancer in &mut self.balancers {
            balancer.whole_from_ms = self.now_ms + SILENT_LINGER_MS;
        }
        self.publish();
    }

    fn relist(&mut self, upstream: usize) {
        let Upstream { boot, service, leaving_ms, .. } = self.upstreams[upstream];
        if boot == 0 || self.listed[upstream].is_some() {
            return;
        }
        self.listed[upstream] = Some(UpstreamRecord {
            id: format!("u-{boot:06}").into(),
            address: address(upstream),
            service: SERVICES[service],
            draining: leaving_ms.is_some(),
            warmup_left_ms: 0,
            slots: 7,
        });
        self.publish();
    }

    /// The list reaches each balancer at another moment.
    fn publish(&mut self) {
        for balancer in 0..BALANCERS {
            let delay_ms = self.rng.random_range(1..30);
            self.at(delay_ms, Event::List(balancer));
        }
    }

    fn take_list(&mut self, balancer: usize) {
        let now_ms = self.now_ms;
        if self.balancers[balancer].cut_until_ms > now_ms {
            return;
        }
        let records: Vec<UpstreamRecord> = self.listed.iter().flatten().cloned().collect();
        let balancer = &mut self.balancers[balancer];
        balancer.membership.replace(now_ms, &records);
        balancer.membership.expire(now_ms);
        let view = balancer.membership.view(Arc::clone(&self.routes));
        let listed = view.upstreams().iter().filter_map(|upstream| altered(*upstream, self.mutant));
        balancer.view = View::new(Arc::clone(&self.routes), listed.collect());
    }

    fn violate(&mut self, violation: Violation) {
        self.outcome.violations.push((self.now_ms, violation));
    }
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
