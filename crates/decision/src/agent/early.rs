//! Openings of services that admit when in doubt: a SYN, of which the caller completes one
//! handshake only.
//!
//! The home arbitrates. It asks former homes first, if there are any, and does not wait for the
//! silent ones longer than [`limits::WITNESS_WAIT_MS`].

use super::claimant::Witnesses;
use super::claims::Stage;
use super::flows::{Flow, FlowState};
use super::mutant::mutated;
use super::pending::Attempt;
use super::redirects::{Evidence, Redirect};
use super::{Action, Agent, Note, Packet, Passed, Reason, Verdict, limits};
use crate::keys::{Incarnation, UpstreamId};
use crate::message::{Claim, Opening};
use crate::rank;
use crate::time::Millis;

impl Agent {
    pub(super) fn open_optimistically(
        &mut self,
        now: Millis,
        packet: &Packet,
        opening: Opening,
        out: &mut Vec<Action>,
    ) -> Verdict {
        if let Some(verdict) = self.opening_of_known_flow(now, opening) {
            return verdict;
        }
        if let Some(record) = self.claims.get(now, opening) {
            return match record.stage {
                Stage::Pending => self.duplicate_of_pending(now, packet, opening, out),
                _ if is_returned(packet) && record.claim != Claim::Run(self.config.upstream) => {
                    self.reassign_returned(now, packet.hops, opening, record.claim, out)
                }
                _ => self.follow_recorded_claim(now, packet, opening, record.claim, out),
            };
        }
        let hops = packet.hops;
        if packet.passed == Passed::Assigned {
            return self.accept_assigned(now, hops, opening, out);
        }
        if let Some(holder) = self.redirect_of_opening(now, opening) {
            return self.start_optimistic_claim(now, hops, opening, Claim::Run(holder), out);
        }
        if let Some(home) = self.other_home(now, packet, out) {
            self.flows.remove(opening.flow);
            self.forget_closing(opening);
            return self.forward(packet.hops, home, Passed::Redirected);
        }
        let claim = self.choose_initial_holder(now).map_or(Claim::Refuse, Claim::Run);
        self.start_optimistic_claim(now, hops, opening, claim, out)
    }

    /// Chooses a holder. A home that has just restarted may have admitted the same opening in its
    /// earlier life; if no peer knows of that, it was for its own upstream, and so is the copy.
    fn choose_initial_holder(&mut self, now: Millis) -> Option<UpstreamId> {
        if self.has_just_restarted(now) && self.accepts_openings(now) {
            return Some(self.config.upstream);
        }
        self.choose(now, false)
    }

    /// A copy while the claim still waits. If another home has assigned the opening to this agent
    /// meanwhile, that is in force already and the held copy is the one to deliver.
    fn duplicate_of_pending(
        &mut self,
        now: Millis,
        packet: &Packet,
        opening: Opening,
        out: &mut Vec<Action>,
    ) -> Verdict {
        if packet.passed == Passed::Assigned {
            self.yield_to(now, opening, Claim::Run(self.config.upstream), out);
        }
        Verdict::Drop(Reason::Duplicate)
    }

    /// The verdict if the opening belongs to a flow in the table: a copy of its own opening, or one
    /// on the ports of an open flow, which the upstream answers itself.
    fn opening_of_known_flow(&mut self, now: Millis, opening: Opening) -> Option<Verdict> {
        if self.must_not_admit() && self.has_never_run(now, opening) {
            let entry = self.flows.remove(opening.flow)?;
            self.announce_end(opening.flow, &entry);
            return None;
        }
        let flow = self.flows.get(opening.flow)?;
        let same = flow.nonce == Some(opening.nonce);
        if flow.is_certainly_open() || (same && flow.state == FlowState::Open) {
            self.flows.touch_opening(now, opening);
            return Some(Verdict::Deliver);
        }
        // After a reset the same SYN opens the flow anew; after a FIN it can only be a late copy.
        (same && flow.state == FlowState::Finishing).then_some(Verdict::Drop(Reason::Duplicate))
    }

