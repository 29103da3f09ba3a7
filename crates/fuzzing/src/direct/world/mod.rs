//! Simulated world of the direct-return path: an event queue, the core's balancers and agents, and
//! the checks of the promises.

mod callers;
mod changes;
mod checks;
mod layout;
mod lists;
mod overload;
mod packets;
mod reads;
mod reports;
mod store;
mod survey;
mod timeline;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use steering::edge::{Destination, Edge, Verdict};
use steering::flow::{FlowKey, Segment, SegmentKind};
use steering::history::History;
use steering::knowledge::Knowledge;
use steering::membership::UpstreamRecord;
use steering::peers::BEACON_MS;
use steering::side::{AgentCore, EndpointReport};
use steering::view::{Regions, RouteTable, Service, View};

pub use layout::Size;
use layout::{
    SERVICES, SPLITS, UNCONFIGURED_SERVICE, address, balancer_address, balancer_index, endpoint,
    endpoint_index, region_of, route, upstream_of, zone_of, zone_stamp,
};
pub(super) use layout::{SERVICES_COUNT, ZONES};
use overload::Overload;
use reads::Read;
use store::{Answer, Item, ReaderReport, Store};
use timeline::Entry;
pub use timeline::Timeline;

use super::caller::{Caller, State};
use super::upstream::{LongAnswer, Upstream};
use super::{Mutant, Outcome, Violation};

/// Time after which an agent that was unreachable counts as reachable by all balancers again: a
/// balancer's knowledge that it is unresponsive may be half a second old.
const REACHABLE_AFTER_MS: u64 = 600;
/// Longer by this where datagrams get lost: a lost reply to a ping is followed by another ping.
const LOST_PING_MS: u64 = 400;
/// Age from which on a flow may be discarded.
const FLOW_TTL_MS: u64 = 20_000;
const TICK_MS: u64 = 20;
/// Time for which a starting balancer waits for the other balancers' answers.
const PEER_QUERY_MS: u64 = 100;
/// Mean interval between two changes.
const CHANGE_INTERVAL_MS: u64 = 400;
/// Delay within which a published list arrives at a balancer.
const LIST_DELAY_MAX_MS: u64 = 30;
/// Time for the world to recover from a disturbance. Until then a flow may not be found.
const SETTLE_MS: u64 = 5_000;
/// Time after which a change of the list is in effect at every balancer that is not cut off: an
/// upstream that is draining, or whose availability zone is closed, receives no more openings.
const PROPAGATION_MS: u64 = 3_000;
/// Index of the service whose cold upstreams have a limit.
const LIMITED_SERVICE: usize = 0;
/// Limit of a cold upstream of this service, in openings per second.
const COLD_OPENINGS_PER_S: u32 = 5;
/// Maximum number of openings in any second that keeps the promise. The platform's rules allow half
/// as many again as the limit, plus five.
const COLD_OPENINGS_MAX: usize = 12;
/// Time for which an upstream is cold after its start.
const COLD_MS: u64 = 2_000;
/// Maximum number of consecutive new flows that may pass over an upstream, per running upstream of
/// its service.
const PASSED_OVER_MAX: usize = 20;

/// A caller's packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Packet {
    pub(super) segment: Segment,
    /// Incarnation of the upstream whose sequence number the caller acknowledges; zero before that.
    pub(super) acknowledged_incarnation: u64,
}

/// A packet of no flow, for an agent's report that it is alive.
const EMPTY_PACKET: Packet = Packet {
    segment: Segment {
        flow: FlowKey {
            caller: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
            endpoint: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
        },
        kind: SegmentKind::Later,
        sequence: 0,
        acknowledged: 0,
        data_bytes: 0,
        last: false,
    },
    acknowledged_incarnation: 0,
};

