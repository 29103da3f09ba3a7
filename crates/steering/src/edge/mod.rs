//! Decisions of a balancer: where each packet of a caller goes, and what follows when an agent
//! returns it.
//!
//! The flow table is only a cache. A balancer without an entry asks the upstreams of the service
//! one after the other, in a ranking that all balancers share. An upstream that does not hold the
//! flow returns the packet; the agent of the one that holds it reports so once.

mod budget;
mod candidates;
mod delay;
mod flows;
mod lag;
mod loads;
mod openings;
mod overload;
mod pending;
mod placement;
mod proof;
mod reach;
mod search;
mod service_readers;
mod survey;
mod types;
mod typical;
mod visits;

use std::net::Ipv4Addr;
use std::sync::Arc;

use crate::flow::{FlowKey, Millis, Segment, SegmentKind};
use crate::policy::Policy;
use crate::side::EndpointReport;
use crate::view::{ServiceStamp, View, ZoneStamp};

use budget::Budget;
pub use flows::FLOWS_MAX;
use flows::FlowTable;
use lag::Lag;
use loads::LoadTable;
use overload::Probes;
use pending::PendingTable;
pub use pending::{PENDING_BYTES_MAX, RETRANSMIT_AFTER_MS};
use placement::service_of;
use reach::Reach;
use service_readers::ServiceReaders;
pub use survey::Question;
use survey::Survey;
pub use types::{Action, AgentReply, Counters, Destination, Reason, Trust, Verdict};

/// A balancer expires flows at least every 60 ms. A longer gap than this means that the process was
/// paused.
const PAUSE_THRESHOLD_MS: Millis = 300;
/// Time that a paused process needs to work through the packets queued meanwhile: its socket holds
/// a few hundred, and each takes well under 0.1 ms.
const BACKLOG_DRAIN_MS: Millis = 100;
/// From this lag on, a balancer attributes missing replies to its own backlog. An unloaded round
/// trip takes under 5 ms, and the first retransmission follows after 60.
const LAG_THRESHOLD_MS: Millis = 40;
/// An upstream that has been unresponsive for this long, while its agent is alive, counts as one
/// that denies the flow: upstreams answer at once or return the packet.
const UNRESPONSIVE_AS_DENIAL_MS: Millis = 400;

/// The state of a balancer.
#[derive(Default)]
pub struct Edge {
    policy: Policy,
    flows: FlowTable,
    loads: LoadTable,
    probes: Probes,
    pending: PendingTable,
    lag: Lag,
    budget: Budget,
    reach: Reach,
    service_readers: ServiceReaders,
    survey: Survey,
    trust: Trust,
    /// Flows count as lost only after a read of the configuration service that began at this time
    /// or later.
    read_wanted_ms: Option<Millis>,
    /// Flows that this read may prove lost.
    awaiting_read: Vec<FlowKey>,
    last_called_ms: Millis,
    resumed_ms: Millis,
    counters: Counters,
}

impl Edge {
    /// A balancer core with this policy.
    pub fn with_policy(policy: Policy) -> Self {
        Self {
            policy,
            loads: LoadTable::with_policy(policy),
            budget: Budget::with_policy(policy),
            ..Self::default()
        }
    }

    /// Sets the balancer's own availability zone.
    #[must_use]
    pub fn in_zone(mut self, zone: ZoneStamp) -> Self {
        self.loads.set_zone(zone);
        self
    }

    /// Decides about a caller's packet; `bytes` is the whole packet.
    pub fn on_packet(
        &mut self,
        now_ms: Millis,
        view: &View,
        segment: &Segment,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
        self.detect_pause(now_ms);
        self.budget.credit();
        let before = actions.len();
        match segment.kind {
            SegmentKind::Opening { .. } => {
                self.handle_opening(now_ms, view, segment, bytes, actions)
            }
            SegmentKind::Later => self.handle_later(now_ms, view, segment, bytes, actions),
            SegmentKind::Reset => self.handle_reset(now_ms, view, segment, bytes, actions),
        }
        self.note_requests(now_ms, view, segment.flow, &actions[before..]);
    }

    /// Sets how far the list of upstreams can be trusted to be complete.
    pub fn set_trust(&mut self, trust: Trust) {
        if trust.current_at_ms > self.trust.current_at_ms {
            self.awaiting_read.drain(..).for_each(|flow| self.pending.hasten(flow));
        }
        self.trust = trust;
    }

