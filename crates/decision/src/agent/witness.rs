//! Claims of other agents, which this agent records as a witness.

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
        self.observe_version(now, request.view, out);
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

    /// Whether this agent must abstain, because it may have voted on claims that it no longer
    /// knows.
    ///
    /// If a witness granted one claim, restarted and granted another, an opening could run at two
    /// upstreams. Abstaining prevents this: by the time the agent votes again, each claim that it
    /// granted before the restart has been recalled from the other witnesses or has expired.
    pub(super) fn must_abstain(&self, now: Millis) -> bool {
        let incomplete = self.may_have_voted(now) && !self.recall.complete;
        incomplete && !mutated!(self, AbstainForgotten)
    }

    /// Whether the claimant has newer settings that this witness must install before it votes.
    ///
    /// They may contain a membership whose records this witness has not recalled. It does not reply
    /// rather than abstain, since an abstention is final. The claimant asks again a moment later,
    /// when the settings are in force here as well.
    fn must_catch_up(&self, now: Millis, view: Version) -> bool {
        let at_most_once = self.settings.when_in_doubt == WhenInDoubt::Refuse;
        at_most_once && self.may_have_voted(now) && view > self.settings.version
    }

    /// Whether this agent is fully functional, which includes that it can vote. A rollout that
    /// waits for this before it goes on to the next agent never takes away the majority of a
    /// service.
    pub fn is_ready(&self, now: Millis) -> bool {
        self.settings.when_in_doubt == WhenInDoubt::Admit || !self.must_abstain(now)
    }

    /// Whether this agent does not know which claim for the opening had its vote.
    pub(super) fn cannot_recall_vote(&self, now: Millis, opening: Opening) -> bool {
        let disputed = self.recall.is_disputed(opening) && !mutated!(self, DisputesIgnored);
        self.must_abstain(now) || disputed
    }

    fn witness_at_most_once(&mut self, now: Millis, request: Request) -> ClaimAnswer {
        let own_claim = request.claim == Claim::Refuse || request.claim == Claim::Run(request.from);
        if !own_claim {
            return ClaimAnswer::Abstained;
        }
        // A record made while abstaining is only this agent's own claim and counts as no vote.
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
            _ if self.is_sealed() => ClaimAnswer::Abstained,
            _ => self.record(now, request, Stage::Witnessed),
        }
    }

    /// Answers the home of an opening from everything that this agent knows about the opening.
    fn witness_optimistic(
        &mut self,
        now: Millis,
        request: Request,
        out: &mut Vec<Action>,
    ) -> ClaimAnswer {
        let opening = request.opening;
        let record = self.claims.get(now, opening);
        if let Some(record) = record.filter(|record| record.claim != request.claim) {
            // If two homes ask each other, the smaller claim wins at both.
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
    /// same ports, whose upstream decides whether that flow has ended.
    fn holder_of(&self, now: Millis, opening: Opening) -> Option<UpstreamId> {
        let nonce = Some(opening.nonce);
        let belongs = |flow: &Flow| flow.is_confirmed_open() || flow.nonce == nonce;
        if self.flows.get(opening.flow).is_some_and(belongs) {
            return Some(self.config.upstream);
        }
        self.redirect_of_opening(now, opening)
    }

    /// Removes a closing flow, or a redirect to it, when the caller opens a new flow elsewhere on
    /// the same ports.
    ///
    /// Otherwise packets of the new flow would go to the old upstream, which would reset them.
    /// Removal suffices, since a packet of an unknown flow leads to a lookup.
    pub(super) fn forget_closing(&mut self, opening: Opening) {
        let old = |flow: &Flow| !flow.is_confirmed_open() && flow.nonce != Some(opening.nonce);
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

/// Whether the request repeats the recorded claim. A claim to run must also be of the same
/// incarnation: a previous one may have run the opening, and the present one cannot know.
fn is_same_claim(record: Record, request: Request) -> bool {
    let same_incarnation = record.incarnation == request.incarnation;
    record.claim == request.claim && (request.claim == Claim::Refuse || same_incarnation)
}

/// Whether the request withdraws the recorded claim: the incarnation that claimed to run the
/// opening now commits to never running it.
fn is_withdrawal(record: Record, request: Request) -> bool {
    let same_incarnation = record.incarnation == request.incarnation;
    request.claim == Claim::Refuse && record.claim == Claim::Run(request.from) && same_incarnation
}