    /// Whether the upstream has answered for an older connection on the ports, and its caller has heard nothing
    /// of this one since: a caller that had would have gone on by now.
    fn has_never_run(&self, now: Millis, opening: Opening) -> bool {
        let old = |flow: &Flow| now.since(flow.opened_at) >= limits::GOES_ON_WITHIN_MS;
        self.met_older_connection(opening) && self.flows.get(opening.flow).is_some_and(old)
    }

    /// The agent to which the home's work belongs, `None` if it is this one.
    ///
    /// A sender with newer settings knows better who is home. This agent then acts as home at
    /// once, and asks those who rank before it in its own settings.
    pub(super) fn other_home(
        &mut self,
        now: Millis,
        packet: &Packet,
        out: &mut Vec<Action>,
    ) -> Option<UpstreamId> {
        self.saw_version(now, packet.view, out);
        let sender_knows_better = packet.view > self.settings.version;
        let must_end_here = packet.hops + 2 > limits::MAX_HOPS;
        if sender_knows_better || must_end_here {
            return None;
        }
        let home = self.home(rank::bucket_of(packet.flow))?;
        (home != self.config.upstream).then_some(home)
    }

    /// The holder that a redirect names for an opening. An opening on the ports of a closing flow
    /// is free; on those of an open one it goes to its holder, whose upstream decides.
    pub(super) fn redirect_of_opening(&self, now: Millis, opening: Opening) -> Option<UpstreamId> {
        let redirect = self.redirects.get(now, opening.flow)?;
        let same = redirect.nonce == Some(opening.nonce);
        let is_obsolete = !same && (redirect.closing || !self.is_up(redirect.holder));
        (redirect.holder != self.config.upstream && !is_obsolete).then_some(redirect.holder)
    }

    /// The home has assigned the opening to this agent a moment ago. If the upstream has begun to
    /// drain since, it goes on to another one.
    fn accept_assigned(
        &mut self,
        now: Millis,
        hops: u8,
        opening: Opening,
        out: &mut Vec<Action>,
    ) -> Verdict {
        let claim = self.choose_claim_for_assigned(now, hops);
        if self.has_just_restarted(now) {
            return self.start_optimistic_claim(now, hops, opening, claim, out);
        }
        let refusal = Reason::AllFull;
        self.apply_claim(now, Attempt { opening, claim, refusal, hops }, out)
    }

    /// Whether copies of openings that its earlier life has passed on may still come.
    fn has_just_restarted(&self, now: Millis) -> bool {
        self.config.may_have_past && now.since(self.started_at) < limits::FORMER_HOME_MS
    }

    /// An opening that this agent has given to another has come back: who got it could not take it.
    ///
    /// Failure: two agents, each believing the other to accept, follow their own records. Symptom:
    /// every copy of the opening runs around between them until its hops are used up, and the
    /// caller never gets an answer. Deciding anew ends it, since the new record replaces the old.
    fn reassign_returned(
        &mut self,
        now: Millis,
        hops: u8,
        opening: Opening,
        given: Claim,
        out: &mut Vec<Action>,
    ) -> Verdict {
        let claim = match self.choose_claim_for_assigned(now, hops) {
            again if again == given => Claim::Refuse,
            claim => claim,
        };
        let refusal = Reason::AllFull;
        self.apply_claim(now, Attempt { opening, claim, refusal, hops }, out)
    }

    pub(super) fn choose_claim_for_assigned(&mut self, now: Millis, hops: u8) -> Claim {
        if !self.must_not_admit() && !self.is_full() {
            return Claim::Run(self.config.upstream);
        }
        let other = self.choose(now, true).filter(|_| hops < limits::MAX_HOPS);
        other.map_or(Claim::Refuse, Claim::Run)
    }

