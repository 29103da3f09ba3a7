//! Decisions of an agent: which packets go to its upstream, which are returned to a balancer, and
//! which go to a caller.

mod admission;
mod endpoints;
mod estimate;
mod flow;
mod overload;
mod pending_replies;
mod queue;
mod request;
mod service_time;
mod slowdown;
mod types;
mod votes;

use std::collections::{HashMap, VecDeque};
use std::net::Ipv4Addr;

use crate::flow::{FlowKey, Millis, Segment, SegmentKind};
use crate::policy::Policy;
use crate::view::{AddressedService, ServiceStamp};
use admission::{Admission, Refusal};
use endpoints::Endpoints;
pub use endpoints::{ENDPOINTS_MAX, EndpointReport, HeldEndpoint};
use flow::Flow;
use overload::Overload;
use pending_replies::PendingReplies;
use queue::Queue;
use service_time::ServiceTime;
pub use slowdown::{SlowdownChange, SlowdownDetector};
pub use types::{
    Answer, AnswerOutcome, Delivery, ForwardMetadata, GivenUp, GivenUpBy, LoadEstimate,
    PacketOutcome, Released, Report,
};

/// An upstream that has left packets unanswered for this long, and has sent no other packet, counts
/// as unresponsive. A running upstream answers or returns a packet within a millisecond.
pub const UNRESPONSIVE_MS: Millis = 100;
/// Unanswered openings after which an upstream counts as unresponsive; one may get lost. Only
/// openings are answered or returned at once: an answer to data may take the whole service time.
const UNRESPONSIVE_OPENINGS: u32 = 2;
/// After a pause of this process of this length or more, missing answers prove nothing about the
/// upstream.
const PAUSE_THRESHOLD_MS: Millis = 80;
/// Maximum number of flows in the table. An upstream holds 2,000.
const FLOWS_MAX: usize = 16_384;
/// A running upstream keeps a flow for longer than this after its last packet on it. Idle flows are
/// closed after many seconds.
const FLOW_KEPT_MIN_MS: Millis = 1_000;
/// A flow on which the upstream has sent nothing is removed from the table after this time without
/// packets. Others stay for as long as the upstream may hold them.
const UNANSWERED_TIMEOUT_MS: Millis = 20_000;
/// A request counts as in progress for at most this long, so that requests whose answers were lost
/// do not stay counted.
const BUSY_MAX_MS: Millis = 3_000;
/// Interval between two sweeps of the flow table.
const SWEEP_INTERVAL_MS: Millis = 1_000;
/// Requests passed to the upstream beyond its slots, so that a free slot never waits for its next
/// request.
const REQUESTS_BEYOND_SLOTS: u32 = 1;
/// Data bytes of a full packet. A full packet is followed by more data of the same request, with
/// round trips in between, and the upstream starts processing only with the last packet.
const FULL_PACKET_BYTES: u16 = 1_200;
/// Mean service times that must be left before the caller gives up when a queued request is passed
/// on. A request that its caller abandons occupies a slot for nothing.
const RESERVED_SERVICE_TIMES: Millis = 3;
/// Network delay of an answer on its way to the caller.
const NETWORK_DELAY_MS: Millis = 3;

/// State of an agent. It performs no I/O.
pub struct AgentCore {
    service: ServiceStamp,
    policy: Policy,
    flows: HashMap<FlowKey, Flow>,
    queue: Queue,
    /// Notes about queued requests whose callers gave up, until the process reads them.
    given_up: VecDeque<GivenUp>,
    service_time: ServiceTime,
    pending_replies: PendingReplies,
    admission: Admission,
    overload: Overload,
    endpoints: Endpoints,
    /// Until when the upstream may hold flows that this process has removed from its table.
    forgotten_until_ms: Millis,
    /// When the latest packet from the upstream arrived.
    upstream_active_ms: Millis,
    slots: u8,
    busy: u32,
    unanswered: u32,
    unanswered_since_ms: Millis,
    last_running_ms: Millis,
    last_sweep_ms: Millis,
    last_reclaim_ms: Millis,
}

impl AgentCore {
    /// Creates an agent beside an upstream of this service.
    pub fn new(service: ServiceStamp) -> Self {
        Self::with_policy(service, Policy::default())
    }

    /// Creates an agent with this policy.
    pub fn with_policy(service: ServiceStamp, policy: Policy) -> Self {
        Self {
            service,
            policy,
            flows: HashMap::new(),
            queue: Queue::default(),
            given_up: VecDeque::new(),
            service_time: ServiceTime::default(),
            pending_replies: PendingReplies::default(),
            admission: Admission::default(),
            overload: Overload::default(),
            endpoints: Endpoints::default(),
            forgotten_until_ms: 0,
            upstream_active_ms: 0,
            slots: 0,
            busy: 0,
            unanswered: 0,
            unanswered_since_ms: 0,
            last_running_ms: 0,
            last_sweep_ms: 0,
            last_reclaim_ms: 0,
        }
    }

