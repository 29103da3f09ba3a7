//! Openings of services that refuse when in doubt: each runs at most once, and an opening that was
//! refused has not run and never will.
//!
//! The home only proposes a holder. The holder claims the opening for itself and its present
//! incarnation, and delivers it once a majority of every membership has recorded the claim. This
//! does not depend on which agent is home or on which agents are suspected. See
//! `docs/decisions/at-most-once.md`.

use super::claimant::Witnesses;
use super::claims::{Record, Stage};
use super::flows::FlowState;
use super::mutant::mutated;
use super::pending::Attempt;
use super::{Action, Agent, Forwarding, Packet, Reason, Verdict, limits};
use crate::message::{Claim, Opening};
use crate::time::Millis;

impl Agent {
    pub(super) fn open_at_most_once(
        &mut self,
        now: Millis,
        packet: &Packet,
        opening: Opening,
        out: &mut Vec<Action>,
    ) -> Verdict {
        if self.pending.get(opening).is_some() {
            return Verdict::Drop(Reason::Duplicate);
        }
        if let Some(record) = self.claims.get(now, opening) {
            return self.follow_record(now, packet, opening, record, out);
        }
        let held = self.flows.get(opening.flow).copied();
        if held.is_some_and(|flow| flow.nonce == Some(opening.nonce)) {
            return self.duplicate_of_run(now, opening, out);
        }
        let me = self.config.upstream;
        // A datagram on an open flow is new work, which a draining upstream does not get. A SYN on
        // the ports of an open connection is left to the upstream's TCP.
        let wanted = !self.settings.datagrams || !self.must_not_admit();
        if wanted && held.is_some_and(|flow| flow.is_confirmed_open()) {
            return self.claim_by_quorum(now, packet.hops, opening, Claim::Run(me), out);
        }
        if packet.forwarding == Forwarding::Assigned {
            let claim = self.choose_claim_for_assigned(now, packet.hops);
            return self.propose(now, packet.hops, opening, claim, out);
        }
        let holder = self.redirect_of_opening(now, opening);
        if let Some(holder) = holder.filter(|holder| self.is_up(*holder)) {
            return self.propose(now, packet.hops, opening, Claim::Run(holder), out);
        }
        if let Some(home) = self.other_home(now, packet, out) {
            self.flows.remove(opening.flow);
            self.forget_closing(opening);
            return self.forward(packet.hops, home, Forwarding::Redirected);
        }
        let claim = self.choose_holder(now, false).map_or(Claim::Refuse, Claim::Run);
        self.propose(now, packet.hops, opening, claim, out)
    }

    /// Passes the opening to its proposed holder, or claims it if that is this agent.
    fn propose(
        &mut self,
        now: Millis,
        hops: u8,
        opening: Opening,
        claim: Claim,
        out: &mut Vec<Action>,
    ) -> Verdict {
        match claim {
            Claim::Run(holder) if holder != self.config.upstream => {
                self.assign_to(now, hops, opening, holder, out)
            }
            claim => self.claim_by_quorum(now, hops, opening, claim, out),
        }
    }

    /// Handles an opening for which a claim is recorded here.
    fn follow_record(
        &mut self,
        now: Millis,
        packet: &Packet,
        opening: Opening,
        record: Record,
        out: &mut Vec<Action>,
    ) -> Verdict {
        let me = self.config.upstream;
        match (record.stage, record.claim) {
            (Stage::Decided, Claim::Refuse) if mutated!(self, TombstoneForgotten) => {
                self.claims.remove(opening);
                self.admit(now, opening, out)
            }
            (Stage::Decided, Claim::Refuse) => Verdict::Refuse(Reason::Tombstone),
            (Stage::Decided, Claim::Run(_)) => self.duplicate_of_run(now, opening, out),
            (Stage::Pending | Stage::Undecided, claim) => {
                self.claim_by_quorum(now, packet.hops, opening, claim, out)
            }
            // An agent that assigned the opening to this one may know that the recorded holder
            // cannot take it. This agent's vote for that holder remains binding.
            (Stage::Witnessed, Claim::Run(holder))
                if holder == me
                    || packet.forwarding == Forwarding::Assigned
                    || !self.is_up(holder) =>
            {
                let claim = self.choose_claim_for_assigned(now, packet.hops);
                self.propose(now, packet.hops, opening, claim, out)
            }
            (Stage::Witnessed, Claim::Run(holder)) => {
                self.assign_to(now, packet.hops, opening, holder, out)
            }
            (Stage::Witnessed, Claim::Refuse) => {
                self.claim_by_quorum(now, packet.hops, opening, Claim::Refuse, out)
            }
        }
    }

    /// Handles a copy of an opening that has run here.
    ///
    /// A copy of a SYN is delivered for a while: the upstream's TCP recognizes it while the
    /// connection exists, and the caller may need the reply again.
    fn duplicate_of_run(
        &mut self,
        now: Millis,
        opening: Opening,
        out: &mut Vec<Action>,
    ) -> Verdict {
        if mutated!(self, DuplicateDelivered) {
            return Verdict::Deliver;
        }
        if self.met_older_connection(opening) {
            return self.admit(now, opening, out);
        }
        let open = self
            .flows
            .get(opening.flow)
            .filter(|flow| flow.state == FlowState::Open && flow.nonce == Some(opening.nonce))
            .is_some_and(|flow| now.since(flow.opened_at) < limits::OPENING_COPY_MS);
        if self.settings.datagrams || !open {
            return Verdict::Drop(Reason::Duplicate);
        }
        self.flows.touch_opening(now, opening);
        Verdict::Deliver
    }

    /// Whether the SYN met an older connection on the same ports that its upstream still has. The
    /// upstream replies for the older connection, the caller resets that one and sends the same SYN
    /// again, so the opening has not run.
    pub(super) fn met_older_connection(&self, opening: Opening) -> bool {
        let flow = self.flows.get(opening.flow);
        !self.settings.datagrams
            && flow.is_some_and(|flow| {
                let reset = flow.state == FlowState::Reset || flow.older_was_reset;
                flow.nonce == Some(opening.nonce) && reset && !flow.answered
            })
    }

    /// Asks all witnesses to record the claim: that this agent runs the opening, or that it is
    /// refused.
    pub(super) fn claim_by_quorum(
        &mut self,
        now: Millis,
        hops: u8,
        opening: Opening,
        claim: Claim,
        out: &mut Vec<Action>,
    ) -> Verdict {
        if self.is_sealed() {
            return Verdict::Drop(Reason::HolderSilent);
        }
        let run = claim == Claim::Run(self.config.upstream);
        if run && !self.can_take_flow() {
            return Verdict::Drop(Reason::Overload);
        }
        let attempt = Attempt { opening, claim, refusal: Reason::AllFull, hops };
        self.start_claim(now, attempt, Witnesses::Quorum, out)
    }
}
