//! Simulates all agents of one service in one process. Every message is encoded, sealed, opened and
//! decoded as on the wire, and time is simulated.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use decision::agent::{
    Action, Agent, AgentConfig, Event, Forwarding, HoldKey, MAX_TICK_INTERVAL_MS, Packet,
    PacketKind, Verdict,
};
use decision::keys::{AccountId, FlowId, Incarnation, ServiceId, UpstreamId, Version};
use decision::message::Message;
use decision::rank;
use decision::time::Millis;
use decision::view::{self, View, WhenInDoubt};
use wire::control::{self, Envelope};
use wire::gue;
use wire::sealed::{AccountKeyring, Header, KeyId, Payload, SEALED_BYTES, SenderId};

use super::processor_time;
use crate::world::DeploymentSize;

/// Bytes of the IP and UDP headers of a datagram.
const IP_UDP_BYTES: u64 = 20 + 8;
/// One-way network delay of a message: the delay between availability zones in today's deployments.
const ONE_WAY_DELAY_MS: u64 = 1;
/// Time from the opening of a flow to the client's next packet.
const FOLLOW_UP_DELAY_MS: u64 = 100;
const TICKS_PER_SECOND: usize = 1_000 / MAX_TICK_INTERVAL_MS as usize;
/// Time after which the state of every agent is complete and no agent may hold unknown flows.
const SETTLE_MS: u64 = 12_000;
/// Initial sequence number of every flow.
const OPENING_NONCE: u32 = 7;

/// Resources that all agents of a service used in a period.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Bytes, counted once for the sender and once for the receiver.
    pub bytes: u64,
    /// Messages, counted in the same way as the bytes.
    pub messages: u64,
    /// Largest number of bytes that one agent sent and received in one second.
    pub peak_bytes: u64,
    /// Processor time of all agents.
    pub processor: Duration,
    /// Openings that were delivered to an upstream.
    pub admitted: u64,
}

/// Simulation of the agents of one service.
pub struct SimulatedService {
    now: Millis,
    view: Arc<View>,
    id: ServiceId,
    keyring: AccountKeyring,
    agents: Vec<Agent>,
    ids: Vec<UpstreamId>,
    partitioned: Vec<bool>,
    queue: Vec<(usize, usize, Vec<u8>)>,
    held: Vec<(usize, HoldKey, Packet)>,
    /// Open flows whose client sends its next packet at the given time, earliest first.
    follow_ups: VecDeque<(Millis, FlowId)>,
    /// Bytes of each agent in each tick of the last second.
    recent_bytes: Vec<[u64; TICKS_PER_SECOND]>,
    slot: usize,
    usage: Usage,
    processor_start: Duration,
}

impl SimulatedService {
    /// Creates `count` agents and runs them until they know each other and their state is complete.
    ///
    /// ```
    /// use decision::view::WhenInDoubt;
    /// let mut service = loadgen::cost::SimulatedService::new(3, WhenInDoubt::Admit);
    /// service.run(1_000);
    /// assert!(service.take_usage().messages > 0);
    /// ```
    pub fn new(count: usize, when_in_doubt: WhenInDoubt) -> Self {
        let (view, id, ids) = build_service_view(count, when_in_doubt);
        let now = Millis(1_000_000);
        let agents =
            ids.iter().map(|upstream| new_agent(id, *upstream, 1, view.clone(), now)).collect();
        let key = [(KeyId(1), [7; 32])];
        let mut service = Self {
            now,
            view,
            id,
            keyring: AccountKeyring::new(&key).expect("a keyring can be created from one key"),
            agents,
            ids,
            partitioned: vec![false; count],
            queue: Vec::new(),
            held: Vec::new(),
            follow_ups: VecDeque::new(),
            recent_bytes: vec![[0; TICKS_PER_SECOND]; count],
            slot: 0,
            usage: Usage::default(),
            processor_start: processor_time(),
        };
        service.run(SETTLE_MS);
        service.take_usage();
        service
    }

    /// The agents of the service.
    pub fn agents(&self) -> &[Agent] {
        &self.agents
    }

    /// Returns the usage since the previous call and resets it.
    pub fn take_usage(&mut self) -> Usage {
        let now = processor_time();
        let mut usage = std::mem::take(&mut self.usage);
        usage.processor = now - std::mem::replace(&mut self.processor_start, now);
        self.recent_bytes.fill([0; TICKS_PER_SECOND]);
        usage
    }

