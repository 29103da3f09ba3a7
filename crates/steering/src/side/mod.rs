//! An agent's decisions: what goes to its upstream, what goes back to a balancer, what to a caller.

mod admission;
mod flow;
mod pace;
mod pending_replies;
mod queue;
mod types;
mod votes;
mod work;

use std::collections::HashMap;
use std::net::Ipv4Addr;

use crate::flow::{FlowKey, Millis, Segment, SegmentKind};
use crate::policy::Policy;
use crate::view::ServiceStamp;
use admission::{Admission, Refusal};
use flow::{Flow, Opening, opening_age_ms};
pub use pace::{SlowdownChange, SlowdownDetector};
use pending_replies::PendingReplies;
use queue::{Queue, Times};
pub use types::{
    Answer, AnswerOutcome, Delivery, ForwardMetadata, PacketOutcome, Released, Report,
};
use work::ServiceTime;

/// An upstream that has left packets unanswered for this long, without any packet of its own, counts
/// as silent. It answers or returns a packet within a millisecond when it lives.
pub const UNRESPONSIVE_MS: Millis = 100;
/// Openings that must be unanswered before an upstream counts as silent: one may get lost. Only an
/// opening is answered or returned at once; an answer to data may take the whole time of the work.
const UNRESPONSIVE_OPENINGS: u32 = 2;
/// A pause of this process longer than this proves nothing about the upstream.
const PAUSE_MS: Millis = 80;
/// Flows remembered at most. An upstream holds 2,000.
const FLOWS_MAX: usize = 16_384;
/// An upstream that lives keeps a flow for longer than this after its last packet on it; idle flows are
/// closed after many seconds.
const FLOW_KEPT_MIN_MS: Millis = 1_000;
/// A flow without packets for this long is forgotten.
const FLOW_IDLE_MS: Millis = 20_000;
/// A request counts as at work for this long at most; answers that were lost must not stay counted.
const BUSY_MAX_MS: Millis = 3_000;
/// Pause between two looks for flows to forget.
const SWEEP_MS: Millis = 1_000;
/// Requests handed to the upstream beyond its slots, so that a slot never waits for the next one.
const REQUESTS_BEYOND_SLOTS: u32 = 1;
/// Data bytes of a full packet. More of the same request follows one, with round trips between, and
/// the upstream begins its work with the last packet only.
const FULL_PACKET_BYTES: u16 = 1_200;
/// Time that callers give an answer where nobody says so: the shortest that is known of any.
const SLO_DEFAULT_MS: Millis = 150;
/// How many times that time callers wait where nobody says so.
const WAIT_DEFAULT_SLOS: u8 = 6;
/// Usual times of work left for a request that is handed on last: one that its caller gives up takes a
/// slot for nothing.
const RESERVED_SERVICE_TIMES: Millis = 3;
/// The way of an answer to its caller.
const NETWORK_DELAY_MS: Millis = 3;

/// The state of an agent.
pub struct AgentCore {
    service: ServiceStamp,
    policy: Policy,
    flows: HashMap<FlowKey, Flow>,
    queue: Queue,
    service_time: ServiceTime,
    pending_replies: PendingReplies,
    admission: Admission,
    slots: u8,
    busy: u32,
    unanswered: u32,
    unanswered_since_ms: Millis,
    last_running_ms: Millis,
    swept_ms: Millis,
}

impl AgentCore {
    /// An agent beside an upstream of this service.
    pub fn new(service: ServiceStamp) -> Self {
        Self::with_policy(service, Policy::default())
    }

    /// The same with another policy.
    pub fn with_policy(service: ServiceStamp, policy: Policy) -> Self {
        Self {
            service,
            policy,
            flows: HashMap::new(),
            queue: Queue::default(),
            service_time: ServiceTime::default(),
            pending_replies: PendingReplies::default(),
            admission: Admission::default(),
            slots: 0,
            busy: 0,
            unanswered: 0,
            unanswered_since_ms: 0,
            last_running_ms: 0,
            swept_ms: 0,
        }
    }

