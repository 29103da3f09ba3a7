//! Queue of requests beside a busy upstream.
//!
//! After an outage, all callers send requests at once, and the upstreams are cold. An upstream
//! processes its own queue in order of arrival. Once that is full of requests that are already
//! late, it makes every new request late too. Therefore the agent passes on only as many requests
//! as the upstream has slots, and queues the rest.
//!
//! The newest request that can still be on time goes first, judged by the answer time that its
//! caller expects and by the mean service time. Late requests follow, oldest first, when slots are
//! free. In both groups, urgent requests take precedence. No request is passed on merely because it
//! has waited long: that would delay the others. A request whose caller must have given up is
//! dropped. Processing it would take a slot from a request that is still awaited, whose caller
//! would then give up too, and so on long after the load has ended.

use crate::flow::{FlowKey, Millis, Segment};

/// Maximum number of queued requests; further ones go straight to the upstream's own queue.
const REQUESTS_MAX: usize = 256;
/// Maximum number of packets kept for one request; a caller has no more in flight.
const PACKETS_MAX: usize = 16;

/// A queued request with its packets in order of arrival.
#[derive(Debug)]
pub(super) struct QueuedRequest {
    pub(super) flow: FlowKey,
    pub(super) packets: Vec<Box<[u8]>>,
    /// Sequence number after the last data.
    pub(super) next_sequence: u32,
    since_ms: Millis,
    /// Latest start at which the answer is on time; `None` if it is late in any case.
    start_by_ms: Option<Millis>,
    /// From then on, the caller has given up.
    abandoned_from_ms: Millis,
    /// Whether the caller has ended the flow with this request.
    closing: bool,
    /// Whether the request takes precedence over others.
    urgent: bool,
}

/// Times of a request to be queued.
#[derive(Clone, Copy, Debug)]
pub(super) struct Times {
    pub(super) now_ms: Millis,
    /// Latest start at which the answer is on time; `None` if it is late in any case.
    pub(super) start_by_ms: Option<Millis>,
    /// From then on, the caller has given up.
    pub(super) abandoned_from_ms: Millis,
}

impl QueuedRequest {
    pub(super) fn waited_ms(&self, now_ms: Millis) -> Millis {
        now_ms.saturating_sub(self.since_ms)
    }
}

/// Queued requests in order of arrival.
#[derive(Debug, Default)]
pub(super) struct Queue {
    requests: Vec<QueuedRequest>,
}

impl Queue {
    /// Whether another request may be queued.
    pub(super) fn has_room(&self) -> bool {
        self.requests.len() < REQUESTS_MAX
    }

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

    /// Adds a packet to the queued request of its flow, and returns whether there is one. A packet
    /// that is already stored is a repetition by a caller without an answer, and is not stored
    /// twice.
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

    /// Removes the request to be processed next: the newest that can still be on time, otherwise
    /// the oldest. In both groups, urgent requests take precedence.
    pub(super) fn take_next(&mut self, now_ms: Millis) -> Option<QueuedRequest> {
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

    /// Removes a request whose caller has given up and ended the flow with it, if there is one.
    ///
    /// The upstream must learn that the flow has ended, and the end is sent once for each flow.
    pub(super) fn take_closing(&mut self, now_ms: Millis) -> Option<QueuedRequest> {
        let is_due =
            |waiting: &QueuedRequest| waiting.closing && now_ms >= waiting.abandoned_from_ms;
        let index = self.requests.iter().position(is_due)?;
        Some(self.requests.remove(index))
    }

    /// Removes the oldest request, if any.
    pub(super) fn take_any(&mut self) -> Option<QueuedRequest> {
        (!self.requests.is_empty()).then(|| self.requests.remove(0))
    }

    /// Drops requests whose callers must have given up, except for those that end their flows.
    /// Returns how many were dropped.
    pub(super) fn drop_abandoned(&mut self, now_ms: Millis) -> usize {
        let before = self.requests.len();
        self.requests.retain(|waiting| waiting.closing || now_ms < waiting.abandoned_from_ms);
        before - self.requests.len()
    }

    /// Number of requests whose callers still wait.
    pub(super) fn awaited(&self, now_ms: Millis) -> usize {
        self.requests.iter().filter(|waiting| now_ms < waiting.abandoned_from_ms).count()
    }

    /// Whether a request of this flow is queued.
    pub(super) fn contains(&self, flow: FlowKey) -> bool {
        self.requests.iter().any(|waiting| waiting.flow == flow)
    }

    /// Drops the request of a flow that the caller has given up.
    pub(super) fn remove_flow(&mut self, flow: FlowKey) {
        self.requests.retain(|waiting| waiting.flow != flow);
    }

    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }
}
