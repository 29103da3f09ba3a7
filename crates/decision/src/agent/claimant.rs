//! This agent's own claims: requests to witnesses, the count of their votes, and the outcome.

use super::claims::Stage;
use super::mutant::mutated;
use super::pending::{Attempt, PendingClaim};
use super::quorum::{Tally, Vote};
use super::{Action, Agent, Reason, TimelineEntry, Verdict, limits};
use crate::keys::{Incarnation, UpstreamId, Version};
use crate::message::{Claim, ClaimAnswer, Message, Opening};
use crate::time::Millis;

/// Which agents have to record a claim.
#[derive(Clone, Debug)]
pub(super) enum Witnesses {
    /// These agents, as far as they answer before the deadline.
    FormerHomes(Vec<UpstreamId>),
    /// A majority of every membership.
    Quorum,
}

/// A witness's answer, as received.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reply {
    pub(super) opening: Opening,
    pub(super) claim: Claim,
    pub(super) answer: ClaimAnswer,
    pub(super) view: Version,
    pub(super) incarnation: Incarnation,
}

impl Agent {
    /// Records the claim locally, sends it to the witnesses, and holds the packet until the claim
    /// is resolved.
    pub(super) fn start_claim(
        &mut self,
        now: Millis,
        attempt: Attempt,
        witnesses: Witnesses,
        out: &mut Vec<Action>,
    ) -> Verdict {
        let Attempt { opening, claim, .. } = attempt;
        let incarnation = self.config.incarnation;
        let has_room = self.pending.len() < limits::MAX_PENDING_CLAIMS;
        let quorum = matches!(witnesses, Witnesses::Quorum);
        let voted_otherwise = quorum && self.has_conflicting_record(now, opening, claim);
        if !has_room
            || (!voted_otherwise
                && !self.claims.put(now, opening, claim, incarnation, Stage::Pending))
        {
            return Verdict::Drop(Reason::Overload);
        }
        let asked = match witnesses {
            Witnesses::FormerHomes(asked) => asked,
            Witnesses::Quorum => self.settings.memberships.witnesses(),
        };
        let wait_ms = if quorum { limits::QUORUM_TIMEOUT_MS } else { limits::WITNESS_TIMEOUT_MS };
        let mut pending = PendingClaim {
            attempt,
            hold: self.next_hold_key(),
            quorum,
            votes: asked.into_iter().map(|id| (id, None)).collect(),
            deadline: now.after(wait_ms),
            resend_at: now.after(limits::RESEND_INTERVAL_MS),
        };
        self.cast_own_vote(now, &mut pending);
        self.request(&pending, out);
        if let Some(verdict) = self.try_resolve(now, &mut pending, out) {
            return verdict;
        }
        let hold = pending.hold;
        self.pending.insert(opening, pending);
        Verdict::Hold(hold)
    }

    /// Counts a witness's reply.
    ///
    /// A reply after the deadline does not count: if this process was paused, the witness's
    /// record of its grant may have expired since.
    pub(super) fn claim_reply_received(
        &mut self,
        now: Millis,
        from: UpstreamId,
        reply: Reply,
        out: &mut Vec<Action>,
    ) {
        self.observe_version(now, reply.view, out);
        if reply.incarnation != self.config.incarnation {
            return;
        }
        let Some(mut pending) = self.pending.remove(reply.opening) else { return };
        if pending.attempt.claim == reply.claim && now < pending.deadline {
            self.count_vote(from, reply.answer, &mut pending);
        }
        self.resolve_or_keep(now, pending, out);
    }

    /// Resolves claims whose deadline has passed and repeats the requests of the others.
    pub(super) fn process_pending_claims(&mut self, now: Millis, out: &mut Vec<Action>) {
        let due: Vec<Opening> = self
            .pending
            .iter()
            .filter(|(_, pending)| now >= pending.deadline || now >= pending.resend_at)
            .map(|(opening, _)| opening)
            .collect();
        for opening in due {
            let Some(mut pending) = self.pending.remove(opening) else { continue };
            if now < pending.deadline {
                pending.resend_at = now.after(limits::RESEND_INTERVAL_MS);
                self.cast_own_vote(now, &mut pending);
                self.request(&pending, out);
            }
            self.resolve_or_keep(now, pending, out);
        }
    }

