//! After a restart: learning from the other witnesses what this one may have promised.
//!
//! A restarted witness abstains, since it may have granted a claim that it no longer knows. To do so
//! for the whole life of a claim stops a service whose agents are restarted one after the other.
//! Of any claim that won with this agent's vote, a majority of a membership has the record. Once so
//! many other members have told all their records that every majority must have one among them,
//! nothing that matters is unknown here, and this agent may vote again.

use super::mutant::mutated;
use super::sorted::Sorted;
use super::{Action, Agent, limits};
use crate::keys::{Incarnation, UpstreamId};
use crate::message::{ClaimRecord, Message, Opening};
use crate::time::Millis;
use crate::view::WhenInDoubt;

/// How far one witness has told its records.
#[derive(Clone, Copy, Debug, Default)]
struct Cursor {
    from: u64,
    asked_at: Option<Millis>,
    done: bool,
}

/// What a restarted witness has learned of its earlier promises.
#[derive(Debug, Default)]
pub(super) struct Recall {
    cursors: Sorted<UpstreamId, Cursor>,
    /// Openings for which different claims are recorded; which of them had this agent's vote cannot
    /// be told. Sorted.
    disputed: Vec<Opening>,
    /// Whether enough witnesses have told everything, under the settings in force.
    pub(super) complete: bool,
    /// Whether a peer has met an earlier life, although this one was told that it has no past.
    reborn: bool,
    /// Peers that have not, sorted.
    vouchers: Vec<UpstreamId>,
}

/// A page, as received.
#[derive(Clone, Debug)]
pub(super) struct Page {
    pub(super) incarnation: Incarnation,
    pub(super) first: u64,
    pub(super) records: Vec<ClaimRecord>,
    pub(super) next: Option<u64>,
    pub(super) complete: bool,
    /// Whether the sender has met an earlier life of this agent.
    pub(super) reborn: bool,
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
    /// Whether an earlier life of this agent may have voted on openings that still have copies.
    pub(super) fn may_have_voted(&self, now: Millis) -> bool {
        let past = self.config.may_have_past || self.recall.reborn;
        past && now.since(self.started_at) < limits::CLAIM_TTL_MS
    }

    /// Whether nobody has confirmed yet that this agent had no earlier life.
    ///
    /// Failure: an upstream and its agent are replaced together under the same name, and the agent is
    /// told that there are no flows to relearn. Symptom: it grants again what its earlier life has
    /// granted. Others know better, since heartbeats reach everybody; asking as many as make a
    /// majority with this agent costs nothing, as no claim wins without so many.
    pub(super) fn is_unvouched(&self, now: Millis) -> bool {
        let young = now.since(self.started_at) < limits::CLAIM_TTL_MS;
        let told = |id: UpstreamId| self.recall.vouchers.binary_search(&id).is_ok();
        young
            && !self.config.may_have_past
            && !self.recall.reborn
            && !self.settings.cuts.is_vouched(self.config.upstream, told)
    }

    /// Asks the other witnesses for their next pages.
    ///
    /// It waits first. Failure: a claimant counts a grant of the earlier life while this life asks
    /// around. Symptom: the claim wins after a witness has told that it knows nothing of it. A
    /// claimant counts no grant after [`limits::QUORUM_WAIT_MS`], so after a longer wait every claim
    /// that can still win is recorded by its majority.
    pub(super) fn recall(&mut self, now: Millis, out: &mut Vec<Action>) {
        let once = self.settings.when_in_doubt == WhenInDoubt::Refuse;
        let early = now.since(self.started_at) < limits::RECALL_WAIT_MS;
        let recalls = self.may_have_voted(now) && !early && !self.recall.complete;
        if !once || !(recalls || self.is_unvouched(now)) {
            return;
        }
        for witness in self.settings.cuts.witnesses() {
            if witness != self.config.upstream {
                self.ask_records(now, witness, out);
            }
        }
    }

    /// Answers a restarted witness with one page.
    pub(super) fn recall_asked(
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
        let reborn_at = self.peers.get(from).and_then(|peer| peer.reborn_at);
        let reborn = reborn_at.is_some_and(|at| now.since(at) < limits::CLAIM_TTL_MS);
        let (records, next) = self.claims.page(now, first, limits::RECORDS_PER_PAGE);
        // Who cannot tell what it has promised itself is no witness for others.
        let complete = !self.abstains(now) && self.recall.disputed.is_empty();
        let message =
            Message::RecallReply { incarnation, from: first, records, next, complete, reborn };
        out.push(Action::Send { to: from, message });
    }

    pub(super) fn records_received(
        &mut self,
        now: Millis,
        from: UpstreamId,
        page: Page,
        out: &mut Vec<Action>,
    ) {
        if page.incarnation != self.config.incarnation {
            return;
        }
        if !self.may_have_voted(now) {
            self.take_vouch(from, page.reborn);
            return;
        }
        let Some(cursor) = self.recall.cursors.get_mut(from) else { return };
        if cursor.done || cursor.from != page.first || cursor.asked_at.is_none() {
            return;
        }
        if !page.complete {
            // Asked again from the start after the retry time: it may have recalled its own by then.
            cursor.from = 0;
            return;
        }
        cursor.asked_at = None;
        match page.next {
            Some(next) => cursor.from = next,
            None => cursor.done = true,
        }
        page.records.iter().for_each(|record| self.take_record(now, *record));
        self.check_recall();
        self.recall(now, out);
    }

    fn take_vouch(&mut self, from: UpstreamId, reborn: bool) {
        if reborn {
            self.recall.reborn = true;
            self.recall.cursors = Sorted::default();
            return;
        }
        if let Err(index) = self.recall.vouchers.binary_search(&from) {
            self.recall.vouchers.insert(index, from);
        }
    }

    /// Newer settings may name memberships of which too few have told their records.
    pub(super) fn check_recall(&mut self) {
        let done = |id| self.recall.cursors.get(id).is_some_and(|cursor| cursor.done);
        let me = self.config.upstream;
        let any = self.recall.cursors.iter().any(|(_, cursor)| cursor.done);
        let enough = self.settings.cuts.is_recalled(me, done);
        self.recall.complete = enough || (any && mutated!(self, RecallFromOne));
    }

    fn take_record(&mut self, now: Millis, record: ClaimRecord) {
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

    fn ask_records(&mut self, now: Millis, to: UpstreamId, out: &mut Vec<Action>) {
        if self.recall.cursors.get(to).is_none() {
            self.recall.cursors.insert(to, Cursor::default());
        }
        let Some(cursor) = self.recall.cursors.get_mut(to) else { return };
        let waits = cursor.asked_at.is_some_and(|at| now.since(at) < limits::RELEARN_RETRY_MS);
        if cursor.done || waits {
            return;
        }
        cursor.asked_at = Some(now);
        let incarnation = self.config.incarnation;
        let message = Message::Recall { incarnation, from: cursor.from };
        out.push(Action::Send { to, message });
    }
}
