//! Requests that wait beside a busy upstream.
//!
//! Load pattern: after an outage, all callers come at once, to upstreams that are cold. An upstream
//! works off its own queue in the order of arrival; full of requests that are late already, it
//! makes every new one late too. So it gets no more than it has slots for, and of those that wait
//! the newest goes first while it can be on time, going by what its callers expect and by how long
//! works take; those that are late follow, oldest first, when there is room. In both, urgent ones
//! go before others. None is handed on for having waited long: it would delay the others. One whose
//! caller must have given up is forgotten: worked on, it would take a slot from one that is
//! awaited, whose caller then gives up too, and so on long after the load is gone.

use crate::flow::{FlowKey, Millis, Segment};

/// Requests that wait at most; further ones go straight to the upstream's own queue.
const REQUESTS_MAX: usize = 256;
/// Packets of one request kept at most; a caller has no more in flight.
const PACKETS_MAX: usize = 16;

/// A request with its packets in the order of arrival.
#[derive(Debug)]
pub(super) struct QueuedRequest {
    pub(super) flow: FlowKey,
    pub(super) packets: Vec<Box<[u8]>>,
    /// Number after the last data.
    pub(super) next_sequence: u32,
    since_ms: Millis,
    /// Started later, it is late; `None` if it is late whatever happens.
    start_by_ms: Option<Millis>,
    /// From then on, its caller has given up.
    abandoned_from_ms: Millis,
    /// Whether the caller has ended the flow with it.
    closing: bool,
    /// Whether it goes before others.
    urgent: bool,
}

/// Times of a request that waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Times {
    pub(super) now_ms: Millis,
    /// Started later, it is late; `None` if it is late whatever happens.
    pub(super) start_by_ms: Option<Millis>,
    /// From then on, nobody awaits it.
    pub(super) abandoned_from_ms: Millis,
}

impl QueuedRequest {
    /// How long it has waited.
    pub(super) fn waited_ms(&self, now_ms: Millis) -> Millis {
        now_ms.saturating_sub(self.since_ms)
    }
}

/// Requests by arrival.
#[derive(Debug, Default)]
pub(super) struct Queue {
    requests: Vec<QueuedRequest>,
}

impl Queue {
    /// Whether another request may wait.
    pub(super) fn has_room(&self) -> bool {
        self.requests.len() < REQUESTS_MAX
    }

    /// Adds a request.
    pub(super) fn push(&mut self, segment: &Segment, packet: &[u8], times: Times, urgent: bool) {
        let Times { now_ms, start_by_ms, abandoned_from_ms } = times;
        self.requests.push(QueuedRequest {
            flow: segment.flow,
            packets: vec![packet.into()],
            next_sequence: segment.next_sequence(),
            since_ms: now_ms,
            start_by_ms,
            abandoned_from_ms,
            closing: segment.last,
            urgent,
        });
    }

    /// Adds a packet to a request that waits; says whether there is one. A packet that is there
    /// already came again because its caller has no answer yet, and is not kept twice.
    pub(super) fn append(&mut self, segment: &Segment, packet: &[u8]) -> bool {
        let mut requests = self.requests.iter_mut();
        let Some(waiting) = requests.find(|waiting| waiting.flow == segment.flow) else {
            return false;
        };
        let is_kept = waiting.packets.iter().any(|kept| **kept == *packet);
        if !is_kept && waiting.packets.len() < PACKETS_MAX {
            waiting.packets.push(packet.into());
            waiting.next_sequence = segment.next_sequence();
            waiting.closing |= segment.last;
        }
        true
    }

    /// Takes the request to be worked on next: the newest that can be on time, else the oldest, and in
    /// both an urgent one if there is one.
    pub(super) fn take_next(&mut self, now_ms: Millis) -> Option<QueuedRequest> {
        self.drop_abandoned(now_ms);
        let can_be_on_time =
            |waiting: &QueuedRequest| waiting.start_by_ms.is_some_and(|by_ms| now_ms <= by_ms);
        let urgent = |waiting: &QueuedRequest| waiting.urgent;
        let requests = &self.requests;
        let index = requests
            .iter()
            .rposition(|waiting| can_be_on_time(waiting) && urgent(waiting))
            .or_else(|| requests.iter().rposition(can_be_on_time))
            .or_else(|| requests.iter().position(urgent))
            .or_else(|| (!requests.is_empty()).then_some(0))?;
        Some(self.requests.remove(index))
    }

    /// Takes a request whose caller has given up and ended the flow with it, if there is one.
    ///
    /// The upstream must learn of the end; it comes once for each flow.
    pub(super) fn take_closing(&mut self, now_ms: Millis) -> Option<QueuedRequest> {
        let is_due =
            |waiting: &QueuedRequest| waiting.closing && now_ms >= waiting.abandoned_from_ms;
        let index = self.requests.iter().position(is_due)?;
        Some(self.requests.remove(index))
    }

    /// Takes whatever waits, oldest first.
    pub(super) fn take_any(&mut self) -> Option<QueuedRequest> {
        (!self.requests.is_empty()).then(|| self.requests.remove(0))
    }

    /// Forgets the requests whose callers must have given up, but for those that end their flows.
    pub(super) fn drop_abandoned(&mut self, now_ms: Millis) {
        self.requests.retain(|waiting| waiting.closing || now_ms < waiting.abandoned_from_ms);
    }

    /// Forgets the request of a flow whose caller has given up.
    pub(super) fn remove_flow(&mut self, flow: FlowKey) {
        self.requests.retain(|waiting| waiting.flow != flow);
    }

    /// Number of requests.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }
}
