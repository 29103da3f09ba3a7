//! Packets that no upstream has answered yet, kept so that they can be sent once more.

use std::collections::HashMap;
use std::sync::Arc;

use crate::flow::{FlowKey, Millis, Segment, SegmentKind};

/// First pause before a packet goes to another upstream. A calm round trip takes under 5 ms; the
/// rest is room for a busy instance. Callers repeat after 200 ms, most of the time that they have.
pub const RETRANSMIT_AFTER_MS: Millis = 60;
/// The same for data: an upstream that holds the flow says nothing before its answer, which takes most
/// of this time or less.
const RETRANSMIT_DATA_AFTER_MS: Millis = 150;
/// Longest pause: each repetition doubles it up to here.
const RETRANSMIT_MAX_MS: Millis = 120;
/// A caller gives an opening up after this time, and repeats data with longer and longer pauses.
const PENDING_TTL_MS: Millis = 1_400;
/// Bytes kept at most. A request has some hundred bytes, so this is room for about a thousand;
/// further packets are repeated by their callers only.
pub const PENDING_BYTES_MAX: usize = 256 << 10;

#[derive(Debug)]
struct Pending {
    packet: Arc<[u8]>,
    segment: Segment,
    due_ms: Millis,
    backoff_ms: Millis,
    expires_ms: Millis,
}

/// A packet that is to be sent once more.
#[derive(Debug)]
pub(super) struct Due {
    pub(super) packet: Arc<[u8]>,
    pub(super) segment: Segment,
}

/// One packet a flow.
#[derive(Debug, Default)]
pub(super) struct PendingTable {
    packets: HashMap<FlowKey, Pending>,
    bytes: usize,
}

impl PendingTable {
    /// Keeps a packet until its flow is answered. One that waits already stays: it is the older one,
    /// and the newer ones are of no use before it.
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

    /// Forgets the packet of a flow that was answered or given up.
    pub(super) fn remove(&mut self, flow: FlowKey) {
        if let Some(pending) = self.packets.remove(&flow) {
            self.bytes -= pending.packet.len();
        }
    }

    /// The packets whose time has come; those that are too old are forgotten.
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
        // The table's own order changes from run to run.
        due.sort_by_key(|due| due.segment.flow);
        due
    }
}
