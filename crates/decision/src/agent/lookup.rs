//! Lookup of flows that neither the own flow table nor a redirect knows.
//!
//! Every agent that may hold the flow is asked. Only when all of them have denied it may the
//! caller be told that it does not exist: a reset in doubt would break a flow that lives elsewhere.

use super::finding::Finding;
use super::flows::{Flow, are_of_one};
use super::health::UnknownFlows;
use super::redirects::{Evidence, Redirect};
use super::sorted::Sorted;
use super::{Action, Agent, HoldKey, Packet, PacketKind, Passed, Reason, Verdict, limits};
use crate::keys::{FlowId, Incarnation, UpstreamId};
use crate::message::{Knowledge, Message};
use crate::time::Millis;

/// A peer's answer, as received.
#[derive(Clone, Copy, Debug)]
pub(super) struct Answer {
    pub(super) flow: FlowId,
    pub(super) question: u64,
    pub(super) knowledge: Knowledge,
}

/// A packet that waits for a lookup.
#[derive(Clone, Copy, Debug)]
struct Held {
    hold: HoldKey,
    packet: Packet,
}

/// One lookup.
#[derive(Clone, Debug)]
pub(super) struct Lookup {
    question: u64,
    /// Sequence number of the first packet; the answers are about its connection.
    pub(super) sequence: u32,
    held: Vec<Held>,
    /// Peers in sorted order with what they have said.
    pub(super) answers: Vec<(UpstreamId, Option<Knowledge>)>,
    pub(super) began_at: Millis,
    deadline: Millis,
    resend_at: Millis,
}

/// All lookups that wait for answers.
pub(super) type LookupTable = Sorted<FlowId, Lookup>;

/// Bounds the rate of lookups.
#[derive(Debug, Default)]
pub(super) struct TokenBucket {
    tokens: u64,
    filled_at: Millis,
}

impl Agent {
    /// Holds the packet and asks around.
    pub(super) fn look_up(
        &mut self,
        now: Millis,
        packet: &Packet,
        out: &mut Vec<Action>,
    ) -> Verdict {
        self.saw_version(now, packet.view, out);
        if let Some(lookup) = self.lookups.get(packet.flow) {
            if !are_of_one(lookup.sequence, packet.sequence) {
                return Verdict::Drop(Reason::HolderSilent);
            }
            if lookup.held.len() >= limits::MAX_HELD_PER_LOOKUP {
                return Verdict::Drop(Reason::Overload);
            }
            return self.hold_for_lookup(packet);
        }
        if self.lookups.len() >= limits::MAX_LOOKUPS || !self.lookup_tokens.take(now) {
            return self.without_lookup(now, packet, out);
        }
        let lookup = self.new_lookup(now, packet.sequence);
        if let Some(finding) = self.finding(now, packet.flow, &lookup, false) {
            return self.apply(now, packet, finding, out);
        }
        self.ask(packet.flow, &lookup, false, out);
        self.lookups.insert(packet.flow, lookup);
        self.hold_for_lookup(packet)
    }

    /// Too many lookups: hearsay has to do. Of a flow that was reset, only the next one's packets matter.
    fn without_lookup(&mut self, now: Millis, packet: &Packet, out: &mut Vec<Action>) -> Verdict {
        if self.was_reset(packet.flow) {
            return Verdict::Drop(Reason::Overload);
        }
        let own = self.own_flow(packet.flow, packet.sequence).is_some();
        match own && self.deliver_certain(now, packet, out) {
            true => Verdict::Deliver,
            false => Verdict::Drop(Reason::Overload),
        }
    }

    pub(super) fn answered(
        &mut self,
        now: Millis,
        from: UpstreamId,
        Answer { flow, question, knowledge }: Answer,
        out: &mut Vec<Action>,
    ) {
        let Some(lookup) = self.lookups.get_mut(flow) else { return };
        if lookup.question != question {
            return;
        }
        if let Ok(index) = lookup.answers.binary_search_by_key(&from, |(id, _)| *id) {
            lookup.answers[index].1 = Some(knowledge);
        }
        self.conclude(now, flow, out);
    }