    /// Handles an agent's reply about a packet; the reply carries the packet itself.
    pub fn on_agent_reply(
        &mut self,
        now_ms: Millis,
        view: &View,
        reply: AgentReply<'_>,
        segment: &Segment,
        actions: &mut Vec<Action>,
    ) {
        self.detect_pause(now_ms);
        let before = actions.len();
        let AgentReply { from, verdict, reads_service, .. } = reply;
        self.reach.record_reply(from);
        self.service_readers.record_reply(from, reads_service);
        let entry = self.flows.get(segment.flow);
        if let Some(round_trip_ms) = entry.and_then(|entry| entry.take_round_trip(now_ms, from)) {
            self.lag.record(now_ms, round_trip_ms);
        }
        match verdict {
            Verdict::Held { busy, opening_sequence, load } => {
                self.loads.record_report(now_ms, view, from, busy, load);
                self.on_held(now_ms, from, opening_sequence, segment.flow);
            }
            Verdict::Alive if !reads_service => self.survey.on_unable(now_ms, from),
            Verdict::Alive => {}
            Verdict::ServiceNotStated => self.state_service(now_ms, view, from, segment, actions),
            Verdict::Denied | Verdict::WrongService { .. } => {
                self.on_denied(now_ms, view, reply, segment, actions);
            }
            Verdict::RateLimited { for_ms } => {
                self.loads.record_rate_limit(now_ms, view, from, for_ms);
                self.on_denied(now_ms, view, reply, segment, actions);
            }
            Verdict::Overloaded { for_ms } if self.policy.overload_admission => {
                if self.record_overload(now_ms, view, reply, for_ms, segment) {
                    self.on_denied(now_ms, view, reply, segment, actions);
                }
            }
            // Without the mechanism, it counts as the limit that earlier releases take it for.
            Verdict::Overloaded { for_ms } => {
                self.loads.record_rate_limit(now_ms, view, from, for_ms);
                self.on_denied(now_ms, view, reply, segment, actions);
            }
            Verdict::Unresponsive { for_ms } => {
                self.loads.record_no_reply(now_ms, view, from);
                if let Some(entry) = self.flows.get(segment.flow) {
                    entry.denials_in_doubt = true;
                }
                if for_ms >= UNRESPONSIVE_AS_DENIAL_MS || segment.kind != SegmentKind::Later {
                    self.on_denied(now_ms, view, reply, segment, actions);
                }
            }
        }
        self.note_requests(now_ms, view, segment.flow, &actions[before..]);
    }

    /// Whether a packet to the agent at `address` states its service.
    pub fn may_state_service(&self, address: Ipv4Addr) -> bool {
        self.service_readers.may_state_service(address)
    }

    /// Sends a packet again to an agent that could not tell to which service it is addressed.
    fn state_service(
        &self,
        now_ms: Millis,
        view: &View,
        to: Ipv4Addr,
        segment: &Segment,
        actions: &mut Vec<Action>,
    ) {
        let flow = segment.flow;
        let service = match segment.kind {
            SegmentKind::Opening { .. } => service_of(view, flow),
            SegmentKind::Later | SegmentKind::Reset => self.service_to_ask(now_ms, view, flow, to),
        };
        let Some(service) = service else { return };
        let to = Destination::of(now_ms, view, flow, to, service);
        actions.push(Action::Forward { to, wants_report: true, reason: Reason::Known });
    }

    /// Whether the budget allows one more packet beyond the callers' own; if not, counts it as
    /// suppressed.
    fn try_spend_budget(&mut self) -> bool {
        let allowed = self.budget.try_spend();
        self.counters.suppressed += u64::from(!allowed);
        allowed
    }

    /// Records the agents from which a reply is expected.
    fn note_requests(&mut self, now_ms: Millis, view: &View, flow: FlowKey, actions: &[Action]) {
        if !self.policy.reach {
            return;
        }
        for action in actions {
            if let Action::Forward { to, wants_report: true, .. } = action {
                self.reach.record_request(now_ms, view, to.address, flow);
            }
        }
    }

    /// Retransmits packets that no upstream has answered, to other upstreams first, and removes
    /// expired flows. Each action is paired with the packet that it applies to.
    pub fn on_tick(&mut self, now_ms: Millis, view: &View, actions: &mut Vec<(Arc<[u8]>, Action)>) {
        self.detect_pause(now_ms);
        self.survey.note_list(now_ms, view, self.trust);
        let repeats = self.policy.repeats && !self.is_lagging(now_ms);
        let due = if repeats { self.pending.take_due(now_ms) } else { Vec::new() };
        for due in due {
            let mut retries = Vec::new();
            match due.segment.kind {
                SegmentKind::Opening { .. } => self.retry_opening(now_ms, view, &due, &mut retries),
                SegmentKind::Later => self.retry_search(now_ms, view, &due, &mut retries),
                SegmentKind::Reset => {}
            }
            self.note_requests(now_ms, view, due.segment.flow, &retries);
            actions.extend(retries.into_iter().map(|action| (Arc::clone(&due.packet), action)));
        }
        self.flows.expire(now_ms);
    }