#[derive(Clone, Debug)]
enum Event {
    CallerTimer(usize),
    ToBalancer(usize, Packet),
    ToAgent {
        balancer: usize,
        packet: Packet,
        to: Destination,
        report: bool,
    },
    Ping {
        balancer: usize,
        upstream: usize,
    },
    Question {
        balancer: usize,
        upstream: usize,
        number: u32,
    },
    EndpointAnswer {
        balancer: usize,
        upstream: usize,
        service: usize,
        number: u32,
        report: EndpointReport,
    },
    Reply {
        balancer: usize,
        upstream: usize,
        verdict: Verdict,
        packet: Packet,
    },
    Accepted {
        caller: usize,
        flow: FlowKey,
        upstream: usize,
        incarnation: u64,
    },
    Answered {
        caller: usize,
        flow: FlowKey,
    },
    Part {
        caller: usize,
        flow: FlowKey,
        part: LongAnswer,
    },
    Resend {
        upstream: usize,
        incarnation: u64,
        flow: FlowKey,
        part: LongAnswer,
    },
    ResetCaller {
        caller: usize,
        flow: FlowKey,
    },
    Closed {
        caller: usize,
        flow: FlowKey,
    },
    SlowAnswer {
        upstream: usize,
        incarnation: u64,
        packet: Packet,
    },
    LapseEntry {
        upstream: usize,
        incarnation: u64,
    },
    Tick,
    Report,
    Change,
    ListArrives(usize),
    StartBalancer(usize),
    StartAgent(usize),
    StartUpstream(usize),
    StopUpstream(usize),
    Relist(usize),
    OpenZone(usize),
    LoseStore,
    StoreReturns,
    WriteAgain(Item),
    StoreCall(usize),
    StoreAnswers {
        balancer: usize,
        answer: Box<Answer>,
    },
    Reported {
        to: usize,
        report: Box<ReaderReport>,
    },
    ReadBegins(usize),
    ReadEnds {
        balancer: usize,
        began_ms: u64,
        read: Box<Read>,
    },
}

impl Event {
    /// Whether it is a packet that waits for this balancer.
    fn is_for(&self, number: usize) -> bool {
        matches!(self,
            Self::ToBalancer(balancer, _)
            | Self::Reply { balancer, .. }
            | Self::StoreAnswers { balancer, .. }
            | Self::ReadBegins(balancer)
            | Self::ReadEnds { balancer, .. }
            | Self::Reported { to: balancer, .. } if *balancer == number)
    }
}

struct Balancer {
    edge: Edge,
    knowledge: Knowledge,
    view: View,
    /// Whether a call to the configuration service is on its way. Unused where every balancer
    /// receives the published list, like the next fields.
    is_calling: bool,
    /// Whether something was published during the call.
    calls_again: bool,
    /// Whether its next call lists everything.
    reads_all: bool,
    /// When the configuration service answered it last.
    store_answered_ms: Option<u64>,
    up: bool,
    /// When callers' packets first reach it: other balancers have replied to it by then.
    serves_from_ms: u64,
    cut_until_ms: u64,
    paused_until_ms: u64,
    complete_from_ms: u64,
    /// A time at which its list was current.
    current_at_ms: u64,
    /// Until when it hears of no changes.
    lists_delayed_until_ms: u64,
    /// Number of the published list that it has.
    list_number: u64,
    /// Whether it reads the list itself at present.
    is_reading: bool,
    /// When it started, if no other balancer could then report what had happened before.
    started_alone_ms: Option<u64>,
}

