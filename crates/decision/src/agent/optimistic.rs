//! Openings of services that admit when in doubt: SYNs. Running a copy at a second upstream does
//! little harm, since the caller completes only one handshake.
//!
//! The home decides who holds the flow. If the bucket had other homes until recently, it asks them
//! first, but waits at most [`limits::WITNESS_TIMEOUT_MS`] for those that do not reply.

use super::claimant::Witnesses;
use super::claims::Stage;
use super::flows::{Flow, FlowState};
use super::mutant::mutated;
use super::pending::Attempt;
use super::redirects::{Evidence, Redirect};
use super::{Action, Agent, Forwarding, Packet, Reason, TimelineEntry, Verdict, limits};
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
        if packet.forwarding == Forwarding::Assigned {
            return self.accept_assigned(now, hops, opening, out);
        }
        if let Some(holder) = self.redirect_of_opening(now, opening) {
            return self.start_optimistic_claim(now, hops, opening, Claim::Run(holder), out);
        }
        if let Some(home) = self.other_home(now, packet, out) {
            self.flows.remove(opening.flow);
            self.forget_closing(opening);
            return self.forward(packet.hops, home, Forwarding::Redirected);
        }
        let claim = self.choose_initial_holder(now).map_or(Claim::Refuse, Claim::Run);
        self.start_optimistic_claim(now, hops, opening, claim, out)
    }

    /// Chooses a holder for an opening that this agent has no record of.
    ///
    /// A home that has just restarted may have admitted the same opening in its previous
    /// incarnation. If no peer knows of that, it did so for its own upstream, so a copy goes there
    /// as well.
    fn choose_initial_holder(&mut self, now: Millis) -> Option<UpstreamId> {
        if self.has_just_restarted(now) && self.accepts_openings(now) {
            return Some(self.config.upstream);
        }
        self.choose_holder(now, false)
    }

    /// Handles a copy of an opening whose claim is pending: the first packet is held, the copy is
    /// dropped.
    ///
    /// If the copy was assigned to this agent by another home, that assignment has taken effect, so
    /// the held packet is resolved by it.
    fn duplicate_of_pending(
        &mut self,
        now: Millis,
        packet: &Packet,
        opening: Opening,
        out: &mut Vec<Action>,
    ) -> Verdict {
        if packet.forwarding == Forwarding::Assigned {
            self.yield_to(now, opening, Claim::Run(self.config.upstream), out);
        }
        Verdict::Drop(Reason::Duplicate)
    }

    /// The verdict if the opening matches a flow in the table: it is a copy of that flow's opening,
    /// or reuses the ports of an open flow, in which case the upstream's TCP answers it.
    fn opening_of_known_flow(&mut self, now: Millis, opening: Opening) -> Option<Verdict> {
        if self.must_not_admit() && self.has_never_run(now, opening) {
            let entry = self.flows.remove(opening.flow)?;
            self.announce_end(opening.flow, &entry);
            return None;
        }
        let flow = self.flows.get(opening.flow)?;
        let same = flow.nonce == Some(opening.nonce);
        if flow.is_confirmed_open() || (same && flow.state == FlowState::Open) {
            self.flows.touch_opening(now, opening);
            return Some(Verdict::Deliver);
        }
        // After a reset the same SYN opens the flow again; after a FIN it can only be a late copy.
        (same && flow.state == FlowState::Finishing).then_some(Verdict::Drop(Reason::Duplicate))
    }

    /// Whether the upstream answered the opening for an older connection on the same ports, and has
    /// not accepted it since: the caller would have continued the handshake by now.
    fn has_never_run(&self, now: Millis, opening: Opening) -> bool {
        let old = |flow: &Flow| now.since(flow.opened_at) >= limits::CALLER_PROGRESS_MS;
        self.met_older_connection(opening) && self.flows.get(opening.flow).is_some_and(old)
    }

    /// The home to which the packet must be forwarded, `None` if this agent acts as home.
    ///
    /// A sender with newer settings knows the home better than this agent does. This agent then
    /// acts as home at once, and asks the agents that rank before it in its own settings.
    pub(super) fn other_home(
        &mut self,
        now: Millis,
        packet: &Packet,
        out: &mut Vec<Action>,
    ) -> Option<UpstreamId> {
        self.observe_version(now, packet.view, out);
        let sender_knows_better = packet.view > self.settings.version;
        let must_end_here = packet.hops + 2 > limits::MAX_HOPS;
        if sender_knows_better || must_end_here {
            return None;
        }
        let home = self.home(rank::bucket_of(packet.flow))?;
        (home != self.config.upstream).then_some(home)
    }

    /// The holder that a redirect names for an opening.
    ///
    /// An opening that reuses the ports of a closing flow may go to any upstream. One that reuses
    /// those of an open flow goes to that flow's holder, whose upstream decides.
    pub(super) fn redirect_of_opening(&self, now: Millis, opening: Opening) -> Option<UpstreamId> {
        let redirect = self.redirects.get(now, opening.flow)?;
        let same = redirect.nonce == Some(opening.nonce);
        let is_obsolete = !same && (redirect.closing || !self.is_up(redirect.holder));
        (redirect.holder != self.config.upstream && !is_obsolete).then_some(redirect.holder)
    }

    /// Takes an opening that the home has assigned to this agent, or passes it on to another agent
    /// if the own upstream has begun to drain since.
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

    /// Whether copies of openings that the previous incarnation handled may still arrive.
    fn has_just_restarted(&self, now: Millis) -> bool {
        self.config.may_have_prior_flows && now.since(self.started_at) < limits::FORMER_HOME_TTL_MS
    }

    /// Decides again on an opening that was assigned to another agent and was returned by it,
    /// because that one could not take it.
    ///
    /// If two agents that each believe the other to accept openings kept following their own
    /// records, every copy would loop between them until its hops are used up, and the caller would
    /// never get an answer. The new decision replaces the old record, which ends the loop.
    fn reassign_returned(
        &mut self,
        now: Millis,
        hops: u8,
        opening: Opening,
        recorded: Claim,
        out: &mut Vec<Action>,
    ) -> Verdict {
        let claim = match self.choose_claim_for_assigned(now, hops) {
            repeated if repeated == recorded => Claim::Refuse,
            claim => claim,
        };
        let refusal = Reason::AllFull;
        self.apply_claim(now, Attempt { opening, claim, refusal, hops }, out)
    }

    /// The claim for an opening that was assigned to this agent: its own upstream if that may take
    /// it, else another one.
    pub(super) fn choose_claim_for_assigned(&mut self, now: Millis, hops: u8) -> Claim {
        if !self.must_not_admit() && !self.is_full() {
            return Claim::Run(self.config.upstream);
        }
        let other = self.choose_holder(now, true).filter(|_| hops < limits::MAX_HOPS);
        other.map_or(Claim::Refuse, Claim::Run)
    }

    /// Acts on a claim that is already recorded.
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

    /// Records a claim and asks the former homes, or applies it at once if there are none.
    fn start_optimistic_claim(
        &mut self,
        now: Millis,
        hops: u8,
        opening: Opening,
        claim: Claim,
        out: &mut Vec<Action>,
    ) -> Verdict {
        let attempt = Attempt { opening, claim, refusal: Reason::AllFull, hops };
        let witnesses = self.agents_to_consult(now, rank::bucket_of(opening.flow));
        if witnesses.is_empty() {
            return self.apply_claim(now, attempt, out);
        }
        self.start_claim(now, attempt, Witnesses::FormerHomes(witnesses), out)
    }

    /// Records a claim as decided and carries it out.
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
                out.push(Action::Record(TimelineEntry::Refused { opening, reason: refusal }));
                Verdict::Refuse(refusal)
            }
        }
    }

    /// Delivers the opening to the own upstream.
    pub(super) fn admit(
        &mut self,
        now: Millis,
        opening: Opening,
        out: &mut Vec<Action>,
    ) -> Verdict {
        self.hold_flow(now, opening.flow, Some(opening.nonce), false);
        out.push(Action::Record(TimelineEntry::Admitted(opening)));
        Verdict::Deliver
    }

    /// Passes the opening to another agent, and records that agent as the flow's holder.
    pub(super) fn assign_to(
        &mut self,
        now: Millis,
        hops: u8,
        opening: Opening,
        holder: UpstreamId,
        out: &mut Vec<Action>,
    ) -> Verdict {
        let verdict = self.forward(hops, holder, Forwarding::Assigned);
        if !matches!(verdict, Verdict::Forward { .. }) {
            return verdict;
        }
        self.flows.remove(opening.flow);
        self.record_assignment(now, opening, holder);
        out.push(Action::Record(TimelineEntry::Assigned { opening, to: holder }));
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
            incarnation: incarnation.unwrap_or(Incarnation(0)),
            nonce: Some(opening.nonce),
            opened_at: now,
            evidence: Evidence::Assigned,
            closing: false,
            expires_at: now.after(limits::REDIRECT_TTL_MS),
        };
        self.redirects.insert(now, opening.flow, redirect);
    }
}

/// Whether a packet was assigned by an agent that had received it from another agent.
fn is_returned(packet: &Packet) -> bool {
    packet.forwarding == Forwarding::Assigned && packet.hops >= 2
}