    /// Asks the members that newer settings list as well. Votes already received still count.
    pub(super) fn recount_pending_claims(&mut self, now: Millis, out: &mut Vec<Action>) {
        let openings: Vec<Opening> = self.pending.iter().map(|(opening, _)| opening).collect();
        for opening in openings {
            let Some(mut pending) = self.pending.remove(opening) else { continue };
            if pending.quorum {
                let old = std::mem::take(&mut pending.votes);
                let vote_of =
                    |id| old.iter().find(|(known, _)| *known == id).and_then(|(_, vote)| *vote);
                let asked = self.settings.memberships.witnesses();
                pending.votes = asked.into_iter().map(|id| (id, vote_of(id))).collect();
                self.cast_own_vote(now, &mut pending);
                self.request(&pending, out);
            }
            self.resolve_or_keep(now, pending, out);
        }
    }

    /// Resolves a pending claim in favor of another claimant's claim, which has taken effect.
    pub(super) fn yield_to(
        &mut self,
        now: Millis,
        opening: Opening,
        claim: Claim,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.remove(opening) else { return };
        let attempt = Attempt { claim, refusal: Reason::Tombstone, ..pending.attempt };
        let verdict = self.apply_claim(now, attempt, out);
        out.push(Action::Resolve { hold: pending.hold, verdict });
    }

    fn count_vote(&mut self, from: UpstreamId, answer: ClaimAnswer, pending: &mut PendingClaim) {
        match answer {
            ClaimAnswer::Granted => pending.record_vote(from, Vote::Granted),
            ClaimAnswer::Taken(claim) => pending.record_vote(from, Vote::Other(claim)),
            ClaimAnswer::Abstained => pending.record_vote(from, Vote::Abstained),
            // Not a vote: the witness is asked again once this agent has the newer settings.
            ClaimAnswer::StaleView => false,
        };
    }

    /// Counts this agent's own vote, if it is a witness.
    ///
    /// It has already recorded the pending claim, unless it voted for another one before: that
    /// earlier vote is binding.
    fn cast_own_vote(&self, now: Millis, pending: &mut PendingClaim) {
        let Attempt { opening, claim, .. } = pending.attempt;
        if self.is_catching_up(now) {
            return;
        }
        let vote = match self.claims.get(now, opening) {
            _ if self.cannot_recall_vote(now, opening) => Vote::Abstained,
            Some(record) if self.has_conflicting_record(now, opening, claim) => {
                Vote::Other(record.claim)
            }
            _ => Vote::Granted,
        };
        pending.record_vote(self.config.upstream, vote);
    }

    /// Whether this agent, as a witness, has recorded a claim that conflicts with the given one of
    /// its own.
    ///
    /// A claim of its previous incarnation, recalled after a restart, conflicts. A claim of its
    /// present incarnation to run the opening may still be withdrawn in favor of a refusal.
    fn has_conflicting_record(&self, now: Millis, opening: Opening, claim: Claim) -> bool {
        let Some(record) = self.claims.get(now, opening) else { return false };
        let same_incarnation = record.incarnation == self.config.incarnation;
        let same = record.claim == claim && (claim == Claim::Refuse || same_incarnation);
        let own = record.claim == Claim::Run(self.config.upstream) && same_incarnation;
        !(same || own && claim == Claim::Refuse)
    }

    fn request(&self, pending: &PendingClaim, out: &mut Vec<Action>) {
        for to in pending.unanswered() {
            let message = Message::ClaimRequest {
                opening: pending.attempt.opening,
                claim: pending.attempt.claim,
                view: self.settings.version,
                incarnation: self.config.incarnation,
            };
            out.push(Action::Send { to, message });
        }
    }

    fn resolve_or_keep(&mut self, now: Millis, mut pending: PendingClaim, out: &mut Vec<Action>) {
        match self.try_resolve(now, &mut pending, out) {
            Some(verdict) => out.push(Action::Resolve { hold: pending.hold, verdict }),
            None => self.pending.insert(pending.attempt.opening, pending),
        }
    }

    fn try_resolve(
        &mut self,
        now: Millis,
        pending: &mut PendingClaim,
        out: &mut Vec<Action>,
    ) -> Option<Verdict> {
        if pending.quorum {
            return self.try_resolve_by_quorum(now, pending, out);
        }
        let objection = pending.votes.iter().find_map(|(_, vote)| match vote {
            Some(Vote::Other(claim)) => Some(*claim),
            _ => None,
        });
        if let Some(claim) = objection {
            let is_own = claim == Claim::Run(self.config.upstream);
            let claim = match is_own {
                true => self.choose_claim_for_assigned(now, pending.attempt.hops),
                false => claim,
            };
            let attempt = Attempt { claim, refusal: Reason::Tombstone, ..pending.attempt };
            return Some(self.apply_claim(now, attempt, out));
        }
        // A suspected agent gets the request too, so that it knows the claim if it comes back, but
        // its reply is not awaited.
        let isolated = self.is_isolated();
        let awaited =
            |id: UpstreamId| self.peers.get(id).is_some_and(|peer| isolated || !peer.suspected);
        let waiting = now < pending.deadline && pending.unanswered().any(awaited);
        (!waiting).then(|| {
            let attempt = self.reconsider_after_pause(now, pending);
            self.apply_claim(now, attempt, out)
        })
    }

