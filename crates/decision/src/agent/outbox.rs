//! Announcements waiting for one peer: one batch at a time, sent again until it is acknowledged.
//!
//! One batch at a time gives the receiver a total order, so that a late copy of an older batch
//! can be told by its number and cannot bring back a flow that has ended.

use std::collections::VecDeque;

use super::limits;
use crate::message::Opening;
use crate::time::Millis;

/// A note that is still to be sent; its age is worked out when it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PendingNote {
    pub(super) opening: Opening,
    pub(super) open: bool,
}

/// Announcements for one peer.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    queue: VecDeque<PendingNote>,
    /// Notes of the batch in flight, at the front of the queue.
    in_flight: usize,
    sequence: u64,
    sent_at: Option<Millis>,
    /// Notes were given up; all flows must be announced again.
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

    /// Whether everything must be announced anew; asking clears the mark.
    pub(super) fn take_overflow(&mut self) -> bool {
        self.queue.is_empty() && std::mem::take(&mut self.overflowed)
    }

    /// Forgets what is waiting, since a full announcement follows.
    pub(super) fn clear(&mut self) {
        self.queue.clear();
        self.in_flight = 0;
        self.sent_at = None;
        self.overflowed = false;
    }

    /// The batch that is due now, if any.
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

    /// The batch in flight has arrived. A full batch is followed by the next at once.
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