    /// Ends lookups whose time is over and repeats the questions of the others.
    pub(super) fn tend_lookups(&mut self, now: Millis, out: &mut Vec<Action>) {
        let due: Vec<FlowId> = self
            .lookups
            .iter()
            .filter(|(_, lookup)| now >= lookup.deadline || now >= lookup.resend_at)
            .map(|(flow, _)| flow)
            .collect();
        for flow in due {
            self.conclude(now, flow, out);
            let Some(lookup) = self.lookups.get_mut(flow) else { continue };
            lookup.resend_at = now.after(limits::RESEND_MS);
            let lookup = lookup.clone();
            self.ask(flow, &lookup, true, out);
        }
    }

    fn new_lookup(&mut self, now: Millis, sequence: u32) -> Lookup {
        self.next_question += 1;
        Lookup {
            question: self.next_question,
            sequence,
            held: Vec::new(),
            answers: self
                .peers
                .iter()
                .filter(|(_, peer)| peer.may_hold_flows(now))
                .map(|(id, _)| (id, None))
                .collect(),
            began_at: now,
            deadline: now.after(limits::LOOKUP_WAIT_MS),
            resend_at: now.after(limits::RESEND_MS),
        }
    }

    fn hold_for_lookup(&mut self, packet: &Packet) -> Verdict {
        let hold = self.new_hold();
        let held = Held { hold, packet: *packet };
        if let Some(lookup) = self.lookups.get_mut(packet.flow) {
            lookup.held.push(held);
        }
        Verdict::Hold(hold)
    }

    /// Asks those that have not answered; if they were asked before, also as the last release does.
    fn ask(&self, flow: FlowId, lookup: &Lookup, again: bool, out: &mut Vec<Action>) {
        let Lookup { question, sequence, .. } = *lookup;
        let silent = lookup.answers.iter().filter(|(_, answer)| answer.is_none());
        for (to, _) in silent {
            let message = Message::AskAbout { flow, question, sequence };
            out.push(Action::Send { to: *to, message });
            if again {
                out.push(Action::Send { to: *to, message: Message::Ask { flow, question } });
            }
        }
    }

    /// What this agent knows of the connection that a packet with this sequence number belongs to.
    pub(super) fn knowledge(&self, now: Millis, flow: FlowId, sequence: u32) -> Knowledge {
        match self.own_flow(flow, sequence) {
            Some(known) if known.is_certainly_open() => return Knowledge::Mine,
            Some(known) if known.hearsay => return Knowledge::HeldBy(self.config.upstream),
            Some(_) => return Knowledge::Closing,
            None => {}
        }
        let me = self.config.upstream;
        match self.redirects.get(now, flow).filter(|redirect| redirect.holder != me) {
            Some(redirect) if !self.may_hold_unknown_flows(now) || is_told(redirect, sequence) => {
                Knowledge::HeldBy(redirect.holder)
            }
            _ if self.may_hold_unknown_flows(now) => Knowledge::Unsure,
            _ => Knowledge::NotMine,
        }
    }

    /// The same, with what the own upstream says of flows that this agent does not know.
    pub(super) fn knowledge_told(&self, now: Millis, flow: FlowId, sequence: u32) -> Knowledge {
        match (self.knowledge(now, flow, sequence), self.unknown_flows()) {
            (Knowledge::Unsure, Some(UnknownFlows::Present)) => Knowledge::Likely,
            (Knowledge::Unsure, Some(UnknownFlows::Absent)) => Knowledge::Unlikely,
            (knowledge, _) => knowledge,
        }
    }

