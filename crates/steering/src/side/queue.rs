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
//! has waited long: that would delay the others.
//!
//! A request whose caller must have given up is not passed on. Processing it would take a slot from
//! a request that is still awaited, whose caller would then give up too, and so on long after the
//! load has ended. It stays here for a while, because its caller may still retransmit it: a
//! retransmission would otherwise be queued as a new request.
//!
//! Every operation takes logarithmic time, apart from requests that have become late or abandoned
//! since the last one: under overload, each packet of a caller leads to one.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::flow::{FlowKey, Millis, Segment};

/// Maximum number of queued requests; further ones go straight to the upstream's own queue.
const REQUESTS_MAX: usize = 1_024;
/// Maximum number of packets kept for one request; a caller has no more in flight.
const PACKETS_MAX: usize = 16;
/// Time for which a request stays queued after its caller must have given up.
const ABANDONED_KEPT_MS: Millis = 3_000;

/// A queued request with its packets in order of arrival.
#[derive(Debug)]
pub(super) struct QueuedRequest {
    pub(super) flow: FlowKey,
    pub(super) packets: Vec<Box<[u8]>>,
    /// Sequence number after the last data.
    pub(super) next_sequence: u32,
    /// Whether the caller has ended the flow after the request, and no longer awaits the answer.
    pub(super) ended: bool,
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
    /// From then on, the caller has given up; not before `now_ms`.
    pub(super) abandoned_from_ms: Millis,
}

impl QueuedRequest {
    pub(super) fn waited_ms(&self, now_ms: Millis) -> Millis {
        now_ms.saturating_sub(self.since_ms)
    }
}

/// Queued requests, numbered in order of arrival. Each is in one of three states: awaited,
/// abandoned, or due to be passed on because the upstream must learn that the flow has ended.
#[derive(Debug, Default)]
pub(super) struct Queue {
    requests: BTreeMap<u64, QueuedRequest>,
    by_flow: HashMap<FlowKey, u64>,
    next_number: u64,
    /// Awaited requests.
    awaited: BTreeSet<u64>,
    /// Awaited requests that can be on time, by urgency and number.
    on_time: BTreeSet<(bool, u64)>,
    /// Awaited requests that are late, those that are not urgent last.
    late: BTreeSet<(bool, u64)>,
    /// Awaited requests that can be on time, by their latest start.
    start_by: BTreeSet<(Millis, u64)>,
    /// Awaited requests, by the time from which they are abandoned.
    abandoned_from: BTreeSet<(Millis, u64)>,
    /// Abandoned requests, by the time since which they are.
    abandoned: BTreeSet<(Millis, u64)>,
    /// Requests to be passed on at once.
    due: BTreeSet<u64>,
}

impl Queue {
    /// Makes room for another request, if need be by dropping the one that was abandoned first.
    /// Returns whether there is room.
    pub(super) fn make_room(&mut self) -> bool {
        if self.requests.len() < REQUESTS_MAX {
            return true;
        }
        let Some(&(_, number)) = self.abandoned.first() else { return false };
        self.remove(number).is_some()
    }

    pub(super) fn push(&mut self, segment: &Segment, packet: &[u8], times: Times, urgent: bool) {
        let number = self.next_number;
        self.next_number += 1;
        let request = QueuedRequest {
            flow: segment.flow,
            packets: vec![packet.into()],
            next_sequence: segment.next_sequence(),
            ended: false,
            since_ms: times.now_ms,
            start_by_ms: times.start_by_ms,
            abandoned_from_ms: times.abandoned_from_ms,
            closing: segment.last,
            urgent,
        };
        self.requests.insert(number, request);
        self.by_flow.insert(segment.flow, number);
        self.set_awaited(number);
    }

    pub(super) fn contains(&self, flow: FlowKey) -> bool {
        self.by_flow.contains_key(&flow)
    }

    /// Adds a packet to the queued request of its flow, and returns whether there is one. A packet
    /// that is already stored is a repetition by a caller without an answer, and is not stored
    /// twice. Data after that of an abandoned request is a new request of a caller who is still
    /// there; it is awaited, and `times` are its times.
    pub(super) fn append(&mut self, segment: &Segment, packet: &[u8], times: Times) -> bool {
        let Some(&number) = self.by_flow.get(&segment.flow) else { return false };
        let Some(request) = self.requests.get_mut(&number) else { return false };
        let is_kept = request.packets.iter().any(|kept| **kept == *packet);
        if is_kept || request.packets.len() >= PACKETS_MAX {
            return true;
        }
        let is_newer = (segment.next_sequence().wrapping_sub(request.next_sequence) as i32) > 0;
        request.packets.push(packet.into());
        request.closing |= segment.last;
        if is_newer {
            request.next_sequence = segment.next_sequence();
        }
        let closing = request.closing;
        if !self.abandoned.contains(&(request.abandoned_from_ms, number)) {
            return true;
        }
        if is_newer {
            self.remove_from_indexes(number);
            if let Some(request) = self.requests.get_mut(&number) {
                request.start_by_ms = times.start_by_ms;
                request.abandoned_from_ms = times.abandoned_from_ms;
            }
            self.set_awaited(number);
        } else if closing {
            self.set_due(number);
        }
        true
    }

