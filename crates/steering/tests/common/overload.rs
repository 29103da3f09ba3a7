//! A small world for the tests of admission control: real agents and one balancer, beside fake
//! upstreams that process as many requests as they have slots and take the same time for each.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::net::Ipv4Addr;
use std::sync::Arc;

use super::agent::{BALANCER, answer, opening_answer};
use super::{READY, SERVICE, data, flow, opening, upstream, view_of};
use steering::edge::{Action, AgentReply, Destination, Edge, Reason, Verdict};
use steering::flow::{FlowKey, Millis, Segment, SegmentKind};
use steering::policy::Policy;
use steering::side::{AgentCore, Answer, Delivery, ForwardMetadata};
use steering::view::{AddressedService, Route, RouteTable, View};

pub(crate) const SLOTS: u8 = 2;
pub(crate) const SERVICE_TIME_MS: Millis = 20;
/// Requests a second that one upstream can process.
pub(crate) const CAPACITY: u64 = SLOTS as u64 * 1_000 / SERVICE_TIME_MS;
pub(crate) const SLO_MS: u32 = 200;
/// Callers wait this long for an answer, and then end their flow.
pub(crate) const CALLER_TIMEOUT_MS: Millis = 1_200;
/// Time of a packet from one instance to the next.
pub(crate) const HOP_MS: Millis = 1;
pub(crate) const ROUND_TRIP_MS: Millis = 2 * HOP_MS;
pub(crate) const UPSTREAMS: usize = 4;
/// Everything in the world starts after this time, when agents no longer suspect a cold start.
pub(crate) const START_MS: Millis = 10_000;

/// Calls from this number on go to a route whose requests are urgent.
pub(crate) const FIRST_URGENT: u16 = 40_000;

pub(crate) fn on() -> Policy {
    Policy { overload_admission: true, ..Policy::default() }
}

pub(crate) fn key(number: u16) -> FlowKey {
    let port = if number >= FIRST_URGENT { 444 } else { 443 };
    let endpoint = format!("198.18.0.1:{port}").parse().unwrap();
    FlowKey { endpoint, ..flow(number) }
}

pub(crate) fn on_route(segment: Segment) -> Segment {
    Segment { flow: key(segment.flow.caller.port()), ..segment }
}

/// A view with two routes to the service, one of them urgent.
pub(crate) fn view() -> View {
    let plain = view_of(&[]).routes.find(key(1).endpoint).unwrap().clone();
    let plain = Route { slo_ms: SLO_MS, ..plain };
    let urgent = Route { endpoint: key(FIRST_URGENT).endpoint, urgent: true, ..plain.clone() };
    let upstreams = (1..=UPSTREAMS as u16).map(|number| upstream(number, READY));
    let upstreams =
        upstreams.map(|listed| steering::view::Upstream { slots: SLOTS.into(), ..listed });
    View::new(Arc::new(RouteTable::new(1, vec![plain, urgent], [])), upstreams.collect())
}

pub(crate) fn index_of(address: Ipv4Addr) -> usize {
    usize::from(address.octets()[3]) - 1
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    /// A caller sends its opening, copy of this number.
    Open {
        number: u16,
        copy: u32,
    },
    /// The caller gives up, if it has no answer.
    GiveUp {
        number: u16,
    },
    /// A caller learns that an upstream has accepted its flow.
    Accepted {
        number: u16,
    },
    Answered {
        number: u16,
    },
    Reset {
        number: u16,
    },
    /// An upstream has processed a request.
    Processed {
        upstream: usize,
        number: u16,
    },
    Tick,
    RestartAgents,
    RestartBalancer,
}

#[derive(Clone, Copy, Debug)]
pub(crate) enum Packet {
    ToBalancer(Segment),
    ToAgent(Destination, Segment),
    Verdict(usize, Verdict, Segment),
}

