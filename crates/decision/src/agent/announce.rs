//! Announcements: the holder of a flow announces it to the first two ranks of the flow's bucket.

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
    /// Queues the start or end of a flow for the agents to which its bucket is announced.
    pub(super) fn announce(&mut self, opening: Opening, open: bool) {
        for target in self.targets_of(opening.flow).into_iter().flatten() {
            if let Some(peer) = self.peers.get_mut(target) {
                peer.outbox.push(outbox::PendingNote { opening, open });
            }
        }
    }

    /// Queues the end of a flow for all agents that may have a redirect to it.
    ///
    /// A relearned flow may have been announced by a previous incarnation to a peer that this one
    /// does not know of, and the peer would report the flow at the next restart. Flows of a leaving
    /// agent may have been passed on between its peers. In both cases the end is announced to all
    /// peers.
    pub(super) fn announce_end(&mut self, flow: FlowId, entry: &Flow) {
        let opening = entry.opening(flow);
        if !entry.relearned && !self.leaving {
            return self.announce(opening, false);
        }
        for (_, peer) in self.peers.iter_mut() {
            peer.outbox.push(outbox::PendingNote { opening, open: false });
        }
    }

    /// Sends the batches that are due. Rebuilds outboxes that have overflowed.
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
    pub(super) fn expedite_announcements(&mut self, to: UpstreamId) {
        if let Some(peer) = self.peers.get_mut(to) {
            peer.outbox.make_due();
        }
    }

    /// Queues all flows whose bucket is announced to the peer.
    pub(super) fn announce_all(&mut self, to: UpstreamId) {
        if mutated!(self, RedirectsNotReannounced) {
            return;
        }
        let openings = self.openings_for(|targets| targets.contains(&Some(to)));
        let Some(peer) = self.peers.get_mut(to) else { return };
        peer.outbox.clear();
        for opening in openings {
            peer.outbox.push(outbox::PendingNote { opening, open: true });
        }
    }

    /// Recomputes the agents to which flows are announced, and announces the flows to new ones.
    ///
    /// Agents that are up are preferred. If a home and the next rank leave or die together, two
    /// other agents still receive the flows, and one of them is the home now.
    pub(super) fn update_announce_targets(&mut self) {
        let targets: Vec<Targets> = buckets().map(|bucket| self.find_targets(bucket)).collect();
        let before = std::mem::replace(&mut self.announce_targets, targets.clone());
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
            // A former target does not receive the end of the flows, so its redirects must expire
            // soon.
            if !dropped.is_empty() {
                self.announce_bucket(bucket, &dropped, false);
            }
        }
    }

    /// Announces every open flow again periodically, one bucket at a time.
    pub(super) fn refresh_announcements(&mut self, now: Millis) {
        let period_ms = limits::ANNOUNCE_REFRESH_INTERVAL_MS / u64::from(rank::BUCKET_COUNT);
        if now < self.next_refresh_at || mutated!(self, RedirectsNotReannounced) {
            return;
        }
        self.next_refresh_at = now.after(period_ms);
        self.refresh_bucket = (self.refresh_bucket + 1) % rank::BUCKET_COUNT;
        let bucket = BucketIndex(self.refresh_bucket);
        let targets = self.announce_targets.get(usize::from(bucket.0)).copied();
        let targets: Vec<UpstreamId> = targets.unwrap_or_default().into_iter().flatten().collect();
        self.announce_bucket(bucket, &targets, true);
    }

    pub(super) fn announce_received(
        &mut self,
        now: Millis,
        from: UpstreamId,
        (incarnation, sequence): (Incarnation, u64),
        notes: &[FlowNote],
        out: &mut Vec<Action>,
    ) {
        if !self.observe_incarnation(now, from, incarnation) {
            return;
        }
        let Some(peer) = self.peers.get_mut(from) else { return };
        let is_new = sequence > peer.applied_sequence;
        peer.applied_sequence = peer.applied_sequence.max(sequence);
        if is_new {
            peer.last_announcement_at = Some(now);
            notes.iter().for_each(|note| self.apply_note(now, (from, incarnation), *note));
        }
        let message = Message::AnnounceAck { incarnation: self.config.incarnation, sequence };
        out.push(Action::Send { to: from, message });
    }

    pub(super) fn announce_ack_received(
        &mut self,
        now: Millis,
        from: UpstreamId,
        incarnation: Incarnation,
        sequence: u64,
        out: &mut Vec<Action>,
    ) {
        if !self.observe_incarnation(now, from, incarnation) {
            return;
        }
        let leaving = self.leaving;
        if let Some(peer) = self.peers.get_mut(from) {
            peer.outbox.acknowledge(sequence);
            if leaving {
                peer.outbox.make_due();
            }
        }
        self.send_announcement(now, from, out);
    }

    /// Records the incarnation of a peer that has sent a message. Returns false for an older one
    /// than is known.
    ///
    /// A new incarnation has lost its redirects, so all flows are announced to it again.
    pub(super) fn observe_incarnation(
        &mut self,
        now: Millis,
        id: UpstreamId,
        incarnation: Incarnation,
    ) -> bool {
        let Some(peer) = self.peers.get_mut(id) else { return false };
        match peer.incarnation {
            Some(known) if known > incarnation => return false,
            Some(known) if known == incarnation => return true,
            _ => {}
        }
        let is_restart = peer.incarnation.is_some();
        peer.previous_heartbeat = peer.incarnation.zip(peer.last_heartbeat_at.take());
        peer.previous_incarnation = peer.incarnation;
        peer.incarnation = Some(incarnation);
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
        // A retired agent that has not responded for long is gone. Without this check it would be
        // sent the same batch for as long as it is listed. If it responds again, the queued batch
        // is sent.
        if !peer.may_hold_flows(now) {
            return;
        }
        let period_ms = match (peer.suspected, leaving) {
            (true, _) => limits::ANNOUNCE_INTERVAL_SUSPECTED_MS,
            (false, true) => limits::RESEND_INTERVAL_MS,
            (false, false) => limits::ANNOUNCE_INTERVAL_MS,
        };
        let Some((sequence, batch)) = peer.outbox.next_due(now, period_ms) else { return };
        let notes = batch.into_iter().map(|pending| self.note(now, pending)).collect();
        let incarnation = self.config.incarnation;
        let message = Message::Announce { incarnation, sequence, notes };
        out.push(Action::Send { to, message });
    }

    fn note(&self, now: Millis, pending: outbox::PendingNote) -> FlowNote {
        let flow = self.flows.get(pending.opening.flow);
        let flow = flow.filter(|flow| flow.nonce == Some(pending.opening.nonce));
        let age_ms = flow.map_or(0, |flow| now.since(flow.opened_at));
        let age_ms = u32::try_from(age_ms).unwrap_or(u32::MAX);
        FlowNote { opening: pending.opening, open: pending.open, age_ms }
    }

    fn apply_note(&mut self, now: Millis, from: (UpstreamId, Incarnation), note: FlowNote) {
        if mutated!(self, RedirectsForgotten) {
            return;
        }
        if !note.open {
            self.redirects.close(now, from.0, note.opening);
            return;
        }
        // An announcement by the holder takes precedence over a flow that is known here only from
        // peers, and over one that is closing here.
        match self.flows.get(note.opening.flow) {
            Some(flow) if flow.is_confirmed_open() => return,
            Some(flow) if !flow.peer_reported && flow.nonce == Some(note.opening.nonce) => return,
            Some(_) => self.flows.remove(note.opening.flow),
            None => None,
        };
        let opened_at = Millis(now.0.saturating_sub(u64::from(note.age_ms)));
        self.redirects.apply_announcement(now, from, note.opening, opened_at);
    }

    fn announce_bucket(&mut self, bucket: BucketIndex, to: &[UpstreamId], open: bool) {
        for opening in self.openings_in(bucket) {
            for id in to {
                if let Some(peer) = self.peers.get_mut(*id) {
                    peer.outbox.push(outbox::PendingNote { opening, open });
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

    /// The first two ranks other than this agent. Agents that are up come first.
    fn find_targets(&self, bucket: BucketIndex) -> Targets {
        let others = || self.ranking(bucket).filter(|id| *id != self.config.upstream);
        let up = others().filter(|id| self.is_up(*id));
        let mut found = up.chain(others().filter(|id| !self.is_up(*id)));
        [found.next(), found.next()]
    }

    fn targets_of(&self, flow: FlowId) -> Targets {
        let bucket = rank::bucket_of(flow);
        self.announce_targets.get(usize::from(bucket.0)).copied().unwrap_or_default()
    }
}
