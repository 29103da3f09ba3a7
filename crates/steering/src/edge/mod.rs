//! A balancer's decisions: where each packet of a caller goes, and what follows when an agent
//! returns it.
//!
//! The table of flows is a shortcut only. A balancer without an entry asks the upstreams of the
//! service one after the other, in an order that all balancers share; an upstream that does not
//! hold the flow returns the packet, and the one that holds it says so once.

mod budget;
mod candidates;
mod flows;
mod lag;
mod loads;
mod openings;
mod pending;
mod placement;
mod reach;
mod search;
mod types;
mod visits;

use std::net::Ipv4Addr;
use std::sync::Arc;

use crate::flow::{FlowKey, Millis, Segment, SegmentKind};
use crate::policy::Policy;
use crate::view::{View, ZoneStamp};

use budget::Budget;
use candidates::may_be_open_at;
pub use flows::FLOWS_MAX;
use flows::FlowTable;
use lag::Lag;
use loads::LoadTable;
use pending::PendingTable;
pub use pending::{PENDING_BYTES_MAX, RETRANSMIT_AFTER_MS};
use reach::Reach;
pub use types::{Action, AgentReply, Counters, Destination, Reason, Trust, Verdict};

/// A balancer looks after its flows at least every 60 ms; after this time without, it was paused.
const PAUSE_THRESHOLD_MS: Millis = 300;
/// Time in which a process that was paused works off the packets that have waited meanwhile: its socket
/// holds some hundreds, and each takes well under 0.1 ms.
const BACKLOG_DRAIN_MS: Millis = 100;
/// Behind by this much, a balancer takes silence for its own backlog. A calm round trip takes under
/// 5 ms, and the first repetition comes after 60.
const LAG_THRESHOLD_MS: Millis = 40;
/// An upstream that has been silent for this long, beside an agent that lives, counts as one that
/// denies. Upstreams answer at once or return the packet.
const UNRESPONSIVE_AS_DENIAL_MS: Millis = 400;

/// The state of a balancer.
#[derive(Default)]
pub struct Edge {
    policy: Policy,
    flows: FlowTable,
    loads: LoadTable,
    pending: PendingTable,
    lag: Lag,
    budget: Budget,
    reach: Reach,
    trust: Trust,
    last_called_ms: Millis,
    resumed_ms: Millis,
    counters: Counters,
}

impl Edge {
    /// A balancer with this policy.
    pub fn with_policy(policy: Policy) -> Self {
        Self {
            policy,
            loads: LoadTable::with(policy),
            budget: Budget::with(policy),
            ..Self::default()
        }
    }

    /// The same in this availability zone.
    #[must_use]
    pub fn in_zone(mut self, zone: ZoneStamp) -> Self {
        self.loads.set_zone(zone);
        self
    }

    /// Decides about a packet of a caller; `bytes` is the packet itself.
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

    /// Notes how far the list of upstreams can be trusted from now on.
    pub fn set_trust(&mut self, trust: Trust) {
        self.trust = trust;
    }

    /// Takes what an agent says about a packet; the packet itself comes along.
    pub fn on_agent_reply(
        &mut self,
        now_ms: Millis,
        view: &View,
        reply: AgentReply,
        segment: &Segment,
        actions: &mut Vec<Action>,
    ) {
        self.detect_pause(now_ms);
        let before = actions.len();
        let AgentReply { from, verdict } = reply;
        self.reach.record_reply(from);
        let entry = self.flows.get(segment.flow);
        if let Some(round_trip_ms) = entry.and_then(|entry| entry.take_round_trip(now_ms, from)) {
            self.lag.record(now_ms, round_trip_ms);
        }
        match verdict {
            Verdict::Held { busy, opening_sequence } => {
                self.loads.record_report(now_ms, view, from, busy);
                self.on_held(now_ms, from, opening_sequence, segment.flow);
            }
            Verdict::Alive => {}
            Verdict::Denied => {
                self.on_denied(now_ms, view, from, segment, actions);
            }
            Verdict::WrongService { service } => {
                let later = segment.kind == SegmentKind::Later;
                if later && may_be_open_at(view, segment.flow, service, now_ms) {
                    self.flows.entry(segment.flow, now_ms).record_wrong_service(from, now_ms);
                }
                self.on_denied(now_ms, view, from, segment, actions);
            }
            Verdict::RateLimited { for_ms } => {
                self.loads.record_rate_limit(now_ms, view, from, for_ms);
                self.on_denied(now_ms, view, from, segment, actions);
            }
            Verdict::Unresponsive { for_ms } => {
                self.loads.record_no_reply(now_ms, view, from);
                if for_ms >= UNRESPONSIVE_AS_DENIAL_MS || segment.kind != SegmentKind::Later {
                    self.on_denied(now_ms, view, from, segment, actions);
                }
            }
        }
        self.note_requests(now_ms, view, segment.flow, &actions[before..]);
    }

