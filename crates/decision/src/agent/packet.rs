//! Packet handling: the fast path for known flows, and the decisions for all other packets.

use super::flows::{Flow, FlowState};
use super::mutant::mutated;
use super::{
    Action, Agent, Forwarding, Packet, PacketKind, Reason, TimelineEntry, Verdict, limits,
};
use crate::keys::{FlowId, UpstreamId};
use crate::message::Opening;
use crate::rank;
use crate::time::Millis;
use crate::view::WhenInDoubt;

impl Agent {
    /// Decides about one packet. The fast path, for a known flow, accesses only the flow table.
    pub fn handle_packet(
        &mut self,
        now: Millis,
        packet: &Packet,
        out: &mut Vec<Action>,
    ) -> Verdict {
        if packet.service != self.config.service && !mutated!(self, ServiceNotChecked) {
            return Verdict::Drop(Reason::WrongService);
        }
        if let PacketKind::Opening { nonce } = packet.kind {
            let opening = Opening { flow: packet.flow, nonce };
            return self.handle_opening(now, packet, opening, out);
        }
        match self.deliver_known(now, packet, out) {
            true => Verdict::Deliver,
            false => self.handle_unknown(now, packet, out),
        }
    }

    /// Records a packet of a flow that is confirmed open. Returns false for any other packet.
    fn deliver_known(&mut self, now: Millis, packet: &Packet, out: &mut Vec<Action>) -> bool {
        if !self.flows.touch(now, packet) {
            return false;
        }
        self.apply_packet_kind(now, packet, out);
        true
    }

    /// Confirms the flow of a packet, which no other agent can hold. Returns false if the flow is
    /// not in the table.
    pub(super) fn deliver_confirmed(
        &mut self,
        now: Millis,
        packet: &Packet,
        out: &mut Vec<Action>,
    ) -> bool {
        if !self.flows.confirm(now, packet.flow) {
            return false;
        }
        if !self.deliver_known(now, packet, out) {
            self.apply_packet_kind(now, packet, out);
        }
        true
    }

    fn apply_packet_kind(&mut self, now: Millis, packet: &Packet, out: &mut Vec<Action>) {
        match packet.kind {
            PacketKind::Finish => self.close_flow(now, packet, FlowState::Finishing, out),
            PacketKind::Reset => self.close_flow(now, packet, FlowState::Reset, out),
            PacketKind::Opening { .. } | PacketKind::Middle => {}
        }
    }

    /// Forwards a packet unless it has been forwarded too often.
    pub(super) fn forward(&self, hops: u8, to: UpstreamId, forwarding: Forwarding) -> Verdict {
        if hops >= limits::MAX_HOPS {
            return Verdict::Drop(Reason::TooManyHops);
        }
        Verdict::Forward { to, forwarding }
    }

    /// Inserts a flow into the table and announces it to its home and second rank.
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

    fn handle_opening(
        &mut self,
        now: Millis,
        packet: &Packet,
        opening: Opening,
        out: &mut Vec<Action>,
    ) -> Verdict {
        self.detect_pause(now);
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
        out.push(Action::Record(TimelineEntry::Ended(flow)));
        if let Some(entry) = self.flows.get(flow).copied() {
            self.announce_end(flow, &entry);
        }
        // The process may exit at any moment, and a note that waits for the next batch would be
        // lost.
        if self.leaving {
            self.send_announcements(now, out);
        }
    }

    /// Handles a packet, not an opening, of a flow that this agent is not known to hold.
    ///
    /// It is not delivered to the local upstream before the other agents have been asked. Otherwise
    /// the upstream would reset a flow that another upstream holds.
    fn handle_unknown(&mut self, now: Millis, packet: &Packet, out: &mut Vec<Action>) -> Verdict {
        if mutated!(self, AdoptAlways) {
            return Verdict::Deliver;
        }
        if packet.forwarding == Forwarding::Adopt {
            return self.adopt_or_drop(now, packet, out);
        }
        let own = self.flows.get(packet.flow).copied();
        if let Some(flow) = own.filter(|flow| flow.may_match_connection(packet.sequence)) {
            return self.deliver_closing_or_look_up(now, packet, flow, out);
        }
        let redirect = self.redirects.get(now, packet.flow).map(|redirect| redirect.holder);
        let holder = redirect.filter(|holder| self.may_hold_flows(now, *holder));
        // A packet that was already forwarded twice has followed stale redirects. A lookup ends
        // that.
        if let Some(holder) = holder.filter(|_| packet.hops < 2) {
            return self.forward(packet.hops, holder, Forwarding::Redirected);
        }
        self.look_up(now, packet, out)
    }

    /// Handles a packet of a flow that is closing here or known only from peers.
    ///
    /// If the caller reuses the ports of the closing flow, packets of the new flow may reach the
    /// agent of the old one, whose upstream would reset the new flow. A closing flow is therefore
    /// trusted only while the caller does not reuse its ports, and only if the home has forwarded
    /// the packet or is this agent. Otherwise all other agents are asked first. After a reset the
    /// caller may reuse its ports at once.
    fn deliver_closing_or_look_up(
        &mut self,
        now: Millis,
        packet: &Packet,
        flow: Flow,
        out: &mut Vec<Action>,
    ) -> Verdict {
        let is_home = self.home(rank::bucket_of(packet.flow)) == Some(self.config.upstream);
        let from_home = is_home || packet.forwarding != Forwarding::Direct;
        let recent = now.since(flow.last_seen) < limits::CLOSING_TRUST_MS;
        let ports_unused = recent && flow.state != FlowState::Reset;
        if flow.peer_reported || !from_home || !ports_unused {
            return self.look_up(now, packet, out);
        }
        self.deliver_confirmed(now, packet, out);
        Verdict::Deliver
    }

    /// Whether a peer may be alive and hold flows. Redirects to other peers are not followed.
    fn may_hold_flows(&self, now: Millis, id: UpstreamId) -> bool {
        self.peers.get(id).is_some_and(|peer| peer.may_hold_flows(now))
    }

    fn adopt_or_drop(&mut self, now: Millis, packet: &Packet, out: &mut Vec<Action>) -> Verdict {
        let known = self.flows.get(packet.flow).is_some();
        if !known && !self.may_hold_unknown_flows(now) {
            return Verdict::Drop(Reason::HolderSilent);
        }
        self.adopt(now, packet.flow, out);
        self.deliver_confirmed(now, packet, out);
        Verdict::Deliver
    }

    /// Adopts a flow that only a previous incarnation of this agent can have held. If it did not,
    /// the upstream answers with a reset, and no other upstream is affected.
    pub(super) fn adopt(&mut self, now: Millis, flow: FlowId, out: &mut Vec<Action>) {
        if self.flows.confirm(now, flow) {
            return;
        }
        // A stray packet creates such an entry as well. It is inserted as unanswered, so that it
        // expires early unless a packet is recorded for it.
        self.hold_flow(now, flow, None, false);
        out.push(Action::Record(TimelineEntry::Adopted(flow)));
    }
}