/// State of the simulation.
pub struct World {
    /// Result so far.
    pub outcome: Outcome,
    size: Size,
    rng: Pcg64Mcg,
    /// For reports of balancers, so that these draw nothing from the generator of the changes.
    reports_rng: Pcg64Mcg,
    /// The same for questions about endpoints, and the answers.
    survey_rng: Pcg64Mcg,
    /// The same for reads of the list.
    reads_rng: Pcg64Mcg,
    mutant: Option<Mutant>,
    now_ms: u64,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    balancers: Vec<Balancer>,
    agents: Vec<Option<AgentCore>>,
    /// Until when each agent is unreachable, or was most recently.
    unreachable_until_ms: Vec<u64>,
    upstreams: Vec<Upstream>,
    listed: Vec<Option<UpstreamRecord>>,
    /// How often the list was published.
    list_number: u64,
    callers: Vec<Caller>,
    packets: Vec<Packet>,
    routes: Arc<RouteTable>,
    /// Until when each endpoint's route led to each service: zero if it never did, `u64::MAX` if it
    /// still does.
    routed_until_ms: [[u64; SERVICES_COUNT]; SERVICES_COUNT],
    /// Since when some route leads to each service; `None` if none does.
    routed_since_ms: [Option<u64>; SERVICES_COUNT],
    regions: Arc<Regions>,
    /// Since when each availability zone is closed, if it is, and since when it is open otherwise.
    closed_since_ms: [Option<u64>; ZONES],
    opened_since_ms: [u64; ZONES],
    /// Number of consecutive new flows that passed over each upstream although it could have
    /// accepted them.
    passed_over: Vec<usize>,
    salt: u64,
    incarnations: u64,
    ports: u16,
    disturbed_until_ms: u64,
    /// The configuration service, if it comes back from copies.
    store: Option<Store>,
    overload: Overload,
    /// What has happened, if it is recorded.
    pub(super) timeline: Option<Timeline>,
}

impl World {
    /// Creates an undisturbed world in which all callers open their flows.
    pub fn new(size: Size, seed: u64, mutant: Option<Mutant>) -> Self {
        let route = |service: usize| overload::timed(size.bursts, route(service, SPLITS[service]));
        let limited = Service {
            stamp: SERVICES[LIMITED_SERVICE],
            cold_openings_per_ks: COLD_OPENINGS_PER_S * 1_000,
        };
        let limits = [limited].into_iter().filter(|_| mutant != Some(Mutant::ColdLimitIgnored));

        let mut world = Self {
            outcome: Outcome::default(),
            size,
            rng: Pcg64Mcg::seed_from_u64(seed),
            reports_rng: Pcg64Mcg::seed_from_u64(!seed),
            survey_rng: Pcg64Mcg::seed_from_u64(seed.rotate_left(32)),
            reads_rng: Pcg64Mcg::seed_from_u64(!seed.rotate_left(32)),
            mutant,
            now_ms: 0,
            events: BTreeMap::new(),
            next_event: 0,
            balancers: Vec::new(),
            agents: Vec::new(),
            unreachable_until_ms: vec![0; size.upstreams],
            upstreams: vec![Upstream::default(); size.upstreams],
            listed: vec![None; size.upstreams],
            list_number: 0,
            callers: Vec::new(),
            packets: Vec::new(),
            routes: Arc::new(RouteTable::new(1, vec![route(0), route(1)], limits)),
            routed_until_ms: [[u64::MAX, 0], [0, u64::MAX]],
            routed_since_ms: [Some(0); SERVICES_COUNT],
            regions: Arc::new(Regions::new(
                (0..ZONES).map(|zone| (zone_stamp(zone), region_of(zone))),
            )),
            closed_since_ms: [None; ZONES],
            opened_since_ms: [0; ZONES],
            passed_over: vec![0; size.upstreams],
            salt: seed,
            incarnations: 0,
            ports: 1_024,
            disturbed_until_ms: 0,
            store: None,
            overload: Overload::default(),
            timeline: None,
        };
        world.populate(seed);
        world
    }

    /// Runs the simulation until `length_ms`.
    pub fn run(&mut self, length_ms: u64) {
        while let Some(((at_ms, _), event)) = self.events.pop_first() {
            if at_ms > length_ms {
                return;
            }
            self.now_ms = at_ms;
            self.note_event(&event);
            self.on_event(event);
        }
    }