    /// Sets the age at which flows may be discarded, if it is not [`crate::history::FLOW_TTL_MS`].
    #[must_use]
    pub fn with_flow_ttl_ms(mut self, flow_ttl_ms: Millis) -> Self {
        self.endpoints.set_flow_ttl_ms(flow_ttl_ms);
        self
    }

    /// Notes that the process has started beside an upstream that may hold flows.
    #[must_use]
    pub fn beside_running_upstream(mut self, now_ms: Millis) -> Self {
        self.endpoints.note_unseen_flows(now_ms);
        self
    }

    /// The endpoints of which the upstream may hold flows.
    pub fn endpoint_report(&self, now_ms: Millis) -> EndpointReport {
        self.endpoints.report(now_ms)
    }

    /// The service that the upstream runs.
    pub fn service(&self) -> ServiceStamp {
        self.service
    }

    /// Decides about a caller's packet that a balancer forwarded to this agent. `bytes` is the
    /// packet as it is passed to the upstream.
    pub fn on_packet(
        &mut self,
        now_ms: Millis,
        segment: &Segment,
        bytes: &[u8],
        metadata: ForwardMetadata,
    ) -> PacketOutcome {
        self.note_running(now_ms);
        if let Some(delivery) = self.check_service(metadata.service) {
            return PacketOutcome { delivery, report: None };
        }
        if metadata.slots > 0 {
            self.slots = metadata.slots;
        }
        self.overload.record_times(&metadata);
        self.admission.record_acceptance_vote(now_ms, &metadata);
        if let Err(refusal) = self.admit(now_ms, segment, &metadata) {
            self.pending_replies.resolve(metadata.balancer);
            return PacketOutcome { delivery: refusal.into(), report: None };
        }
        let held = self.is_held_by_upstream(segment);
        if held == Some(false) {
            self.pending_replies.resolve(metadata.balancer);
            return PacketOutcome { delivery: Delivery::NotHeld, report: None };
        }
        self.note_packet(now_ms, segment, metadata);
        let delivery = self.deliver(now_ms, segment, bytes, &metadata);
        let unresponsive = matches!(delivery, Delivery::DeliverUnresponsive { .. });
        let report =
            if held.is_some() && !unresponsive { self.take_report(segment.flow) } else { None };
        if report.is_some() || unresponsive {
            self.pending_replies.resolve(metadata.balancer);
        } else if metadata.wants_report {
            self.pending_replies.expect(now_ms, metadata.balancer);
        }
        PacketOutcome { delivery, report }
    }

    /// What happens to a packet that is addressed to another service, or may be.
    fn check_service(&self, addressed: AddressedService) -> Option<Delivery> {
        match addressed.is(self.service) {
            Some(true) => None,
            Some(false) => Some(Delivery::WrongService { service: self.service.short() }),
            None => Some(Delivery::ServiceNotStated),
        }
    }

    /// Checks whether a packet may go to the upstream if it opens a flow. A copy of an opening that
    /// the upstream has already answered opens none.
    fn admit(
        &mut self,
        now_ms: Millis,
        segment: &Segment,
        metadata: &ForwardMetadata,
    ) -> Result<(), Refusal> {
        let is_opening = matches!(segment.kind, SegmentKind::Opening { .. });
        let is_held = self.flows.get(&segment.flow).is_some_and(|flow| flow.sent.is_some());
        if !is_opening || is_held {
            return Ok(());
        }
        self.check_overload(now_ms, segment, metadata)?;
        self.admission.admit(now_ms, metadata)
    }

    fn deliver(
        &mut self,
        now_ms: Millis,
        segment: &Segment,
        bytes: &[u8],
        metadata: &ForwardMetadata,
    ) -> Delivery {
        if let Some(for_ms) = self.note_unanswered(now_ms, segment.kind) {
            self.start_request(now_ms, segment);
            return Delivery::DeliverUnresponsive { for_ms };
        }
        if self.enqueue_if_no_slot(now_ms, segment, bytes, metadata) {
            return Delivery::Queued;
        }
        self.start_request(now_ms, segment);
        Delivery::Deliver
    }

