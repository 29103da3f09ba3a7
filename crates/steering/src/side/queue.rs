//! Requests that wait beside a busy upstream.
//!
//! An upstream works off its own queue in the order of arrival. After an outage, that queue is full
//! of requests that are late already, and every new one becomes late behind them. Here the newest
//! goes first while it can still be on time; those that are late follow when there is room.

use crate::flow::{FlowKey, Millis, Segment};

/// A request that has waited for this long is late whatever happens: callers expect most answers
/// within 200 to 300 ms, and the work itself takes 40 to 70 ms.
const HOPEFUL_MS: Millis = 150;
/// Longest wait. Then the upstream's own queue takes the request or sheds it, so that its caller
/// learns early enough to ask elsewhere.
const WAIT_MAX_MS: Millis = 700;
/// Requests that wait at most; further ones go straight to the upstream's own queue.
const REQUESTS_MAX: usize = 64;
/// Packets of one request kept at most; a caller has no more in flight.
const PACKETS_MAX: usize = 16;

/// A request with its packets in the order of arrival.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) flow: FlowKey,
    pub(super) packets: Vec<Box<[u8]>>,
    /// Number after the last data.
    pub(super) next_sequence: u32,
    since_ms: Millis,
    late: bool,
}

impl Waiting {
    /// How long it has waited.
    pub(super) fn waited_ms(&self, now_ms: Millis) -> Millis {
        now_ms.saturating_sub(self.since_ms)
    }
}

/// Requests by arrival.
#[derive(Debug, Default)]
pub(super) struct Queue {
    requests: Vec<Waiting>,
}

impl Queue {
    /// Whether another request may wait.
    pub(super) fn has_room(&self) -> bool {
        self.requests.len() < REQUESTS_MAX
    }

    /// Adds a request; `late` if it is known to be late already.
    pub(super) fn push(&mut self, now_ms: Millis, segment: &Segment, packet: &[u8], late: bool) {
        self.requests.push(Waiting {
            flow: segment.flow,
            packets: vec![packet.into()],
            next_sequence: segment.next_sequence(),
            since_ms: now_ms,
            late,
        });
    }

    /// Adds a packet to a request that waits; says whether there is one. A packet that is there
    /// already came again because its caller has no answer yet, and is not kept twice.
    pub(super) fn append(&mut self, segment: &Segment, packet: &[u8]) -> bool {
        let mut requests = self.requests.iter_mut();
        let Some(waiting) = requests.find(|waiting| waiting.flow == segment.flow) else {
            return false;
        };
        let known = waiting.packets.iter().any(|kept| **kept == *packet);
        if !known && waiting.packets.len() < PACKETS_MAX {
            waiting.packets.push(packet.into());
            waiting.next_sequence = segment.next_sequence();
        }
        true
    }

    /// Takes the next request that has waited too long, if any.
    pub(super) fn take_overdue(&mut self, now_ms: Millis) -> Option<Waiting> {
        let index =
            self.requests.iter().position(|waiting| waiting.waited_ms(now_ms) >= WAIT_MAX_MS)?;
        Some(self.requests.remove(index))
    }

    /// Takes the request to be worked on next: the newest that can be on time, else the oldest.
    pub(super) fn take_next(&mut self, now_ms: Millis) -> Option<Waiting> {
        let hopeful = |waiting: &Waiting| !waiting.late && waiting.waited_ms(now_ms) < HOPEFUL_MS;
        let newest = self.requests.iter().rposition(hopeful);
        let index = newest.or_else(|| (!self.requests.is_empty()).then_some(0))?;
        Some(self.requests.remove(index))
    }

    /// Takes whatever waits, oldest first.
    pub(super) fn take_any(&mut self) -> Option<Waiting> {
        (!self.requests.is_empty()).then(|| self.requests.remove(0))
    }

    /// Forgets the request of a flow whose caller has given up.
    pub(super) fn forget(&mut self, flow: FlowKey) {
        self.requests.retain(|waiting| waiting.flow != flow);
    }

    /// Number of requests.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }
}
