//! Handover at a planned shutdown, after which the agent's next incarnation knows all flows of the
//! upstream.
//!
//! A leaving agent sends `HandedOver` once every peer that is up has acknowledged all
//! announcements; from then on it takes no flow. It may also know flows of agents that are
//! unresponsive at that time and cannot report them themselves, so its peers ask it for these. The
//! next incarnation learns from its peers that the previous one has handed over.

use super::flows::{Flow, FlowState};
use super::peers::Peer;
use super::relearn::Recovery;
use super::{Action, Agent, limits};
use crate::keys::{Incarnation, UpstreamId};
use crate::message::{HandedOver, Message, PreviousIncarnation};
use crate::time::Millis;

/// State of a leaving agent's handover.
#[derive(Debug, Default)]
pub(super) struct Handover {
    /// When `HandedOver` was last sent; from the first time on the agent takes no flow.
    last_sent_at: Option<Millis>,
    /// How often a peer became suspected.
    suspected_count: u32,
}

impl Agent {
    /// Whether one more flow can be taken.
    pub(super) fn can_take_flow(&self) -> bool {
        self.flows.has_room() && self.handover.last_sent_at.is_none()
    }

    pub(super) fn count_suspected_peer(&mut self) {
        self.handover.suspected_count = self.handover.suspected_count.wrapping_add(1);
    }

    /// Sends `HandedOver` once all flows are announced, and repeats it until the process ends.
    ///
    /// An agent that may hold flows that it does not know cannot send it.
    pub(super) fn send_handover(&mut self, now: Millis, out: &mut Vec<Action>) {
        let recently_sent = self
            .handover
            .last_sent_at
            .is_some_and(|at| now.since(at) < limits::ANNOUNCE_INTERVAL_MS);
        if !self.leaving
            || recently_sent
            || self.may_hold_unknown_flows(now)
            || !self.is_fully_announced()
        {
            return;
        }
        self.handover.last_sent_at = Some(now);
        let targets = self.handover_targets();
        let peer_timeouts = self.handover.suspected_count;
        let incarnation = self.config.incarnation;
        for (to, _) in self.peers.iter().filter(|(_, peer)| !peer.suspected) {
            let informed_agents = if targets.contains(&to) { targets.len() as u32 } else { 0 };
            let state = HandedOver { peer_timeouts, informed_agents };
            out.push(Action::Send { to, message: Message::HandedOver { incarnation, state } });
        }
    }

    /// Agents that are up and receive announcements for some bucket, sorted.
    fn handover_targets(&self) -> Vec<UpstreamId> {
        let targets = self.announce_targets.iter().flatten().flatten();
        let up = |id: &&UpstreamId| self.peers.get(**id).is_some_and(|peer| !peer.suspected);
        let mut receivers: Vec<UpstreamId> = targets.filter(up).copied().collect();
        receivers.sort_unstable();
        receivers.dedup();
        receivers
    }

    /// Whether no claim or lookup is pending and all open flows are announced and acknowledged. A
    /// flow without a known opening cannot be announced.
    fn is_fully_announced(&self) -> bool {
        let nothing_pending = self.pending.len() == 0 && self.lookups.len() == 0;
        let unannounced = |flow: &Flow| flow.state == FlowState::Open && !flow.is_announced();
        nothing_pending
            && self.is_all_acknowledged()
            && !self.flows.iter().any(|(_, flow)| unannounced(flow))
    }

    /// Whether every peer that is up has acknowledged all announcements.
    pub(super) fn is_all_acknowledged(&self) -> bool {
        self.peers.iter().all(|(_, peer)| peer.suspected || peer.outbox.len() == 0)
    }

    /// Records that a peer has handed over. If it suspects more agents than it did at its last
    /// message, asks it for the flows that it knows of theirs.
    pub(super) fn handover_received(
        &mut self,
        now: Millis,
        from: UpstreamId,
        (incarnation, state): (Incarnation, HandedOver),
        out: &mut Vec<Action>,
    ) {
        if !self.observe_incarnation(now, from, incarnation) {
            return;
        }
        let Some(peer) = self.peers.get_mut(from) else { return };
        let before = peer.handed_over.filter(|(known, _)| *known == incarnation);
        let known_timeouts = before.map_or(0, |(_, known)| known.peer_timeouts);
        peer.handed_over = Some((incarnation, state));
        if state.peer_timeouts > known_timeouts {
            peer.relearn_cursor.restart();
            self.request_page(now, from, out);
        }
    }

    /// What this agent knows of the previous incarnation of `from`.
    pub(super) fn previous_incarnation_state(&self, from: UpstreamId) -> PreviousIncarnation {
        let Some(peer) = self.peers.get(from) else { return PreviousIncarnation::default() };
        let handed_over = peer
            .handed_over
            .filter(|(incarnation, _)| Some(*incarnation) == peer.previous_incarnation);
        PreviousIncarnation {
            incarnation: peer.previous_incarnation,
            handed_over: handed_over.map(|(_, state)| state),
            resumed: self.recovery == Recovery::Resumed,
        }
    }

    pub(super) fn previous_incarnation_reported(
        &mut self,
        from: UpstreamId,
        incarnation: Incarnation,
        reported: PreviousIncarnation,
    ) {
        if incarnation != self.config.incarnation {
            return;
        }
        let Some(peer) = self.peers.get_mut(from) else { return };
        peer.relearn_cursor.own_previous_incarnation = Some(reported);
        self.check_resumed();
    }

    /// Marks the flow table as complete if the previous incarnation has handed over and peers have
    /// reported all of its flows.
    ///
    /// Every flow was acknowledged by two of the peers that receive announcements, or by the only
    /// one. If all of them but one have reported what they know, no flow is missing.
    pub(super) fn check_resumed(&mut self) {
        if matches!(self.recovery, Recovery::Complete | Recovery::Resumed) {
            return;
        }
        let Some((last, state)) = self.last_handover() else { return };
        let complete_peer = |peer: &Peer| {
            peer.relearn_cursor.done && peer.relearn_cursor.covers_handover(last, state)
        };
        let complete = self.peers.iter().filter(|(_, peer)| complete_peer(peer)).count();
        if state.informed_agents > 0
            && complete > 0
            && complete + 1 >= state.informed_agents as usize
        {
            self.recovery = Recovery::Resumed;
        }
    }

    /// Whether the previous incarnation has handed over, and this peer knows all that it should of
    /// that incarnation's flows.
    pub(super) fn peer_covers_handover(&self, id: UpstreamId) -> bool {
        let cursor = self.peers.get(id).map(|peer| &peer.relearn_cursor);
        let last = self.last_handover();
        cursor.zip(last).is_some_and(|(cursor, (last, state))| cursor.covers_handover(last, state))
    }

    /// The previous incarnation and the newest handover state that it sent, as far as the peers
    /// know.
    fn last_handover(&self) -> Option<(Incarnation, HandedOver)> {
        let reports = || {
            self.peers.iter().filter_map(|(_, peer)| peer.relearn_cursor.own_previous_incarnation)
        };
        let last = reports().filter_map(|reported| reported.incarnation).max()?;
        let of_last = reports().filter(|reported| reported.incarnation == Some(last));
        let state = of_last.filter_map(|reported| reported.handed_over).max()?;
        Some((last, state))
    }
}