    /// Notes that the caller has ended the flow of a queued request, which is therefore passed on
    /// at once. Returns the request if it was still awaited.
    pub(super) fn end(&mut self, flow: FlowKey) -> Option<&QueuedRequest> {
        let number = *self.by_flow.get(&flow)?;
        let awaited = self.awaited.contains(&number);
        self.set_due(number);
        let request = self.requests.get_mut(&number)?;
        request.ended = true;
        awaited.then_some(&*request)
    }

    /// Removes the request of a flow. Returns it if it was still awaited.
    pub(super) fn remove_flow(&mut self, flow: FlowKey) -> Option<QueuedRequest> {
        let number = *self.by_flow.get(&flow)?;
        let awaited = self.awaited.contains(&number);
        self.remove(number).filter(|_| awaited)
    }

    /// The next request of which it is found that its caller must have given up by now, if any.
    /// From then on, the request counts as abandoned. If its packets end the flow, it is passed on,
    /// because the upstream must learn of the end, which is sent once for each flow.
    pub(super) fn next_abandoned(&mut self, now_ms: Millis) -> Option<&QueuedRequest> {
        let &(from_ms, number) = self.abandoned_from.first()?;
        if now_ms < from_ms {
            return None;
        }
        if self.requests.get(&number)?.closing {
            self.set_due(number);
        } else {
            self.remove_from_indexes(number);
            self.abandoned.insert((from_ms, number));
        }
        self.requests.get(&number)
    }

    /// Drops requests that were abandoned a while ago.
    pub(super) fn drop_expired(&mut self, now_ms: Millis) {
        while let Some(&(from_ms, number)) = self.abandoned.first() {
            if now_ms.saturating_sub(from_ms) < ABANDONED_KEPT_MS {
                return;
            }
            self.remove(number);
        }
    }

    /// Removes the request to be processed next: the newest that can still be on time, otherwise
    /// the oldest. In both groups, urgent requests take precedence.
    pub(super) fn take_next(&mut self, now_ms: Millis) -> Option<QueuedRequest> {
        while let Some(&(by_ms, number)) = self.start_by.first() {
            if now_ms <= by_ms {
                break;
            }
            self.start_by.pop_first();
            let urgent = self.requests.get(&number).is_some_and(|request| request.urgent);
            self.on_time.remove(&(urgent, number));
            self.late.insert((!urgent, number));
        }
        let &(_, number) = self.on_time.last().or_else(|| self.late.first())?;
        self.remove(number)
    }

    /// Removes a request that is passed on because the upstream must learn that the flow has
    /// ended, if there is one.
    pub(super) fn take_due(&mut self) -> Option<QueuedRequest> {
        let number = *self.due.first()?;
        self.remove(number)
    }

    /// Removes the oldest awaited request, if any.
    pub(super) fn take_oldest(&mut self) -> Option<QueuedRequest> {
        let number = *self.awaited.first()?;
        self.remove(number)
    }

    /// Number of awaited requests.
    pub(super) fn awaited(&self) -> usize {
        self.awaited.len()
    }

    /// Number of awaited requests that can still be on time.
    pub(super) fn on_time(&self, now_ms: Millis) -> usize {
        // Few have become late since a request was last taken.
        self.start_by.len() - self.start_by.range(..(now_ms, 0)).count()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    fn set_awaited(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number) else { return };
        self.awaited.insert(number);
        self.abandoned_from.insert((request.abandoned_from_ms, number));
        if let Some(by_ms) = request.start_by_ms {
            self.start_by.insert((by_ms, number));
            self.on_time.insert((request.urgent, number));
        } else {
            self.late.insert((!request.urgent, number));
        }
    }

    fn set_due(&mut self, number: u64) {
        self.remove_from_indexes(number);
        self.due.insert(number);
    }

    fn remove(&mut self, number: u64) -> Option<QueuedRequest> {
        self.remove_from_indexes(number);
        let request = self.requests.remove(&number)?;
        self.by_flow.remove(&request.flow);
        Some(request)
    }

    fn remove_from_indexes(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number) else { return };
        self.awaited.remove(&number);
        self.on_time.remove(&(request.urgent, number));
        self.late.remove(&(!request.urgent, number));
        if let Some(by_ms) = request.start_by_ms {
            self.start_by.remove(&(by_ms, number));
        }
        self.abandoned_from.remove(&(request.abandoned_from_ms, number));
        self.abandoned.remove(&(request.abandoned_from_ms, number));
        self.due.remove(&number);
    }
}