    /// Whether a packet of the own may be sent.
    fn try_spend_budget(&mut self) -> bool {
        let may = self.budget.try_spend();
        self.counters.suppressed += u64::from(!may);
        may
    }

    /// Notes who owes a word.
    fn note_requests(&mut self, now_ms: Millis, view: &View, flow: FlowKey, actions: &[Action]) {
        if !self.policy.reach {
            return;
        }
        for action in actions {
            if let Action::Forward { to, ask: true, .. } = action {
                self.reach.record_request(now_ms, view, to.address, flow);
            }
        }
    }

    /// Repeats packets that nobody has answered, to other upstreams first, and forgets what is old.
    /// Each action goes with the packet that it is about.
    pub fn on_tick(&mut self, now_ms: Millis, view: &View, actions: &mut Vec<(Arc<[u8]>, Action)>) {
        self.detect_pause(now_ms);
        let repeats = self.policy.repeats && !self.is_lagging(now_ms);
        let due = if repeats { self.pending.take_due(now_ms) } else { Vec::new() };
        for due in due {
            let mut own = Vec::new();
            match due.segment.kind {
                SegmentKind::Opening { .. } => self.retry_opening(now_ms, view, &due, &mut own),
                SegmentKind::Later => self.retry_search(now_ms, view, &due, &mut own),
                SegmentKind::Reset => {}
            }
            self.note_requests(now_ms, view, due.segment.flow, &own);
            actions.extend(own.into_iter().map(|action| (Arc::clone(&due.packet), action)));
        }
        self.flows.expire(now_ms);
    }

    /// Agents that are to be asked whether they live, since they owe a word.
    pub fn take_pings(&mut self, now_ms: Millis, view: &View) -> Vec<Ipv4Addr> {
        if self.policy.pings { self.reach.take_pings(now_ms, view) } else { Vec::new() }
    }

    /// After a pause of the process, packets that have waited come before any news: upstreams may have
    /// started meanwhile, and entries gone. Nothing is proven until the view was confirmed again.
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

    /// Bytes of packets that are kept to be sent once more.
    pub fn kept_bytes(&self) -> usize {
        self.pending.bytes()
    }

    /// Whether silence says nothing now, since the answers may wait where this process has not read
    /// yet.
    ///
    /// Repetitions and searches for words that are only late would make the backlog longer.
    fn is_lagging(&mut self, now_ms: Millis) -> bool {
        self.policy.lag && self.lag.value_ms(now_ms) >= LAG_THRESHOLD_MS
    }

    /// How far this process is behind the packets that come to it.
    pub fn lag_ms(&mut self, now_ms: Millis) -> Millis {
        self.lag.value_ms(now_ms)
    }

    /// What this balancer has done so far.
    pub fn counters(&self) -> Counters {
        self.counters
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
        from: Ipv4Addr,
        segment: &Segment,
        actions: &mut Vec<Action>,
    ) {
        self.counters.denials += 1;
        match segment.kind {
            SegmentKind::Opening { .. } => {
                self.on_opening_denied(now_ms, view, from, segment, actions)
            }
            SegmentKind::Later => self.on_later_denied(now_ms, view, from, segment, actions),
            SegmentKind::Reset => {}
        }
    }
}