    /// The attempt, or a new one if this agent was paused so long past the deadline that its
    /// upstream may have begun to drain meanwhile.
    fn reconsider_after_pause(&mut self, now: Millis, pending: &PendingClaim) -> Attempt {
        let attempt = pending.attempt;
        let late = now.since(pending.deadline) >= limits::PAUSE_THRESHOLD_MS;
        let is_own = attempt.claim == Claim::Run(self.config.upstream);
        if !late || !is_own || !self.must_not_admit() {
            return attempt;
        }
        Attempt { claim: self.choose_claim_for_assigned(now, attempt.hops), ..attempt }
    }

    fn try_resolve_by_quorum(
        &mut self,
        now: Millis,
        pending: &mut PendingClaim,
        out: &mut Vec<Action>,
    ) -> Option<Verdict> {
        let Attempt { opening, claim, hops, .. } = pending.attempt;
        let timed_out = now >= pending.deadline;
        let me = self.config.upstream;
        let mut tally = self.settings.memberships.tally(&pending.received_votes(), me);
        if mutated!(self, QuorumOfOne) {
            tally = Tally::Won;
        }
        match tally {
            Tally::Open if !timed_out => None,
            Tally::Won if !timed_out => Some(self.claim_won(now, pending.attempt, out)),
            Tally::Refused => Some(self.record_refusal(now, opening, Reason::Tombstone, out)),
            Tally::Lost(Some(Claim::Run(holder))) if claim != Claim::Refuse => {
                self.claims.mark_undecided(opening);
                Some(self.assign_to(now, hops, opening, holder, out))
            }
            _ if claim == Claim::Refuse => {
                self.claims.mark_undecided(opening);
                Some(Verdict::Drop(Reason::HolderSilent))
            }
            _ => self.claim_refusal(now, pending, out),
        }
    }

    /// Acts on a claim that a majority has granted: no other agent can run or refuse the opening
    /// now.
    fn claim_won(&mut self, now: Millis, attempt: Attempt, out: &mut Vec<Action>) -> Verdict {
        if attempt.claim == Claim::Refuse {
            return self.record_refusal(now, attempt.opening, attempt.refusal, out);
        }
        if !self.can_take_flow() {
            self.claims.mark_undecided(attempt.opening);
            return Verdict::Drop(Reason::Overload);
        }
        let incarnation = self.config.incarnation;
        self.claims.put(now, attempt.opening, attempt.claim, incarnation, Stage::Decided);
        self.admit(now, attempt.opening, out)
    }

    fn record_refusal(
        &mut self,
        now: Millis,
        opening: Opening,
        reason: Reason,
        out: &mut Vec<Action>,
    ) -> Verdict {
        let incarnation = self.config.incarnation;
        self.claims.put(now, opening, Claim::Refuse, incarnation, Stage::Decided);
        out.push(Action::Record(TimelineEntry::Refused { opening, reason }));
        Verdict::Refuse(reason)
    }

    /// Turns a claim to run the opening, which has found no majority, into a claim to refuse it.
    ///
    /// A refusal tells the caller that the opening has not run and never will, so it takes a
    /// majority as well. This incarnation commits to never running the opening and asks the
    /// witnesses to record that. Without a majority the caller gets no answer, because either
    /// answer could be false.
    fn claim_refusal(
        &mut self,
        now: Millis,
        pending: &mut PendingClaim,
        out: &mut Vec<Action>,
    ) -> Option<Verdict> {
        let opening = pending.attempt.opening;
        let incarnation = self.config.incarnation;
        pending.attempt.claim = Claim::Refuse;
        pending.attempt.refusal = Reason::InDoubt;
        pending.deadline = now.after(limits::QUORUM_TIMEOUT_MS);
        pending.resend_at = now.after(limits::RESEND_INTERVAL_MS);
        pending.votes.iter_mut().for_each(|(_, vote)| *vote = None);
        if !self.has_conflicting_record(now, opening, Claim::Refuse) {
            self.claims.put(now, opening, Claim::Refuse, incarnation, Stage::Pending);
        }
        self.cast_own_vote(now, pending);
        self.request(pending, out);
        self.try_resolve_by_quorum(now, pending, out)
    }
}
