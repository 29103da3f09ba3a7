//! Announcements: every holder tells the first two ranks of a flow's bucket that it holds it.

use super::flows::Flow;
use super::home::buckets;
use super::mutant::mutated;
use super::outbox;
use super::{Action, Agent, limits};
use crate::keys::{BucketIndex, FlowId, Incarnation, UpstreamId, Version};
use crate::message::{FlowNote, Message, Opening};
use crate::rank;
use crate::time::Millis;

/// Agents to which the flows of a bucket are announced.
pub(super) type Targets = [Option<UpstreamId>; 2];

impl Agent {
    /// Queues a change of the flow table for the agents that must know it.
    pub(super) fn announce(&mut self, opening: Opening, open: bool) {
        for target in self.targets_of(opening.flow).into_iter().flatten() {
            if let Some(peer) = self.peers.get_mut(target) {
                peer.outbox.push(outbox::Pending { opening, open });
            }
        }
    }

    /// Queues the end of a flow for all who may have been told of it.
    ///
    /// A peer that an earlier life had told may name the flow at the next restart. What a leaving agent has
    /// handed over, its peers tell one another.
    pub(super) fn announce_end(&mut self, flow: FlowId, entry: &Flow) {
        let opening = entry.opening(flow);
        if !entry.relearned && !self.leaving {
            return self.announce(opening, false);
        }
        for (_, peer) in self.peers.iter_mut() {
            peer.outbox.push(outbox::Pending { opening, open: false });
        }
    }

    /// Sends what is due, or everything that waits if this agent leaves.
    pub(super) fn send_announcements(&mut self, now: Millis, out: &mut Vec<Action>) {
        let overflowed: Vec<UpstreamId> = self
            .peers
            .iter_mut()
            .filter_map(|(id, peer)| peer.outbox.take_overflow().then_some(id))
            .collect();
        for id in overflowed {
            self.announce_all(id);
        }
        let ids: Vec<UpstreamId> = self.peers.iter().map(|(id, _)| id).collect();
        for id in ids {
            self.send_announcement(now, id, out);
        }
    }

    /// Makes the next batch for a peer due at once.
    pub(super) fn announce_hurry(&mut self, to: UpstreamId) {
        if let Some(peer) = self.peers.get_mut(to) {
            peer.outbox.hurry();
        }
    }

    /// Tells a peer about all flows that it must know.
    pub(super) fn announce_all(&mut self, to: UpstreamId) {
        if mutated!(self, RedirectsNotReannounced) {
            return;
        }
        let openings = self.openings_for(|targets| targets.contains(&Some(to)));
        let Some(peer) = self.peers.get_mut(to) else { return };
        peer.outbox.restart();
        for opening in openings {
            peer.outbox.push(outbox::Pending { opening, open: true });
        }
    }

    /// Works out anew who must know the flows, and tells those who have not been told.
    ///
    /// Only agents that are up count: if a home and the next rank leave or die together, there
    /// are still two that know its flows, and one of them is home now.
    pub(super) fn retarget(&mut self) {
        let targets: Vec<Targets> = buckets().map(|bucket| self.find_targets(bucket)).collect();
        let before = std::mem::replace(&mut self.targets, targets.clone());
        if before == targets || mutated!(self, RedirectsNotReannounced) {
            return;
        }
        for (bucket, now) in buckets().zip(targets) {
            let known = before.get(usize::from(bucket.0)).copied().unwrap_or_default();
            let added: Vec<UpstreamId> =
                now.into_iter().flatten().filter(|id| !known.contains(&Some(*id))).collect();
            let dropped: Vec<UpstreamId> =
                known.into_iter().flatten().filter(|id| !now.contains(&Some(*id))).collect();
            if !added.is_empty() {
                self.announce_bucket(bucket, &added, true);
            }
            // Whoever is not told any more must not remember for long: it would not hear of the end.
            if !dropped.is_empty() {
                self.announce_bucket(bucket, &dropped, false);
            }
        }
    }

    /// Tells every open flow again from time to time, spread over the ticks by bucket.
    pub(super) fn refresh_announcements(&mut self, now: Millis) {
        let period_ms = limits::REFRESH_MS / u64::from(rank::BUCKET_COUNT);
        if now < self.refresh_at || mutated!(self, RedirectsNotReannounced) {
            return;
        }
        self.refresh_at = now.after(period_ms);
        self.refresh_bucket = (self.refresh_bucket + 1) % rank::BUCKET_COUNT;
        let bucket = BucketIndex(self.refresh_bucket);
        let targets = self.targets.get(usize::from(bucket.0)).copied();
        let targets: Vec<UpstreamId> = targets.unwrap_or_default().into_iter().flatten().collect();
        self.announce_bucket(bucket, &targets, true);
    }

    pub(super) fn announced(
        &mut self,
        now: Millis,
        from: UpstreamId,
        (incarnation, sequence): (Incarnation, u64),
        notes: &[FlowNote],
        out: &mut Vec<Action>,
    ) {
        if !self.meet_life(now, from, incarnation) {
            return;
        }
        let Some(peer) = self.peers.get_mut(from) else { return };
        let is_new = sequence > peer.applied_sequence;
        peer.applied_sequence = peer.applied_sequence.max(sequence);
        if is_new {
            peer.last_announcement_at = Some(now);
            notes.iter().for_each(|note| self.take_note(now, (from, incarnation), *note));
        }
        let message = Message::AnnounceAck { incarnation: self.config.incarnation, sequence };
        out.push(Action::Send { to: from, message });
    }

