//! After a start: learning from the other witnesses what this one may have promised.
//!
//! A witness that starts abstains, since an earlier life, of whatever upstream under its name, may
//! have granted a claim. To do so for the whole life of a claim stops a service whose agents are
//! restarted one after the other.
//! Of any claim that won with this agent's vote, a majority of a membership has the record. Once so
//! many other members have told all their records that every majority must have one among them,
//! nothing that matters is unknown here, and this agent may vote again.
//!
//! When a service begins, no witness knows anything. One whose upstream and listing have just begun is
//! *newborn*; it votes once every other member has answered, and none of them has forgotten
//! anything or has met an earlier life of it.

use super::mutant::mutated;
use super::sorted::Sorted;
use super::{Action, Agent, limits};
use crate::keys::{Incarnation, UpstreamId};
use crate::message::{ClaimRecord, Memory, Message, Opening};
use crate::time::Millis;
use crate::view::WhenInDoubt;

/// How far one witness has told its records.
#[derive(Clone, Copy, Debug, Default)]
struct Cursor {
    from: u64,
    asked_at: Option<Millis>,
    done: bool,
    /// Whether it is newborn by its own account.
    newborn: bool,
    /// Whether it has met an earlier life of this agent.
    met_before: bool,
}

/// What a restarted witness has learned of its earlier promises.
#[derive(Debug, Default)]
pub(super) struct Recall {
    cursors: Sorted<UpstreamId, Cursor>,
    /// Openings for which different claims are recorded; which of them had this agent's vote cannot
    /// be told. Sorted.
    disputed: Vec<Opening>,
    /// Whether the first settings that this agent had in force were the first to list its upstream.
    pub(super) newly_listed: bool,
    /// Whether enough witnesses have told everything, under the settings in force.
    pub(super) complete: bool,
    /// When newer settings took that away, with members that have not been asked yet.
    reopened_at: Option<Millis>,
}

/// A page, as received.
#[derive(Clone, Debug)]
pub(super) struct Page {
    pub(super) incarnation: Incarnation,
    pub(super) from: u64,
    pub(super) records: Vec<ClaimRecord>,
    pub(super) next: Option<u64>,
    pub(super) memory: Memory,
    pub(super) met_before: bool,
}

impl Recall {
    pub(super) fn is_disputed(&self, opening: Opening) -> bool {
        self.disputed.binary_search(&opening).is_ok()
    }

    fn dispute(&mut self, opening: Opening) {
        if let Err(index) = self.disputed.binary_search(&opening) {
            self.disputed.insert(index, opening);
        }
    }
}

impl Agent {
    /// Whether an earlier life of this agent may have voted on openings that still have copies. That
    /// the upstream is new does not rule it out: another one may have had its name.
    pub(super) fn may_have_voted(&self, now: Millis) -> bool {
        now.since(self.started_at) < limits::CLAIM_TTL_MS
    }

    /// Whether, for all that this agent can see, there was no earlier life.
    fn is_newborn(&self) -> bool {
        !self.config.may_have_past && self.recall.newly_listed
    }

    fn memory(&self, now: Millis) -> Memory {
        match self.must_abstain(now) || !self.recall.disputed.is_empty() {
            false => Memory::Complete,
            true if self.is_newborn() && self.recall.disputed.is_empty() => Memory::Newborn,
            true => Memory::Forgetful,
        }
    }

    /// Asks the other witnesses for their next pages.
    ///
    /// It waits first. Failure: a claimant counts a grant of the earlier life while this life asks
    /// around. Symptom: the claim wins after a witness has told that it knows nothing of it. A
    /// claimant counts no grant after [`limits::QUORUM_WAIT_MS`], so after a longer wait every claim
    /// that can still win is recorded by its majority.
    pub(super) fn request_recall(&mut self, now: Millis, out: &mut Vec<Action>) {
        let at_most_once = self.settings.when_in_doubt == WhenInDoubt::Refuse;
        let too_early = now.since(self.started_at) < limits::RECALL_WAIT_MS;
        if !at_most_once || too_early || self.recall.complete || !self.may_have_voted(now) {
            return;
        }
        for witness in self.settings.memberships.witnesses() {
            if witness != self.config.upstream {
                self.request_records(now, witness, out);
            }
        }
        // The only member of its service has nobody to ask.
        self.update_recall_complete();
    }

