//! Queue of announcements for one peer. One batch at a time is in flight, and it is sent again
//! until it is acknowledged.
//!
//! This gives the receiver a total order. It detects a late copy of an older batch by its sequence
//! number, so the copy cannot restore a flow that has ended.

use std::collections::VecDeque;

use super::limits;
use crate::message::Opening;
use crate::time::Millis;

/// A flow note that is still to be sent. Its age is computed when it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PendingNote {
    pub(super) opening: Opening,
    pub(super) open: bool,
}

/// Queue of announcements for one peer.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    queue: VecDeque<PendingNote>,
    /// Number of notes in the batch in flight, which are at the front of the queue.
    in_flight: usize,
    sequence: u64,
    sent_at: Option<Millis>,
    /// Whether notes were dropped, so that all flows must be announced again.
    overflowed: bool,
}

impl Outbox {
    pub(super) fn push(&mut self, pending: PendingNote) {
        if self.queue.len() >= limits::MAX_OUTBOX {
            self.overflowed = true;
            return;
        }
        self.queue.push_back(pending);
    }

    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether all flows must be announced again, and clears this flag. False until the
    /// queue is empty.
    pub(super) fn take_overflow(&mut self) -> bool {
        self.queue.is_empty() && std::mem::take(&mut self.overflowed)
    }

    /// Discards all queued notes, before all flows are announced again.
    pub(super) fn clear(&mut self) {
        self.queue.clear();
        self.in_flight = 0;
        self.sent_at = None;
        self.overflowed = false;
    }

    /// Returns the batch that is due now, if any, with its sequence number.
    pub(super) fn next_due(
        &mut self,
        now: Millis,
        period_ms: u64,
    ) -> Option<(u64, Vec<PendingNote>)> {
        if self.queue.is_empty() || self.sent_at.is_some_and(|at| now.since(at) < period_ms) {
            return None;
        }
        self.sent_at = Some(now);
        if self.in_flight == 0 {
            self.sequence += 1;
            self.in_flight = self.queue.len().min(limits::NOTES_PER_ANNOUNCE);
        }
        Some((self.sequence, self.queue.iter().take(self.in_flight).copied().collect()))
    }

    /// Makes the next batch due at once.
    pub(super) fn make_due(&mut self) {
        self.sent_at = None;
    }

    /// Records that the batch in flight has arrived. After a full batch the next one is due at
    /// once.
    pub(super) fn acknowledge(&mut self, sequence: u64) {
        if self.in_flight == 0 || sequence != self.sequence {
            return;
        }
        let full = self.in_flight == limits::NOTES_PER_ANNOUNCE;
        self.queue.drain(..self.in_flight);
        self.in_flight = 0;
        if full {
            self.sent_at = None;
        }
    }
}
