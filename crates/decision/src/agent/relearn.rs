//! After a restart: asking the peers which flows the earlier life held.

use super::health::UnknownFlows;
use super::peers::Peer;
use super::redirects::{Evidence, Redirect};
use super::{Action, Agent, Note, limits};
use crate::keys::{FlowId, Incarnation, UpstreamId};
use crate::message::{Entrusted, Former, HandedOver, Message, Opening};
use crate::time::Millis;
use crate::view::WhenInDoubt;

/// How far one peer has told what it knows.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cursor {
    from: FlowId,
    asked_at: Option<Millis>,
    pub(super) done: bool,
    /// Whether the peer had been told everything before this agent restarted.
    complete: bool,
    /// What the peer has said of this agent's former life.
    pub(super) former: Option<Former>,
}

impl Cursor {
    /// Begins anew with the first page.
    pub(super) fn restart(&mut self) {
        *self = Self { former: self.former, ..Self::default() };
    }

    /// Whether the peer was told all by the life `last`, or has resumed after it and was told by others.
    pub(super) fn covers_handover(&self, last: Incarnation, state: HandedOver) -> bool {
        let former = self.former.unwrap_or_default();
        match former.life == Some(last) {
            true => former.handed_over == Some(state),
            false => former.resumed,
        }
    }
}

/// What a restarted agent knows about its earlier life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Recovery {
    /// There is none, or all of it is known.
    Complete,
    /// It has handed everything over, and all of it was told again.
    Resumed,
    /// Peers are still being asked.
    Relearning,
    /// All that was announced is known; what was not may show up until then.
    AwaitingUnannounced { until: Millis },
}

/// A page, as received.
#[derive(Clone, Debug)]
pub(super) struct Page {
    pub(super) incarnation: Incarnation,
    pub(super) from: FlowId,
    pub(super) openings: Vec<Opening>,
    pub(super) entrusted: Vec<Entrusted>,
    pub(super) next: Option<FlowId>,
    pub(super) complete: bool,
}

impl Agent {
    /// Whether this agent may hold flows that it does not know.
    pub(super) fn may_hold_unknown_flows(&self, now: Millis) -> bool {
        match self.past {
            Recovery::Complete | Recovery::Resumed => false,
            Recovery::Relearning => now.since(self.started_at) < limits::UNSURE_MAX_MS,
            Recovery::AwaitingUnannounced { until } => {
                now < until || self.upstream_reports_more(now)
            }
        }
    }

    /// Whether the upstream reports more flows than this agent knows. The doubt lasts until they are found,
    /// since with another agent in doubt no packet of theirs can be tried here.
    fn upstream_reports_more(&self, now: Millis) -> bool {
        let recently_started = now.since(self.started_at) < limits::UNSURE_MAX_MS;
        recently_started && self.unknown_flows() == Some(UnknownFlows::Present)
    }

    /// Asks peers for their next page, and ends relearning once all have told everything.
    pub(super) fn relearn(&mut self, now: Millis, out: &mut Vec<Action>) {
        match self.past {
            Recovery::Complete | Recovery::Resumed => return,
            Recovery::Relearning => {}
            Recovery::AwaitingUnannounced { .. } if !self.may_hold_unknown_flows(now) => {
                self.past = Recovery::Complete;
                return;
            }
            Recovery::AwaitingUnannounced { .. } => return,
        }
        let ids: Vec<UpstreamId> = self.peers.iter().map(|(id, _)| id).collect();
        for id in ids {
            self.request_page(now, id, out);
        }
        self.check_relearned(now);
    }

    /// Answers a restarted peer with one page of its flows, and of those whose holder is silent or has handed
    /// over.
    ///
    /// Failure: a holder's agent is down, and those that it has told of a flow restart one after the
    /// other. Symptom: nobody can tell it, once it is back, that its upstream has the flow, which hangs.
    /// Telling each restarted agent is enough while one of the three is up at any time.
    pub(super) fn relearn_requested(
        &mut self,
        now: Millis,
        from: UpstreamId,
        incarnation: Incarnation,
        first: FlowId,
        out: &mut Vec<Action>,
    ) {
        if !self.meet_life(now, from, incarnation) {
            return;
        }
        let holder_cannot_answer =
            |id: UpstreamId| self.peers.get(id).is_some_and(Peer::cannot_answer);
        let wanted = |redirect: &Redirect| {
            // An answer to a lookup names no opening. Whoever asked is not told when the flow ends.
            let knows_opening = redirect.nonce.is_some();
            (redirect.holder == from || holder_cannot_answer(redirect.holder))
                && knows_opening
                && !self.never_ran(redirect)
        };
        let (page, next) = self.redirects.page(now, wanted, first);
        let (own, entrusted): (Vec<_>, Vec<_>) =
            page.into_iter().partition(|entry| entry.holder == from);
        let openings = own.into_iter().map(|entry| entry.opening).collect();
        let complete = self.was_complete_before(from);
        let message =
            Message::Former { incarnation, former: self.previous_incarnation_state(from) };
        out.push(Action::Send { to: from, message });
        let message =
            Message::RelearnReply { incarnation, from: first, openings, entrusted, next, complete };
        out.push(Action::Send { to: from, message });
    }