    fn populate(&mut self, seed: u64) {
        for upstream in 0..self.size.upstreams {
            self.agents.push(None);
            self.start_upstream(upstream, usize::from(upstream >= self.size.second_service_from));
            self.start_agent(upstream);
        }
        if self.size.store_returns_percent > 0 {
            self.start_store(seed);
        }
        for _ in 0..self.size.balancers {
            let balancer = self.new_balancer();
            self.balancers.push(balancer);
        }
        for caller in 0..self.size.callers {
            let flow = self.new_flow();
            let mut opened = self.new_caller(caller, flow, 0);
            if self.is_parked(caller) {
                opened.park();
            }
            self.callers.push(opened);
            self.schedule((caller % 24) as u64 * 7, Event::CallerTimer(caller));
        }
        self.schedule(TICK_MS, Event::Tick);
        self.schedule(BEACON_MS, Event::Report);
        self.schedule(1_000, Event::Change);
    }

    fn new_balancer(&self) -> Balancer {
        let mut history = match self.now_ms {
            0 => History::from_first_start(FLOW_TTL_MS),
            now_ms => History::from_now(now_ms, FLOW_TTL_MS),
        };
        let knowledge = if self.store.is_some() {
            self.knowledge_at_start(history)
        } else {
            self.learn_at_start(&mut history);
            let mut knowledge = Knowledge::new(history);
            self.fill_membership(&mut knowledge.membership, &self.published_list());
            knowledge.routes = Arc::clone(&self.routes);
            knowledge
        };
        let view = self.view_of(&knowledge);
        Balancer {
            edge: Edge::with_policy(overload::policy(self.size.bursts)),
            knowledge,
            view,
            is_calling: false,
            calls_again: false,
            reads_all: false,
            store_answered_ms: (self.now_ms == 0).then_some(0),
            up: true,
            serves_from_ms: if self.store.is_some() { self.now_ms + PEER_QUERY_MS } else { 0 },
            cut_until_ms: 0,
            paused_until_ms: 0,
            complete_from_ms: self.peers_complete_from_ms(),
            current_at_ms: 0,
            lists_delayed_until_ms: 0,
            list_number: self.list_number,
            is_reading: false,
            started_alone_ms: self.no_peer_has_history().then_some(self.now_ms),
        }
    }

    /// Whether no running balancer that can be reached has been up for longer than missing entries
    /// take to come back.
    fn no_peer_has_history(&self) -> bool {
        if self.store.is_some() {
            return self.no_peer_can_tell();
        }
        !self.balancers.iter().any(|balancer| {
            let connected = balancer.up && balancer.cut_until_ms <= self.now_ms;
            let alone =
                balancer.started_alone_ms.is_some_and(|since| self.now_ms - since < SETTLE_MS);
            connected && !alone
        })
    }

    /// Returns from when on a starting balancer's list counts as complete, as the other balancers
    /// report within its first moments.
    fn peers_complete_from_ms(&self) -> u64 {
        let connected = |balancer: &&Balancer| balancer.up && balancer.cut_until_ms <= self.now_ms;
        let others =
            self.balancers.iter().filter(connected).map(|balancer| balancer.complete_from_ms);
        others.max().unwrap_or(0).max(self.now_ms + PEER_QUERY_MS)
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((self.now_ms + delay_ms, self.next_event), event);
    }

    fn network_delay_ms(&mut self) -> u64 {
        self.rng.random_range(1..4)
    }