    /// Advances simulated time by `duration_ms`.
    pub fn run(&mut self, duration_ms: u64) {
        let end = self.now.after(duration_ms);
        while self.now < end {
            self.tick();
        }
    }

    /// Advances simulated time until `done` holds or `limit_ms` have passed. Returns the elapsed
    /// milliseconds.
    pub fn run_until(&mut self, limit_ms: u64, done: impl Fn(&Self) -> bool) -> u64 {
        let start = self.now;
        while self.now.since(start) < limit_ms && !done(self) {
            self.tick();
        }
        self.now.since(start)
    }

    /// Opens a flow at its home and schedules the client's next packet. `number` identifies the
    /// flow.
    pub fn open_flow(&mut self, number: u64) {
        let flow = flow_id(number);
        let home = self.home_of(flow);
        self.handle_packet(
            home,
            self.new_packet(flow, PacketKind::Opening { nonce: OPENING_NONCE }),
        );
        self.follow_ups.push_back((self.now.after(FOLLOW_UP_DELAY_MS), flow));
    }

    /// Ends a flow by a reset from its client.
    pub fn close_flow(&mut self, number: u64) {
        let flow = flow_id(number);
        self.handle_packet(self.home_of(flow), self.new_packet(flow, PacketKind::Reset));
    }

    /// Cuts an agent off from its peers and from clients, or reconnects it.
    pub fn set_partitioned(&mut self, agent: usize, is_partitioned: bool) {
        self.partitioned[agent] = is_partitioned;
    }

    /// Replaces an agent by a new incarnation without state; its upstream keeps the open flows.
    pub fn restart(&mut self, index: usize) {
        let incarnation = self.now.0;
        self.agents[index] =
            new_agent(self.id, self.ids[index], incarnation, self.view.clone(), self.now);
        self.held.retain(|(at, _, _)| *at != index);
    }

    fn tick(&mut self) {
        for _ in 0..MAX_TICK_INTERVAL_MS / ONE_WAY_DELAY_MS {
            self.now = self.now.after(ONE_WAY_DELAY_MS);
            self.deliver_messages();
        }
        while let Some((_, flow)) = self.follow_ups.pop_front_if(|(at, _)| *at <= self.now) {
            self.handle_packet(self.home_of(flow), self.new_packet(flow, PacketKind::Middle));
        }
        for index in 0..self.agents.len() {
            self.handle_event(index, Event::Tick);
        }
        self.update_peak();
    }

    /// Updates the peak over a sliding window of one second that moves by one tick. With fixed
    /// windows a burst across a boundary would be split and its peak underestimated.
    fn update_peak(&mut self) {
        let peak =
            self.recent_bytes.iter().map(|slots| slots.iter().sum::<u64>()).max().unwrap_or(0);
        self.usage.peak_bytes = self.usage.peak_bytes.max(peak);
        self.slot = (self.slot + 1) % TICKS_PER_SECOND;
        self.recent_bytes.iter_mut().for_each(|slots| slots[self.slot] = 0);
    }

    fn new_packet(&self, flow: FlowId, kind: PacketKind) -> Packet {
        let (service, view) = (self.id, Version(1));
        let (sequence, hops) = (OPENING_NONCE, 0);
        Packet { service, flow, kind, sequence, view, hops, forwarding: Forwarding::Direct }
    }

    fn home_of(&self, flow: FlowId) -> usize {
        // The view contains only one service.
        let service = &self.view.services()[0];
        let home = service.ranking(rank::bucket_of(flow))[0];
        self.index_of(self.view.upstream(home).id)
    }

    fn index_of(&self, id: UpstreamId) -> usize {
        self.ids.iter().position(|known| *known == id).unwrap_or(0)
    }

    fn handle_event(&mut self, index: usize, event: Event) {
        let mut out = Vec::new();
        self.agents[index].handle(self.now, event, &mut out);
        self.perform_actions(index, out);
    }

    fn handle_packet(&mut self, index: usize, packet: Packet) {
        if self.partitioned[index] {
            return;
        }
        let mut out = Vec::new();
        let verdict = self.agents[index].handle_packet(self.now, &packet, &mut out);
        self.perform_actions(index, out);
        self.apply_verdict(index, packet, verdict);
    }