    /// Decides about a packet of a caller that a balancer sent here; `bytes` is the packet itself,
    /// as it goes to the upstream.
    pub fn on_packet(
        &mut self,
        now_ms: Millis,
        segment: &Segment,
        bytes: &[u8],
        metadata: ForwardMetadata,
    ) -> PacketOutcome {
        self.note_running(now_ms);
        if metadata.service != self.service {
            return PacketOutcome {
                delivery: Delivery::Foreign { service: self.service },
                report: None,
            };
        }
        if metadata.slots > 0 {
            self.slots = metadata.slots;
        }
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
        let silent = matches!(delivery, Delivery::DeliverUnresponsive { .. });
        let report = if held.is_some() && !silent { self.take_report(segment.flow) } else { None };
        if report.is_some() || silent {
            self.pending_replies.resolve(metadata.balancer);
        } else if metadata.wants_report {
            self.pending_replies.expect(now_ms, metadata.balancer);
        }
        PacketOutcome { delivery, report }
    }

    /// Whether a packet may go to the upstream as far as it opens a flow; a copy of an opening that the
    /// upstream has answered opens none.
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

    /// Whether the upstream holds the flow of a later packet, as far as its own packets tell.
    ///
    /// The caller acknowledges a number of the upstream that it has chosen; one that holds the flow half
    /// open takes its packets without a word. Closing packets go on in any case: they end what is known
    /// here of an upstream's numbers.
    fn is_held_by_upstream(&self, segment: &Segment) -> Option<bool> {
        let sent = self.flows.get(&segment.flow)?.sent.filter(|_| self.policy.ownership_reply)?;
        let is_conclusive = segment.kind == SegmentKind::Later && !segment.last;
        is_conclusive.then(|| sent.covers(segment.acknowledged))
    }

    /// Packets of the request that may go to the upstream now, if one may.
    pub fn next_released(&mut self, now_ms: Millis) -> Option<Released> {
        let closing = self.queue.take_closing(now_ms);
        let waiting = if let Some(closing) = closing {
            closing
        } else if self.unresponsive_for(now_ms).is_some() {
            // What is silent frees no slot: the packets go on, so that the balancers learn of it.
            self.queue.take_any()?
        } else if self.has_slot() {
            if self.policy.deadline_order {
                self.queue.take_next(now_ms)?
            } else {
                self.queue.take_any()?
            }
        } else {
            return None;
        };
        if let Some(flow) = self.flows.get_mut(&waiting.flow) {
            flow.next_sequence = Some(waiting.next_sequence);
            if flow.busy_since_ms.replace(now_ms).is_none() {
                self.busy += 1;
            }
        }
        let waited_ms = waiting.waited_ms(now_ms);
        Some(Released { packets: waiting.packets, waited_ms })
    }

    /// Packets of the oldest request that waits, if any, whatever the upstream is doing: a process
    /// that ends must not keep them.
    pub fn take_any_queued(&mut self) -> Option<Vec<Box<[u8]>>> {
        self.queue.take_any().map(|waiting| waiting.packets)
    }

