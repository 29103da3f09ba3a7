//! Replays a load of callers against several balancers, agents and upstreams of unequal speed.
//!
//! Each caller opens a flow, sends one request, and waits. Upstreams process as many requests as
//! they have slots, in order of arrival.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

use steering::edge::{Edge, Verdict};
use steering::flow::{FlowKey, Millis, Segment};
use steering::policy::Policy;
use steering::side::{AgentCore, Answer, Delivery, ForwardMetadata, Report};
use steering::view::{Upstream, View};

use super::agent::metadata;
use super::{READY, SERVICE, data, opening, packet, target, verdict, view_of};

pub(crate) const SLOTS: u8 = 2;
/// Service time of an upstream of speed factor 1.
const SERVICE_TIME_US: u64 = 20_000;
/// Factors of the service times, in tenths.
const FACTORS: [u64; 3] = [7, 7, 17];
/// Time from the answer to an opening until the request reaches the agent.
const REQUEST_AFTER_US: u64 = 3_000;
/// Delay of a packet between a balancer and an agent.
const HOP_US: u64 = 1_000;
/// Interval at which the state of the upstreams is sampled.
const SAMPLE_US: u64 = 10_000;
/// From then on, a caller no longer waits for its request.
const CALLER_TIMEOUT_US: u64 = 1_200_000;
/// Length of the windows over which the delay at each upstream is averaged.
pub(crate) const WINDOW_MS: Millis = 250;

/// A load, and the faults that it meets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    /// Start of the sequence of random numbers.
    pub(crate) seed: u64,
    pub(crate) delay_placement: bool,
    pub(crate) upstreams: u16,
    pub(crate) balancers: u64,
    /// Flows that callers open, as a percentage of what all upstreams can process.
    pub(crate) load_percent: u64,
    pub(crate) for_ms: Millis,
    /// Every `lose_every`th report is lost; zero if none is.
    pub(crate) lose_every: u64,
    /// Additional delay of the reports to every second balancer.
    pub(crate) late_ms: Millis,
    /// When the first balancer restarts.
    pub(crate) balancer_restarts_ms: Option<Millis>,
    /// When the first agent restarts.
    pub(crate) agent_restarts_ms: Option<Millis>,
}

/// What a replay measured.
#[derive(Debug, Default)]
pub(crate) struct Measured {
    /// Flows placed at each upstream.
    pub(crate) flows: Vec<u64>,
    /// For each window after the first, the mean delay that a new request is expected to have at
    /// each upstream, by its true state.
    pub(crate) delays_ms: Vec<Vec<f64>>,
    pub(crate) beyond_ranks: u64,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Opening { number: u32 },
    OpeningAtAgent { number: u32, balancer: usize, upstream: usize },
    Request { number: u32, upstream: usize },
    Completed { number: u32, upstream: usize },
    Reported { number: u32, balancer: usize, upstream: usize, report: Report },
    Sample,
    BalancerRestart,
    AgentRestart,
}

struct Server {
    agent: AgentCore,
    service_time_us: u64,
    /// When each slot is free.
    slots_us: [u64; SLOTS as usize],
    /// When each request arrived that was not answered yet.
    waiting: BTreeMap<u32, u64>,
}

impl Server {
    /// Lets the upstream process a request, and returns when it is done.
    fn process(&mut self, now_us: u64) -> u64 {
        let slot = self.slots_us.iter_mut().min().expect("there are slots");
        *slot = (*slot).max(now_us) + self.service_time_us;
        *slot
    }

    /// The delay that a new request is expected to have.
    fn delay_ms(&mut self, now_us: u64) -> f64 {
        self.waiting.retain(|_, since_us| now_us - *since_us < CALLER_TIMEOUT_US);
        let ahead = (self.waiting.len() + 1).saturating_sub(usize::from(SLOTS));
        self.service_time_us as f64 / 1e3 * (1.0 + ahead as f64 / f64::from(SLOTS))
    }
}

struct Replay {
    setup: Setup,
    view: View,
    edges: Vec<Edge>,
    servers: Vec<Server>,
    now_us: u64,
    /// Events by time and by the order in which they were scheduled.
    events: BTreeMap<(u64, u64), Event>,
    scheduled: u64,
    reports: u64,
    state: u64,
    samples: u64,
    sums_ms: Vec<f64>,
    measured: Measured,
}

impl Setup {
    fn policy(&self) -> Policy {
        // Openings whose report is late or lost would be retransmitted, and count twice.
        Policy { delay_placement: self.delay_placement, repeats: false, ..Policy::default() }
    }