    fn new_flow(&mut self) -> FlowKey {
        self.ports = self.ports.wrapping_add(1).max(1_024);
        let caller = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), self.ports);
        FlowKey { caller, endpoint: endpoint(usize::from(self.rng.random_bool(0.3))) }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::CallerTimer(caller) => self.on_caller_timer(caller),
            Event::ToBalancer(balancer, packet) => self.at_balancer(balancer, packet),
            Event::ToAgent { balancer, packet, to, report } => {
                self.at_agent(balancer, packet, to, report);
            }
            Event::Ping { balancer, upstream } => self.at_ping(balancer, upstream),
            Event::Question { balancer, upstream, number } => {
                self.at_question(balancer, upstream, number);
            }
            Event::EndpointAnswer { balancer, upstream, service, number, report } => {
                self.on_endpoint_answer(balancer, upstream, service, number, report);
            }
            Event::Reply { balancer, upstream, verdict, packet } => {
                self.on_reply(balancer, upstream, verdict, packet);
            }
            Event::Accepted { caller, flow, upstream, incarnation } => {
                if self.callers[caller].flow == flow {
                    let packet = self.callers[caller].on_accept(self.now_ms, upstream, incarnation);
                    self.send(caller, packet);
                }
            }
            Event::Answered { caller, flow } => self.on_answered(caller, flow),
            Event::Part { caller, flow, part } => self.on_part(caller, flow, part),
            Event::Resend { upstream, incarnation, flow, part } => {
                self.resend(upstream, incarnation, flow, part);
            }
            Event::ResetCaller { caller, flow } => {
                if self.callers[caller].flow == flow {
                    self.reopen_after_reset(caller);
                }
            }
            Event::Closed { caller, flow } => {
                let current = &self.callers[caller];
                let is_ending =
                    matches!(current.state, State::Ending { .. } | State::Leaving { .. });
                if current.flow == flow && is_ending {
                    self.reopen(caller);
                }
            }
            Event::SlowAnswer { upstream, incarnation, packet } => {
                if self.upstreams[upstream].incarnation != incarnation {
                    // Restarted meanwhile.
                } else if self.size.bursts {
                    self.finish_request(upstream, packet);
                } else {
                    self.answer_data(upstream, packet);
                }
            }
            Event::LapseEntry { upstream, incarnation } => self.lapse_entry(upstream, incarnation),
            Event::Tick => self.tick(),
            Event::Report => self.report(),
            Event::Change => self.change(),
            Event::ListArrives(balancer) => self.receive_list(balancer),
            Event::StartBalancer(balancer) => {
                if self.store.is_some() {
                    self.events.retain(|_, event| !event.is_for(balancer));
                }
                self.note_memory_lost();
                self.balancers[balancer] = self.new_balancer();
                self.forget_verdicts(balancer);
                self.note_started();
                self.delay_first_lists(balancer);
                self.ask_others(balancer);
                self.note(|world| world.balancer_started(balancer));
            }
            Event::StartAgent(upstream) => self.start_agent(upstream),
            Event::StartUpstream(upstream) => {
                let service = self.upstreams[upstream].service;
                self.start_upstream(upstream, service);
                self.publish();
            }
            Event::StopUpstream(upstream) => self.stop_upstream(upstream),
            Event::Relist(upstream) => self.relist(upstream),
            Event::OpenZone(zone) => self.open_zone(zone),
            Event::LoseStore => self.lose_store(),
            Event::StoreReturns => self.restore_store(),
            Event::WriteAgain(item) => self.write_again(item),
            Event::StoreCall(balancer) => self.call_store(balancer),
            Event::StoreAnswers { balancer, answer } => self.on_store_answer(balancer, *answer),
            Event::Reported { to, report } => self.on_reader_report(to, *report),
            Event::ReadBegins(balancer) => self.begin_read(balancer),
            Event::ReadEnds { balancer, began_ms, read } => {
                self.end_read(balancer, began_ms, *read);
            }
        }
    }

    /// Whether the agent beside this upstream runs and has been reachable long enough for all
    /// balancers to know.
    fn is_reachable(&self, upstream: usize) -> bool {
        let lost_ping_ms = if self.size.bursts { LOST_PING_MS } else { 0 };
        let known_after_ms = REACHABLE_AFTER_MS + lost_ping_ms;
        let was_unreachable = self.unreachable_until_ms[upstream] + known_after_ms > self.now_ms;
        self.agents[upstream].is_some() && !was_unreachable
    }

    fn is_cut_off(&self, upstream: usize) -> bool {
        self.unreachable_until_ms[upstream] > self.now_ms
    }

    fn record_violation(&mut self, violation: Violation, flow: FlowKey) {
        self.note(|world| world.broken(violation, flow));
        self.outcome.violations.push((self.now_ms, violation));
    }
}