    fn apply_verdict(&mut self, index: usize, packet: Packet, verdict: Verdict) {
        match verdict {
            Verdict::Deliver => {
                let is_opening = matches!(packet.kind, PacketKind::Opening { .. });
                self.usage.admitted += u64::from(is_opening);
            }
            Verdict::Hold(hold) => self.held.push((index, hold, packet)),
            Verdict::Forward { to, forwarding } => {
                let to = self.index_of(to);
                self.handle_packet(to, Packet { hops: packet.hops + 1, forwarding, ..packet });
            }
            Verdict::Refuse(_) | Verdict::Drop(_) => {}
        }
    }

    fn perform_actions(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(index, to, message),
                Action::Resolve { hold, verdict } => {
                    let found = self.held.iter().position(|held| (held.0, held.1) == (index, hold));
                    if let Some(found) = found {
                        let (_, _, packet) = self.held.swap_remove(found);
                        self.apply_verdict(index, packet, verdict);
                    }
                }
                Action::FetchSettings { .. }
                | Action::Report(_)
                | Action::ReportOutdated(_)
                | Action::AskOutdated
                | Action::Record(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: UpstreamId, message: Message) {
        let to = self.index_of(to);
        let mut body = Vec::new();
        control::encode(&Envelope { clock: self.now.0 << 16, message }, &mut body)
            .expect("a message of the core fits into a datagram");
        let bytes = IP_UDP_BYTES + (gue::HEADER_BYTES + SEALED_BYTES + body.len()) as u64;
        self.count_message(from, bytes);
        if self.partitioned[from] || self.partitioned[to] {
            return;
        }
        self.count_message(to, bytes);
        let mut private = [0; SEALED_BYTES];
        let payload = Payload::Control(&body);
        let header = control_header(self.id, self.ids[from]);
        self.keyring
            .seal(&header, payload, &mut private)
            .expect("an encoded message can be sealed");
        let mut datagram = Vec::with_capacity(body.len() + 80);
        gue::encode(gue::Content::Control(control::CONTROL_TYPE), &private, &body, &mut datagram);
        self.queue.push((from, to, datagram));
    }

    fn count_message(&mut self, agent: usize, bytes: u64) {
        self.usage.bytes += bytes;
        self.usage.messages += 1;
        self.recent_bytes[agent][self.slot] += bytes;
    }

    /// Delivers the messages that were sent one network delay ago.
    fn deliver_messages(&mut self) {
        for (from, to, datagram) in std::mem::take(&mut self.queue) {
            let frame = gue::parse(&datagram).expect("a frame encoded by `send` can be parsed");
            let payload = Payload::Control(frame.payload);
            self.keyring
                .open(frame.private, payload)
                .expect("a payload sealed by `send` can be opened");
            let message = control::decode(frame.payload)
                .expect("a message encoded by `send` can be decoded")
                .message;
            self.handle_event(to, Event::Message { from: self.ids[from], message });
        }
    }
}

/// Builds the view of one service with `count` agents. Returns it with the ids of the service and
/// of its upstreams.
fn build_service_view(
    count: usize,
    when_in_doubt: WhenInDoubt,
) -> (Arc<View>, ServiceId, Vec<UpstreamId>) {
    let mut accounts = DeploymentSize { accounts: 1, services: 1, upstreams: count }.accounts();
    accounts[0].services[0].when_in_doubt = when_in_doubt;
    let (account, service) = (&accounts[0].name, &accounts[0].services[0]);
    let upstream_id = |name: &str| UpstreamId::of(account, &service.name, name);
    let ids = service.upstreams.iter().map(|upstream| upstream_id(&upstream.name)).collect();
    let id = ServiceId::of(account, &service.name);
    (Arc::new(view::build(&accounts)), id, ids)
}

fn new_agent(
    service: ServiceId,
    upstream: UpstreamId,
    incarnation: u64,
    view: Arc<View>,
    now: Millis,
) -> Agent {
    let config = AgentConfig {
        upstream,
        service,
        incarnation: Incarnation(incarnation),
        may_have_prior_flows: incarnation > 1,
        seed: upstream.0,
    };
    let mut agent = Agent::new(config, view, now);
    if incarnation <= 1 {
        agent.set_started_before_listing();
    }
    agent
}

fn control_header(service: ServiceId, from: UpstreamId) -> Header {
    Header {
        hops: 0,
        forwarding: Forwarding::Direct,
        account: AccountId(1),
        service,
        flow: FlowId(0),
        version: Version(1),
        sender: SenderId(from.0),
    }
}

/// A flow id that is spread like the output of the keyed hash. The mapping is a bijection, so that
/// two numbers never collide.
fn flow_id(number: u64) -> FlowId {
    let mixed = (number ^ (number >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    FlowId((mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9))
}
