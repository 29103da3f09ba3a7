//! Decides when an agent returns openings because its upstream is overloaded.
//!
//! The load pattern: for seconds, callers send more than all upstreams can process. Requests of open
//! flows cannot be turned away, so they are queued, and their callers give up. Each further flow
//! adds requests that fail as well. Openings can be refused before anything of their flows has run.

use super::admission::Refusal;
use super::types::ForwardMetadata;
use super::{AgentCore, SLO_DEFAULT_MS, UNRESPONSIVE_MS};
use crate::flow::{Millis, Segment, SegmentKind};

/// An overload ends this long after the last caller has given up.
const OVERLOAD_TTL_MS: Millis = 1_000;
/// Shortest time for which a balancer is told to send no further opening. Within a shorter time, few
/// requests of the queue can be processed.
const REFUSAL_MIN_MS: Millis = 50;

/// The requests that wait beside an upstream, and how fast it processes them.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueueLoad {
    /// Queued requests whose callers still wait.
    pub(super) queued: usize,
    /// Requests that the upstream processes concurrently; zero if not known.
    pub(super) slots: u8,
    /// Mean service time; zero if not known.
    pub(super) service_time_ms: Millis,
}

impl QueueLoad {
    /// Time after which the last of the queued requests can be started; zero if not known.
    fn drain_ms(self) -> Millis {
        let work_ms = (self.queued as Millis).saturating_mul(self.service_time_ms);
        work_ms.checked_div(Millis::from(self.slots)).unwrap_or(0)
    }
}

/// Whether the upstream is overloaded.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Overload {
    /// Time within which callers expect an answer, as last seen; `None` before the first.
    slo_ms: Option<Millis>,
    /// Until when the upstream counts as overloaded, unless its queue gets short before that.
    until_ms: Millis,
}

impl Overload {
    /// Records the SLO that a packet carries; zero if it carries none, as openings do.
    pub(super) fn record_slo(&mut self, slo_ms: u32) {
        if slo_ms > 0 {
            self.slo_ms = Some(Millis::from(slo_ms));
        }
    }

    /// Records that the caller of a queued request has given up. The upstream is overloaded if
    /// requests still wait that it cannot start within the SLO.
    pub(super) fn record_given_up(&mut self, now_ms: Millis, load: QueueLoad) {
        if self.exceeds_slo(load) {
            self.until_ms = now_ms + OVERLOAD_TTL_MS;
        }
    }

    /// Ends the overload if all requests that still wait can be started within the SLO.
    pub(super) fn update(&mut self, load: QueueLoad) {
        if !self.exceeds_slo(load) {
            self.until_ms = 0;
        }
    }

    /// Whether the upstream may be overloaded, whatever its queue.
    pub(super) fn is_possible(self, now_ms: Millis) -> bool {
        now_ms < self.until_ms
    }

    /// How long the upstream should get no opening; `None` if it is not overloaded.
    pub(super) fn refuse_for(self, now_ms: Millis, load: QueueLoad) -> Option<Millis> {
        let overloaded = self.is_possible(now_ms) && self.exceeds_slo(load);
        overloaded.then(|| load.drain_ms().min(self.slo_ms()).max(REFUSAL_MIN_MS))
    }

    fn exceeds_slo(self, load: QueueLoad) -> bool {
        load.drain_ms() > self.slo_ms()
    }

    fn slo_ms(self) -> Millis {
        self.slo_ms.unwrap_or(SLO_DEFAULT_MS)
    }
}

impl AgentCore {
    /// Whether this agent returns openings because callers give up on queued requests.
    pub fn is_overloaded(&self, now_ms: Millis) -> bool {
        self.policy.overload_admission && self.refuse_for(now_ms).is_some()
    }

    /// Notes that the caller of a queued request has given up.
    pub(super) fn note_given_up(&mut self, now_ms: Millis) {
        self.overload.record_given_up(now_ms, self.queue_load(now_ms));
    }

    /// Notes that a caller gives up on a queued request, if it does so with this packet.
    pub(super) fn note_end_of_queued(&mut self, now_ms: Millis, segment: &Segment) {
        let is_bare_end = segment.last && segment.data_bytes == 0;
        let ends = segment.kind == SegmentKind::Reset || is_bare_end;
        if ends && self.queue.contains(segment.flow) {
            self.note_given_up(now_ms);
        }
    }

    /// Drops queued requests whose callers must have given up.
    pub(super) fn drop_abandoned(&mut self, now_ms: Millis) {
        (0..self.queue.drop_abandoned(now_ms)).for_each(|_| self.note_given_up(now_ms));
    }

    /// Ends an overload whose queue has become short.
    pub(super) fn update_overload(&mut self, now_ms: Millis) {
        if self.overload.is_possible(now_ms) {
            self.overload.update(self.queue_load(now_ms));
        }
    }

    /// Returns an opening to its balancer if the upstream is overloaded, provided that the upstream
    /// cannot have received the opening before.
    ///
    /// Later copies are always taken. No balancer may reset them, so they would be passed from one
    /// overloaded upstream to the next; and an agent that has restarted does not know whether its
    /// upstream has answered an earlier copy. So are the openings for an upstream that has sent
    /// nothing for a while: only unanswered openings show that it has crashed.
    pub(super) fn check_overload(
        &mut self,
        now_ms: Millis,
        segment: &Segment,
        metadata: &ForwardMetadata,
    ) -> Result<(), Refusal> {
        self.update_overload(now_ms);
        let is_first_copy = segment.kind == SegmentKind::Opening { copy: 0 };
        let is_refusable = self.policy.overload_admission
            && is_first_copy
            && !metadata.urgent
            && !self.flows.contains_key(&segment.flow)
            && now_ms.saturating_sub(self.upstream_active_ms) < UNRESPONSIVE_MS;
        match self.refuse_for(now_ms).filter(|_| is_refusable) {
            Some(for_ms) => Err(Refusal::Overloaded { for_ms }),
            None => Ok(()),
        }
    }

    fn refuse_for(&self, now_ms: Millis) -> Option<Millis> {
        // The queue is counted only if the result depends on it.
        self.overload
            .is_possible(now_ms)
            .then(|| self.queue_load(now_ms))
            .and_then(|load| self.overload.refuse_for(now_ms, load))
    }

    fn queue_load(&self, now_ms: Millis) -> QueueLoad {
        QueueLoad {
            queued: self.queue.awaited(now_ms),
            slots: self.slots,
            service_time_ms: self.service_time.mean_or_zero_ms(),
        }
    }
}