/// A fake upstream: it accepts every opening, and processes requests in order of arrival.
#[derive(Default)]
pub(crate) struct FakeUpstream {
    flows: HashSet<u16>,
    queued: VecDeque<u16>,
    processing: usize,
    service_time_ms: Millis,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Call {
    pub(crate) opened_ms: Millis,
    accepted: bool,
    pub(crate) answered_ms: Option<Millis>,
    pub(crate) reset_ms: Option<Millis>,
    /// How many agents have returned the first copy of the opening.
    pub(crate) refusals: u64,
}

pub(crate) struct World {
    now_ms: Millis,
    policies: [Policy; 2],
    view: View,
    edge: Edge,
    agents: Vec<AgentCore>,
    upstreams: Vec<FakeUpstream>,
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    packets: HashMap<u64, Packet>,
    in_transit: BinaryHeap<Reverse<(Millis, u64)>>,
    sent: u64,
    calls: HashMap<u16, Call>,
    pub(crate) refused: HashSet<(u16, usize)>,
    pub(crate) last_refused_ms: Millis,
    pub(crate) verdicts_lost: bool,
}

impl World {
    /// A world whose balancer and agents have these policies.
    pub(crate) fn new(
        balancer: Policy,
        agents: Policy,
        service_times_ms: [Millis; UPSTREAMS],
    ) -> Self {
        let fakes = service_times_ms
            .map(|service_time_ms| FakeUpstream { service_time_ms, ..FakeUpstream::default() });
        let mut world = Self {
            now_ms: 0,
            policies: [balancer, agents],
            view: view(),
            edge: Edge::default(),
            agents: Vec::new(),
            upstreams: fakes.into(),
            events: BinaryHeap::new(),
            packets: HashMap::new(),
            in_transit: BinaryHeap::new(),
            sent: 0,
            calls: HashMap::new(),
            refused: HashSet::new(),
            last_refused_ms: 0,
            verdicts_lost: false,
        };
        world.restart_agents();
        world.edge = Edge::with_policy(balancer);
        world.now_ms = START_MS;
        world.at(0, Event::Tick);
        world
    }

    fn restart_agents(&mut self) {
        let new = || AgentCore::with_policy(SERVICE, self.policies[1]);
        self.agents = (0..UPSTREAMS).map(|_| new()).collect();
        self.agents.iter_mut().for_each(|agent| agent.on_tick(self.now_ms));
    }

    pub(crate) fn at(&mut self, delay_ms: Millis, event: Event) {
        self.sent += 1;
        self.events.push(Reverse((self.now_ms + delay_ms, self.sent, event)));
    }

    fn send(&mut self, packet: Packet) {
        self.sent += 1;
        self.packets.insert(self.sent, packet);
        self.in_transit.push(Reverse((self.now_ms + HOP_MS, self.sent)));
    }

    /// Lets this many calls a second begin, from one time after the start to another.
    pub(crate) fn call(
        &mut self,
        first: u16,
        per_second: u64,
        from_ms: Millis,
        to_ms: Millis,
    ) -> u16 {
        let count = (to_ms - from_ms) * per_second / 1_000;
        for index in 0..count {
            let number = first + index as u16;
            self.at(from_ms + index * 1_000 / per_second, Event::Open { number, copy: 0 });
        }
        first + count as u16
    }

    pub(crate) fn run(&mut self, for_ms: Millis) {
        let end_ms = START_MS + for_ms;
        loop {
            let event = self.events.peek().map(|Reverse((at_ms, sent, _))| (*at_ms, *sent));
            let packet = self.in_transit.peek().map(|Reverse(next)| *next);
            let packet_first = match (event, packet) {
                (_, None) => false,
                (None, Some(_)) => true,
                (Some(event), Some(packet)) => packet < event,
            };
            let Some((at_ms, _)) = (if packet_first { packet } else { event }) else { return };
            if at_ms >= end_ms {
                return;
            }
            self.now_ms = at_ms;
            if packet_first {
                let Some(Reverse((_, sent))) = self.in_transit.pop() else { return };
                let packet = self.packets.remove(&sent).unwrap();
                self.on_packet(packet);
            } else if let Some(Reverse((_, _, event))) = self.events.pop() {
                self.on_event(event);
            }
        }
    }