    pub(crate) fn service_time_us(index: usize) -> u64 {
        SERVICE_TIME_US * FACTORS[index % FACTORS.len()] / 10
    }

    /// Requests per second that an upstream can process.
    pub(crate) fn rate(index: usize) -> f64 {
        f64::from(SLOTS) * 1e6 / Self::service_time_us(index) as f64
    }
}

/// Replays a load.
pub(crate) fn replay(setup: Setup) -> Measured {
    let mut replay = Replay::new(setup);
    while let Some(((at_us, _), event)) = replay.events.pop_first() {
        if at_us >= setup.for_ms * 1_000 {
            break;
        }
        replay.now_us = at_us;
        replay.handle(event);
    }
    let beyond_ranks = replay.edges.iter().map(|edge| edge.counters().placed_beyond_ranks).sum();
    Measured { beyond_ranks, ..replay.measured }
}

impl Replay {
    fn new(setup: Setup) -> Self {
        let view = view_of(&vec![READY; usize::from(setup.upstreams)]);
        let slots = |upstream: &Upstream| Upstream { slots: u32::from(SLOTS), ..*upstream };
        let view = View::new(view.routes.clone(), view.upstreams().iter().map(slots).collect());
        let count = usize::from(setup.upstreams);
        let server = |index| Server {
            agent: AgentCore::with_policy(SERVICE, setup.policy()),
            service_time_us: Setup::service_time_us(index),
            slots_us: [0; SLOTS as usize],
            waiting: BTreeMap::new(),
        };
        let mut replay = Self {
            setup,
            view,
            edges: (0..setup.balancers).map(|_| Edge::with_policy(setup.policy())).collect(),
            servers: (0..count).map(server).collect(),
            now_us: 0,
            events: BTreeMap::new(),
            scheduled: 0,
            reports: 0,
            state: setup.seed,
            samples: 0,
            sums_ms: vec![0.0; count],
            measured: Measured { flows: vec![0; count], ..Measured::default() },
        };
        replay.schedule(0, Event::Opening { number: 0 });
        replay.schedule(SAMPLE_US, Event::Sample);
        let restarts = [
            (setup.balancer_restarts_ms, Event::BalancerRestart),
            (setup.agent_restarts_ms, Event::AgentRestart),
        ];
        for (at_ms, event) in restarts {
            at_ms.into_iter().for_each(|at_ms| replay.schedule(at_ms * 1_000, event));
        }
        replay
    }

    fn schedule(&mut self, after_us: u64, event: Event) {
        self.scheduled += 1;
        self.events.insert((self.now_us + after_us, self.scheduled), event);
    }

