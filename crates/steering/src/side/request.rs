//! The life of a request beside the upstream: when it is queued, passed on and counted as in
//! progress, and when its caller is found to have given up.
//!
//! A request counts as in progress only if the upstream processes it. An upstream that knows that
//! the caller has ended the flow discards the flow's requests without an answer. If these were
//! counted, each would block a slot for [`BUSY_MAX_MS`], other callers would give up in the
//! meantime, and the blocking would outlast the load.

use super::queue::Times;
use super::types::{ForwardMetadata, GivenUp, GivenUpBy, Released};
use super::{
    AgentCore, BUSY_MAX_MS, FULL_PACKET_BYTES, NETWORK_DELAY_MS, REQUESTS_BEYOND_SLOTS,
    RESERVED_SERVICE_TIMES,
};
use crate::flow::{FlowKey, Millis, Segment, SegmentKind};

/// Maximum number of kept notes about requests whose callers gave up. The process reads them after
/// each packet, so that there are no more than the queue has requests.
const GIVEN_UP_MAX: usize = 1_024;

/// While requests are queued, one counts as in progress for at most this many mean service times.
/// The longest requests take about six; an upstream that discards a request sends no answer.
const BUSY_MAX_SERVICE_TIMES: Millis = 10;
/// Shortest such time. A fast upstream may pause for this long.
const BUSY_MIN_MS: Millis = 300;
/// Interval between two checks for requests that no longer count as in progress.
const RECLAIM_INTERVAL_MS: Millis = 50;

impl AgentCore {
    /// Removes the next queued request that may go to the upstream now, if any.
    pub fn next_released(&mut self, now_ms: Millis) -> Option<Released> {
        self.note_abandoned(now_ms);
        let waiting = if let Some(due) = self.queue.take_due() {
            due
        } else if self.unresponsive_for(now_ms).is_some() {
            // An unresponsive upstream frees no slots. Pass the packets on, so that the balancers
            // learn that it does not respond.
            self.queue.take_oldest()?
        } else if self.has_slot() {
            if self.policy.deadline_order {
                self.queue.take_next(now_ms)?
            } else {
                self.queue.take_oldest()?
            }
        } else {
            return None;
        };
        if let Some(flow) = self.flows.get_mut(&waiting.flow).filter(|_| !waiting.ended) {
            flow.next_sequence = Some(waiting.next_sequence);
            if flow.busy_since_ms.replace(now_ms).is_none() {
                self.busy += 1;
            }
        }
        let waited_ms = waiting.waited_ms(now_ms);
        Some(Released { packets: waiting.packets, waited_ms, ended: waiting.ended })
    }

    /// Removes the oldest queued request that is still awaited or ends its flow, whatever the state
    /// of the upstream, and returns its packets. A process that exits must not keep them.
    pub fn take_any_queued(&mut self) -> Option<Vec<Box<[u8]>>> {
        let waiting = self.queue.take_due().or_else(|| self.queue.take_oldest());
        waiting.map(|waiting| waiting.packets)
    }

    /// Removes and returns the next note about a queued request whose caller gave up.
    pub fn take_given_up(&mut self) -> Option<GivenUp> {
        self.given_up.pop_front()
    }

    /// When a caller was last found to have given up on a queued request.
    pub fn last_given_up_ms(&self) -> Option<Millis> {
        self.overload.last_given_up_ms()
    }

    /// Number of queued requests whose callers still wait.
    pub fn queued(&self) -> usize {
        self.queue.awaited()
    }

    /// Queues request data if no slot is free. Returns whether the data is queued.
    pub(super) fn enqueue_if_no_slot(
        &mut self,
        now_ms: Millis,
        segment: &Segment,
        bytes: &[u8],
        metadata: &ForwardMetadata,
    ) -> bool {
        if !self.policy.waiting || !self.is_request_data(segment) {
            return false;
        }
        let flow = self.flows.get(&segment.flow);
        if flow.is_some_and(|flow| flow.ended) {
            return false;
        }
        let times = self.times_of_request(now_ms, segment.flow, metadata);
        if self.queue.append(segment, bytes, times) {
            return true;
        }
        let Some(flow) = flow.filter(|flow| flow.sent.is_some()) else { return false };
        if flow.has_seen(segment) || flow.busy_since_ms.is_some() {
            return false;
        }
        let urgent = flow.urgent;
        if self.has_slot() || !self.queue.make_room() {
            return false;
        }
        self.queue.push(segment, bytes, times, urgent);
        self.note_abandoned(now_ms);
        true
    }

    /// Times of a request that arrives now. They count from the first packet of the request that
    /// was seen, or from the opening if that is older.
    fn times_of_request(&self, now_ms: Millis, key: FlowKey, metadata: &ForwardMetadata) -> Times {
        let elapsed_ms = self.flows.get(&key).map_or(0, |flow| flow.request_age_ms(now_ms));
        let needed_ms = self.service_time.mean_or_zero_ms() + NETWORK_DELAY_MS + elapsed_ms;
        let start_by_ms =
            metadata.slo_or_default_ms().checked_sub(needed_ms).map(|left_ms| now_ms + left_ms);
        let reserved_ms = RESERVED_SERVICE_TIMES * self.service_time.mean_or_zero_ms();
        let left_ms = metadata.timeout_or_default_ms().saturating_sub(elapsed_ms + reserved_ms);
        Times { now_ms, start_by_ms, abandoned_from_ms: now_ms + left_ms }
    }