    /// The flow in the table, unless it is another connection on the same ports.
    pub(super) fn own_flow(&self, flow: FlowId, sequence: u32) -> Option<&Flow> {
        self.flows.get(flow).filter(|known| known.may_own(sequence))
    }

    /// Ends a lookup if it has found something or its time is over.
    fn conclude(&mut self, now: Millis, flow: FlowId, out: &mut Vec<Action>) {
        let Some(lookup) = self.lookups.get(flow) else { return };
        let over = now >= lookup.deadline;
        let Some(finding) = self.finding(now, flow, lookup, over) else { return };
        let Some(lookup) = self.lookups.remove(flow) else { return };
        if let Finding::Holder(holder) = finding {
            if self.flows.get(flow).is_some_and(|known| !known.is_certainly_open()) {
                self.flows.remove(flow);
            }
            self.remember_found(now, flow, holder, &lookup);
        }
        for (index, held) in lookup.held.iter().enumerate() {
            // The denials are older than the packets that joined later: the flow may have been
            // opened in between, so these are left to the caller's retransmission.
            let denied_before = index > 0 && finding == Finding::Nobody;
            let finding = if denied_before { Finding::Doubt } else { finding };
            let verdict = self.apply(now, &held.packet, finding, out);
            out.push(Action::Resolve { hold: held.hold, verdict });
        }
    }

    fn apply(
        &mut self,
        now: Millis,
        packet: &Packet,
        finding: Finding,
        out: &mut Vec<Action>,
    ) -> Verdict {
        let Packet { flow, kind, hops, .. } = *packet;
        match finding {
            Finding::Holder(holder) => self.forward(hops, holder, Passed::Redirected),
            Finding::Only(peer) => self.forward(hops, peer, Passed::Adopt),
            Finding::OnlyMe => {
                self.adopt(now, flow, out);
                self.deliver_certain(now, packet, out);
                Verdict::Deliver
            }
            Finding::Older => Verdict::Deliver,
            // A reset is never answered with a reset.
            Finding::Nobody if kind == PacketKind::Reset => Verdict::Drop(Reason::UnknownFlow),
            Finding::Nobody => Verdict::Refuse(Reason::UnknownFlow),
            Finding::Doubt => Verdict::Drop(Reason::HolderSilent),
        }
    }

    /// Only a holder's own word is remembered; hearsay would keep sending packets the long way.
    fn remember_found(&mut self, now: Millis, flow: FlowId, holder: UpstreamId, lookup: &Lookup) {
        if !lookup.answers.contains(&(holder, Some(Knowledge::Mine))) {
            return;
        }
        let redirect = Redirect {
            holder,
            life: Incarnation(0),
            nonce: None,
            opened_at: Millis(0),
            evidence: Evidence::Found,
            closing: false,
            expires_at: now.after(limits::REDIRECT_TTL_MS),
        };
        self.redirects.insert(now, flow, redirect);
    }
}

/// Whether the holder itself has said that it has the flow open, and not a connection that may be an older one
/// on the ports.
///
/// The holder's word is newer than anything that an earlier life of the asked agent can have taken.
fn is_told(redirect: &Redirect, sequence: u32) -> bool {
    let same = redirect.nonce.is_some_and(|nonce| are_of_one(nonce, sequence));
    redirect.evidence == Evidence::Announced && !redirect.closing && same
}

impl TokenBucket {
    fn take(&mut self, now: Millis) -> bool {
        let earned = now.since(self.filled_at) * limits::LOOKUPS_PER_SECOND / 1_000;
        if earned > 0 {
            self.tokens = (self.tokens + earned).min(limits::LOOKUPS_PER_SECOND);
            self.filled_at = now;
        }
        let granted = self.tokens > 0;
        self.tokens -= u64::from(granted);
        granted
    }

    /// A full bucket.
    pub(super) fn full(now: Millis) -> Self {
        Self { tokens: limits::LOOKUPS_PER_SECOND, filled_at: now }
    }
}
