//! An upstream as the platform describes it.

use std::collections::BTreeMap;

use steering::flow::{FlowKey, SegmentKind};

use super::world::Packet;

/// The number with which a life of an upstream answers openings.
pub(super) fn initial_sequence_of(incarnation: u64) -> u32 {
    (incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as u32
}

/// What an upstream does with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reaction {
    /// It is down.
    Drop,
    /// It answers an opening.
    Accept,
    /// It answers data.
    Answer,
    /// It answers the end of a flow.
    Close,
    /// It takes the packet without a word.
    Consume,
    /// It does not hold the flow.
    Return,
}

/// Data bytes of a part of a long answer.
pub(super) const PART_BYTES: u16 = 1_200;
/// Parts of a long answer; each goes out when the one before it is acknowledged.
const PARTS: u32 = 6;
/// First and longest pause before a part is sent again.
const RESEND_MIN_MS: u64 = 200;
const RESEND_MAX_MS: u64 = 1_600;
/// How often a part is sent again.
const RESENDS_MAX: u32 = 8;

/// A long answer under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LongAnswer {
    /// Bytes of the flow up to the end of the part that is not acknowledged yet.
    pub(super) end_bytes: u32,
    parts_left: u32,
    resends: u32,
}

impl LongAnswer {
    /// The first part of an answer on a flow on which so much was sent before.
    pub(super) fn after(sent_bytes: u32) -> Self {
        Self { end_bytes: sent_bytes + u32::from(PART_BYTES), parts_left: PARTS - 1, resends: 0 }
    }

    /// The part after this one, if there is one.
    pub(super) fn next(self) -> Option<Self> {
        let parts_left = self.parts_left.checked_sub(1)?;
        let end_bytes = self.end_bytes + u32::from(PART_BYTES);
        Some(Self { end_bytes, parts_left, resends: 0 })
    }

    /// Whether the answer ends with this part.
    pub(super) fn is_last(self) -> bool {
        self.parts_left == 0
    }

    /// The same part once more, unless the upstream has given up, and the pause before that.
    pub(super) fn resent(self) -> Option<Self> {
        (self.resends < RESENDS_MAX).then_some(Self { resends: self.resends + 1, ..self })
    }

    /// Pause before the part is sent again.
    pub(super) fn pause_ms(self) -> u64 {
        (RESEND_MIN_MS << self.resends).min(RESEND_MAX_MS)
    }
}

/// One address with whatever runs there.
#[derive(Clone, Debug, Default)]
pub(super) struct Upstream {
    /// Number of this life; zero while it is down.
    pub(super) incarnation: u64,
    /// Index of its service.
    pub(super) service: usize,
    /// Until when it takes long for its answers.
    pub(super) slow_until_ms: u64,
    /// Since when it leaves.
    pub(super) draining_since_ms: Option<u64>,
    /// Until when it is cold.
    pub(super) cold_until_ms: u64,
    /// When it took openings of new flows lately.
    pub(super) recent_openings_ms: Vec<u64>,
    /// Flows, and whether they are open.
    flows: BTreeMap<FlowKey, bool>,
    /// Long answers under way, and bytes sent on flows that had one.
    answers: BTreeMap<FlowKey, LongAnswer>,
    sent_bytes: BTreeMap<FlowKey, u32>,
}

impl Upstream {
    /// Starts a life without flows.
    pub(super) fn start(&mut self, incarnation: u64, service: usize) {
        *self = Self { incarnation, service, ..Self::default() };
    }

    /// Ends a life.
    pub(super) fn stop(&mut self) {
        self.incarnation = 0;
        self.flows.clear();
        self.answers.clear();
        self.sent_bytes.clear();
    }

    /// Begins a long answer, unless one is under way.
    pub(super) fn begin_answer(&mut self, flow: FlowKey) -> Option<LongAnswer> {
        if self.answers.contains_key(&flow) {
            return None;
        }
        let sent_bytes = self.sent_bytes.get(&flow).copied().unwrap_or(0);
        let answer = LongAnswer::after(sent_bytes);
        self.answers.insert(flow, answer);
        Some(answer)
    }

    /// Takes an acknowledgement of so many bytes; returns the next part, if one may go out now.
    pub(super) fn acknowledge(&mut self, flow: FlowKey, bytes: u32) -> Option<LongAnswer> {
        let answer = *self.answers.get(&flow).filter(|answer| answer.end_bytes == bytes)?;
        self.sent_bytes.insert(flow, bytes);
        self.answers.remove(&flow);
        let next = answer.next()?;
        self.answers.insert(flow, next);
        Some(next)
    }

    /// The part that is to be sent again, if it is still the one under way.
    pub(super) fn resend(&mut self, flow: FlowKey, sent: LongAnswer) -> Option<LongAnswer> {
        let answer = self.answers.get_mut(&flow).filter(|answer| **answer == sent)?;
        *answer = answer.resent()?;
        Some(*answer)
    }

    /// Whether it holds an open flow since the life `incarnation`.
    pub(super) fn holds(&self, flow: FlowKey, incarnation: u64) -> bool {
        self.incarnation == incarnation && incarnation != 0 && self.flows.get(&flow) == Some(&true)
    }

    /// Whether it holds this flow, be it half open.
    pub(super) fn has_flow(&self, flow: FlowKey) -> bool {
        self.flows.contains_key(&flow)
    }

    /// Counts the opening of a new flow; says how many there were within a second.
    pub(super) fn count_opening(&mut self, now_ms: u64) -> usize {
        self.recent_openings_ms.retain(|at_ms| now_ms - at_ms < 1_000);
        self.recent_openings_ms.push(now_ms);
        self.recent_openings_ms.len()
    }

    /// Whether it holds any open flow.
    pub(super) fn has_no_open_flows(&self) -> bool {
        !self.flows.values().any(|open| *open)
    }

    /// Takes a packet.
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
        // Half open, and the caller acknowledges another upstream: nothing comes back at all.
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