    fn on_event(&mut self, event: Event) {
        let now_ms = self.now_ms;
        match event {
            Event::Open { number, copy } => {
                let fresh = Call { opened_ms: now_ms, ..Call::default() };
                let call = self.calls.entry(number).or_insert(fresh);
                if call.accepted || call.reset_ms.is_some() {
                    return;
                }
                self.send(Packet::ToBalancer(on_route(opening(number, copy))));
                match copy {
                    0 => {
                        self.at(200, Event::Open { number, copy: 1 });
                        self.at(CALLER_TIMEOUT_MS, Event::GiveUp { number });
                    }
                    1 => self.at(400, Event::Open { number, copy: 2 }),
                    _ => {}
                }
            }
            Event::GiveUp { number } => {
                let call = self.calls[&number];
                if call.answered_ms.is_none() && call.reset_ms.is_none() {
                    let reset = Segment { kind: SegmentKind::Reset, ..data(number, 2) };
                    self.send(Packet::ToBalancer(on_route(Segment { data_bytes: 0, ..reset })));
                }
            }
            Event::Accepted { number } => {
                let call = self.calls.get_mut(&number).unwrap();
                if !std::mem::replace(&mut call.accepted, true) {
                    self.send(Packet::ToBalancer(on_route(data(number, 2))));
                }
            }
            Event::Answered { number } => {
                self.calls.get_mut(&number).unwrap().answered_ms.get_or_insert(now_ms);
            }
            Event::Reset { number } => {
                self.calls.get_mut(&number).unwrap().reset_ms.get_or_insert(now_ms);
            }
            Event::Processed { upstream, number } => {
                self.upstreams[upstream].processing -= 1;
                if self.upstreams[upstream].flows.contains(&number) {
                    self.answer(upstream, Answer { flow: key(number), ..answer(number) });
                }
                self.process(upstream);
            }
            Event::Tick => {
                let mut actions = Vec::new();
                self.edge.on_tick(now_ms, &self.view, &mut actions);
                for (bytes, action) in actions {
                    let number = u16::from_le_bytes([bytes[0], bytes[1]]);
                    let segment = if bytes[2] == 0 { opening(number, 0) } else { data(number, 2) };
                    self.apply(&[action], on_route(segment));
                }
                for upstream in 0..UPSTREAMS {
                    self.agents[upstream].on_tick(now_ms);
                    self.release(upstream);
                }
                self.at(20, Event::Tick);
            }
            Event::RestartAgents => self.restart_agents(),
            Event::RestartBalancer => self.edge = Edge::with_policy(self.policies[0]),
        }
    }

    fn on_packet(&mut self, packet: Packet) {
        let now_ms = self.now_ms;
        match packet {
            Packet::ToBalancer(segment) => {
                let bytes = bytes_of(&segment);
                let mut actions = Vec::new();
                self.edge.on_packet(now_ms, &self.view, &segment, &bytes, &mut actions);
                self.apply(&actions, segment);
            }
            Packet::Verdict(upstream, verdict, segment) => {
                let from = self.view.upstreams()[upstream].address;
                let reply = AgentReply { from, verdict, reads_service: true, packet: &[] };
                let mut actions = Vec::new();
                self.edge.on_agent_reply(now_ms, &self.view, reply, &segment, &mut actions);
                self.apply(&actions, segment);
            }
            Packet::ToAgent(to, segment) => self.at_agent(to, segment),
        }
    }

    fn apply(&mut self, actions: &[Action], segment: Segment) {
        let number = segment.flow.caller.port();
        for action in actions {
            match *action {
                Action::Forward { to, .. } => self.send(Packet::ToAgent(to, segment)),
                Action::Reset { reason } => {
                    // A balancer without the mechanism takes a refusal for the limit of a cold
                    // upstream, as one of the last release does.
                    let on = self.policies[0].overload_admission;
                    let expected = if on { Reason::Overloaded } else { Reason::ColdLimit };
                    assert_eq!(reason, expected, "call {number}");
                    let opened = self.upstreams.iter().any(|fake| fake.flows.contains(&number));
                    assert!(!opened, "call {number} is reset, but open at an upstream");
                    self.at(HOP_MS, Event::Reset { number });
                }
                Action::Drop { .. } => {}
            }
        }
    }

    fn at_agent(&mut self, to: Destination, segment: Segment) {
        let (now_ms, upstream) = (self.now_ms, index_of(to.address));
        let is_opening = matches!(segment.kind, SegmentKind::Opening { .. });
        // As in the packet head: only openings carry urgency, and only others the SLO.
        let metadata = ForwardMetadata {
            balancer: BALANCER,
            service: AddressedService::Stated(to.service),
            slots: to.slots,
            slo_ms: if is_opening { 0 } else { to.slo_ms },
            wait_slos: if is_opening { 0 } else { to.wait_slos },
            urgent: is_opening && to.urgent,
            wants_report: true,
            refuses_new_flows: false,
            limit_per_ks: 0,
            cold: false,
        };
        let agent = &mut self.agents[upstream];
        let received = agent.on_packet(now_ms, &segment, &bytes_of(&segment), metadata);
        if let Some(report) = received.report {
            let verdict =
                Verdict::Held { busy: report.busy, opening_sequence: None, load: report.load };
            self.send(Packet::Verdict(upstream, verdict, segment));
        }
        match received.delivery {
            Delivery::Deliver => self.at_upstream(upstream, segment),
            Delivery::Queued => {}
            Delivery::Overloaded { for_ms } => self.refuse(upstream, segment, for_ms),
            Delivery::NotHeld => self.send(Packet::Verdict(upstream, Verdict::Denied, segment)),
            other => panic!("{other:?}"),
        }
        self.release(upstream);
    }

