//! Lookup of flows that are neither in the flow table nor in the redirect table.
//!
//! Every agent that may hold the flow is asked. Only if all of them deny it may the caller receive
//! a reset: a premature reset would break a flow that another upstream holds.

use super::finding::Finding;
use super::flows::{Flow, may_share_connection};
use super::health::UnknownFlows;
use super::redirects::{Evidence, Redirect};
use super::sorted::SortedMap;
use super::{Action, Agent, Forwarding, HoldKey, Packet, PacketKind, Reason, Verdict, limits};
use crate::keys::{FlowId, Incarnation, UpstreamId};
use crate::message::{Knowledge, Message};
use crate::time::Millis;

/// An answer as received from a peer.
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

/// A lookup in progress.
#[derive(Clone, Debug)]
pub(super) struct Lookup {
    question: u64,
    /// Sequence number of the first packet. The answers apply to its connection.
    pub(super) sequence: u32,
    held: Vec<Held>,
    /// Peers in sorted order with their answers, `None` until they answer.
    pub(super) answers: Vec<(UpstreamId, Option<Knowledge>)>,
    pub(super) started_at: Millis,
    deadline: Millis,
    resend_at: Millis,
}

/// Lookups that wait for answers, by flow.
pub(super) type LookupTable = SortedMap<FlowId, Lookup>;

/// Token bucket that bounds the rate of lookups.
#[derive(Debug, Default)]
pub(super) struct TokenBucket {
    tokens: u64,
    filled_at: Millis,
}

impl Agent {
    /// Holds the packet and asks the peers for its flow. Decides at once if no answer is needed.
    pub(super) fn look_up(
        &mut self,
        now: Millis,
        packet: &Packet,
        out: &mut Vec<Action>,
    ) -> Verdict {
        self.observe_version(now, packet.view, out);
        if let Some(lookup) = self.lookups.get(packet.flow) {
            if !may_share_connection(lookup.sequence, packet.sequence) {
                return Verdict::Drop(Reason::HolderSilent);
            }
            if lookup.held.len() >= limits::MAX_HELD_PER_LOOKUP {
                return Verdict::Drop(Reason::Overload);
            }
            return self.hold_for_lookup(packet);
        }
        if self.lookups.len() >= limits::MAX_LOOKUPS || !self.lookup_tokens.take(now) {
            return self.decide_without_lookup(now, packet, out);
        }
        let lookup = self.new_lookup(now, packet.sequence);
        if let Some(finding) = self.evaluate_answers(now, packet.flow, &lookup, false) {
            return self.apply_finding(now, packet, finding, out);
        }
        self.ask(packet.flow, &lookup, false, out);
        self.lookups.insert(packet.flow, lookup);
        self.hold_for_lookup(packet)
    }

    /// Decides about a packet if too many lookups are in progress. The entry in the flow table
    /// suffices then, even if it is closing or known only from peers. If it was reset, the packet
    /// is dropped, since it may belong to the next flow on the same ports.
    fn decide_without_lookup(
        &mut self,
        now: Millis,
        packet: &Packet,
        out: &mut Vec<Action>,
    ) -> Verdict {
        if self.was_reset(packet.flow) {
            return Verdict::Drop(Reason::Overload);
        }
        let own = self.own_flow(packet.flow, packet.sequence).is_some();
        match own && self.deliver_confirmed(now, packet, out) {
            true => Verdict::Deliver,
            false => Verdict::Drop(Reason::Overload),
        }
    }