    /// Acts on a claim that is in force.
    fn follow_recorded_claim(
        &mut self,
        now: Millis,
        packet: &Packet,
        opening: Opening,
        claim: Claim,
        out: &mut Vec<Action>,
    ) -> Verdict {
        if claim == Claim::Run(self.config.upstream) {
            return self.accept_assigned(now, packet.hops, opening, out);
        }
        if claim == Claim::Refuse && mutated!(self, TombstoneForgotten) {
            self.claims.remove(opening);
        }
        let refusal = Reason::Tombstone;
        self.apply_claim(now, Attempt { opening, claim, refusal, hops: packet.hops }, out)
    }

    /// Records a claim and asks former homes, or puts it in force at once if there are none.
    fn start_optimistic_claim(
        &mut self,
        now: Millis,
        hops: u8,
        opening: Opening,
        claim: Claim,
        out: &mut Vec<Action>,
    ) -> Verdict {
        let attempt = Attempt { opening, claim, refusal: Reason::AllFull, hops };
        let witnesses = self.former_homes(now, rank::bucket_of(opening.flow));
        if witnesses.is_empty() {
            return self.apply_claim(now, attempt, out);
        }
        self.start_claim(now, attempt, Witnesses::FormerHomes(witnesses), out)
    }

    /// Puts a claim in force.
    pub(super) fn apply_claim(
        &mut self,
        now: Millis,
        attempt: Attempt,
        out: &mut Vec<Action>,
    ) -> Verdict {
        let Attempt { opening, claim, refusal, hops } = attempt;
        let incarnation = self.config.incarnation;
        let me = self.config.upstream;
        let has_room = claim != Claim::Run(me) || self.can_take_flow();
        if !has_room || !self.claims.put(now, opening, claim, incarnation, Stage::Decided) {
            return Verdict::Drop(Reason::Overload);
        }
        match claim {
            Claim::Run(holder) if holder == me => self.admit(now, opening, out),
            Claim::Run(holder) => self.assign_to(now, hops, opening, holder, out),
            Claim::Refuse => {
                out.push(Action::Note(Note::Refused { opening, reason: refusal }));
                Verdict::Refuse(refusal)
            }
        }
    }

    /// The own upstream takes the opening.
    pub(super) fn admit(
        &mut self,
        now: Millis,
        opening: Opening,
        out: &mut Vec<Action>,
    ) -> Verdict {
        self.hold_flow(now, opening.flow, Some(opening.nonce), false);
        out.push(Action::Note(Note::Admitted(opening)));
        Verdict::Deliver
    }

    /// Another agent takes the opening; its flow is expected there from now on.
    pub(super) fn assign_to(
        &mut self,
        now: Millis,
        hops: u8,
        opening: Opening,
        holder: UpstreamId,
        out: &mut Vec<Action>,
    ) -> Verdict {
        let verdict = self.forward(hops, holder, Passed::Assigned);
        if !matches!(verdict, Verdict::Forward { .. }) {
            return verdict;
        }
        self.flows.remove(opening.flow);
        self.record_assignment(now, opening, holder);
        out.push(Action::Note(Note::Assigned { opening, to: holder }));
        if mutated!(self, RedirectsForgotten) {
            self.redirects.remove(opening.flow);
            self.claims.remove(opening);
        }
        verdict
    }

    fn record_assignment(&mut self, now: Millis, opening: Opening, holder: UpstreamId) {
        let known = self.redirects.get(now, opening.flow);
        let repeated = known.is_some_and(|known| {
            known.holder == holder && (known.nonce == Some(opening.nonce) || !known.closing)
        });
        if repeated {
            return;
        }
        let mut incarnation = None;
        if let Some(peer) = self.peers.get_mut(holder) {
            peer.assigned += 1;
            incarnation = peer.incarnation;
        }
        let redirect = Redirect {
            holder,
            life: incarnation.unwrap_or(Incarnation(0)),
            nonce: Some(opening.nonce),
            opened_at: now,
            evidence: Evidence::Assigned,
            closing: false,
            expires_at: now.after(limits::REDIRECT_TTL_MS),
        };
        self.redirects.insert(now, opening.flow, redirect);
    }
}

/// Whether a packet was assigned by an agent that had itself been given it.
fn is_returned(packet: &Packet) -> bool {
    packet.passed == Passed::Assigned && packet.hops >= 2
}