    fn refuse(&mut self, upstream: usize, segment: Segment, for_ms: Millis) {
        let number = segment.flow.caller.port();
        assert_eq!(for_ms, 50, "call {number}");
        assert_eq!(segment.kind, SegmentKind::Opening { copy: 0 }, "call {number}");
        assert!(number < FIRST_URGENT, "urgent call {number} was refused");
        assert!(!self.upstreams[upstream].flows.contains(&number), "call {number} is open there");
        assert!(self.refused.insert((number, upstream)), "call {number} came back");
        self.last_refused_ms = self.now_ms;
        self.calls.get_mut(&number).unwrap().refusals += 1;
        if !self.verdicts_lost {
            self.send(Packet::Verdict(upstream, Verdict::Overloaded { for_ms }, segment));
        }
    }

    fn at_upstream(&mut self, upstream: usize, segment: Segment) {
        let number = segment.flow.caller.port();
        let fake = &mut self.upstreams[upstream];
        match segment.kind {
            SegmentKind::Opening { .. } => {
                fake.flows.insert(number);
                let accepted = Answer { flow: segment.flow, ..opening_answer(number) };
                self.answer(upstream, accepted);
            }
            SegmentKind::Reset => {
                fake.flows.remove(&number);
            }
            SegmentKind::Later if fake.flows.contains(&number) => {
                fake.queued.push_back(number);
                self.process(upstream);
            }
            SegmentKind::Later => {
                self.agents[upstream].on_returned(self.now_ms, segment.flow);
                self.send(Packet::Verdict(upstream, Verdict::Denied, segment));
            }
        }
    }

    fn process(&mut self, upstream: usize) {
        let fake = &mut self.upstreams[upstream];
        while fake.processing < usize::from(SLOTS)
            && let Some(number) = fake.queued.pop_front()
        {
            if !fake.flows.contains(&number) {
                continue;
            }
            fake.processing += 1;
            let service_time_ms = fake.service_time_ms;
            let event = Event::Processed { upstream, number };
            self.sent += 1;
            self.events.push(Reverse((self.now_ms + service_time_ms, self.sent, event)));
        }
    }

    fn answer(&mut self, upstream: usize, answer: Answer) {
        let number = answer.flow.caller.port();
        let outcome = self.agents[upstream].on_answer(self.now_ms, answer);
        if let Some(report) = outcome.report {
            let opening_sequence = report.opening_sequence;
            let verdict = Verdict::Held { busy: report.busy, opening_sequence, load: report.load };
            let about = if answer.opening { opening(number, 0) } else { data(number, 2) };
            self.send(Packet::Verdict(upstream, verdict, on_route(about)));
        }
        let event =
            if answer.opening { Event::Accepted { number } } else { Event::Answered { number } };
        self.at(HOP_MS, event);
        self.release(upstream);
    }

    fn release(&mut self, upstream: usize) {
        while let Some(released) = self.agents[upstream].next_released(self.now_ms) {
            for bytes in released.packets {
                let number = u16::from_le_bytes([bytes[0], bytes[1]]);
                self.at_upstream(upstream, on_route(data(number, 2)));
            }
        }
    }

    /// Calls that began in this span after the start.
    pub(crate) fn calls(
        &self,
        from_ms: Millis,
        to_ms: Millis,
    ) -> impl Iterator<Item = (u16, Call)> + '_ {
        let span = START_MS + from_ms..START_MS + to_ms;
        let calls = self.calls.iter().map(|(number, call)| (*number, *call));
        calls.filter(move |(_, call)| span.contains(&call.opened_ms))
    }
}

/// The bytes of a packet: the number of its call, and whether it opens the flow.
pub(crate) fn bytes_of(segment: &Segment) -> [u8; 36] {
    let mut bytes = [0; 36];
    bytes[..2].copy_from_slice(&segment.flow.caller.port().to_le_bytes());
    bytes[2] = u8::from(!matches!(segment.kind, SegmentKind::Opening { .. }));
    bytes
}