    pub(super) fn announcement_acknowledged(
        &mut self,
        now: Millis,
        from: UpstreamId,
        incarnation: Incarnation,
        sequence: u64,
        out: &mut Vec<Action>,
    ) {
        if !self.meet_life(now, from, incarnation) {
            return;
        }
        let leaving = self.leaving;
        if let Some(peer) = self.peers.get_mut(from) {
            peer.outbox.acknowledge(sequence);
            if leaving {
                peer.outbox.hurry();
            }
        }
        self.send_announcement(now, from, out);
    }

    /// Notes which life of a peer is speaking; false for a life that is over.
    ///
    /// A new life has lost its redirects, so it is told all flows again.
    pub(super) fn meet_life(&mut self, now: Millis, id: UpstreamId, life: Incarnation) -> bool {
        let Some(peer) = self.peers.get_mut(id) else { return false };
        match peer.incarnation {
            Some(known) if known > life => return false,
            Some(known) if known == life => return true,
            _ => {}
        }
        let is_restart = peer.incarnation.is_some();
        peer.previous_heartbeat = peer.incarnation.zip(peer.last_heartbeat_at.take());
        peer.previous_incarnation = peer.incarnation;
        peer.incarnation = Some(life);
        peer.incarnation_seen_at = now;
        peer.applied_sequence = 0;
        peer.view = Version(0);
        if is_restart {
            peer.met_before = true;
            peer.heartbeat = None;
            self.announce_all(id);
        }
        true
    }

    fn send_announcement(&mut self, now: Millis, to: UpstreamId, out: &mut Vec<Action>) {
        let leaving = self.leaving;
        let Some(peer) = self.peers.get_mut(to) else { return };
        // A retired agent that has long been silent is gone: it would be sent the same batch for as
        // long as its entry is listed. If it speaks again, what waits for it is sent.
        if !peer.may_hold_flows(now) {
            return;
        }
        let period_ms = match (peer.suspected, leaving) {
            (true, _) => limits::ANNOUNCE_SUSPECTED_MS,
            (false, true) => limits::RESEND_MS,
            (false, false) => limits::ANNOUNCE_MS,
        };
        let Some((sequence, batch)) = peer.outbox.due(now, period_ms) else { return };
        let notes = batch.into_iter().map(|pending| self.note(now, pending)).collect();
        let incarnation = self.config.incarnation;
        let message = Message::Announce { incarnation, sequence, notes };
        out.push(Action::Send { to, message });
    }

    fn note(&self, now: Millis, pending: outbox::Pending) -> FlowNote {
        let flow = self.flows.get(pending.opening.flow);
        let flow = flow.filter(|flow| flow.nonce == Some(pending.opening.nonce));
        let age_ms = flow.map_or(0, |flow| now.since(flow.opened_at));
        let age_ms = u32::try_from(age_ms).unwrap_or(u32::MAX);
        FlowNote { opening: pending.opening, open: pending.open, age_ms }
    }

    fn take_note(&mut self, now: Millis, from: (UpstreamId, Incarnation), note: FlowNote) {
        if mutated!(self, RedirectsForgotten) {
            return;
        }
        if !note.open {
            self.redirects.close(now, from.0, note.opening);
            return;
        }
        // Its holder's own word outweighs hearsay, and a flow that is closing here.
        match self.flows.get(note.opening.flow) {
            Some(flow) if flow.is_certainly_open() => return,
            Some(flow) if !flow.hearsay && flow.nonce == Some(note.opening.nonce) => return,
            Some(_) => self.flows.remove(note.opening.flow),
            None => None,
        };
        let opened_at = Millis(now.0.saturating_sub(u64::from(note.age_ms)));
        self.redirects.confirm(now, from, note.opening, opened_at);
    }

    fn announce_bucket(&mut self, bucket: BucketIndex, to: &[UpstreamId], open: bool) {
        for opening in self.openings_in(bucket) {
            for id in to {
                if let Some(peer) = self.peers.get_mut(*id) {
                    peer.outbox.push(outbox::Pending { opening, open });
                }
            }
        }
    }

    fn openings_in(&self, bucket: BucketIndex) -> Vec<Opening> {
        self.open_flow_ids()
            .filter(|(flow, _)| rank::bucket_of(*flow) == bucket)
            .map(|(_, opening)| opening)
            .collect()
    }

    fn openings_for(&self, wanted: impl Fn(Targets) -> bool) -> Vec<Opening> {
        self.open_flow_ids()
            .filter(|(flow, _)| wanted(self.targets_of(*flow)))
            .map(|(_, opening)| opening)
            .collect()
    }

    fn open_flow_ids(&self) -> impl Iterator<Item = (FlowId, Opening)> + '_ {
        let open = self.flows.iter().filter(|(_, flow)| flow.is_announced());
        open.map(|(id, flow)| (id, flow.opening(id)))
    }

    /// The first two ranks without this agent, as far as possible of those that are up.
    fn find_targets(&self, bucket: BucketIndex) -> Targets {
        let others = || self.ranking(bucket).filter(|id| *id != self.config.upstream);
        let up = others().filter(|id| self.is_up(*id));
        let mut found = up.chain(others().filter(|id| !self.is_up(*id)));
        [found.next(), found.next()]
    }

    fn targets_of(&self, flow: FlowId) -> Targets {
        let bucket = rank::bucket_of(flow);
        self.targets.get(usize::from(bucket.0)).copied().unwrap_or_default()
    }
}