    pub(super) fn answer_received(
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

    /// Ends lookups that have timed out and repeats the questions of others that are due.
    pub(super) fn poll_lookups(&mut self, now: Millis, out: &mut Vec<Action>) {
        let due: Vec<FlowId> = self
            .lookups
            .iter()
            .filter(|(_, lookup)| now >= lookup.deadline || now >= lookup.resend_at)
            .map(|(flow, _)| flow)
            .collect();
        for flow in due {
            self.conclude(now, flow, out);
            let Some(lookup) = self.lookups.get_mut(flow) else { continue };
            lookup.resend_at = now.after(limits::RESEND_INTERVAL_MS);
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
            started_at: now,
            deadline: now.after(limits::LOOKUP_TIMEOUT_MS),
            resend_at: now.after(limits::RESEND_INTERVAL_MS),
        }
    }

    fn hold_for_lookup(&mut self, packet: &Packet) -> Verdict {
        let hold = self.next_hold_key();
        let held = Held { hold, packet: *packet };
        if let Some(lookup) = self.lookups.get_mut(packet.flow) {
            lookup.held.push(held);
        }
        Verdict::Hold(hold)
    }

    /// Asks the peers that have not answered. A repeated question is also sent in the form of the
    /// previous release.
    fn ask(&self, flow: FlowId, lookup: &Lookup, again: bool, out: &mut Vec<Action>) {
        let Lookup { question, sequence, .. } = *lookup;
        let unanswered = lookup.answers.iter().filter(|(_, answer)| answer.is_none());
        for (to, _) in unanswered {
            let message = Message::AskAbout { flow, question, sequence };
            out.push(Action::Send { to: *to, message });
            if again {
                out.push(Action::Send { to: *to, message: Message::Ask { flow, question } });
            }
        }
    }

    /// Knowledge of this agent about the connection to which a packet with this sequence number
    /// belongs.
    pub(super) fn knowledge(&self, now: Millis, flow: FlowId, sequence: u32) -> Knowledge {
        match self.own_flow(flow, sequence) {
            Some(known) if known.is_confirmed_open() => return Knowledge::Mine,
            Some(known) if known.peer_reported => return Knowledge::HeldBy(self.config.upstream),
            Some(_) => return Knowledge::Closing,
            None => {}
        }
        let self_id = self.config.upstream;
        match self.redirects.get(now, flow).filter(|redirect| redirect.holder != self_id) {
            Some(redirect)
                if !self.may_hold_unknown_flows(now) || is_announced_open(redirect, sequence) =>
            {
                Knowledge::HeldBy(redirect.holder)
            }
            _ if self.may_hold_unknown_flows(now) => Knowledge::Unsure,
            _ => Knowledge::NotMine,
        }
    }

    /// Like [`Self::knowledge`], refined by the upstream's report of flows that this agent does not
    /// know.
    pub(super) fn knowledge_with_upstream_report(
        &self,
        now: Millis,
        flow: FlowId,
        sequence: u32,
    ) -> Knowledge {
        match (self.knowledge(now, flow, sequence), self.unknown_flows()) {
            (Knowledge::Unsure, Some(UnknownFlows::Present)) => Knowledge::Likely,
            (Knowledge::Unsure, Some(UnknownFlows::Absent)) => Knowledge::Unlikely,
            (knowledge, _) => knowledge,
        }
    }

    /// The entry in the flow table, unless it is for another connection on the same ports.
    pub(super) fn own_flow(&self, flow: FlowId, sequence: u32) -> Option<&Flow> {
        self.flows.get(flow).filter(|known| known.may_match_connection(sequence))
    }

    /// Ends a lookup if its answers suffice or it has timed out.
    fn conclude(&mut self, now: Millis, flow: FlowId, out: &mut Vec<Action>) {
        let Some(lookup) = self.lookups.get(flow) else { return };
        let timed_out = now >= lookup.deadline;
        let Some(finding) = self.evaluate_answers(now, flow, lookup, timed_out) else { return };
        let Some(lookup) = self.lookups.remove(flow) else { return };
        if let Finding::Holder(holder) = finding {
            if self.flows.get(flow).is_some_and(|known| !known.is_confirmed_open()) {
                self.flows.remove(flow);
            }
            self.insert_found_redirect(now, flow, holder, &lookup);
        }
        for (index, held) in lookup.held.iter().enumerate() {
            // The denials may be older than packets that were held later, and the flow may have
            // been opened in between. These packets are dropped, and the caller retransmits.
            let denied_before = index > 0 && finding == Finding::NoHolder;
            let finding = if denied_before { Finding::Undecided } else { finding };
            let verdict = self.apply_finding(now, &held.packet, finding, out);
            out.push(Action::Resolve { hold: held.hold, verdict });
        }
    }

    fn apply_finding(
        &mut self,
        now: Millis,
        packet: &Packet,
        finding: Finding,
        out: &mut Vec<Action>,
    ) -> Verdict {
        let Packet { flow, kind, hops, .. } = *packet;
        match finding {
            Finding::Holder(holder) => self.forward(hops, holder, Forwarding::Redirected),
            Finding::OnlyPeer(peer) => self.forward(hops, peer, Forwarding::Adopt),
            Finding::OnlyThisAgent => {
                self.adopt(now, flow, out);
                self.deliver_confirmed(now, packet, out);
                Verdict::Deliver
            }
            Finding::OlderConnection => Verdict::Deliver,
            // A reset is never answered by a reset.
            Finding::NoHolder if kind == PacketKind::Reset => Verdict::Drop(Reason::UnknownFlow),
            Finding::NoHolder => Verdict::Refuse(Reason::UnknownFlow),
            Finding::Undecided => Verdict::Drop(Reason::HolderSilent),
        }
    }

    /// Inserts a redirect if the holder itself has answered. A redirect from reports of other peers
    /// could keep sending packets by an extra hop.
    fn insert_found_redirect(
        &mut self,
        now: Millis,
        flow: FlowId,
        holder: UpstreamId,
        lookup: &Lookup,
    ) {
        if !lookup.answers.contains(&(holder, Some(Knowledge::Mine))) {
            return;
        }
        let redirect = Redirect {
            holder,
            incarnation: Incarnation(0),
            nonce: None,
            opened_at: Millis(0),
            evidence: Evidence::Found,
            closing: false,
            expires_at: now.after(limits::REDIRECT_TTL_MS),
        };
        self.redirects.insert(now, flow, redirect);
    }
}

/// Whether the holder has announced the flow as open, and for the connection of this sequence
/// number rather than an older one on the same ports.
///
/// Such an announcement is newer than any flow that a previous incarnation of this agent can have
/// accepted.
fn is_announced_open(redirect: &Redirect, sequence: u32) -> bool {
    let same = redirect.nonce.is_some_and(|nonce| may_share_connection(nonce, sequence));
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

    /// Creates a full bucket.
    pub(super) fn full(now: Millis) -> Self {
        Self { tokens: limits::LOOKUPS_PER_SECOND, filled_at: now }
    }
}