    /// Takes note of a packet that the upstream returned: it lives and does not hold the flow.
    ///
    /// An upstream keeps a flow whose request it has just answered: one that returns it has started
    /// anew, and nothing of its earlier life is at work. An answer to an opening says less.
    pub fn on_returned(&mut self, now_ms: Millis, flow: FlowKey) {
        self.note_running(now_ms);
        self.note_upstream_activity(now_ms);
        let answered_ms = self.flows.get(&flow).and_then(|flow| flow.answered_ms);
        if answered_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < FLOW_KEPT_MIN_MS) {
            self.flows.clear();
            self.busy = 0;
            self.admission.suspect_restart(now_ms);
        }
        self.forget(flow);
    }

    /// Takes note of a packet that the upstream sends to a caller, and says who is told.
    pub fn on_answer(&mut self, now_ms: Millis, answer: Answer) -> AnswerOutcome {
        self.note_running(now_ms);
        self.note_upstream_activity(now_ms);
        let Some(flow) = self.flows.get_mut(&answer.flow) else { return AnswerOutcome::default() };
        flow.seen_ms = now_ms;
        flow.note_sent(&answer);
        if answer.data_bytes > 0 {
            flow.answered_ms = Some(now_ms);
        }
        let started_ms = if answer.data_bytes > 0 { flow.busy_since_ms.take() } else { None };
        let service_time_ms = started_ms.map(|started_ms| now_ms.saturating_sub(started_ms));
        if let Some(service_time_ms) = service_time_ms {
            flow.opening = None;
            self.service_time.record(service_time_ms);
            self.busy = self.busy.saturating_sub(1);
        }
        let balancer = flow.report_to.take();
        balancer.into_iter().for_each(|balancer| self.pending_replies.resolve(balancer));
        if answer.last {
            self.forget(answer.flow);
        }
        let busy = self.busy_saturated();
        AnswerOutcome {
            report: balancer.map(|balancer| Report {
                balancer,
                busy,
                opening_sequence: answer.opening.then_some(answer.sequence),
            }),
            service_time_ms,
        }
    }

    /// Takes note that a packet goes back to this balancer.
    pub fn note_reply_sent(&mut self, balancer: Ipv4Addr) {
        self.pending_replies.resolve(balancer);
    }

    /// Balancers that have asked for a word a while ago, and are told now that this agent lives.
    pub fn take_due_replies(&mut self, now_ms: Millis) -> Vec<Ipv4Addr> {
        self.pending_replies.take_due(now_ms)
    }

    /// Notes that the process runs.
    pub fn on_tick(&mut self, now_ms: Millis) {
        self.note_running(now_ms);
    }

    /// Whether something waits, so that the process must not sleep for long.
    pub fn has_pending_work(&self) -> bool {
        self.unanswered > 0 || self.queue.len() > 0 || !self.pending_replies.is_empty()
    }

    /// Requests at work.
    pub fn busy(&self) -> u32 {
        self.busy
    }

    /// Number of flows in the table.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// After a pause of the process, the upstream's answers may still wait unread, and the time that
    /// has passed says nothing about it.
    fn note_running(&mut self, now_ms: Millis) {
        if now_ms.saturating_sub(self.last_running_ms) >= PAUSE_MS {
            self.unanswered = 0;
        }
        self.last_running_ms = now_ms;
        self.admission.start_counting(now_ms);
        if now_ms.saturating_sub(self.swept_ms) >= SWEEP_MS {
            self.sweep(now_ms);
        }
    }

    /// Forgets old flows, and requests whose answers were lost: counted on, they would keep others
    /// waiting beside an idle upstream.
    fn sweep(&mut self, now_ms: Millis) {
        self.swept_ms = now_ms;
        self.queue.drop_abandoned(now_ms);
        self.flows.retain(|_, flow| now_ms.saturating_sub(flow.seen_ms) < FLOW_IDLE_MS);
        for flow in self.flows.values_mut() {
            if flow.busy_since_ms.is_some_and(|since| now_ms.saturating_sub(since) >= BUSY_MAX_MS) {
                flow.busy_since_ms = None;
            }
        }
        let busy = self.flows.values().filter(|flow| flow.busy_since_ms.is_some()).count();
        self.busy = u32::try_from(busy).unwrap_or(u32::MAX);
    }

    /// How long the upstream has been silent, if it has.
    fn note_unanswered(&mut self, now_ms: Millis, kind: SegmentKind) -> Option<Millis> {
        let opening = matches!(kind, SegmentKind::Opening { .. });
        if self.unanswered == 0 {
            self.unanswered_since_ms = now_ms;
        }
        self.unanswered = self.unanswered.saturating_add(u32::from(opening));
        self.unresponsive_for(now_ms)
    }

    /// What was silent and answers may have started anew.
    fn note_upstream_activity(&mut self, now_ms: Millis) {
        if self.unresponsive_for(now_ms).is_some() {
            self.admission.suspect_restart(now_ms);
        }
        self.admission.note_upstream_activity(now_ms);
        self.unanswered = 0;
    }

    fn unresponsive_for(&self, now_ms: Millis) -> Option<Millis> {
        let for_ms = now_ms.saturating_sub(self.unanswered_since_ms);
        (self.unanswered >= UNRESPONSIVE_OPENINGS && for_ms >= UNRESPONSIVE_MS).then_some(for_ms)
    }

    fn note_packet(&mut self, now_ms: Millis, segment: &Segment, metadata: ForwardMetadata) {
        if self.flows.len() >= FLOWS_MAX && !self.flows.contains_key(&segment.flow) {
            self.flows = HashMap::new();
            self.busy = 0;
        }
        let flow = self.flows.entry(segment.flow).or_default();
        flow.seen_ms = now_ms;
        if metadata.wants_report {
            flow.report_to = Some(metadata.balancer);
        }
        match segment.kind {
            SegmentKind::Opening { copy } => {
                let opening = Opening { seen_ms: now_ms, age_ms: opening_age_ms(copy) };
                flow.opening.get_or_insert(opening);
                flow.urgent = metadata.urgent && self.policy.priority;
                flow.next_sequence = None;
            }
            SegmentKind::Later => {}
            SegmentKind::Reset => {
                self.forget(segment.flow);
            }
        }
    }

    /// Whether data has to wait; if so, it was put into the queue.
    fn enqueue_if_no_slot(
        &mut self,
        now_ms: Millis,
        segment: &Segment,
        bytes: &[u8],
        metadata: &ForwardMetadata,
    ) -> bool {
        if !self.policy.waiting || !self.is_request_data(segment) {
            return false;
        }
        if self.queue.append(segment, bytes) {
            return true;
        }
        let flow = self.flows.get(&segment.flow);
        if flow.is_some_and(|flow| flow.has_seen(segment)) {
            return false;
        }
        if flow.is_none_or(|flow| flow.sent.is_none()) {
            return false;
        }
        let in_progress = flow.is_some_and(|flow| flow.busy_since_ms.is_some());
        if in_progress || self.has_slot() || !self.queue.has_room() {
            return false;
        }
        let opening = flow.and_then(|flow| flow.opening);
        let elapsed_ms = opening.map_or(0, |opening| opening.elapsed_ms(now_ms));
        let slo_ms =
            if metadata.slo_ms == 0 { SLO_DEFAULT_MS } else { Millis::from(metadata.slo_ms) };
        let wait_slos =
            if metadata.wait_slos == 0 { WAIT_DEFAULT_SLOS } else { metadata.wait_slos };
        let needed_ms = self.service_time.mean_or_zero_ms() + NETWORK_DELAY_MS + elapsed_ms;
        let start_by_ms = slo_ms.checked_sub(needed_ms).map(|left_ms| now_ms + left_ms);
        let reserved_ms = RESERVED_SERVICE_TIMES * self.service_time.mean_or_zero_ms();
        let left_ms = (slo_ms * Millis::from(wait_slos)).saturating_sub(elapsed_ms + reserved_ms);
        let urgent = flow.is_some_and(|flow| flow.urgent);
        let times = Times { now_ms, start_by_ms, abandoned_from_ms: now_ms + left_ms };
        self.queue.push(segment, bytes, times, urgent);
        true
    }

    fn take_report(&mut self, key: FlowKey) -> Option<Report> {
        let balancer = self.flows.get_mut(&key)?.report_to.take()?;
        Some(Report { balancer, busy: self.busy_saturated(), opening_sequence: None })
    }

    fn busy_saturated(&self) -> u8 {
        u8::try_from(self.busy).unwrap_or(u8::MAX)
    }

    fn has_slot(&self) -> bool {
        self.slots == 0 || self.busy < u32::from(self.slots) + REQUESTS_BEYOND_SLOTS
    }

    fn start_request(&mut self, now_ms: Millis, segment: &Segment) {
        let counts = self.is_request_data(segment);
        let Some(flow) = self.flows.get_mut(&segment.flow) else { return };
        if !counts || flow.has_seen(segment) {
            return;
        }
        flow.record_data(segment);
        if flow.busy_since_ms.is_none() {
            flow.busy_since_ms = Some(now_ms);
            self.busy += 1;
        }
    }

    /// Whether the upstream begins its work with this packet.
    fn is_request_data(&self, segment: &Segment) -> bool {
        let is_continued = self.policy.upload_accounting && segment.data_bytes >= FULL_PACKET_BYTES;
        segment.kind == SegmentKind::Later && segment.data_bytes > 0 && !is_continued
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
        }
    }
}