    /// A number from a fixed sequence, between zero and one.
    fn random(&mut self) -> f64 {
        self.state = self.state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.state >> 33) as f64 / (1_u64 << 31) as f64
    }

    fn handle(&mut self, event: Event) {
        let now_ms = self.now_us / 1_000;
        match event {
            Event::Opening { number } => self.open(now_ms, number),
            Event::OpeningAtAgent { number, balancer, upstream } => {
                let metadata = ForwardMetadata {
                    balancer: balancer_address(balancer),
                    wants_report: true,
                    ..metadata(SLOTS)
                };
                let opening = on_flow(number, opening(1, 0));
                let agent = &mut self.servers[upstream].agent;
                agent.on_packet(now_ms, &opening, &[], metadata);
                let accepted = Answer { data_bytes: 0, opening: true, ..answer(number) };
                let report = agent.on_answer(now_ms, accepted).report;
                self.report(number, upstream, balancer, report);
                self.schedule(REQUEST_AFTER_US, Event::Request { number, upstream });
            }
            Event::Request { number, upstream } => {
                let server = &mut self.servers[upstream];
                server.waiting.insert(number, self.now_us);
                let request = on_flow(number, data(1, 5));
                let bytes = number.to_le_bytes();
                let outcome = server.agent.on_packet(now_ms, &request, &bytes, metadata(SLOTS));
                if outcome.delivery == Delivery::Deliver {
                    self.process(number, upstream);
                }
                self.release(now_ms, upstream);
            }
            Event::Completed { number, upstream } => {
                let server = &mut self.servers[upstream];
                server.waiting.remove(&number);
                server.agent.on_answer(now_ms, Answer { last: true, ..answer(number) });
                self.release(now_ms, upstream);
            }
            Event::Reported { number, balancer, upstream, report } => {
                let Report { busy, opening_sequence, load, .. } = report;
                let held = Verdict::Held { busy, opening_sequence, load };
                let from = self.view.upstreams()[upstream].address;
                let opening = on_flow(number, opening(1, 0));
                verdict(&mut self.edges[balancer], now_ms, &self.view, from, held, &opening);
            }
            Event::Sample => self.sample(),
            Event::BalancerRestart => self.edges[0] = Edge::with_policy(self.setup.policy()),
            Event::AgentRestart => {
                let policy = self.setup.policy();
                let agent = &mut self.servers[0].agent;
                let mut ended = std::mem::replace(agent, AgentCore::with_policy(SERVICE, policy));
                while let Some(packets) = ended.take_any_queued() {
                    self.process(number_of(&packets), 0);
                }
            }
        }
    }

    fn open(&mut self, now_ms: Millis, number: u32) {
        let count = self.edges.len();
        let balancer = (self.random() * count as f64) as usize;
        let opening = on_flow(number, opening(1, 0));
        let actions = packet(&mut self.edges[balancer], now_ms, &self.view, &opening);
        let to = target(&actions[0]).expect("every opening is placed");
        let upstreams = self.view.upstreams();
        let upstream = upstreams.iter().position(|upstream| upstream.address == to);
        let upstream = upstream.expect("the upstream is listed");
        self.measured.flows[upstream] += 1;
        self.schedule(HOP_US, Event::OpeningAtAgent { number, balancer, upstream });
        let rate: f64 = (0..self.servers.len()).map(Setup::rate).sum();
        let mean_us = 1e6 / (rate * self.setup.load_percent as f64 / 100.0);
        let after_us = -(1.0 - self.random()).ln() * mean_us;
        self.schedule(after_us as u64, Event::Opening { number: number + 1 });
    }

    fn report(&mut self, number: u32, upstream: usize, balancer: usize, report: Option<Report>) {
        let Some(report) = report else { return };
        self.reports += 1;
        if self.setup.lose_every > 0 && self.reports.is_multiple_of(self.setup.lose_every) {
            return;
        }
        let late_us = if balancer % 2 == 1 { self.setup.late_ms * 1_000 } else { 0 };
        self.schedule(HOP_US + late_us, Event::Reported { number, balancer, upstream, report });
    }

    fn process(&mut self, number: u32, upstream: usize) {
        let done_us = self.servers[upstream].process(self.now_us);
        self.schedule(done_us - self.now_us, Event::Completed { number, upstream });
    }

    fn release(&mut self, now_ms: Millis, upstream: usize) {
        while let Some(released) = self.servers[upstream].agent.next_released(now_ms) {
            self.process(number_of(&released.packets), upstream);
        }
    }

    fn sample(&mut self) {
        for (sum_ms, server) in self.sums_ms.iter_mut().zip(&mut self.servers) {
            *sum_ms += server.delay_ms(self.now_us);
        }
        self.samples += 1;
        let per_window = WINDOW_MS * 1_000 / SAMPLE_US;
        if self.samples.is_multiple_of(per_window) {
            let mean_ms =
                self.sums_ms.iter_mut().map(|sum_ms| std::mem::take(sum_ms) / per_window as f64);
            let means_ms = mean_ms.collect();
            // At first, no balancer knows anything.
            if self.samples > per_window {
                self.measured.delays_ms.push(means_ms);
            }
        }
        self.schedule(SAMPLE_US, Event::Sample);
    }
}

/// The number of the flow of a request.
fn number_of(packets: &[Box<[u8]>]) -> u32 {
    u32::from_le_bytes((*packets[0]).try_into().expect("a packet is the number of its flow"))
}

fn on_flow(number: u32, segment: Segment) -> Segment {
    Segment { flow: flow_of(number), ..segment }
}

fn flow_of(number: u32) -> FlowKey {
    let [high, middle, low, lowest] = number.to_be_bytes();
    let caller = Ipv4Addr::new(100, 64, high, middle);
    let caller = SocketAddrV4::new(caller, u16::from_be_bytes([low, lowest]));
    FlowKey { caller, ..super::flow(1) }
}

fn answer(number: u32) -> Answer {
    Answer { flow: flow_of(number), ..super::agent::answer(1) }
}

fn balancer_address(balancer: usize) -> Ipv4Addr {
    Ipv4Addr::from_bits(Ipv4Addr::new(10, 1, 0, 1).to_bits() + balancer as u32)
}
