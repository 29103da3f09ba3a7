//! An upstream as the platform describes it.

use std::collections::BTreeMap;

use steering::flow::{FlowKey, SegmentKind};

use super::world::Packet;

/// The number with which a life of an upstream answers openings.
pub(super) fn number_of(boot: u64) -> u32 {
    (boot.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as u32
}

/// What an upstream does with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reaction {
    /// It is down.
    Nothing,
    /// It answers an opening.
    Accept,
    /// It answers data.
    Answer,
    /// It answers the end of a flow.
    Close,
    /// It takes the packet without a word.
    Take,
    /// It does not hold the flow.
    Return,
}

/// One address with whatever runs there.
#[derive(Clone, Debug, Default)]
pub(super) struct Upstream {
    /// Number of this life; zero while it is down.
    pub(super) boot: u64,
    /// Index of its service.
    pub(super) service: usize,
    /// Until when it takes long for its answers.
    pub(super) slow_until_ms: u64,
    /// Since when it leaves.
    pub(super) leaving_ms: Option<u64>,
    /// Until when it is cold.
    pub(super) cold_until_ms: u64,
    /// When it took openings of new flows lately.
    pub(super) opened_ms: Vec<u64>,
    /// Flows, and whether they are open.
    flows: BTreeMap<FlowKey, bool>,
}

impl Upstream {
    /// Starts a life without flows.
    pub(super) fn start(&mut self, boot: u64, service: usize) {
        *self = Self { boot, service, ..Self::default() };
    }

    /// Ends a life.
    pub(super) fn end(&mut self) {
        self.boot = 0;
        self.flows.clear();
    }

    /// Whether it holds an open flow since the life `boot`.
    pub(super) fn holds(&self, flow: FlowKey, boot: u64) -> bool {
        self.boot == boot && boot != 0 && self.flows.get(&flow) == Some(&true)
    }

    /// Whether it holds this flow, be it half open.
    pub(super) fn knows(&self, flow: FlowKey) -> bool {
        self.flows.contains_key(&flow)
    }

    /// Counts the opening of a new flow; says how many there were within a second.
    pub(super) fn count_opening(&mut self, now_ms: u64) -> usize {
        self.opened_ms.retain(|at_ms| now_ms - at_ms < 1_000);
        self.opened_ms.push(now_ms);
        self.opened_ms.len()
    }

    /// Whether it holds any open flow.
    pub(super) fn is_empty(&self) -> bool {
        !self.flows.values().any(|open| *open)
    }

    /// Takes a packet.
    pub(super) fn take(&mut self, packet: &Packet) -> Reaction {
        if self.boot == 0 {
            return Reaction::Nothing;
        }
        let segment = packet.segment;
        match segment.kind {
            SegmentKind::Opening { .. } => {
                self.flows.entry(segment.flow).or_insert(false);
                Reaction::Accept
            }
            SegmentKind::Reset => {
                let held = self.flows.remove(&segment.flow);
                held.map_or(Reaction::Return, |_| Reaction::Take)
            }
            SegmentKind::Later => self.take_later(packet),
        }
    }

    fn take_later(&mut self, packet: &Packet) -> Reaction {
        let Some(open) = self.flows.get_mut(&packet.segment.flow) else { return Reaction::Return };
        // Half open, and the caller acknowledges another upstream: nothing comes back at all.
        if !*open && packet.acknowledged_boot != self.boot {
            return Reaction::Take;
        }
        *open = true;
        if packet.segment.last {
            return Reaction::Close;
        }
        if packet.segment.data_bytes > 0 { Reaction::Answer } else { Reaction::Take }
    }
}
