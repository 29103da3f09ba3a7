//! A caller: opens a flow, sends requests one after the other, repeats what is not answered.

use steering::flow::{FlowKey, Segment, SegmentKind};

use super::upstream;
use super::world::Packet;

/// Copies of an opening after these times.
const OPENING_COPY_DELAYS_MS: [u64; 2] = [200, 600];
/// An opening without an answer is given up after this time.
const OPENING_TIMEOUT_MS: u64 = 1_400;
/// First pause before data is repeated; it doubles.
const RETRANSMIT_MIN_MS: u64 = 200;
/// Longest pause.
const RETRANSMIT_MAX_MS: u64 = 1_600;
/// A request is given up after this time.
const REQUEST_TIMEOUT_MS: u64 = 4_000;
/// An answer of which no further part comes is given up after this time: the platform's bound on packets
/// that do not reach their flow's upstream.
const PART_TIMEOUT_MS: u64 = 2_000;
/// Bytes of a request.
const REQUEST_BYTES: u16 = 100;

/// Where a caller stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// It has sent `copies` openings since `since_ms`.
    Opening { since_ms: u64, copies: u32 },
    /// It waits for an answer.
    Requesting { since_ms: u64, pause_ms: u64 },
    /// It has a part of its answer, and acknowledges each further one.
    Receiving { since_ms: u64 },
    /// It has an answer, and pauses.
    Idle,
    /// It ends the flow, and waits for the upstream's word.
    Ending { since_ms: u64, pause_ms: u64 },
    /// It has ended this flow.
    Ended,
}

/// One caller with its present flow.
#[derive(Clone, Debug)]
pub(super) struct Caller {
    pub(super) flow: FlowKey,
    pub(super) state: State,
    /// The upstream's address index and life that the caller has acknowledged.
    pub(super) holder: Option<(usize, u64)>,
    /// When the caller has to act next.
    pub(super) due_ms: u64,
    /// When the flow was opened.
    pub(super) opened_ms: u64,
    sequence: u32,
    /// Bytes of answers in parts that it has taken on this flow.
    received_bytes: u32,
}

impl Caller {
    /// A caller that opens a flow now.
    pub(super) fn open(flow: FlowKey, now_ms: u64) -> Self {
        Self {
            flow,
            state: State::Opening { since_ms: now_ms, copies: 0 },
            holder: None,
            due_ms: now_ms,
            opened_ms: now_ms,
            sequence: 1,
            received_bytes: 0,
        }
    }

    /// What the caller sends now that its time has come.
    pub(super) fn on_timer(&mut self, now_ms: u64) -> Option<Packet> {
        match self.state {
            State::Opening { since_ms, copies } => self.send_opening(now_ms, since_ms, copies),
            State::Requesting { since_ms, pause_ms } => {
                let pause_ms = self.back_off(now_ms, since_ms, pause_ms)?;
                self.state = State::Requesting { since_ms, pause_ms };
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

    /// Takes an answer to its opening; the first one counts.
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

    /// Takes an answer to its data, and rests for a while.
    pub(super) fn on_answer(&mut self, now_ms: u64, idle_ms: u64) -> bool {
        if !matches!(self.state, State::Requesting { .. } | State::Receiving { .. }) {
            return false;
        }
        self.state = State::Idle;
        self.due_ms = now_ms + idle_ms;
        true
    }

    /// Takes a part of an answer that ends with this byte, and acknowledges all that it has.
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

    /// Ends a flow that rests.
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
        self.due_ms = now_ms + RETRANSMIT_MIN_MS;
        self.packet(SegmentKind::Later, self.sequence, REQUEST_BYTES)
    }

    /// The next pause before the same packet goes out again; `None` where the caller gives up.
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
