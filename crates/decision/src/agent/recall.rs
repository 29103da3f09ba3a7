//! Recovery of a witness's records from the other witnesses after a start.
//!
//! A witness that starts abstains, since a previous incarnation, possibly beside another upstream
//! of the same name, may have granted a claim. If it abstained until every such claim has expired,
//! a service whose agents are restarted one after the other would stop.
//!
//! Any claim that won with this agent's vote is recorded by a majority of a membership. Once so
//! many other members have sent all their records that every majority contains one of them, this
//! agent knows every claim that matters and may vote again.
//!
//! When a service begins, no witness has any records. That an upstream is new does not show it: all
//! hosts of a service may have died together. A witness is *newborn* if it was up before any
//! settings listed its upstream, so that no earlier incarnation can have voted. It votes once every
//! other member has answered, and none of them has seen a previous incarnation of it.

use super::claims::Stage;
use super::mutant::mutated;
use super::relearn::awaits_page;
use super::sorted::SortedMap;
use super::{Action, Agent, limits};
use crate::keys::{Incarnation, UpstreamId};
use crate::message::{Claim, ClaimRecord, Message, Opening, RecordCompleteness};
use crate::time::Millis;
use crate::view::WhenInDoubt;

/// Progress of reading one witness's records.
#[derive(Clone, Copy, Debug, Default)]
struct Cursor {
    from: u64,
    asked_at: Option<Millis>,
    done: bool,
    /// Whether it has answered at all.
    answered: bool,
    /// Whether it has seen a previous incarnation of this agent.
    met_before: bool,
}

/// What a restarted witness has learned about votes of its previous incarnations.
#[derive(Debug, Default)]
pub(super) struct Recall {
    cursors: SortedMap<UpstreamId, Cursor>,
    /// Openings for which witnesses have recorded different claims.
    disputes: SortedMap<Opening, Dispute>,
    /// Whether this process was up before any settings listed its upstream.
    pub(super) started_before_listing: bool,
    /// Whether the first settings that this agent installed were also the first to list its
    /// upstream.
    pub(super) newly_listed: bool,
    /// Whether enough witnesses have sent all their records, under the settings in force.
    pub(super) complete: bool,
    /// When newer settings made the recall incomplete again, by members that had not been asked
    /// yet.
    reopened_at: Option<Millis>,
}

/// Two different claims for one opening, of which at most one is on record here.
#[derive(Clone, Copy, Debug)]
struct Dispute {
    expires_at: Millis,
    /// Whether the record is the claim that had this agent's vote. After a restart this is unknown.
    vote_known: bool,
}

/// A page of records, as received.
#[derive(Clone, Debug)]
pub(super) struct Page {
    pub(super) incarnation: Incarnation,
    pub(super) from: u64,
    pub(super) records: Vec<ClaimRecord>,
    pub(super) next: Option<u64>,
    pub(super) memory: RecordCompleteness,
    pub(super) met_before: bool,
}

impl Recall {
    pub(super) fn is_disputed(&self, opening: Opening) -> bool {
        self.disputes.get(opening).is_some()
    }

    pub(super) fn has_disputes(&self) -> bool {
        self.disputes.len() > 0
    }

    pub(super) fn expire_disputes(&mut self, now: Millis) {
        self.disputes.retain(|dispute| dispute.expires_at > now);
    }

    fn knows_all_votes(&self) -> bool {
        self.disputes.iter().all(|(_, dispute)| dispute.vote_known)
    }

    fn dispute(&mut self, now: Millis, opening: Opening, vote_known: bool) {
        let known = self.disputes.get(opening).is_none_or(|dispute| dispute.vote_known);
        let expires_at = now.after(limits::CLAIM_TTL_MS);
        self.disputes.insert(opening, Dispute { expires_at, vote_known: known && vote_known });
    }
}

impl Agent {
    /// Whether a previous incarnation of this agent may have voted on openings of which copies
    /// still exist. A new upstream does not rule it out: another one may have had the same name.
    pub(super) fn may_have_voted(&self, now: Millis) -> bool {
        now.since(self.started_at) < limits::CLAIM_TTL_MS
    }

    /// Whether, as far as this agent knows, it has no previous incarnation.
    fn is_newborn(&self) -> bool {
        let was_there = self.recall.started_before_listing || mutated!(self, ListedWitnessNewborn);
        !self.config.may_have_prior_flows && self.recall.newly_listed && was_there
    }

    pub(super) fn record_completeness(&self, now: Millis) -> RecordCompleteness {
        match self.must_abstain(now) || !self.recall.knows_all_votes() {
            false => RecordCompleteness::Complete,
            true if self.is_newborn() && !self.recall.has_disputes() => RecordCompleteness::Newborn,
            true => RecordCompleteness::Forgetful,
        }
    }

    /// What this agent's records are worth to a restarted witness.
    ///
    /// Nothing if that one runs older settings: this agent may rely on it not to vote under them.
    fn record_completeness_for(&self, now: Millis, asker: UpstreamId) -> RecordCompleteness {
        let runs_older = self.peers.get(asker).is_none_or(|peer| peer.view < self.settings.version);
        match self.record_completeness(now) {
            RecordCompleteness::Complete if runs_older && !mutated!(self, OlderWitnessRecalled) => {
                RecordCompleteness::Forgetful
            }
            completeness => completeness,
        }
    }

