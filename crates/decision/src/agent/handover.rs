//! A planned end hands everything over, so that the next life beside the upstream is in no doubt.
//!
//! A leaving agent says that it has told everything once every peer that is up has acknowledged all
//! announcements; from then on it takes no flow. Of agents that are silent by then it knows flows that they
//! cannot tell themselves: its peers ask for these. The next life hears from its peers that the former
//! one has handed over.

use super::flows::{Flow, FlowState};
use super::peers::Peer;
use super::relearn::Past;
use super::{Action, Agent, limits};
use crate::keys::{Incarnation, UpstreamId};
use crate::message::{Former, HandedOver, Message};
use crate::time::Millis;

/// How far a leaving agent has handed over.
#[derive(Debug, Default)]
pub(super) struct Handover {
    /// When it last said so; from the first time on it takes no flow.
    said_at: Option<Millis>,
    /// How often a peer was found silent.
    silences: u32,
}

impl Agent {
    /// Whether one more flow can be taken.
    pub(super) fn can_take_flow(&self) -> bool {
        self.flows.has_room() && self.handover.said_at.is_none()
    }

    pub(super) fn found_silent(&mut self) {
        self.handover.silences = self.handover.silences.wrapping_add(1);
    }

    /// Says that everything is told once it is, and again until the process ends.
    ///
    /// An agent that may hold flows unknown to itself can't say so.
    pub(super) fn hand_over(&mut self, now: Millis, out: &mut Vec<Action>) {
        let waits = self.handover.said_at.is_some_and(|at| now.since(at) < limits::ANNOUNCE_MS);
        if !self.leaving || waits || self.is_unsure(now) || !self.has_told_all() {
            return;
        }
        self.handover.said_at = Some(now);
        let told = self.told();
        let silences = self.handover.silences;
        let incarnation = self.config.incarnation;
        for (to, _) in self.peers.iter().filter(|(_, peer)| !peer.suspected) {
            let told = if told.contains(&to) { told.len() as u32 } else { 0 };
            let state = HandedOver { silences, told };
            out.push(Action::Send { to, message: Message::HandedOver { incarnation, state } });
        }
    }

    /// Agents that are up and are told the flows of some bucket, sorted.
    fn told(&self) -> Vec<UpstreamId> {
        let targets = self.targets.iter().flatten().flatten();
        let up = |id: &&UpstreamId| self.peers.get(**id).is_some_and(|peer| !peer.suspected);
        let mut told: Vec<UpstreamId> = targets.filter(up).copied().collect();
        told.sort_unstable();
        told.dedup();
        told
    }

    /// Whether nothing is under way, and all flows are announced. One without an opening can't be.
    fn has_told_all(&self) -> bool {
        let idle = self.pending.len() == 0 && self.lookups.len() == 0;
        let unannounced = |flow: &Flow| flow.state == FlowState::Open && !flow.is_announced();
        idle && self.is_all_acknowledged() && !self.flows.iter().any(|(_, flow)| unannounced(flow))
    }

    /// Whether every peer that is up has acknowledged all announcements.
    pub(super) fn is_all_acknowledged(&self) -> bool {
        self.peers.iter().all(|(_, peer)| peer.suspected || peer.outbox.len() == 0)
    }

    /// A peer has handed over. Flows of agents that it finds silent are asked for.
    pub(super) fn handed_over_by(
        &mut self,
        now: Millis,
        from: UpstreamId,
        (life, state): (Incarnation, HandedOver),
        out: &mut Vec<Action>,
    ) {
        if !self.meet_life(now, from, life) {
            return;
        }
        let Some(peer) = self.peers.get_mut(from) else { return };
        let before = peer.handed_over.filter(|(known, _)| *known == life);
        let silences = before.map_or(0, |(_, known)| known.silences);
        peer.handed_over = Some((life, state));
        if state.silences > silences {
            peer.cursor.restart();
            self.ask_page(now, from, out);
        }
    }

    /// What this agent knows of the life of `from` before the present one.
    pub(super) fn former_of(&self, from: UpstreamId) -> Former {
        let Some(peer) = self.peers.get(from) else { return Former::default() };
        let handed_over = peer.handed_over.filter(|(life, _)| Some(*life) == peer.former);
        Former {
            life: peer.former,
            handed_over: handed_over.map(|(_, state)| state),
            resumed: self.past == Past::Resumed,
        }
    }

    pub(super) fn former_told(&mut self, from: UpstreamId, incarnation: Incarnation, told: Former) {
        if incarnation != self.config.incarnation {
            return;
        }
        let Some(peer) = self.peers.get_mut(from) else { return };
        peer.cursor.former = Some(told);
        self.check_resumed();
    }

    /// Ends the doubt if the former life has handed over and its flows are all told.
    ///
    /// Every flow was acknowledged by two of those that are told, or by the only one. If all but one of
    /// them have told it again, none is missing.
    pub(super) fn check_resumed(&mut self) {
        if matches!(self.past, Past::Known | Past::Resumed) {
            return;
        }
        let Some((last, state)) = self.last_handover() else { return };
        let told_again = |peer: &Peer| peer.cursor.done && peer.cursor.has_all_of(last, state);
        let complete = self.peers.iter().filter(|(_, peer)| told_again(peer)).count();
        if state.told > 0 && complete > 0 && complete + 1 >= state.told as usize {
            self.past = Past::Resumed;
        }
    }

    /// Whether a peer can tell all that it should know of the former life, if that one has handed over.
    pub(super) fn is_told_all(&self, id: UpstreamId) -> bool {
        let cursor = self.peers.get(id).map(|peer| &peer.cursor);
        let last = self.last_handover();
        cursor.zip(last).is_some_and(|(cursor, (last, state))| cursor.has_all_of(last, state))
    }

    /// The former life and the newest that it has said at its end, as far as the peers know.
    fn last_handover(&self) -> Option<(Incarnation, HandedOver)> {
        let told = || self.peers.iter().filter_map(|(_, peer)| peer.cursor.former);
        let last = told().filter_map(|former| former.life).max()?;
        let of_last = told().filter(|former| former.life == Some(last));
        let state = of_last.filter_map(|former| former.handed_over).max()?;
        Some((last, state))
    }
}
