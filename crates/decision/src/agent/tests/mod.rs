//! Tests of the agent through its public interface: several agents, a simulated network without
//! delay from which agents can be cut off, and a clock that the tests advance.

mod assign;
mod at_most_once;
mod explain;
mod flows;
mod handover;
mod install;
mod lookup;
mod memberships;
mod optimistic;
mod ports;
mod relearn;
mod reports;
mod settling;
mod unknown;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use super::{
    Action, Agent, AgentConfig, Event, Forwarding, HoldKey, MAX_TICK_INTERVAL_MS, Packet,
    PacketKind, Reason, TimelineEntry, UpstreamReport, Verdict,
};
use crate::keys::{FlowId, Incarnation, ServiceId, UpstreamId, Version};
use crate::message::Message;
use crate::outdated::OutdatedTable;
use crate::rank;
use crate::spread::Member;
use crate::time::Millis;
use crate::view::{
    self, AccountSpec, Endpoint, ServiceSpec, Transport, UpstreamSpec, UpstreamState, View,
    WhenInDoubt,
};

const ACCOUNT: &str = "cascadia";
const SERVICE: &str = "shelf";

/// Final outcome of a packet, followed over all forwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Delivered(usize),
    Refused(Reason),
    Dropped(Reason),
    Lost,
}

/// Settings of the service under test.
#[derive(Clone, Debug)]
struct Spec {
    version: u64,
    when_in_doubt: WhenInDoubt,
    transport: Transport,
    /// Whether the service has an endpoint of the other protocol as well.
    both_protocols: bool,
    max_flows: u32,
    states: Vec<UpstreamState>,
    /// By upstream: first version that lists it and version that retires it.
    listed: Vec<(u64, Option<u64>)>,
}

impl Spec {
    fn new(when_in_doubt: WhenInDoubt, upstreams: usize) -> Self {
        Self {
            version: 1,
            when_in_doubt,
            transport: Transport::Tcp,
            both_protocols: false,
            max_flows: 2_000,
            states: vec![UpstreamState::Active; upstreams],
            listed: vec![(1, None); upstreams],
        }
    }

    fn view(&self) -> Arc<View> {
        let address: SocketAddr = "127.0.0.1:6080".parse().expect("a literal address");
        let upstreams = (0..self.states.len()).map(|index| UpstreamSpec {
            name: name(index).into(),
            zone: "pnw-a".into(),
            weight: 100,
            max_flows: self.max_flows,
            agent_address: address,
            control_address: address,
            address,
            state: self.states[index],
            since: Version(self.listed[index].0),
            retired: self.listed[index].1.map(Version),
        });
        let endpoint = Endpoint { address: address.ip(), port: 8443, transport: self.transport };
        let other = match self.transport {
            Transport::Tcp => Transport::Udp,
            Transport::Udp => Transport::Tcp,
        };
        let other = Some(Endpoint { transport: other, ..endpoint });
        let service = ServiceSpec {
            name: SERVICE.into(),
            endpoints: [Some(endpoint), other.filter(|_| self.both_protocols)]
                .into_iter()
                .flatten()
                .collect(),
            when_in_doubt: self.when_in_doubt,
            zone_spill_percent: 25,
            upstreams: upstreams.collect(),
        };
        let version = Version(self.version);
        Arc::new(view::build(&[AccountSpec {
            name: ACCOUNT.into(),
            version,
            services: vec![service],
        }]))
    }
}

fn name(index: usize) -> String {
    format!("shelf-{index}")
}

fn id(index: usize) -> UpstreamId {
    UpstreamId::of(ACCOUNT, SERVICE, &name(index))
}

fn service() -> ServiceId {
    ServiceId::of(ACCOUNT, SERVICE)
}

/// Agents of one service, with a simulated network and clock.
struct Fleet {
    now: Millis,
    agents: Vec<Agent>,
    /// Agents that are cut off: their messages in both directions and the packets to them are lost.
    cut_off: Vec<usize>,
    /// Agents that get no ticks. A test that pauses an agent also cuts it off.
    paused: Vec<usize>,
    /// Agents that cannot read messages introduced after the previous release.
    previous_release: Vec<usize>,
    messages: VecDeque<(usize, UpstreamId, Message)>,
    held: Vec<(usize, HoldKey, Packet)>,
    outcomes: Vec<Outcome>,
    timeline: Vec<(usize, TimelineEntry)>,
    fetches: Vec<(usize, Version)>,
    reports: Vec<(usize, Member)>,
    /// Number of requests to read a witness's records.
    readings: usize,
    /// What a balancer remembers of the service.
    balancer: OutdatedTable,
    /// Agents that have asked the balancer.
    questions: VecDeque<usize>,
}

