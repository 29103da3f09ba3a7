//! Packets: the fast path of known flows, and the ways of all others.

use super::flows::{Flow, FlowState};
use super::mutant::mutated;
use super::{Action, Agent, Note, Packet, PacketKind, Passed, Reason, Verdict, limits};
use crate::keys::{FlowId, UpstreamId};
use crate::message::Opening;
use crate::rank;
use crate::time::Millis;
use crate::view::WhenInDoubt;

impl Agent {
    /// Decides about one packet. The fast path (a known flow) touches nothing but the flow table.
    pub fn packet(&mut self, now: Millis, packet: &Packet, out: &mut Vec<Action>) -> Verdict {
        if packet.service != self.config.service && !mutated!(self, ServiceNotChecked) {
            return Verdict::Drop(Reason::WrongService);
        }
        if let PacketKind::Opening { nonce } = packet.kind {
            let opening = Opening { flow: packet.flow, nonce };
            return self.opening(now, packet, opening, out);
        }
        match self.deliver_known(now, packet, out) {
            true => Verdict::Deliver,
            false => self.unknown(now, packet, out),
        }
    }

    /// Marks a packet of a flow that is certainly open; false for any other.
    fn deliver_known(&mut self, now: Millis, packet: &Packet, out: &mut Vec<Action>) -> bool {
        if !self.flows.touch(now, packet) {
            return false;
        }
        self.follow_kind(now, packet, out);
        true
    }

    /// Marks a packet of a flow that nobody else can hold; false if it is not in the table.
    pub(super) fn deliver_certain(
        &mut self,
        now: Millis,
        packet: &Packet,
        out: &mut Vec<Action>,
    ) -> bool {
        if !self.flows.make_certain(now, packet.flow) {
            return false;
        }
        if !self.deliver_known(now, packet, out) {
            self.follow_kind(now, packet, out);
        }
        true
    }

    fn follow_kind(&mut self, now: Millis, packet: &Packet, out: &mut Vec<Action>) {
        match packet.kind {
            PacketKind::Finish => self.close_flow(now, packet, FlowState::Finishing, out),
            PacketKind::Reset => self.close_flow(now, packet, FlowState::Reset, out),
            PacketKind::Opening { .. } | PacketKind::Middle => {}
        }
    }

    /// Passes a packet on, unless it has been passed on too often.
    pub(super) fn forward(&self, hops: u8, to: UpstreamId, passed: Passed) -> Verdict {
        if hops >= limits::MAX_HOPS {
            return Verdict::Drop(Reason::TooManyHops);
        }
        Verdict::Forward { to, passed }
    }

    /// Takes a flow into the table and tells its home and second rank.
    pub(super) fn hold_flow(
        &mut self,
        now: Millis,
        flow: FlowId,
        nonce: Option<u32>,
        answered: bool,
    ) {
        let replaced = self.flows.get(flow).copied().filter(|old| old.nonce != nonce);
        if let Some(old) = replaced {
            self.announce_end(flow, &old);
        }
        let evicted = self.flows.insert(now, flow, nonce, answered);
        if let Some((evicted, entry)) = evicted {
            self.announce_end(evicted, &entry);
        }
        self.redirects.remove(flow);
        if let Some(nonce) = nonce {
            self.announce(Opening { flow, nonce }, true);
        }
    }

    fn opening(
        &mut self,
        now: Millis,
        packet: &Packet,
        opening: Opening,
        out: &mut Vec<Action>,
    ) -> Verdict {
        self.check_pause(now);
        match self.settings.when_in_doubt {
            WhenInDoubt::Admit => self.open_optimistically(now, packet, opening, out),
            WhenInDoubt::Refuse => self.open_at_most_once(now, packet, opening, out),
        }
    }