    /// Agents to ping now, because replies from them are missing.
    pub fn take_pings(&mut self, now_ms: Millis, view: &View) -> Vec<Ipv4Addr> {
        if self.policy.pings { self.reach.take_pings(now_ms, view) } else { Vec::new() }
    }

    /// Questions to ask agents now, because flows may be open at upstreams that searches do not ask.
    pub fn take_questions(&mut self, now_ms: Millis, view: &View) -> Vec<Question> {
        self.survey.take_questions(now_ms, view)
    }

    /// The time at or after which a read of the configuration service has to begin, because flows
    /// were denied by all listed upstreams and the list may be older than these flows.
    pub fn take_wanted_read(&mut self) -> Option<Millis> {
        self.read_wanted_ms.take()
    }

    /// Handles the answer of the agent at `from`, beside an upstream of `service`, to the question
    /// with this number.
    pub fn on_endpoint_report(
        &mut self,
        now_ms: Millis,
        from: Ipv4Addr,
        service: ServiceStamp,
        number: u32,
        report: &EndpointReport,
    ) {
        self.reach.record_reply(from);
        self.service_readers.record_reply(from, true);
        self.survey.on_answer(now_ms, from, service, number, report);
    }

    /// Detects a pause of the process. Afterwards, queued packets are read before any update of the
    /// view, so upstreams may have started and entries may have lapsed unnoticed. Until the list was
    /// read again, no flow counts as lost.
    fn detect_pause(&mut self, now_ms: Millis) {
        if now_ms.saturating_sub(self.last_called_ms) >= PAUSE_THRESHOLD_MS {
            self.resumed_ms = now_ms;
            self.reach.clear();
        }
        self.last_called_ms = now_ms;
    }

    /// Number of flows in the table.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Bytes of the packets kept for retransmission.
    pub fn kept_bytes(&self) -> usize {
        self.pending.bytes()
    }

    /// Whether missing replies mean nothing at present, since they may still wait unread in this
    /// process.
    ///
    /// Retransmissions and searches for replies that are only late would lengthen the backlog.
    fn is_lagging(&mut self, now_ms: Millis) -> bool {
        self.policy.lag && self.lag.value_ms(now_ms) >= LAG_THRESHOLD_MS
    }

    /// Delay with which this process reads its packets.
    pub fn lag_ms(&mut self, now_ms: Millis) -> Millis {
        self.lag.value_ms(now_ms)
    }

    /// Smallest and largest service time that agents have reported, as of the latest placements;
    /// `None` if none is known.
    pub fn service_time_range_ms(&self, now_ms: Millis) -> Option<(u16, u16)> {
        self.loads.service_time_range_ms(now_ms)
    }

    /// What this balancer has done since its start.
    pub fn counters(&self) -> Counters {
        Counters { placed_beyond_ranks: self.loads.placed_beyond_ranks(), ..self.counters }
    }

    fn handle_reset(
        &mut self,
        now_ms: Millis,
        view: &View,
        segment: &Segment,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
        self.handle_later(now_ms, view, segment, bytes, actions);
        self.pending.remove(segment.flow);
        self.flows.expire_soon(segment.flow, now_ms);
    }

    fn on_held(
        &mut self,
        now_ms: Millis,
        from: Ipv4Addr,
        opening_sequence: Option<u32>,
        flow: FlowKey,
    ) {
        self.pending.remove(flow);
        let entry = self.flows.entry(flow, now_ms);
        entry.clear_denials();
        entry.end_doubt();
        entry.clear_suspicion();
        if let Some(sequence) = opening_sequence {
            entry.record_answer(from, sequence);
            if entry.confirmed {
                return;
            }
        }
        if !entry.confirmed && entry.sequence.is_none() {
            self.counters.flows_found += 1;
            self.counters.upstreams_asked += entry.visits.asked_count();
        }
        entry.target = Some(from);
        entry.confirmed = true;
    }

    fn on_denied(
        &mut self,
        now_ms: Millis,
        view: &View,
        reply: AgentReply<'_>,
        segment: &Segment,
        actions: &mut Vec<Action>,
    ) {
        self.counters.denials += 1;
        match segment.kind {
            SegmentKind::Opening { .. } => {
                self.on_opening_denied(now_ms, view, reply.from, segment, actions)
            }
            SegmentKind::Later => self.on_later_denied(now_ms, view, reply, segment, actions),
            SegmentKind::Reset => {}
        }
    }
}