    /// Asks the other witnesses for their next pages.
    ///
    /// It first waits for [`limits::RECALL_DELAY_MS`]. Otherwise a claimant could still count a
    /// grant of the previous incarnation, and its claim could win after a witness has sent its
    /// records without that claim. A claimant counts no grant after [`limits::QUORUM_TIMEOUT_MS`],
    /// so after the longer wait every claim that can still win is recorded by its majority.
    pub(super) fn request_recall(&mut self, now: Millis, out: &mut Vec<Action>) {
        let at_most_once = self.settings.when_in_doubt == WhenInDoubt::Refuse;
        let too_early = now.since(self.started_at) < limits::RECALL_DELAY_MS;
        if !at_most_once || too_early || self.recall.complete || !self.may_have_voted(now) {
            return;
        }
        for witness in self.settings.memberships.witnesses() {
            if witness != self.config.upstream {
                self.request_records(now, witness, out);
            }
        }
        // Needed if this agent is the only member: it gets no pages.
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
        if !self.observe_incarnation(now, from, incarnation) {
            return;
        }
        let (records, next) = self.claims.page(now, first, limits::RECORDS_PER_PAGE);
        let memory = self.record_completeness_for(now, from);
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
        cursor.answered = true;
        if page.memory != RecordCompleteness::Complete {
            // It is asked again from the start after the retry period, when it may know more.
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

    /// Checks the recall against newer settings. They may contain memberships of which too few
    /// members have sent their records; the others are then asked at once.
    pub(super) fn recheck_recall(&mut self, now: Millis, out: &mut Vec<Action>) {
        let before = self.recall.complete;
        self.update_recall_complete();
        if before && !self.recall.complete {
            self.recall.reopened_at = Some(now);
            self.request_recall(now, out);
        }
    }

    /// Whether this agent could vote a moment ago, and will again once newly listed members have
    /// answered.
    ///
    /// When settings list one more member while all agents have just started, every witness would
    /// abstain. An abstention is final, so an opening that arrives then would not run, and a
    /// datagram would be lost for good. Instead the witness does not reply at all, and the claimant
    /// asks again.
    pub(super) fn is_catching_up(&self, now: Millis) -> bool {
        let reopened_at = self.recall.reopened_at.filter(|_| !self.recall.complete);
        reopened_at.is_some_and(|at| now.since(at) < limits::CATCH_UP_MS)
    }

    pub(super) fn update_recall_complete(&mut self) {
        let done = |id| self.recall.cursors.get(id).is_some_and(|cursor| cursor.done);
        let me = self.config.upstream;
        let any_done = self.recall.cursors.iter().any(|(_, cursor)| cursor.done);
        let has_quorum = self.settings.memberships.has_recall_quorum(me, done);
        let is_new = self.is_newborn() && self.is_unknown_to_all();
        self.recall.complete = has_quorum || is_new || (any_done && mutated!(self, RecallFromOne));
    }

    /// Whether every other member has answered, and none has seen a previous incarnation of this
    /// agent.
    fn is_unknown_to_all(&self) -> bool {
        let witnesses = self.settings.memberships.witnesses();
        let others = witnesses.iter().filter(|id| **id != self.config.upstream);
        others.into_iter().all(|id| {
            let cursor = self.recall.cursors.get(*id);
            cursor.is_some_and(|cursor| cursor.answered && !cursor.met_before)
        })
    }

    /// Takes in a record of a claim that may have had the vote of a previous incarnation.
    fn merge_record(&mut self, now: Millis, record: ClaimRecord) {
        if !self.is_recorded(now, record) {
            self.recall.dispute(now, record.opening, false);
        }
    }

    /// Takes in a record of a claim that may have won under an earlier membership.
    pub(super) fn learn_record(&mut self, now: Millis, record: ClaimRecord) {
        if mutated!(self, RecordsNotLearned) {
            return;
        }
        if !self.is_recorded(now, record) {
            let vote_known = !self.must_abstain(now);
            self.recall.dispute(now, record.opening, vote_known);
        }
    }

    /// Whether the record is known here, or could be added.
    fn is_recorded(&mut self, now: Millis, record: ClaimRecord) -> bool {
        let ClaimRecord { opening, claim, incarnation } = record;
        match self.claims.get(now, opening) {
            Some(known) => {
                let same_incarnation = known.incarnation == incarnation;
                known.claim == claim && (claim == Claim::Refuse || same_incarnation)
            }
            None => self.claims.put(now, opening, claim, incarnation, Stage::Witnessed),
        }
    }

    fn request_records(&mut self, now: Millis, to: UpstreamId, out: &mut Vec<Action>) {
        let cursor = self.recall.cursors.get_or_default(to);
        if cursor.done || awaits_page(now, cursor.asked_at) {
            return;
        }
        cursor.asked_at = Some(now);
        let incarnation = self.config.incarnation;
        let message = Message::Recall { incarnation, from: cursor.from };
        out.push(Action::Send { to, message });
    }
}
