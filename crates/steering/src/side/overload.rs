//! Decides when an agent returns openings because its upstream is overloaded.
//!
//! The load pattern: for seconds, callers send more than all upstreams can process. Requests of open
//! flows cannot be turned away, so they are queued, and their callers give up. Each further flow
//! adds requests that fail as well. Openings can be refused before anything of their flows has run.
//!
//! Of the queued requests, the newest goes first, so that a new one is usually answered in time and
//! the late ones fail. Refusing openings because of late requests would leave the upstream with
//! these alone. Openings are refused only while requests that can still be on time fill the SLO.

use super::admission::Refusal;
use super::types::ForwardMetadata;
use super::{AgentCore, UNRESPONSIVE_MS};
use crate::flow::{Millis, Segment, SegmentKind};
use crate::view::{SLO_DEFAULT_MS, WAIT_DEFAULT_SLOS};

/// An overload ends this long after the last caller has given up.
const OVERLOAD_TTL_MS: Millis = 1_000;
/// Shortest time for which a balancer is told to send no further opening. Within a shorter time, few
/// requests of the queue can be processed.
const REFUSAL_MIN_MS: Millis = 50;
/// Mean service times for which an upstream with one busy slot may send nothing; single service
/// times differ by half.
const SILENT_SERVICE_TIMES: Millis = 2;

/// The requests that wait beside an upstream, and how fast it processes them.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueueLoad {
    /// Queued requests whose callers still wait.
    pub(super) awaited: usize,
    /// Those among them that can still be answered in time.
    pub(super) on_time: usize,
    /// Requests that the upstream processes concurrently; zero if not known.
    pub(super) slots: u8,
    /// Whether the upstream may get another request at once.
    pub(super) has_slot: bool,
    /// Mean service time; zero if not known.
    pub(super) service_time_ms: Millis,
}

impl QueueLoad {
    /// Time that the upstream needs for this many requests; zero if not known.
    fn time_of(self, requests: usize) -> Millis {
        let work_ms = (requests as Millis).saturating_mul(self.service_time_ms);
        work_ms.checked_div(Millis::from(self.slots)).unwrap_or(0)
    }
}

/// Whether the upstream is overloaded.
#[derive(Clone, Copy, Debug)]
pub(super) struct Overload {
    /// Time within which callers expect an answer, as last seen.
    slo_ms: Millis,
    /// Time for which callers wait, as last seen.
    timeout_ms: Millis,
    /// When a caller last gave up on a queued request, if any has.
    given_up_ms: Option<Millis>,
}

impl Default for Overload {
    fn default() -> Self {
        let timeout_ms = SLO_DEFAULT_MS * Millis::from(WAIT_DEFAULT_SLOS);
        Self { slo_ms: SLO_DEFAULT_MS, timeout_ms, given_up_ms: None }
    }
}

impl Overload {
    /// Records the times that a packet carries. Openings carry none.
    pub(super) fn record_times(&mut self, metadata: &ForwardMetadata) {
        if metadata.slo_ms > 0 {
            self.slo_ms = metadata.slo_or_default_ms();
            self.timeout_ms = metadata.timeout_or_default_ms();
        }
    }

    /// Records that the caller of a queued request has given up.
    pub(super) fn record_given_up(&mut self, now_ms: Millis) {
        self.given_up_ms = Some(now_ms);
    }

    /// When a caller last gave up on a queued request.
    pub(super) fn last_given_up_ms(self) -> Option<Millis> {
        self.given_up_ms
    }

    /// How long the upstream should get no opening; `None` if it is not overloaded. It is while a
    /// caller has given up lately, or is bound to, and requests wait that cannot be answered within
    /// the SLO.
    ///
    /// If callers had to give up first, an upstream would get the openings that all others refuse,
    /// until the time-out of its callers. So would one whose agent has restarted: requests that were
    /// queued at the former process are not given up on here.
    pub(super) fn refuse_for(self, now_ms: Millis, load: QueueLoad) -> Option<Millis> {
        let is_recent = |at_ms| now_ms.saturating_sub(at_ms) < OVERLOAD_TTL_MS;
        let has_given_up = self.given_up_ms.is_some_and(is_recent);
        let is_bound_to_give_up = load.time_of(load.awaited) > self.timeout_ms;
        let is_overloaded = (has_given_up || is_bound_to_give_up) && self.exceeds_slo(load);
        // Requests that fill the SLO keep the upstream busy for half of it; by then, the rest are
        // late.
        is_overloaded.then(|| (self.slo_ms / 4).max(REFUSAL_MIN_MS))
    }

    /// Whether a request that has to wait for all those that can be on time would be answered later
    /// than the SLO.
    ///
    /// None of these is left beside an upstream that needs longer than the SLO for a single request.
    fn exceeds_slo(self, load: QueueLoad) -> bool {
        !load.has_slot && load.time_of(load.on_time) + load.service_time_ms > self.slo_ms
    }
}

impl AgentCore {
    /// Whether this agent returns openings because callers give up on queued requests, or are bound
    /// to.
    pub fn is_overloaded(&self, now_ms: Millis) -> bool {
        self.policy.overload_admission && self.refuse_for(now_ms).is_some()
    }

    /// Returns an opening to its balancer if the upstream is overloaded, provided that the upstream
    /// cannot have received the opening before.
    ///
    /// Later copies are always taken. No balancer may reset them, so they would be passed from one
    /// overloaded upstream to the next; and an agent that has restarted does not know whether its
    /// upstream has answered an earlier copy. So are the openings for an upstream that has sent
    /// nothing for a while: only unanswered openings show that it has crashed.
    pub(super) fn check_overload(
        &self,
        now_ms: Millis,
        segment: &Segment,
        metadata: &ForwardMetadata,
    ) -> Result<(), Refusal> {
        let is_first_copy = segment.kind == SegmentKind::Opening { copy: 0 };
        let is_refusable = self.policy.overload_admission
            && is_first_copy
            && !metadata.urgent
            && !self.flows.contains_key(&segment.flow)
            && now_ms.saturating_sub(self.upstream_active_ms) < self.silence_max_ms();
        if !is_refusable {
            return Ok(());
        }
        self.refuse_for(now_ms).map_or(Ok(()), |for_ms| Err(Refusal::Overloaded { for_ms }))
    }

    /// Longest time in which a running upstream with requests in progress usually sends nothing.
    fn silence_max_ms(&self) -> Millis {
        UNRESPONSIVE_MS + SILENT_SERVICE_TIMES * self.service_time.mean_or_zero_ms()
    }

    fn refuse_for(&self, now_ms: Millis) -> Option<Millis> {
        self.overload.refuse_for(now_ms, self.queue_load(now_ms))
    }

    fn queue_load(&self, now_ms: Millis) -> QueueLoad {
        QueueLoad {
            awaited: self.queue.awaited(),
            on_time: self.queue.on_time(now_ms),
            slots: self.slots,
            has_slot: self.has_slot(),
            service_time_ms: self.service_time.mean_or_zero_ms(),
        }
    }
}
