//! Packets that no upstream has answered yet, kept for retransmission.

use std::collections::HashMap;
use std::sync::Arc;

use crate::flow::{FlowKey, Millis, Segment, SegmentKind};

/// Time before a packet is first retransmitted to another upstream. An unloaded round trip takes
/// under 5 ms; the rest is a margin for a busy instance. Waiting for the caller's own
/// retransmission after 200 ms would use up most of the caller's time.
pub const RETRANSMIT_AFTER_MS: Millis = 60;
/// The same for data. An upstream that holds the flow sends nothing before its answer, which
/// usually takes less than this.
const RETRANSMIT_DATA_AFTER_MS: Millis = 150;
/// Longest time between retransmissions; it doubles from one to the next up to here.
const RETRANSMIT_MAX_MS: Millis = 120;
/// After this time callers give up an opening, and retransmit data at ever longer intervals.
const PENDING_TTL_MS: Millis = 1_400;
/// Maximum number of bytes kept. A request has a few hundred bytes, so this is room for about a
/// thousand; further packets are retransmitted only by their callers.
pub const PENDING_BYTES_MAX: usize = 256 << 10;

#[derive(Debug)]
struct Pending {
    packet: Arc<[u8]>,
    segment: Segment,
    due_ms: Millis,
    backoff_ms: Millis,
    expires_ms: Millis,
}

/// A packet that is due for retransmission.
#[derive(Debug)]
pub(super) struct Due {
    pub(super) packet: Arc<[u8]>,
    pub(super) segment: Segment,
}

/// The pending packets, at most one for each flow.
#[derive(Debug, Default)]
pub(super) struct PendingTable {
    packets: HashMap<FlowKey, Pending>,
    bytes: usize,
}

impl PendingTable {
    /// Keeps a packet until its flow is answered. A packet that is already pending stays, since it
    /// is the older one and newer ones are of no use without it.
    pub(super) fn insert(&mut self, now_ms: Millis, segment: &Segment, packet: &[u8]) {
        if self.packets.contains_key(&segment.flow) || self.bytes + packet.len() > PENDING_BYTES_MAX
        {
            return;
        }
        self.bytes += packet.len();
        let backoff_ms = match segment.kind {
            SegmentKind::Opening { .. } => RETRANSMIT_AFTER_MS,
            SegmentKind::Later | SegmentKind::Reset => RETRANSMIT_DATA_AFTER_MS,
        };
        let pending = Pending {
            packet: packet.into(),
            segment: *segment,
            due_ms: now_ms + backoff_ms,
            backoff_ms,
            expires_ms: now_ms + PENDING_TTL_MS,
        };
        self.packets.insert(segment.flow, pending);
    }

    /// Bytes of all packets kept.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Removes the packet of a flow that was answered or given up.
    pub(super) fn remove(&mut self, flow: FlowKey) {
        if let Some(pending) = self.packets.remove(&flow) {
            self.bytes -= pending.packet.len();
        }
    }

    /// Makes the packet of a flow due now.
    pub(super) fn hasten(&mut self, flow: FlowKey) {
        if let Some(pending) = self.packets.get_mut(&flow) {
            pending.due_ms = 0;
        }
    }

    /// The packets that are due; those that are too old are removed.
    pub(super) fn take_due(&mut self, now_ms: Millis) -> Vec<Due> {
        if self.packets.is_empty() {
            return Vec::new();
        }
        let bytes = &mut self.bytes;
        self.packets.retain(|_, pending| {
            let keep = pending.expires_ms > now_ms;
            if !keep {
                *bytes -= pending.packet.len();
            }
            keep
        });
        let due = self.packets.values_mut().filter(|pending| pending.due_ms <= now_ms);
        let mut due: Vec<Due> = due
            .map(|pending| {
                pending.backoff_ms = (pending.backoff_ms * 2).min(RETRANSMIT_MAX_MS);
                pending.due_ms = now_ms + pending.backoff_ms;
                Due { packet: Arc::clone(&pending.packet), segment: pending.segment }
            })
            .collect();
        // The iteration order of the map varies between runs.
        due.sort_by_key(|due| due.segment.flow);
        due
    }
}
