//! The claims table: what this agent, as arbiter, witness or holder, has recorded for openings.

use std::collections::VecDeque;

use super::flow_map::OpeningMap;
use super::limits;
use crate::keys::Incarnation;
use crate::message::{Claim, ClaimRecord, Opening};
use crate::time::Millis;

/// How far a claim has come, as seen from this agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Recorded for another claimant.
    Witnessed,
    /// This agent's own claim, waiting for witnesses.
    Pending,
    /// This agent's own claim has found no majority; it has neither run nor been refused here.
    Undecided,
    /// In force: run, assigned or refused.
    Decided,
}

/// What is recorded for an opening.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Record {
    pub(super) claim: Claim,
    /// Life of the claimant. Where a quorum decides, only the holder claims `Run`, for this life.
    pub(super) incarnation: Incarnation,
    pub(super) stage: Stage,
    pub(super) expires_at: Millis,
}

/// All claims, each forgotten [`limits::CLAIM_TTL_MS`] after it was last recorded.
#[derive(Debug, Default)]
pub(super) struct ClaimTable {
    records: OpeningMap<Record>,
    order: VecDeque<(Millis, Opening)>,
    /// Entries that have left the front of `order`. The entry at index `i` has number `popped + i`,
    /// by which pages are told: entries move only to the back, so a reader misses none.
    popped: u64,
}

impl ClaimTable {
    /// A record that has expired no longer counts, even if no tick has removed it yet.
    pub(super) fn get(&self, now: Millis, opening: Opening) -> Option<Record> {
        self.records.get(&opening).copied().filter(|record| record.expires_at > now)
    }

    /// Up to `limit` records from entry `from` on, and the entry after them if there is one.
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

    /// Records a claim; false if the table is full, in which case nothing may rely on it.
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

    /// This agent's own claim, if it is one, waits no longer.
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