    /// Whether the holder has announced other flows since this one was assigned to it, but not this one, or
    /// has lived on long enough to announce it to those whom it tells.
    ///
    /// A holder announces all that it has taken within a moment.
    fn never_ran(&self, redirect: &Redirect) -> bool {
        let Some(peer) = self.peers.get(redirect.holder) else { return false };
        let due_at = redirect.opened_at.after(limits::ANNOUNCED_WITHIN_MS);
        let outlived_deadline =
            |(incarnation, at): (Incarnation, Millis)| incarnation == redirect.life && at > due_at;
        let announced = peer.last_announcement_at.is_some_and(|at| at > due_at);
        let survived = peer.previous_heartbeat.is_some_and(outlived_deadline);
        let handed_over = peer.has_handed_over(redirect.life);
        redirect.evidence == Evidence::Assigned && (announced || survived || handed_over)
    }

    pub(super) fn relearn_page_received(
        &mut self,
        now: Millis,
        from: UpstreamId,
        page: Page,
        out: &mut Vec<Action>,
    ) {
        if page.incarnation != self.config.incarnation {
            return;
        }
        if self.past != Recovery::Resumed || self.has_full_knowledge(from) {
            self.insert_relearned(now, &page.openings, out);
        }
        self.insert_entrusted(now, &page.entrusted);
        let Some(peer) = self.peers.get_mut(from) else { return };
        let cursor = &mut peer.cursor;
        if cursor.done || cursor.from != page.from {
            return;
        }
        cursor.complete = page.complete;
        cursor.asked_at = None;
        match page.next {
            Some(next) if next > cursor.from => cursor.from = next,
            _ => cursor.done = true,
        }
        self.relearn(now, out);
    }

    /// Takes in what a peer says that this agent's earlier life held.
    ///
    /// Not where every flow is a datagram and a request of its own, which is over once it is
    /// answered; that they ran is recorded in the claims.
    fn insert_relearned(&mut self, now: Millis, openings: &[Opening], out: &mut Vec<Action>) {
        let at_most_once = self.settings.when_in_doubt == WhenInDoubt::Refuse;
        let single = self.settings.only_datagrams && at_most_once;
        if self.past == Recovery::Complete || single {
            return;
        }
        for opening in openings {
            let known = self.flows.get(opening.flow).is_some();
            // An opening that was admitted since the restart is newer than any page.
            let me = self.config.upstream;
            let redirect = self.redirects.get(now, opening.flow);
            let elsewhere = redirect.is_some_and(|redirect| redirect.holder != me);
            if known || elsewhere || !self.flows.has_room() {
                continue;
            }
            self.flows.insert_hearsay(now, *opening);
            out.push(Action::Note(Note::Relearned(opening.flow)));
        }
    }

    fn insert_entrusted(&mut self, now: Millis, entrusted: &[Entrusted]) {
        for entry in entrusted {
            let mine = entry.holder == self.config.upstream;
            if !mine && self.flows.get(entry.opening.flow).is_none() {
                self.redirects.entrust(now, *entry);
            }
        }
    }

    pub(super) fn request_page(&mut self, now: Millis, to: UpstreamId, out: &mut Vec<Action>) {
        let incarnation = self.config.incarnation;
        let Some(peer) = self.peers.get_mut(to) else { return };
        let awaits_reply =
            peer.cursor.asked_at.is_some_and(|at| now.since(at) < limits::RELEARN_RETRY_MS);
        if peer.cursor.done || awaits_reply || !peer.may_hold_flows(now) {
            return;
        }
        peer.cursor.asked_at = Some(now);
        let message = Message::Relearn { incarnation, from: peer.cursor.from };
        out.push(Action::Send { to, message });
    }

    /// Every flow was announced to two agents. If all but one had been told everything before the
    /// restart, at least one of the two was, and has now told it.
    fn check_relearned(&mut self, now: Millis) {
        let asked: Vec<&Peer> = self
            .peers
            .iter()
            .map(|(_, peer)| peer)
            .filter(|peer| peer.may_hold_flows(now))
            .collect();
        let incomplete = asked.iter().filter(|peer| !peer.cursor.complete).count();
        let all_done = asked.iter().all(|peer| peer.cursor.done);
        let alone = asked.is_empty();
        if alone || (all_done && incomplete <= 1) {
            self.past = Recovery::AwaitingUnannounced { until: now.after(limits::DOUBT_MS) };
        }
        self.check_resumed();
    }

    /// Whether this agent had been told the flows of `peer` before that one restarted.
    fn was_complete_before(&self, peer: UpstreamId) -> bool {
        let met_at = self.peers.get(peer).map(|peer| peer.incarnation_seen_at);
        met_at.is_some_and(|met_at| met_at.since(self.started_at) >= limits::RESYNC_MS)
    }
}