    /// Whether the upstream holds the flow of a later packet, as far as the upstream's own packets
    /// show.
    ///
    /// The caller acknowledges a sequence number that the upstream holding its flow has chosen. An
    /// upstream that holds the flow only half open accepts the caller's packets without a reply, so
    /// the number has to be checked here. Closing packets are passed on in any case, because they
    /// end what is known here of the upstream's sequence numbers.
    fn is_held_by_upstream(&self, segment: &Segment) -> Option<bool> {
        let sent = self.flows.get(&segment.flow)?.sent.filter(|_| self.policy.ownership_reply)?;
        let is_conclusive = segment.kind == SegmentKind::Later && !segment.last;
        if is_conclusive { sent.covers(segment.acknowledged) } else { None }
    }

    /// Handles a packet that the upstream returned: the upstream is running and does not hold the
    /// flow.
    ///
    /// An upstream keeps a flow on which it has just answered a request. If it returns a packet of
    /// such a flow, it has restarted, and no request to its previous incarnation is in progress. An
    /// answer to an opening proves less.
    pub fn on_returned(&mut self, now_ms: Millis, flow: FlowKey) {
        self.note_running(now_ms);
        self.note_upstream_activity(now_ms);
        let answered_ms = self.flows.get(&flow).and_then(|flow| flow.answered_ms);
        if answered_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < FLOW_KEPT_MIN_MS) {
            self.forget_all(now_ms);
            self.admission.suspect_restart(now_ms);
        }
        self.forget(flow);
    }

    /// Handles a packet that the upstream sends to a caller, and returns the report to send, if
    /// any.
    pub fn on_answer(&mut self, now_ms: Millis, answer: Answer) -> AnswerOutcome {
        self.note_running(now_ms);
        self.note_upstream_activity(now_ms);
        self.endpoints.record_answer(now_ms, answer.flow.endpoint);
        let knows_older = self.knows_all_flows(now_ms);
        let Some(flow) = self.flows.get_mut(&answer.flow) else { return AnswerOutcome::default() };
        flow.seen_ms = now_ms;
        flow.note_sent(&answer, knows_older);
        if answer.data_bytes > 0 {
            flow.answered_ms = Some(now_ms);
        }
        let started_ms = if answer.data_bytes > 0 { flow.busy_since_ms.take() } else { None };
        let service_time_ms = started_ms.map(|started_ms| now_ms.saturating_sub(started_ms));
        if let Some(service_time_ms) = service_time_ms {
            flow.opening = None;
            flow.arrival = None;
            self.service_time.record(service_time_ms);
            self.busy = self.busy.saturating_sub(1);
        }
        let balancer = flow.report_to.take();
        balancer.into_iter().for_each(|balancer| self.pending_replies.resolve(balancer));
        if answer.last {
            self.forget(answer.flow);
        }
        let (busy, load) = (self.busy_saturated(), self.load_estimate());
        AnswerOutcome {
            report: balancer.map(|balancer| Report {
                balancer,
                busy,
                opening_sequence: answer.opening.then_some(answer.sequence),
                load,
            }),
            service_time_ms,
        }
    }

    /// Notes that a packet or reply is sent to this balancer.
    pub fn note_reply_sent(&mut self, balancer: Ipv4Addr) {
        self.pending_replies.resolve(balancer);
    }

    /// Removes and returns the balancers that asked for a report a while ago. They are to be
    /// notified now that this agent is running.
    pub fn take_due_replies(&mut self, now_ms: Millis) -> Vec<Ipv4Addr> {
        self.pending_replies.take_due(now_ms)
    }

    /// Notes that the process is running.
    pub fn on_tick(&mut self, now_ms: Millis) {
        self.note_running(now_ms);
    }

    /// Whether anything is pending, so that the process must not sleep for long.
    pub fn has_pending_work(&self) -> bool {
        self.unanswered > 0 || !self.queue.is_empty() || !self.pending_replies.is_empty()
    }

    /// Number of requests in progress.
    pub fn busy(&self) -> u32 {
        self.busy
    }

    /// Mean service time of the upstream; zero before the first answer.
    pub fn service_time_ms(&self) -> Millis {
        self.service_time.mean_or_zero_ms()
    }

    /// Number of flows in the table.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Notes that the process is running. After a pause of the process, the upstream's answers may
    /// still be unread, and the elapsed time proves nothing about the upstream.
    fn note_running(&mut self, now_ms: Millis) {
        if now_ms.saturating_sub(self.last_running_ms) >= PAUSE_THRESHOLD_MS {
            self.unanswered = 0;
        }
        self.last_running_ms = now_ms;
        self.admission.start_counting(now_ms);
        self.note_abandoned(now_ms);
        if now_ms.saturating_sub(self.last_sweep_ms) >= SWEEP_INTERVAL_MS {
            self.sweep(now_ms);
        }
        self.reclaim_slots(now_ms);
    }

    /// Removes idle flows, and requests whose answers were lost. If these stayed counted, other
    /// requests would be queued beside an idle upstream.
    fn sweep(&mut self, now_ms: Millis) {
        self.last_sweep_ms = now_ms;
        let flow_ttl_ms = self.endpoints.flow_ttl_ms();
        self.flows.retain(|_, flow| {
            let kept_ms = if flow.sent.is_some() { flow_ttl_ms } else { UNANSWERED_TIMEOUT_MS };
            now_ms.saturating_sub(flow.seen_ms) < kept_ms
        });
        self.expire_requests(now_ms, BUSY_MAX_MS);
    }

    /// Counts a packet that awaits an answer, and returns how long the upstream has been
    /// unresponsive, if it is.
    fn note_unanswered(&mut self, now_ms: Millis, kind: SegmentKind) -> Option<Millis> {
        let opening = matches!(kind, SegmentKind::Opening { .. });
        if self.unanswered == 0 {
            self.unanswered_since_ms = now_ms;
        }
        self.unanswered = self.unanswered.saturating_add(u32::from(opening));
        self.unresponsive_for(now_ms)
    }

    /// Ends a period without answers. An upstream that answers after one may have restarted.
    fn note_upstream_activity(&mut self, now_ms: Millis) {
        if self.unresponsive_for(now_ms).is_some() {
            self.admission.suspect_restart(now_ms);
        }
        self.admission.note_upstream_activity(now_ms);
        self.upstream_active_ms = now_ms;
        self.unanswered = 0;
    }

    fn unresponsive_for(&self, now_ms: Millis) -> Option<Millis> {
        let for_ms = now_ms.saturating_sub(self.unanswered_since_ms);
        (self.unanswered >= UNRESPONSIVE_OPENINGS && for_ms >= UNRESPONSIVE_MS).then_some(for_ms)
    }

    fn note_packet(&mut self, now_ms: Millis, segment: &Segment, metadata: ForwardMetadata) {
        if self.flows.len() >= FLOWS_MAX && !self.flows.contains_key(&segment.flow) {
            self.forget_all(now_ms);
        }
        let flow = self.flows.entry(segment.flow).or_default();
        flow.seen_ms = now_ms;
        if metadata.wants_report {
            flow.report_to = Some(metadata.balancer);
        }
        match segment.kind {
            SegmentKind::Opening { copy } => {
                flow.urgent = metadata.urgent && self.policy.priority;
                let is_other_flow = flow.is_ended_or_other(segment);
                let was_busy = flow.note_opening(now_ms, segment, copy, is_other_flow);
                if is_other_flow {
                    self.busy = self.busy.saturating_sub(u32::from(was_busy));
                    self.drop_request(now_ms, segment.flow);
                }
            }
            SegmentKind::Later => self.note_request(now_ms, segment),
            SegmentKind::Reset => {
                self.drop_request(now_ms, segment.flow);
                self.forget(segment.flow);
            }
        }
    }

    fn take_report(&mut self, key: FlowKey) -> Option<Report> {
        let balancer = self.flows.get_mut(&key)?.report_to.take()?;
        let (busy, load) = (self.busy_saturated(), self.load_estimate());
        Some(Report { balancer, busy, opening_sequence: None, load })
    }

    fn load_estimate(&self) -> Option<LoadEstimate> {
        let estimate = || estimate::load_estimate(&self.queue, &self.service_time);
        self.policy.delay_placement.then(estimate)
    }

    fn busy_saturated(&self) -> u8 {
        u8::try_from(self.busy).unwrap_or(u8::MAX)
    }

    /// Whether each flow that the upstream holds is in the table.
    fn knows_all_flows(&self, now_ms: Millis) -> bool {
        now_ms >= self.forgotten_until_ms && !self.endpoints.may_have_unseen_flows(now_ms)
    }

    fn forget_all(&mut self, now_ms: Millis) {
        self.flows = HashMap::new();
        self.busy = 0;
        self.forgotten_until_ms = now_ms + self.endpoints.flow_ttl_ms();
    }

    fn forget(&mut self, key: FlowKey) {
        self.queue.remove_flow(key);
        let flow = self.flows.remove(&key);
        if flow.is_some_and(|flow| flow.busy_since_ms.is_some()) {
            self.busy = self.busy.saturating_sub(1);
        }
    }
}

impl From<Refusal> for Delivery {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::NotAccepting => Self::NotAccepting,
            Refusal::RateLimited { for_ms } => Self::RateLimited { for_ms },
            Refusal::Overloaded { for_ms } => Self::Overloaded { for_ms },
        }
    }
}
