//! Recovery of the flow table after a restart: the peers are asked which flows the previous
//! incarnation held.

use super::health::UnknownFlows;
use super::peers::Peer;
use super::redirects::{Evidence, Redirect};
use super::{Action, Agent, TimelineEntry, limits};
use crate::keys::{FlowId, Incarnation, UpstreamId};
use crate::message::{Entrusted, HandedOver, Message, Opening, PreviousIncarnation};
use crate::time::Millis;
use crate::view::WhenInDoubt;

/// Progress of reading the flows that one peer knows.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cursor {
    from: FlowId,
    asked_at: Option<Millis>,
    pub(super) done: bool,
    /// Whether the peer knew all flows announced to it before this agent restarted.
    complete: bool,
    /// What the peer has reported about this agent's previous incarnation.
    pub(super) own_previous_incarnation: Option<PreviousIncarnation>,
}

impl Cursor {
    /// Starts again with the first page.
    pub(super) fn restart(&mut self) {
        *self = Self { own_previous_incarnation: self.own_previous_incarnation, ..Self::default() };
    }

    /// Whether the peer received all announcements of the incarnation `last`, or has itself resumed
    /// after a restart and got them from others.
    pub(super) fn covers_handover(&self, last: Incarnation, state: HandedOver) -> bool {
        let reported = self.own_previous_incarnation.unwrap_or_default();
        match reported.incarnation == Some(last) {
            true => reported.handed_over == Some(state),
            false => reported.resumed,
        }
    }
}

/// Whether a page that was asked for at `asked_at` may still arrive.
pub(super) fn awaits_page(now: Millis, asked_at: Option<Millis>) -> bool {
    asked_at.is_some_and(|at| now.since(at) < limits::RELEARN_RETRY_MS)
}

/// How far a restarted agent has recovered the flows of its previous incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Recovery {
    /// There is no previous incarnation, or all of its flows are known.
    Complete,
    /// It had handed over, and the peers have reported all of its flows.
    Resumed,
    /// The peers are still being asked.
    Relearning,
    /// All announced flows are known. Flows that were not announced yet may show up until then.
    AwaitingUnannounced { until: Millis },
}