    fn close_flow(
        &mut self,
        now: Millis,
        packet: &Packet,
        state: FlowState,
        out: &mut Vec<Action>,
    ) {
        let flow = packet.flow;
        if !self.flows.close(now, packet, state) {
            return;
        }
        out.push(Action::Note(Note::Ended(flow)));
        if let Some(entry) = self.flows.get(flow).copied() {
            self.announce_end(flow, &entry);
        }
        // The process may end at any moment: what waits for the next batch would never be told.
        if self.leaving {
            self.send_announcements(now, out);
        }
    }

    /// A packet in the middle of a flow that this agent does not hold. It never reaches the own
    /// upstream unasked: the upstream would reset a flow that lives elsewhere.
    fn unknown(&mut self, now: Millis, packet: &Packet, out: &mut Vec<Action>) -> Verdict {
        if mutated!(self, AdoptAlways) {
            return Verdict::Deliver;
        }
        if packet.passed == Passed::Adopt {
            return self.adopt_if_unsure(now, packet, out);
        }
        let own = self.flows.get(packet.flow).copied();
        if let Some(flow) = own.filter(|flow| flow.may_own(packet.sequence)) {
            return self.uncertain(now, packet, flow, out);
        }
        let redirect = self.redirects.get(now, packet.flow).map(|redirect| redirect.holder);
        let holder = redirect.filter(|holder| self.may_hold_flows(now, *holder));
        // A packet that was already redirected twice follows stale redirects; asking ends that.
        if let Some(holder) = holder.filter(|_| packet.hops < 2) {
            return self.forward(packet.hops, holder, Passed::Redirected);
        }
        self.look_up(now, packet, out)
    }

    /// A packet of a flow that is closing here, or known from hearsay.
    ///
    /// Failure: the caller uses the ports of the closing flow again, and packets of the new flow
    /// reach the agent of the old one. Symptom: the old upstream resets the new flow. A closing
    /// flow is therefore believed only for as long as the caller's ports rest, and only where
    /// the home has sent the packet or is this agent; otherwise all others are asked first. After a reset
    /// they don't rest: the caller may use them at once.
    fn uncertain(
        &mut self,
        now: Millis,
        packet: &Packet,
        flow: Flow,
        out: &mut Vec<Action>,
    ) -> Verdict {
        let is_home = self.home(rank::bucket_of(packet.flow)) == Some(self.config.upstream);
        let from_home = is_home || packet.passed != Passed::Fresh;
        let recent = now.since(flow.last_seen) < limits::CLOSING_CERTAIN_MS;
        let rests = recent && flow.state != FlowState::Reset;
        if flow.hearsay || !from_home || !rests {
            return self.look_up(now, packet, out);
        }
        self.deliver_certain(now, packet, out);
        Verdict::Deliver
    }

    /// Whether a peer may be alive and hold flows; a redirect to another one leads nowhere.
    fn may_hold_flows(&self, now: Millis, id: UpstreamId) -> bool {
        self.peers.get(id).is_some_and(|peer| peer.may_hold_flows(now))
    }

    fn adopt_if_unsure(&mut self, now: Millis, packet: &Packet, out: &mut Vec<Action>) -> Verdict {
        let named = self.flows.get(packet.flow).is_some();
        if !named && !self.may_hold_unknown_flows(now) {
            return Verdict::Drop(Reason::HolderSilent);
        }
        self.adopt(now, packet.flow, out);
        self.deliver_certain(now, packet, out);
        Verdict::Deliver
    }

    /// Takes over a flow that only this agent's earlier life can have held. If it did not, the
    /// upstream itself answers with a reset, and nobody else is harmed.
    pub(super) fn adopt(&mut self, now: Millis, flow: FlowId, out: &mut Vec<Action>) {
        if self.flows.make_certain(now, flow) {
            return;
        }
        // Unless more packets follow, it was a stray one, and is soon forgotten.
        self.hold_flow(now, flow, None, false);
        out.push(Action::Note(Note::Adopted(flow)));
    }
}
