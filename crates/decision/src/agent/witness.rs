//! Claims of other agents, which this one records as a witness.

use super::claims::{Record, Stage};
use super::flows::Flow;
use super::mutant::mutated;
use super::{Action, Agent};
use crate::keys::{Incarnation, UpstreamId, Version};
use crate::message::{Claim, ClaimAnswer, Message, Opening};
use crate::time::Millis;
use crate::view::WhenInDoubt;

/// A claimant's request, as received.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    pub(super) from: UpstreamId,
    pub(super) opening: Opening,
    pub(super) claim: Claim,
    pub(super) view: Version,
    pub(super) incarnation: Incarnation,
}

impl Agent {
    pub(super) fn claim_request_received(
        &mut self,
        now: Millis,
        request: Request,
        out: &mut Vec<Action>,
    ) {
        self.saw_version(now, request.view, out);
        if self.must_catch_up(now, request.view) || self.is_catching_up(now) {
            return;
        }
        let answer = match self.settings.when_in_doubt {
            WhenInDoubt::Admit => self.witness_optimistic(now, request, out),
            WhenInDoubt::Refuse => self.witness_at_most_once(now, request),
        };
        let message = Message::ClaimReply {
            opening: request.opening,
            claim: request.claim,
            answer,
            view: self.settings.version,
            incarnation: request.incarnation,
        };
        out.push(Action::Send { to: request.from, message });
    }

    /// Whether this agent may have promised something that it no longer knows.
    ///
    /// Failure: a witness grants one claim, restarts and grants another. Symptom: an opening runs
    /// at two upstreams. Abstaining is enough because whatever it granted before it died is either
    /// recalled from the other witnesses or would have been forgotten by then.
    pub(super) fn must_abstain(&self, now: Millis) -> bool {
        let incomplete = self.may_have_voted(now) && !self.recall.complete;
        incomplete && !mutated!(self, AbstainForgotten)
    }

    /// Newer settings may name a membership whose records this witness has not recalled, so it cannot
    /// vote under them. It stays silent rather than abstain: an abstention is final, and a moment later
    /// the settings are in force here as well, when the claimant asks again.
    fn must_catch_up(&self, now: Millis, view: Version) -> bool {
        let at_most_once = self.settings.when_in_doubt == WhenInDoubt::Refuse;
        at_most_once && self.may_have_voted(now) && view > self.settings.version
    }

    /// Whether this agent does all its work, its votes included. A rollout that waits for this before
    /// it goes on to the next agent never takes away the majority of a service.
    pub fn is_ready(&self, now: Millis) -> bool {
        self.settings.when_in_doubt == WhenInDoubt::Admit || !self.must_abstain(now)
    }

    /// Whether this agent cannot tell which claim for the opening had its vote.
    pub(super) fn cannot_recall_vote(&self, now: Millis, opening: Opening) -> bool {
        let disputed = self.may_have_voted(now) && self.recall.is_disputed(opening);
        self.must_abstain(now) || disputed
    }

    fn witness_at_most_once(&mut self, now: Millis, request: Request) -> ClaimAnswer {
        let own_claim = request.claim == Claim::Refuse || request.claim == Claim::Run(request.from);
        if !own_claim {
            return ClaimAnswer::Abstained;
        }
        // A record made while abstaining is this agent's own wish and counts as nobody's vote.
        if self.cannot_recall_vote(now, request.opening) {
            return ClaimAnswer::Abstained;
        }
        match self.claims.get(now, request.opening) {
            Some(record) if is_same_claim(record, request) => {
                self.record(now, request, record.stage)
            }
            Some(record) if is_withdrawal(record, request) => {
                self.record(now, request, Stage::Witnessed)
            }
            Some(record) if !mutated!(self, PromiseNotKept) => ClaimAnswer::Taken(record.claim),
            _ if request.view < self.settings.version => ClaimAnswer::StaleView,
            _ => self.record(now, request, Stage::Witnessed),
        }
    }

    /// A witness of a home answers from all that it knows about the opening.
    fn witness_optimistic(
        &mut self,
        now: Millis,
        request: Request,
        out: &mut Vec<Action>,
    ) -> ClaimAnswer {
        let opening = request.opening;
        let record = self.claims.get(now, opening);
        if let Some(record) = record.filter(|record| record.claim != request.claim) {
            // Two homes that ask each other: the smaller claim wins at both.
            let yields = record.stage == Stage::Pending && request.claim < record.claim;
            if !yields && !mutated!(self, PromiseNotKept) {
                return ClaimAnswer::Taken(record.claim);
            }
            self.yield_to(now, opening, request.claim, out);
            return ClaimAnswer::Granted;
        }
        let holder = self.holder_of(now, opening).map(Claim::Run);
        if let Some(taken) = holder.filter(|taken| *taken != request.claim) {
            return ClaimAnswer::Taken(taken);
        }
        let stage = record.map_or(Stage::Witnessed, |record| record.stage);
        self.record(now, request, stage)
    }

    /// The agent to which the opening belongs: the holder of its flow, or of an open flow on the
    /// same ports, whose upstream has to judge whether that one is over.
    fn holder_of(&self, now: Millis, opening: Opening) -> Option<UpstreamId> {
        let nonce = Some(opening.nonce);
        let belongs = |flow: &Flow| flow.is_certainly_open() || flow.nonce == nonce;
        if self.flows.get(opening.flow).is_some_and(belongs) {
            return Some(self.config.upstream);
        }
        self.redirect_of_opening(now, opening)
    }

    /// The caller opens a flow elsewhere on the ports of one that is closing.
    ///
    /// Failure: packets of the new flow follow what is known of the closing one, here or at the agent
    /// that a redirect names. Symptom: the old upstream resets the new flow. Forgetting is enough, since
    /// a packet of an unknown flow is asked about.
    pub(super) fn forget_closing(&mut self, opening: Opening) {
        let old = |flow: &Flow| !flow.is_certainly_open() && flow.nonce != Some(opening.nonce);
        if self.flows.get(opening.flow).is_some_and(old) {
            self.flows.remove(opening.flow);
        }
        self.redirects.forget_closing(opening);
    }

    fn record(&mut self, now: Millis, request: Request, stage: Stage) -> ClaimAnswer {
        let Request { opening, claim, incarnation, .. } = request;
        if !self.claims.put(now, opening, claim, incarnation, stage) {
            return ClaimAnswer::Abstained;
        }
        let elsewhere = claim != Claim::Refuse && claim != Claim::Run(self.config.upstream);
        if elsewhere {
            self.forget_closing(opening);
        }
        ClaimAnswer::Granted
    }
}

/// A claim to run is the same only if it is of the same life: the holder of an earlier life may
/// have run the opening, and the later one cannot know.
fn is_same_claim(record: Record, request: Request) -> bool {
    let same_incarnation = record.incarnation == request.incarnation;
    record.claim == request.claim && (request.claim == Claim::Refuse || same_incarnation)
}

/// The life that claimed the opening has promised not to run it.
fn is_withdrawal(record: Record, request: Request) -> bool {
    let same_incarnation = record.incarnation == request.incarnation;
    request.claim == Claim::Refuse && record.claim == Claim::Run(request.from) && same_incarnation
}