impl Fleet {
    /// Starts agents without a previous incarnation and advances past the start-up periods in which
    /// their state counts as incomplete.
    fn settled(spec: &Spec) -> Self {
        let mut fleet = Self::started(spec);
        fleet.advance(12_000);
        fleet
    }

    fn started(spec: &Spec) -> Self {
        let now = Millis(1_000_000);
        let view = spec.view();
        let count = spec.states.len();
        let agents = (0..count).map(|index| {
            let mut agent = agent(index, 1, false, view.clone(), now);
            agent.set_started_before_listing();
            agent
        });
        let agents = agents.collect();
        Self {
            now,
            agents,
            cut_off: Vec::new(),
            paused: Vec::new(),
            previous_release: Vec::new(),
            messages: VecDeque::new(),
            held: Vec::new(),
            outcomes: Vec::new(),
            timeline: Vec::new(),
            fetches: Vec::new(),
            reports: Vec::new(),
            readings: 0,
            balancer: OutdatedTable::default(),
            questions: VecDeque::new(),
        }
    }

    /// Restarts an agent without handover. Its upstream keeps running.
    fn restart(&mut self, index: usize, spec: &Spec) {
        let incarnation = 2 + self.now.0;
        self.agents[index] = agent(index, incarnation, true, spec.view(), self.now);
        self.held.retain(|(at, _, _)| *at != index);
    }

    /// Shuts an agent down gracefully, with enough time to hand over.
    fn leave(&mut self, index: usize) {
        self.handle_event(index, Event::Leave);
        self.deliver_messages();
        self.advance(1_000);
    }

    /// Ends an agent and its upstream for good, after a graceful shutdown.
    fn end(&mut self, index: usize) {
        self.leave(index);
        self.cut_off.push(index);
        self.paused.push(index);
    }

    fn advance(&mut self, ms: u64) {
        let end = self.now.after(ms);
        while self.now < end {
            self.now = self.now.after(MAX_TICK_INTERVAL_MS);
            for index in 0..self.agents.len() {
                if self.paused.contains(&index) {
                    continue;
                }
                self.handle_event(index, Event::Tick);
            }
            self.deliver_messages();
        }
    }

    fn handle_event(&mut self, index: usize, event: Event) {
        let mut out = Vec::new();
        self.agents[index].handle(self.now, event, &mut out);
        self.perform(index, out);
    }

    fn install(&mut self, index: usize, spec: &Spec) {
        self.handle_event(index, Event::View(spec.view()));
        self.deliver_messages();
    }

    /// Sends one packet to an agent and follows it to its outcome, for up to two seconds.
    fn send(&mut self, to: usize, flow: u64, kind: PacketKind) -> Outcome {
        self.send_packet(to, packet(flow, kind))
    }

    fn send_packet(&mut self, to: usize, packet: Packet) -> Outcome {
        let before = self.outcomes.len();
        self.arrive(to, packet);
        self.deliver_messages();
        for _ in 0..40 {
            if self.outcomes.len() > before {
                return self.outcomes[before];
            }
            self.advance(MAX_TICK_INTERVAL_MS);
        }
        Outcome::Lost
    }

    fn arrive(&mut self, to: usize, packet: Packet) {
        if self.cut_off.contains(&to) {
            self.outcomes.push(Outcome::Lost);
            return;
        }
        let mut out = Vec::new();
        let verdict = self.agents[to].handle_packet(self.now, &packet, &mut out);
        self.apply_verdict(to, packet, verdict);
        self.perform(to, out);
    }

