//! Simulated caller: opens a flow, sends one request after another and retransmits what is not
//! answered.

use steering::flow::{FlowKey, Segment, SegmentKind};

use super::upstream;
use super::world::Packet;

/// Delays after which an unanswered opening is retransmitted.
const OPENING_COPY_DELAYS_MS: [u64; 2] = [200, 600];
/// Time after which an unanswered opening is abandoned.
const OPENING_TIMEOUT_MS: u64 = 1_400;
/// Delay before the first retransmission of data; doubles with each further one.
const RETRANSMIT_MIN_MS: u64 = 200;
/// Maximum delay between retransmissions.
const RETRANSMIT_MAX_MS: u64 = 1_600;
/// Time after which an unanswered request is abandoned.
const REQUEST_TIMEOUT_MS: u64 = 4_000;
/// Time after which an answer is abandoned if no further part arrives. It is the platform's bound
/// on how long packets may fail to reach their flow's upstream.
const PART_TIMEOUT_MS: u64 = 2_000;
/// Size of a request.
const REQUEST_BYTES: u16 = 100;
/// Time for which a caller that has given up retransmits the end of its flow.
const LEAVE_MS: u64 = 600;

/// State of a caller's flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// Has sent the opening `copies` times since `since_ms`.
    Opening { since_ms: u64, copies: u32 },
    /// Waits for the answer to a request.
    Requesting { since_ms: u64, pause_ms: u64 },
    /// Has received a part of its answer; acknowledges each further one.
    Receiving { since_ms: u64 },
    /// Has received the whole answer; pauses before the next request.
    Idle,
    /// Has closed the flow; waits for the upstream's confirmation.
    Ending { since_ms: u64, pause_ms: u64 },
    /// Has given up a request and ended the flow; the end may stay unconfirmed.
    Leaving { since_ms: u64, pause_ms: u64 },
    /// The flow is closed or abandoned.
    Ended,
}

/// A caller and its current flow.
#[derive(Clone, Debug)]
pub(super) struct Caller {
    pub(super) flow: FlowKey,
    pub(super) state: State,
    /// Index and incarnation of the upstream that the caller has acknowledged.
    pub(super) holder: Option<(usize, u64)>,
    /// When the caller acts next.
    pub(super) due_ms: u64,
    /// When the flow was opened.
    pub(super) opened_ms: u64,
    /// When the latest packet was sent.
    pub(super) sent_ms: u64,
    /// Time after which it gives up a request and ends the flow, if it does.
    timeout_ms: Option<u64>,
    sequence: u32,
    /// Bytes received on this flow in answers that come in parts.
    received_bytes: u32,
}

impl Caller {
    /// Creates a caller that opens a flow now.
    pub(super) fn open(flow: FlowKey, now_ms: u64) -> Self {
        Self {
            flow,
            state: State::Opening { since_ms: now_ms, copies: 0 },
            holder: None,
            due_ms: now_ms,
            opened_ms: now_ms,
            sent_ms: now_ms,
            timeout_ms: None,
            sequence: 1,
            received_bytes: 0,
        }
    }

    /// The caller, which ends its flow if a request is not answered within this time.
    pub(super) fn with_timeout(self, timeout_ms: u64) -> Self {
        Self { timeout_ms: Some(timeout_ms), ..self }
    }

    /// Whether its latest request has this sequence number.
    pub(super) fn has_latest(&self, sequence: u32) -> bool {
        self.sequence == sequence
    }

    /// The caller without an open flow; it sends nothing.
    pub(super) fn park(&mut self) {
        self.state = State::Ended;
        self.due_ms = u64::MAX;
    }

    /// Handles the caller's timer; returns the packet that it sends, if any.
    pub(super) fn on_timer(&mut self, now_ms: u64) -> Option<Packet> {
        match self.state {
            State::Opening { since_ms, copies } => self.send_opening(now_ms, since_ms, copies),
            State::Requesting { since_ms, .. }
                if self.timeout_ms.is_some_and(|timeout_ms| now_ms - since_ms >= timeout_ms) =>
            {
                let packet = self.end(now_ms);
                self.state = State::Leaving { since_ms: now_ms, pause_ms: RETRANSMIT_MIN_MS };
                Some(packet)
            }
            State::Leaving { since_ms, .. } if now_ms - since_ms >= LEAVE_MS => {
                self.state = State::Ended;
                None
            }
            State::Leaving { since_ms, pause_ms } => {
                let pause_ms = self.back_off(now_ms, since_ms, pause_ms)?;
                self.state = State::Leaving { since_ms, pause_ms };
                Some(self.last_packet())
            }
            State::Requesting { since_ms, pause_ms } => {
                let pause_ms = self.back_off(now_ms, since_ms, pause_ms)?;
                self.state = State::Requesting { since_ms, pause_ms };
                self.due_ms = self.before_timeout(self.due_ms, since_ms);
                Some(self.packet(SegmentKind::Later, self.sequence, REQUEST_BYTES))
            }
            State::Ending { since_ms, pause_ms } => {
                let pause_ms = self.back_off(now_ms, since_ms, pause_ms)?;
                self.state = State::Ending { since_ms, pause_ms };
                Some(self.last_packet())
            }
            State::Receiving { since_ms } => {
                if now_ms - since_ms >= PART_TIMEOUT_MS {
                    self.state = State::Ended;
                }
                None
            }
            State::Idle => {
                self.sequence += u32::from(REQUEST_BYTES);
                Some(self.send_request(now_ms))
            }
            State::Ended => None,
        }
    }