    /// Counts a request that is passed to the upstream as in progress, unless its caller has ended
    /// the flow.
    pub(super) fn start_request(&mut self, now_ms: Millis, segment: &Segment) {
        let counts = self.is_request_data(segment);
        let Some(flow) = self.flows.get_mut(&segment.flow) else { return };
        if !counts || flow.ended || flow.has_seen(segment) {
            return;
        }
        flow.record_data(segment);
        if flow.busy_since_ms.is_none() {
            flow.busy_since_ms = Some(now_ms);
            self.busy += 1;
        }
    }

    /// Notes the first packet of a request, from which its age counts, and the end of a flow.
    pub(super) fn note_request(&mut self, now_ms: Millis, segment: &Segment) {
        let is_complete = self.is_request_data(segment);
        let is_queued = self.queue.contains(segment.flow);
        let Some(flow) = self.flows.get_mut(&segment.flow) else { return };
        if segment.data_bytes > 0 {
            flow.note_arrival(now_ms, segment, is_complete, is_queued);
        } else if segment.last {
            flow.ended = true;
            if let Some(request) = self.queue.end(segment.flow) {
                let note = GivenUp::new(now_ms, request, GivenUpBy::End);
                self.record_given_up(now_ms, note);
            }
        }
    }

    /// Drops the queued request of a flow that its caller has reset or replaced by another.
    pub(super) fn drop_request(&mut self, now_ms: Millis, key: FlowKey) {
        if let Some(request) = self.queue.remove_flow(key) {
            let note = GivenUp::new(now_ms, &request, GivenUpBy::End);
            self.record_given_up(now_ms, note);
        }
    }

    /// Notes the queued requests whose callers must have given up by now.
    pub(super) fn note_abandoned(&mut self, now_ms: Millis) {
        while let Some(request) = self.queue.next_abandoned(now_ms) {
            let note = GivenUp::new(now_ms, request, GivenUpBy::Time);
            let flow = self.flows.get_mut(&note.flow);
            let arrival = flow.and_then(|flow| flow.arrival.as_mut());
            // A request that was dropped and retransmitted was noted before.
            if !arrival.is_some_and(|arrival| std::mem::replace(&mut arrival.given_up, true)) {
                self.record_given_up(now_ms, note);
            }
        }
        self.queue.drop_expired(now_ms);
    }

    /// Records that the caller of a queued request was found to have given up. This is called once
    /// for each request.
    fn record_given_up(&mut self, now_ms: Millis, note: GivenUp) {
        self.overload.record_given_up(now_ms);
        if self.given_up.len() < GIVEN_UP_MAX {
            self.given_up.push_back(note);
        }
    }

    /// Stops counting requests that must have been answered or discarded by now.
    ///
    /// If a crashed upstream loses as many requests as it has slots, or discards them because their
    /// callers have gone, no further request would reach it until [`BUSY_MAX_MS`] have passed,
    /// although it is idle. Before the first answer nothing is known of the upstream's service time,
    /// and it may simply be slow.
    pub(super) fn reclaim_slots(&mut self, now_ms: Millis) {
        let is_due = now_ms.saturating_sub(self.last_reclaim_ms) >= RECLAIM_INTERVAL_MS;
        if !is_due || self.has_slot() || self.queue.is_empty() {
            return;
        }
        self.last_reclaim_ms = now_ms;
        let Some(mean_ms) = self.service_time.mean_ms() else { return };
        let max_ms = (BUSY_MAX_SERVICE_TIMES * mean_ms as Millis).clamp(BUSY_MIN_MS, BUSY_MAX_MS);
        self.expire_requests(now_ms, max_ms);
    }

    /// Stops counting requests that have been in progress for this long, and counts the others anew.
    pub(super) fn expire_requests(&mut self, now_ms: Millis, max_ms: Millis) {
        let is_over = |since_ms: &mut Millis| now_ms.saturating_sub(*since_ms) >= max_ms;
        self.busy = 0;
        for flow in self.flows.values_mut() {
            flow.busy_since_ms.take_if(is_over);
            self.busy += u32::from(flow.busy_since_ms.is_some());
        }
    }

    pub(super) fn has_slot(&self) -> bool {
        self.slots == 0 || self.busy < u32::from(self.slots) + REQUESTS_BEYOND_SLOTS
    }

    /// Whether the upstream starts processing a request with this packet.
    pub(super) fn is_request_data(&self, segment: &Segment) -> bool {
        let is_continued = self.policy.upload_accounting && segment.data_bytes >= FULL_PACKET_BYTES;
        segment.kind == SegmentKind::Later && segment.data_bytes > 0 && !is_continued
    }
}
