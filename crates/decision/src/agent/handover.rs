//! A planned end hands everything over, so that the next life beside the upstream is in no doubt.
//!
//! A leaving agent says that it has told everything once every peer that is up has acknowledged all
//! announcements; from then on it takes no flow. Of agents that are silent by then it knows flows that they
//! cannot tell themselves: its peers ask for these. The next life hears from its peers that the former
//! one has handed over.

use super::flows::{Flow, FlowState};
use super::peers::Peer;
use super::relearn::Recovery;
use super::{Action, Agent, limits};
use crate::keys::{Incarnation, UpstreamId};
use crate::message::{Former, HandedOver, Message};
use crate::time::Millis;

/// How far a leaving agent has handed over.
#[derive(Debug, Default)]
pub(super) struct Handover {
    /// When it last said so; from the first time on it takes no flow.
    last_sent_at: Option<Millis>,
    /// How often a peer was found silent.
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

    /// Says that everything is told once it is, and again until the process ends.
    ///
    /// An agent that may hold flows unknown to itself can't say so.
    pub(super) fn send_handover(&mut self, now: Millis, out: &mut Vec<Action>) {
        let recently_sent =
            self.handover.last_sent_at.is_some_and(|at| now.since(at) < limits::ANNOUNCE_MS);
        if !self.leaving
            || recently_sent
            || self.may_hold_unknown_flows(now)
            || !self.is_fully_announced()
        {
            return;
        }
        self.handover.last_sent_at = Some(now);
        let targets = self.handover_targets();
        let silences = self.handover.suspected_count;
        let incarnation = self.config.incarnation;
        for (to, _) in self.peers.iter().filter(|(_, peer)| !peer.suspected) {
            let told = if targets.contains(&to) { targets.len() as u32 } else { 0 };
            let state = HandedOver { silences, told };
            out.push(Action::Send { to, message: Message::HandedOver { incarnation, state } });
        }
    }

    /// Agents that are up and are told the flows of some bucket, sorted.
    fn handover_targets(&self) -> Vec<UpstreamId> {
        let targets = self.targets.iter().flatten().flatten();
        let up = |id: &&UpstreamId| self.peers.get(**id).is_some_and(|peer| !peer.suspected);
        let mut receivers: Vec<UpstreamId> = targets.filter(up).copied().collect();
        receivers.sort_unstable();
        receivers.dedup();
        receivers
    }

    /// Whether nothing is under way, and all flows are announced. One without an opening can't be.
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

    /// A peer has handed over. Flows of agents that it finds silent are asked for.
    pub(super) fn handover_received(
        &mut self,
        now: Millis,
        from: UpstreamId,
        (incarnation, state): (Incarnation, HandedOver),
        out: &mut Vec<Action>,
    ) {
        if !self.meet_life(now, from, incarnation) {
            return;
        }
        let Some(peer) = self.peers.get_mut(from) else { return };
        let before = peer.handed_over.filter(|(known, _)| *known == incarnation);
        let silences = before.map_or(0, |(_, known)| known.silences);
        peer.handed_over = Some((incarnation, state));
        if state.silences > silences {
            peer.cursor.restart();
            self.request_page(now, from, out);
        }
    }

    /// What this agent knows of the life of `from` before the present one.
    pub(super) fn previous_incarnation_state(&self, from: UpstreamId) -> Former {
        let Some(peer) = self.peers.get(from) else { return Former::default() };
        let handed_over = peer
            .handed_over
            .filter(|(incarnation, _)| Some(*incarnation) == peer.previous_incarnation);
        Former {
            life: peer.previous_incarnation,
            handed_over: handed_over.map(|(_, state)| state),
            resumed: self.past == Recovery::Resumed,
        }
    }

    pub(super) fn previous_incarnation_reported(
        &mut self,
        from: UpstreamId,
        incarnation: Incarnation,
        reported: Former,
    ) {
        if incarnation != self.config.incarnation {
            return;
        }
        let Some(peer) = self.peers.get_mut(from) else { return };
        peer.cursor.former = Some(reported);
        self.check_resumed();
    }

    /// Ends the doubt if the former life has handed over and its flows are all told.
    ///
    /// Every flow was acknowledged by two of those that are told, or by the only one. If all but one of
    /// them have told it again, none is missing.
    pub(super) fn check_resumed(&mut self) {
        if matches!(self.past, Recovery::Complete | Recovery::Resumed) {
            return;
        }
        let Some((last, state)) = self.last_handover() else { return };
        let complete_peer =
            |peer: &Peer| peer.cursor.done && peer.cursor.covers_handover(last, state);
        let complete = self.peers.iter().filter(|(_, peer)| complete_peer(peer)).count();
        if state.told > 0 && complete > 0 && complete + 1 >= state.told as usize {
            self.past = Recovery::Resumed;
        }
    }

    /// Whether a peer can tell all that it should know of the former life, if that one has handed over.
    pub(super) fn has_full_knowledge(&self, id: UpstreamId) -> bool {
        let cursor = self.peers.get(id).map(|peer| &peer.cursor);
        let last = self.last_handover();
        cursor.zip(last).is_some_and(|(cursor, (last, state))| cursor.covers_handover(last, state))
    }

    /// The former life and the newest that it has said at its end, as far as the peers know.
    fn last_handover(&self) -> Option<(Incarnation, HandedOver)> {
        let reports = || self.peers.iter().filter_map(|(_, peer)| peer.cursor.former);
        let last = reports().filter_map(|former| former.life).max()?;
        let of_last = reports().filter(|former| former.life == Some(last));
        let state = of_last.filter_map(|former| former.handed_over).max()?;
        Some((last, state))
    }
}