    /// Answers a restarted witness with one page.
    pub(super) fn recall_requested(
        &mut self,
        now: Millis,
        from: UpstreamId,
        incarnation: Incarnation,
        first: u64,
        out: &mut Vec<Action>,
    ) {
        if !self.meet_life(now, from, incarnation) {
            return;
        }
        let (records, next) = self.claims.page(now, first, limits::RECORDS_PER_PAGE);
        let memory = self.memory(now);
        let met_before = self.peers.get(from).is_some_and(|peer| peer.met_before);
        let message =
            Message::RecallReply { incarnation, from: first, records, next, memory, met_before };
        out.push(Action::Send { to: from, message });
    }

    pub(super) fn recall_page_received(
        &mut self,
        now: Millis,
        from: UpstreamId,
        page: Page,
        out: &mut Vec<Action>,
    ) {
        if page.incarnation != self.config.incarnation || !self.may_have_voted(now) {
            return;
        }
        let Some(cursor) = self.recall.cursors.get_mut(from) else { return };
        if cursor.done || cursor.from != page.from || cursor.asked_at.is_none() {
            return;
        }
        cursor.met_before |= page.met_before;
        cursor.newborn = page.memory == Memory::Newborn;
        if page.memory != Memory::Complete {
            // Asked again from the start after the retry time: it may know more by then.
            cursor.from = 0;
            self.update_recall_complete();
            return;
        }
        cursor.asked_at = None;
        match page.next {
            Some(next) => cursor.from = next,
            None => cursor.done = true,
        }
        page.records.iter().for_each(|record| self.merge_record(now, *record));
        self.update_recall_complete();
        self.request_recall(now, out);
    }

    /// Newer settings may name memberships of which too few have told their records: the others are
    /// asked at once.
    pub(super) fn reopen_recall(&mut self, now: Millis, out: &mut Vec<Action>) {
        let before = self.recall.complete;
        self.update_recall_complete();
        if before && !self.recall.complete {
            self.recall.reopened_at = Some(now);
            self.request_recall(now, out);
        }
    }

    /// Whether this agent could vote a moment ago, and will again once the newly listed have answered.
    ///
    /// Failure: settings list one more member while all agents are young. Symptom: every witness
    /// abstains, which is final, and an opening of that moment is given up, a datagram for good. Saying
    /// nothing is enough, since claimants ask again.
    pub(super) fn is_catching_up(&self, now: Millis) -> bool {
        let reopened_at = self.recall.reopened_at.filter(|_| !self.recall.complete);
        reopened_at.is_some_and(|at| now.since(at) < limits::CATCH_UP_MS)
    }

    fn update_recall_complete(&mut self) {
        let done = |id| self.recall.cursors.get(id).is_some_and(|cursor| cursor.done);
        let me = self.config.upstream;
        let any = self.recall.cursors.iter().any(|(_, cursor)| cursor.done);
        let enough = self.settings.memberships.is_recalled(me, done);
        let is_new = self.is_newborn() && self.is_unknown_to_all();
        self.recall.complete = enough || is_new || (any && mutated!(self, RecallFromOne));
    }

    /// Whether every other member has answered, and none has forgotten anything or met this agent.
    fn is_unknown_to_all(&self) -> bool {
        let witnesses = self.settings.memberships.witnesses();
        let others = witnesses.iter().filter(|id| **id != self.config.upstream);
        others.into_iter().all(|id| {
            let cursor = self.recall.cursors.get(*id);
            cursor.is_some_and(|cursor| (cursor.done || cursor.newborn) && !cursor.met_before)
        })
    }

    fn merge_record(&mut self, now: Millis, record: ClaimRecord) {
        let ClaimRecord { opening, claim, incarnation } = record;
        match self.claims.get(now, opening) {
            Some(known) if (known.claim, known.incarnation) == (claim, incarnation) => {}
            Some(_) => self.recall.dispute(opening),
            None => {
                let stage = super::claims::Stage::Witnessed;
                if !self.claims.put(now, opening, claim, incarnation, stage) {
                    self.recall.dispute(opening);
                }
            }
        }
    }

    fn request_records(&mut self, now: Millis, to: UpstreamId, out: &mut Vec<Action>) {
        if self.recall.cursors.get(to).is_none() {
            self.recall.cursors.insert(to, Cursor::default());
        }
        let Some(cursor) = self.recall.cursors.get_mut(to) else { return };
        let awaits_reply =
            cursor.asked_at.is_some_and(|at| now.since(at) < limits::RELEARN_RETRY_MS);
        if cursor.done || awaits_reply {
            return;
        }
        cursor.asked_at = Some(now);
        let incarnation = self.config.incarnation;
        let message = Message::Recall { incarnation, from: cursor.from };
        out.push(Action::Send { to, message });
    }
}