    fn apply_verdict(&mut self, at: usize, packet: Packet, verdict: Verdict) {
        match verdict {
            Verdict::Deliver => self.outcomes.push(Outcome::Delivered(at)),
            Verdict::Refuse(reason) => self.outcomes.push(Outcome::Refused(reason)),
            Verdict::Drop(reason) => self.outcomes.push(Outcome::Dropped(reason)),
            Verdict::Hold(hold) => self.held.push((at, hold, packet)),
            Verdict::Forward { to, forwarding } => {
                let hops = packet.hops + 1;
                let to = self.index(to);
                self.arrive(to, Packet { hops, forwarding, ..packet });
            }
        }
    }

    fn perform(&mut self, at: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    let to = self.index(to);
                    self.readings += usize::from(matches!(message, Message::ReadClaims { .. }));
                    let unreadable = self.previous_release.contains(&to)
                        && is_unknown_to_previous_release(&message);
                    if !unreadable && !self.cut_off.contains(&at) && !self.cut_off.contains(&to) {
                        self.messages.push_back((to, id(at), message));
                    }
                }
                Action::Resolve { hold, verdict } => {
                    let held = self.held.iter().position(|known| (known.0, known.1) == (at, hold));
                    let (_, _, packet) = self.held.remove(held.expect("a held packet"));
                    self.apply_verdict(at, packet, verdict);
                }
                Action::FetchSettings { at_least } => self.fetches.push((at, at_least)),
                Action::Report(member) => self.reports.push((at, member)),
                Action::ReportOutdated(report) => {
                    if !self.cut_off.contains(&at) {
                        self.balancer.learn(self.now, service(), report);
                    }
                }
                Action::AskOutdated => self.questions.push_back(at),
                Action::Record(entry) => self.timeline.push((at, entry)),
            }
        }
    }

    fn deliver_messages(&mut self) {
        while let Some(at) = self.questions.pop_front() {
            if self.cut_off.contains(&at) {
                continue;
            }
            for report in self.balancer.of_service(self.now, service()) {
                self.handle_event(at, Event::Outdated(report));
            }
        }
        while let Some((to, from, message)) = self.messages.pop_front() {
            self.handle_event(to, Event::Message { from, message });
        }
    }

    fn index(&self, upstream: UpstreamId) -> usize {
        (0..self.agents.len()).find(|index| id(*index) == upstream).expect("a listed upstream")
    }

    /// Indices of the agents from first to last rank for a flow.
    fn ranking(&self, flow: u64) -> Vec<usize> {
        let explanation = self.agents[0].explain(self.now, FlowId(flow));
        explanation.ranking.into_iter().map(|(upstream, _)| self.index(upstream)).collect()
    }

    /// The agent that holds the flow.
    fn holder(&self, flow: u64) -> Option<usize> {
        let holds = |agent: &Agent| agent.flows().any(|(known, _)| known == FlowId(flow));
        self.agents.iter().position(holds)
    }
}

/// Whether agents of the previous release cannot read a message.
fn is_unknown_to_previous_release(message: &Message) -> bool {
    matches!(
        message,
        Message::AskAbout { .. }
            | Message::Tell { .. }
            | Message::HandedOver { .. }
            | Message::Former { .. }
    )
}

fn agent(index: usize, incarnation: u64, prior_flows: bool, view: Arc<View>, now: Millis) -> Agent {
    let config = AgentConfig {
        upstream: id(index),
        service: service(),
        incarnation: Incarnation(incarnation),
        may_have_prior_flows: prior_flows,
        seed: 7 + index as u64,
    };
    Agent::new(config, view, now)
}

/// A packet of a connection whose sequence numbers start at 1 or slightly above.
fn packet(flow: u64, kind: PacketKind) -> Packet {
    Packet {
        service: service(),
        flow: FlowId(flow),
        kind,
        sequence: 1,
        view: Version(1),
        hops: 0,
        forwarding: Forwarding::Direct,
    }
}

fn opening(nonce: u32) -> PacketKind {
    PacketKind::Opening { nonce }
}

fn report() -> UpstreamReport {
    UpstreamReport {
        healthy: true,
        draining: false,
        shedding: false,
        open_flows: 0,
        age_ms: Some(60_000),
    }
}

/// The `number`-th of many flows, which are spread over all buckets.
fn flow(number: u64) -> u64 {
    let bucket = number % u64::from(rank::BUCKET_COUNT);
    (bucket << 58) | (1 + number)
}
