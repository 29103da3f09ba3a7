//! The claims table: what this agent has recorded for openings as their home, as a witness or as
//! their holder.

use std::collections::VecDeque;

use super::flow_map::OpeningMap;
use super::limits;
use crate::keys::Incarnation;
use crate::message::{Claim, ClaimRecord, Opening};
use crate::time::Millis;

/// State of a claim, as this agent knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Recorded for another claimant.
    Witnessed,
    /// This agent's own claim, waiting for witnesses.
    Pending,
    /// This agent's own claim, which found no majority: the opening has been neither run nor
    /// refused here.
    Undecided,
    /// In effect: the opening was run, assigned or refused.
    Decided,
}

/// What is recorded for an opening.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Record {
    pub(super) claim: Claim,
    /// Incarnation of the claimant. Where a quorum decides, only the holder itself claims `Run`,
    /// and only for this incarnation.
    pub(super) incarnation: Incarnation,
    pub(super) stage: Stage,
    pub(super) expires_at: Millis,
}

/// All claims. Each expires [`limits::CLAIM_TTL_MS`] after it was last recorded.
#[derive(Debug, Default)]
pub(super) struct ClaimTable {
    records: OpeningMap<Record>,
    order: VecDeque<(Millis, Opening)>,
    /// Number of entries removed from the front of `order`. The entry at index `i` has the number
    /// `popped + i`, which serves as the cursor of a paged read: entries only ever move to the
    /// back, so a reader misses none.
    popped: u64,
}

impl ClaimTable {
    /// The record of an opening, unless it has expired; a tick may not have removed it yet.
    pub(super) fn get(&self, now: Millis, opening: Opening) -> Option<Record> {
        self.records.get(&opening).copied().filter(|record| record.expires_at > now)
    }

    /// Up to `limit` records from entry number `from` on, and the number of the next entry, if any.
    pub(super) fn page(
        &self,
        now: Millis,
        from: u64,
        limit: usize,
    ) -> (Vec<ClaimRecord>, Option<u64>) {
        let start = from.saturating_sub(self.popped) as usize;
        let end = start.saturating_add(limit).min(self.order.len());
        let entries = self.order.iter().skip(start).take(limit);
        let records = entries.filter_map(|(_, opening)| {
            let Record { claim, incarnation, .. } = self.get(now, *opening)?;
            Some(ClaimRecord { opening: *opening, claim, incarnation })
        });
        let next = (end < self.order.len()).then(|| self.popped + end as u64);
        (records.collect(), next)
    }

    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Records a claim. False if the table is full: the claim is then not recorded, and nothing may
    /// rely on it.
    pub(super) fn put(
        &mut self,
        now: Millis,
        opening: Opening,
        claim: Claim,
        incarnation: Incarnation,
        stage: Stage,
    ) -> bool {
        let known = self.records.contains_key(&opening);
        if !known && self.records.len() >= limits::MAX_CLAIMS {
            return false;
        }
        let expires_at = now.after(limits::CLAIM_TTL_MS);
        self.records.insert(opening, Record { claim, incarnation, stage, expires_at });
        if !known {
            self.order.push_back((expires_at, opening));
        }
        true
    }

    /// Marks a pending claim of this agent as undecided; leaves any other record alone.
    pub(super) fn mark_undecided(&mut self, opening: Opening) {
        let own = self.records.get_mut(&opening).filter(|record| record.stage == Stage::Pending);
        if let Some(record) = own {
            record.stage = Stage::Undecided;
        }
    }

    pub(super) fn remove(&mut self, opening: Opening) {
        self.records.remove(&opening);
    }

    pub(super) fn expire(&mut self, now: Millis) {
        while let Some(&(check_at, opening)) = self.order.front() {
            if check_at > now {
                return;
            }
            self.order.pop_front();
            self.popped += 1;
            match self.records.get(&opening) {
                None => {}
                Some(record) if record.expires_at <= now => {
                    self.records.remove(&opening);
                }
                Some(record) => self.order.push_back((record.expires_at, opening)),
            }
        }
    }
}
