//! Simulated upstream, as the platform specifies it.

use std::collections::BTreeMap;

use steering::flow::{FlowKey, SegmentKind};

use super::slots::Slots;
use super::world::Packet;

/// Initial sequence number with which an incarnation of an upstream answers openings.
pub(super) fn initial_sequence_of(incarnation: u64) -> u32 {
    (incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as u32
}

/// How an upstream handles a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reaction {
    /// Drops it, because the upstream is down.
    Drop,
    /// Answers an opening.
    Accept,
    /// Answers a request.
    Answer,
    /// Queues a request until a slot is free.
    Queue,
    /// Confirms the end of a flow.
    Close,
    /// Consumes the packet without a reply.
    Consume,
    /// Returns the packet to the agent, because the upstream does not hold the flow.
    Return,
}

/// Data bytes in one part of a long answer.
pub(super) const PART_BYTES: u16 = 1_200;
/// Number of parts of a long answer. Each is sent when the previous one is acknowledged.
const PARTS: u32 = 6;
/// First and longest delay before a part is retransmitted.
const RESEND_MIN_MS: u64 = 200;
const RESEND_MAX_MS: u64 = 1_600;
/// Maximum number of retransmissions of a part.
const RESENDS_MAX: u32 = 8;

/// A long answer in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LongAnswer {
    /// Offset in the flow of the end of the part that is not acknowledged yet.
    pub(super) end_bytes: u32,
    parts_left: u32,
    resends: u32,
}

impl LongAnswer {
    /// The first part of an answer on a flow on which `sent_bytes` were sent before.
    pub(super) fn after(sent_bytes: u32) -> Self {
        Self { end_bytes: sent_bytes + u32::from(PART_BYTES), parts_left: PARTS - 1, resends: 0 }
    }

    /// The next part, if there is one.
    pub(super) fn next(self) -> Option<Self> {
        let parts_left = self.parts_left.checked_sub(1)?;
        let end_bytes = self.end_bytes + u32::from(PART_BYTES);
        Some(Self { end_bytes, parts_left, resends: 0 })
    }

    /// Whether this is the last part of the answer.
    pub(super) fn is_last(self) -> bool {
        self.parts_left == 0
    }

    /// The same part with one more retransmission counted, or `None` if the upstream gives up.
    pub(super) fn resent(self) -> Option<Self> {
        (self.resends < RESENDS_MAX).then_some(Self { resends: self.resends + 1, ..self })
    }

    /// Delay before the part is retransmitted.
    pub(super) fn pause_ms(self) -> u64 {
        (RESEND_MIN_MS << self.resends).min(RESEND_MAX_MS)
    }
}

/// An address and the upstream that runs there, if any.
#[derive(Clone, Debug, Default)]
pub(super) struct Upstream {
    /// Number of the incarnation; zero while the upstream is down.
    pub(super) incarnation: u64,
    /// Index of its service.
    pub(super) service: usize,
    /// Until when it answers slowly.
    pub(super) slow_until_ms: u64,
    /// Since when it is draining, if it is.
    pub(super) draining_since_ms: Option<u64>,
    /// Until when it is cold.
    pub(super) cold_until_ms: u64,
    /// Times at which it received openings of new flows within the last second.
    pub(super) recent_openings_ms: Vec<u64>,
    /// Flows, and whether each is open (true) or half open.
    flows: BTreeMap<FlowKey, bool>,
    /// Long answers in progress, and bytes sent on flows that had one.
    answers: BTreeMap<FlowKey, LongAnswer>,
    sent_bytes: BTreeMap<FlowKey, u32>,
    /// Requests, where upstreams process only a few at a time.
    pub(super) slots: Slots,
}

impl Upstream {
    /// Starts an incarnation without flows.
    pub(super) fn start(&mut self, incarnation: u64, service: usize) {
        *self = Self { incarnation, service, ..Self::default() };
    }

    /// Stops the upstream; all its flows are lost.
    pub(super) fn stop(&mut self) {
        self.incarnation = 0;
        self.flows.clear();
        self.answers.clear();
        self.sent_bytes.clear();
        self.slots = Slots::default();
    }

    /// Starts a long answer, unless the flow has one in progress.
    pub(super) fn begin_answer(&mut self, flow: FlowKey) -> Option<LongAnswer> {
        if self.answers.contains_key(&flow) {
            return None;
        }
        let sent_bytes = self.sent_bytes.get(&flow).copied().unwrap_or(0);
        let answer = LongAnswer::after(sent_bytes);
        self.answers.insert(flow, answer);
        Some(answer)
    }

    /// Handles an acknowledgement of `bytes` bytes; returns the next part if it may be sent now.
    pub(super) fn acknowledge(&mut self, flow: FlowKey, bytes: u32) -> Option<LongAnswer> {
        let answer = *self.answers.get(&flow).filter(|answer| answer.end_bytes == bytes)?;
        self.sent_bytes.insert(flow, bytes);
        self.answers.remove(&flow);
        let next = answer.next()?;
        self.answers.insert(flow, next);
        Some(next)
    }

    /// Returns the part to retransmit, if `sent` is still the one in progress.
    pub(super) fn resend(&mut self, flow: FlowKey, sent: LongAnswer) -> Option<LongAnswer> {
        let answer = self.answers.get_mut(&flow).filter(|answer| **answer == sent)?;
        *answer = answer.resent()?;
        Some(*answer)
    }

    /// Whether this incarnation runs and holds the flow open.
    pub(super) fn holds(&self, flow: FlowKey, incarnation: u64) -> bool {
        self.incarnation == incarnation && incarnation != 0 && self.flows.get(&flow) == Some(&true)
    }

    /// Whether it holds the flow, open or half open.
    pub(super) fn has_flow(&self, flow: FlowKey) -> bool {
        self.flows.contains_key(&flow)
    }

    /// Counts an opening of a new flow; returns the number within the last second.
    pub(super) fn count_opening(&mut self, now_ms: u64) -> usize {
        self.recent_openings_ms.retain(|at_ms| now_ms - at_ms < 1_000);
        self.recent_openings_ms.push(now_ms);
        self.recent_openings_ms.len()
    }

    /// Whether it holds no open flow.
    pub(super) fn has_no_open_flows(&self) -> bool {
        !self.flows.values().any(|open| *open)
    }

    /// Handles a packet.
    pub(super) fn receive(&mut self, packet: &Packet) -> Reaction {
        if self.incarnation == 0 {
            return Reaction::Drop;
        }
        let segment = packet.segment;
        match segment.kind {
            SegmentKind::Opening { .. } => {
                self.flows.entry(segment.flow).or_insert(false);
                Reaction::Accept
            }
            SegmentKind::Reset => {
                let held = self.flows.remove(&segment.flow);
                held.map_or(Reaction::Return, |_| Reaction::Consume)
            }
            SegmentKind::Later => self.receive_later(packet),
        }
    }

    fn receive_later(&mut self, packet: &Packet) -> Reaction {
        let Some(open) = self.flows.get_mut(&packet.segment.flow) else { return Reaction::Return };
        // Half open, and the caller has acknowledged another upstream: the platform sends no reply
        // at all.
        if !*open && packet.acknowledged_incarnation != self.incarnation {
            return Reaction::Consume;
        }
        *open = true;
        if packet.segment.last {
            return Reaction::Close;
        }
        if packet.segment.data_bytes > 0 { Reaction::Answer } else { Reaction::Consume }
    }
}