/// A page of flows, as received.
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
        match self.recovery {
            Recovery::Complete | Recovery::Resumed => false,
            Recovery::Relearning => now.since(self.started_at) < limits::MAX_INCOMPLETE_STATE_MS,
            Recovery::AwaitingUnannounced { until } => {
                now < until || self.upstream_reports_more(now)
            }
        }
    }

    /// Whether the upstream reports more flows than this agent knows.
    ///
    /// The agent then stays in the incomplete state until they are found: while another agent is
    /// incomplete too, no packet of these flows can be tried here.
    fn upstream_reports_more(&self, now: Millis) -> bool {
        let recently_started = now.since(self.started_at) < limits::MAX_INCOMPLETE_STATE_MS;
        recently_started && self.unknown_flows() == Some(UnknownFlows::Present)
    }

    /// Asks the peers for their next pages, and ends relearning once all have sent everything.
    pub(super) fn relearn(&mut self, now: Millis, out: &mut Vec<Action>) {
        match self.recovery {
            Recovery::Complete | Recovery::Resumed => return,
            Recovery::Relearning => {}
            Recovery::AwaitingUnannounced { .. } if !self.may_hold_unknown_flows(now) => {
                self.recovery = Recovery::Complete;
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

    /// Answers a restarted peer with one page of its own flows, and of flows whose holder is
    /// unresponsive or has handed over.
    ///
    /// If only the restarted peer's own flows were sent, knowledge of other flows could get lost: a
    /// holder's agent is down, and the agents to which it announced a flow restart one after the
    /// other. Once it is back, no agent could report the flow to it, and the flow would hang.
    /// Sending these flows to each restarted agent prevents this as long as one of the three agents
    /// is up at any time.
    pub(super) fn relearn_requested(
        &mut self,
        now: Millis,
        from: UpstreamId,
        incarnation: Incarnation,
        first: FlowId,
        out: &mut Vec<Action>,
    ) {
        if !self.observe_incarnation(now, from, incarnation) {
            return;
        }
        let holder_cannot_answer =
            |id: UpstreamId| self.peers.get(id).is_some_and(Peer::cannot_answer);
        let wanted = |redirect: &Redirect| {
            // A redirect learned by a lookup has no opening, and the holder does not announce the
            // end of the flow to this agent.
            let knows_opening = redirect.nonce.is_some();
            (redirect.holder == from || holder_cannot_answer(redirect.holder))
                && knows_opening
                && !self.never_ran(redirect)
        };
        let (page, next) = self.redirects.page(now, wanted, first);
        let (own, entrusted): (Vec<_>, Vec<_>) =
            page.into_iter().partition(|entry| entry.holder == from);
        let openings = own.into_iter().map(|entry| entry.opening).collect();
        let complete = self.knew_all_flows_of(from);
        let message =
            Message::Former { incarnation, former: self.previous_incarnation_state(from) };
        out.push(Action::Send { to: from, message });
        let message =
            Message::RelearnReply { incarnation, from: first, openings, entrusted, next, complete };
        out.push(Action::Send { to: from, message });
    }

    /// Whether an assigned opening never ran at its holder: the holder has announced other flows
    /// since the assignment but not this one, was up long enough after it to announce this one, or
    /// has handed over.
    ///
    /// A holder announces every flow within [`limits::ANNOUNCE_DEADLINE_MS`].
    fn never_ran(&self, redirect: &Redirect) -> bool {
        let Some(peer) = self.peers.get(redirect.holder) else { return false };
        let due_at = redirect.opened_at.after(limits::ANNOUNCE_DEADLINE_MS);
        let outlived_deadline = |(incarnation, at): (Incarnation, Millis)| {
            incarnation == redirect.incarnation && at > due_at
        };
        let announced = peer.last_announcement_at.is_some_and(|at| at > due_at);
        let survived = peer.previous_heartbeat.is_some_and(outlived_deadline);
        let handed_over = peer.has_handed_over(redirect.incarnation);
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
        if self.recovery != Recovery::Resumed || self.peer_covers_handover(from) {
            self.insert_relearned(now, &page.openings, out);
        }
        self.insert_entrusted(now, &page.entrusted);
        let Some(peer) = self.peers.get_mut(from) else { return };
        let cursor = &mut peer.relearn_cursor;
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

    /// Adds flows that the previous incarnation held, as reported by a peer.
    ///
    /// Skipped where every flow is a single datagram that runs at most once. Such a request is over
    /// once it is answered, and the claims record that it ran.
    fn insert_relearned(&mut self, now: Millis, openings: &[Opening], out: &mut Vec<Action>) {
        let at_most_once = self.settings.when_in_doubt == WhenInDoubt::Refuse;
        let single = self.settings.only_datagrams && at_most_once;
        if self.recovery == Recovery::Complete || single {
            return;
        }
        for opening in openings {
            let known = self.flows.get(opening.flow).is_some();
            // A flow admitted since the restart is newer than the page.
            let me = self.config.upstream;
            let redirect = self.redirects.get(now, opening.flow);
            let elsewhere = redirect.is_some_and(|redirect| redirect.holder != me);
            if known || elsewhere || !self.flows.has_room() {
                continue;
            }
            self.flows.insert_peer_reported(now, *opening);
            out.push(Action::Record(TimelineEntry::Relearned(opening.flow)));
        }
    }

    fn insert_entrusted(&mut self, now: Millis, entrusted: &[Entrusted]) {
        for entry in entrusted {
            let mine = entry.holder == self.config.upstream;
            if !mine && self.flows.get(entry.opening.flow).is_none() {
                self.redirects.insert_reported(now, *entry);
            }
        }
    }

    pub(super) fn request_page(&mut self, now: Millis, to: UpstreamId, out: &mut Vec<Action>) {
        let incarnation = self.config.incarnation;
        let Some(peer) = self.peers.get_mut(to) else { return };
        let awaits_page = awaits_page(now, peer.relearn_cursor.asked_at);
        if peer.relearn_cursor.done || awaits_page || !peer.may_hold_flows(now) {
            return;
        }
        peer.relearn_cursor.asked_at = Some(now);
        let message = Message::Relearn { incarnation, from: peer.relearn_cursor.from };
        out.push(Action::Send { to, message });
    }

    /// Ends relearning once all peers have sent everything that they know, unless more than one of
    /// them had incomplete knowledge.
    ///
    /// Every flow was announced to two agents. If all peers but one knew everything announced to
    /// them before the restart, at least one of the two did, and has now reported the flow.
    fn check_relearned(&mut self, now: Millis) {
        let asked: Vec<&Peer> = self
            .peers
            .iter()
            .map(|(_, peer)| peer)
            .filter(|peer| peer.may_hold_flows(now))
            .collect();
        let incomplete = asked.iter().filter(|peer| !peer.relearn_cursor.complete).count();
        let all_done = asked.iter().all(|peer| peer.relearn_cursor.done);
        let alone = asked.is_empty();
        if alone || (all_done && incomplete <= 1) {
            self.recovery =
                Recovery::AwaitingUnannounced { until: now.after(limits::UNANNOUNCED_FLOWS_MS) };
        }
        self.check_resumed();
    }

    /// Whether `peer` had announced its flows to this agent before it restarted.
    fn knew_all_flows_of(&self, peer: UpstreamId) -> bool {
        let seen_at = self.peers.get(peer).map(|peer| peer.incarnation_seen_at);
        seen_at.is_some_and(|seen_at| seen_at.since(self.started_at) >= limits::RESYNC_MS)
    }
}