    /// Handles an answer to the opening. Only the first one counts.
    pub(super) fn on_accept(
        &mut self,
        now_ms: u64,
        upstream: usize,
        incarnation: u64,
    ) -> Option<Packet> {
        if !matches!(self.state, State::Opening { .. }) {
            return None;
        }
        self.holder = Some((upstream, incarnation));
        Some(self.send_request(now_ms))
    }

    /// Handles an answer to a request, after which the caller is idle for a while. Returns false if
    /// it was not waiting for one.
    pub(super) fn on_answer(&mut self, now_ms: u64, idle_ms: u64) -> bool {
        if !matches!(self.state, State::Requesting { .. } | State::Receiving { .. }) {
            return false;
        }
        self.state = State::Idle;
        self.due_ms = now_ms + idle_ms;
        true
    }

    /// Handles the part of an answer that ends at this byte, and acknowledges all bytes received so
    /// far.
    pub(super) fn on_part(&mut self, now_ms: u64, end_bytes: u32) -> Option<Packet> {
        if !matches!(self.state, State::Requesting { .. } | State::Receiving { .. } | State::Idle) {
            return None;
        }
        if end_bytes > self.received_bytes && self.state != State::Idle {
            self.received_bytes = end_bytes;
            self.state = State::Receiving { since_ms: now_ms };
            self.due_ms = now_ms + PART_TIMEOUT_MS;
        }
        Some(self.packet(SegmentKind::Later, self.sequence + u32::from(REQUEST_BYTES), 0))
    }

    /// Closes an idle flow.
    pub(super) fn end(&mut self, now_ms: u64) -> Packet {
        self.state = State::Ending { since_ms: now_ms, pause_ms: RETRANSMIT_MIN_MS };
        self.due_ms = now_ms + RETRANSMIT_MIN_MS;
        self.last_packet()
    }

    fn last_packet(&self) -> Packet {
        let sequence = self.sequence + u32::from(REQUEST_BYTES);
        let mut packet = self.packet(SegmentKind::Later, sequence, 0);
        packet.segment.last = true;
        packet
    }

    fn send_opening(&mut self, now_ms: u64, since_ms: u64, copies: u32) -> Option<Packet> {
        let age_ms = now_ms - since_ms;
        if age_ms >= OPENING_TIMEOUT_MS {
            self.state = State::Ended;
            return None;
        }
        let next =
            OPENING_COPY_DELAYS_MS.get(copies as usize).copied().unwrap_or(OPENING_TIMEOUT_MS);
        self.due_ms = since_ms + next;
        self.state = State::Opening { since_ms, copies: copies + 1 };
        Some(self.packet(SegmentKind::Opening { copy: copies }, 0, 0))
    }

    fn send_request(&mut self, now_ms: u64) -> Packet {
        self.state = State::Requesting { since_ms: now_ms, pause_ms: RETRANSMIT_MIN_MS };
        self.due_ms = self.before_timeout(now_ms + RETRANSMIT_MIN_MS, now_ms);
        self.packet(SegmentKind::Later, self.sequence, REQUEST_BYTES)
    }

    /// The time, or when the caller gives up a request that it has sent at `since_ms`.
    fn before_timeout(&self, at_ms: u64, since_ms: u64) -> u64 {
        self.timeout_ms.map_or(at_ms, |timeout_ms| at_ms.min(since_ms + timeout_ms))
    }

    /// Returns the delay before the same packet is sent again, or `None` if the caller gives up.
    fn back_off(&mut self, now_ms: u64, since_ms: u64, pause_ms: u64) -> Option<u64> {
        if now_ms - since_ms >= REQUEST_TIMEOUT_MS {
            self.state = State::Ended;
            return None;
        }
        let pause_ms = (pause_ms * 2).min(RETRANSMIT_MAX_MS);
        self.due_ms = now_ms + pause_ms;
        Some(pause_ms)
    }

    fn packet(&self, kind: SegmentKind, sequence: u32, data_bytes: u16) -> Packet {
        let last = false;
        let acknowledged_incarnation = self.holder.map_or(0, |(_, incarnation)| incarnation);
        let first = upstream::initial_sequence_of(acknowledged_incarnation).wrapping_add(1);
        let acknowledged = first.wrapping_add(self.received_bytes);
        let segment = Segment { flow: self.flow, kind, sequence, acknowledged, data_bytes, last };
        Packet { segment, acknowledged_incarnation }
    }
}
