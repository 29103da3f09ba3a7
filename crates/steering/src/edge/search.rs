//! Packets of open flows: where they go, and how their upstream is searched for.
//!
//! Every upstream that may hold the flow is asked, one after the other, until one answers. When each
//! of them has denied it or is unreachable for all flows, [`Step::Absent`], it may be lost; see
//! [`proof`](super::proof).

use std::net::Ipv4Addr;

use super::Edge;
use super::candidates::Sources;
use super::flows::Entry;
use super::pending::Due;
use super::placement::service_of;
use super::reach::Reach;
use super::types::{Action, AgentReply, Destination, Reason, Verdict};
use crate::flow::{FlowKey, Millis, Segment};
use crate::view::{ServiceStamp, Upstream, View};

/// Maximum number of upstreams that get a copy of a retransmitted packet at once.
const COPIES_MAX: usize = 3;
/// As long as a search has asked no more upstreams than this, every denied packet of the flow is
/// forwarded to the current target. Most flows are at one of the first ranks, and a packet dropped
/// on the way there would be retransmitted only 200 ms later. Beyond the first ranks, forwarding
/// each packet would amount to a separate search for each.
const FORWARD_DENIED_MAX_ASKS: u64 = 3;

/// Number of upstreams that are asked one at a time. Nearly all flows are at one of these.
const SEQUENTIAL_ASKS: u64 = 6;
/// Maximum number of upstreams that a longer search asks at once; so few packets do not fill a slow
/// link.
const PARALLEL_ASKS_MAX: u64 = 16;

/// Next step of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Ask this upstream.
    Ask(Ipv4Addr),
    /// Probe this unresponsive upstream on behalf of all flows.
    Probe(Ipv4Addr),
    /// Wait: all remaining upstreams were asked recently or are unresponsive.
    Wait,
    /// No listed upstream holds the flow.
    Absent,
}

/// A packet of an open flow.
#[derive(Clone, Copy, Debug)]
struct LaterPacket {
    flow: FlowKey,
    /// Whether the caller has sent it before without an answer.
    repeated: bool,
}

/// A search for the upstream of a flow.
struct Search<'a> {
    now_ms: Millis,
    sources: Sources<'a>,
    flow: FlowKey,
    /// Upstreams that may hold the flow, most likely first.
    candidates: Vec<Upstream>,
    reach: &'a Reach,
    /// Whether a missing reply may count as a denial: this process does not lag, and the flow's
    /// caller repeats its request after a reset.
    ///
    /// Otherwise a request that must not run twice could already have run at an upstream that comes
    /// back.
    treats_no_reply_as_denial: bool,
}

impl<'a> Search<'a> {
    fn new(sources: Sources<'a>, flow: FlowKey, reach: &'a Reach, lagging: bool) -> Self {
        let Sources { now_ms, view, .. } = sources;
        let repeatable = view.routes.find(flow.endpoint).is_some_and(|route| route.repeatable);
        let candidates = sources.candidates(flow);
        let treats_no_reply_as_denial = repeatable && !lagging;
        Self { now_ms, sources, flow, candidates, reach, treats_no_reply_as_denial }
    }

    /// The next step for a packet whose flow may have a target.
    ///
    /// If the target is unreachable, the flow may have been only half open there, so all others are
    /// asked first.
    fn step(&self, entry: &Entry) -> Step {
        match entry.target {
            Some(target) if !self.is_unreachable(target) => Step::Ask(target),
            _ => self.next_step(entry),
        }
    }

    /// The step for a packet that came from the caller. Instead of waiting, a responsive upstream
    /// that may hold the flow is asked, even if it was asked a moment ago.
    fn step_for_caller(&self, entry: &Entry, step: Step) -> Step {
        if step != Step::Wait {
            return step;
        }
        let (_, responsive) = self.undenied(entry);
        let last_sent_ms = |upstream: &&&Upstream| entry.visits.last_sent_ms(upstream.address);
        responsive
            .iter()
            .min_by_key(last_sent_ms)
            .map_or(step, |upstream| Step::Ask(upstream.address))
    }

    /// Upstreams that may hold the flow: the unresponsive and the responsive ones.
    fn undenied(&self, entry: &Entry) -> (Vec<&Upstream>, Vec<&Upstream>) {
        let open = self.candidates.iter().filter(|upstream| !entry.has_denied(upstream));
        open.partition(|upstream| self.reach.is_unresponsive(self.now_ms, upstream.address))
    }

    fn next_step(&self, entry: &Entry) -> Step {
        let (unresponsive, responsive) = self.undenied(entry);
        if let Some(next) = likeliest(&responsive, entry) {
            return Step::Ask(next.address);
        }
        let is_due = |upstream: &&&Upstream| entry.visits.is_overdue(self.now_ms, upstream.address);
        if let Some(next) = responsive.iter().find(is_due) {
            return Step::Ask(next.address);
        }
        if !responsive.is_empty() {
            return Step::Wait;
        }
        if unresponsive.iter().all(|upstream| self.is_unreachable(upstream.address)) {
            return if self.is_in_doubt(entry) { Step::Wait } else { Step::Absent };
        }
        let may_probe = |upstream: &&&Upstream| self.reach.may_probe(self.now_ms, upstream.address);
        unresponsive
            .iter()
            .find(may_probe)
            .map_or(Step::Wait, |upstream| Step::Probe(upstream.address))
    }

    /// Whether the flow may be open at an upstream that did not get its packet. The view can have
    /// changed since that upstream was asked, so its service is compared with the present view.
    fn is_in_doubt(&self, entry: &Entry) -> bool {
        entry.wrong_services().any(|(_, service)| self.sources.may_be_open_at(self.flow, service))
    }

    /// Upstreams to ask in parallel with the one at `to`: the next ones if the search has already
    /// asked many, and one whose reply is overdue.
    fn parallel_asks(&self, entry: &Entry, to: Ipv4Addr) -> (Vec<Ipv4Addr>, Option<Ipv4Addr>) {
        let is_open = |upstream: &&Upstream| {
            may_be_copied(self.now_ms, upstream, Some(to), entry, self.reach)
        };
        let open = || self.candidates.iter().filter(is_open).map(|upstream| upstream.address);
        let asked = entry.visits.asked_count();
        let more = (asked.saturating_sub(SEQUENTIAL_ASKS) / 2).min(PARALLEL_ASKS_MAX - 1) as usize;
        let next = open().filter(|address| !entry.visits.has_asked(*address)).take(more).collect();
        let overdue = open().find(|address| entry.visits.is_overdue(self.now_ms, *address));
        (next, overdue)
    }

    /// Whether the upstream at this address is unreachable, and the fault is not on this balancer's
    /// side.
    fn is_unreachable(&self, address: Ipv4Addr) -> bool {
        let is_unreachable = |address| self.reach.is_unreachable(self.now_ms, address);
        if !self.treats_no_reply_as_denial || !is_unreachable(address) {
            return false;
        }
        let unreachable =
            self.candidates.iter().filter(|upstream| is_unreachable(upstream.address)).count();
        Reach::is_small_share(unreachable, self.candidates.len())
    }
}

impl Edge {
    /// Decides about a packet of an open flow.
    pub(super) fn handle_later(
        &mut self,
        now_ms: Millis,
        view: &View,
        segment: &Segment,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
        let (flow, lagging) = (segment.flow, self.is_lagging(now_ms));
        let entry = self.flows.entry(flow, now_ms);
        entry.forget_opening_denials();
        entry.resolve_answers(segment.acknowledged);
        let repeated = entry.record_packet(now_ms, segment);
        entry.drop_unlisted_target(|address| view.upstream_at(address).is_some());
        let step = match entry.target {
            // Most packets go to the same target as the previous one, so that upstreams need not be
            // ranked.
            Some(target) if !repeated => Step::Ask(target),
            _ => {
                entry.forget_old_denials(now_ms);
                let sources = Sources { now_ms, view, survey: &self.survey };
                let search = Search::new(sources, flow, &self.reach, lagging);
                // No copies may be sent, so the caller's own retransmissions advance the search.
                let no_copies = !entry.confirmed && self.budget.is_low();
                let step = if no_copies { search.next_step(entry) } else { search.step(entry) };
                search.step_for_caller(entry, step)
            }
        };
        entry.suspect_if_unresponsive();
        match step {
            Step::Ask(to) | Step::Probe(to) => {
                self.forward(now_ms, view, LaterPacket { flow, repeated }, to, actions);
            }
            Step::Wait => actions.push(Action::Drop { reason: Reason::Unknown }),
            Step::Absent => {
                return self.reset_if_proven_lost(now_ms, view, segment, bytes, actions);
            }
        }
        // Copies are useless once the flow's upstream is known: it is slow, or has failed and lost
        // the flow.
        let confirmed = self.flows.get(flow).is_some_and(|entry| entry.confirmed);
        if repeated && !confirmed && !lagging {
            self.send_copies(now_ms, view, flow, actions);
        }
        let unresponsive = matches!(
            step,
            Step::Ask(to) | Step::Probe(to) if self.reach.is_unresponsive(now_ms, to)
        );
        if !confirmed || (unresponsive && segment.wants_answer()) {
            self.pending.insert(now_ms, segment, bytes);
        }
    }

    fn forward(
        &mut self,
        now_ms: Millis,
        view: &View,
        packet: LaterPacket,
        to: Ipv4Addr,
        actions: &mut Vec<Action>,
    ) {
        let LaterPacket { flow, repeated } = packet;
        let service = self.service_to_ask(now_ms, view, flow, to);
        let Some(service) = service.or_else(|| service_of(view, flow)) else {
            actions.push(Action::Drop { reason: Reason::NoRoute });
            return;
        };
        let entry = self.flows.entry(flow, now_ms);
        let wants_report = !entry.confirmed || repeated;
        let reason = if entry.confirmed { Reason::Known } else { Reason::Asked };
        entry.ask(now_ms, to);
        let to = Destination::of(now_ms, view, flow, to, service);
        actions.push(Action::Forward { to, wants_report, reason });
    }

    /// Advances the search for a flow whose target does not reply: the upstream or its agent is
    /// down, starting or busy. The search continues with an upstream that was not asked yet, whose
    /// denial leads to the next one; the unresponsive ones get copies from time to time. With such
    /// early retries, the flow is found or proven lost as soon as they reply. The caller's own
    /// retransmission may come a second later, too late for its request.
    pub(super) fn retry_search(
        &mut self,
        now_ms: Millis,
        view: &View,
        due: &Due,
        actions: &mut Vec<Action>,
    ) {
        let (flow, lagging) = (due.segment.flow, self.is_lagging(now_ms));
        let Some(entry) = self.flows.get(flow) else { return };
        entry.forget_old_denials(now_ms);
        let sources = Sources { now_ms, view, survey: &self.survey };
        let search = Search::new(sources, flow, &self.reach, lagging);
        let step = if entry.is_opened_here() || entry.confirmed {
            search.step(entry)
        } else {
            search.next_step(entry)
        };
        // A flow can be given up even if the budget is spent. Probes have a rate limit of their
        // own.
        match step {
            Step::Absent => {
                self.reset_if_proven_lost(now_ms, view, &due.segment, &due.packet, actions);
            }
            Step::Ask(to) if entry.take_search_credit() || self.try_spend_budget() => {
                self.flows.entry(flow, now_ms).ask(now_ms, to);
                self.forward_search(now_ms, view, flow, to, actions);
                self.send_copies(now_ms, view, flow, actions);
            }
            Step::Probe(to) => {
                self.flows.entry(flow, now_ms).ask(now_ms, to);
                self.forward_search(now_ms, view, flow, to, actions);
            }
            Step::Ask(_) | Step::Wait => {}
        }
    }

    /// Handles a denial of an open flow's packet. There is one search at a time: only a denial by
    /// the current target leads to the next upstream, and denials of copies are only recorded. If
    /// each of them advanced the search, searches would multiply, and packets would move away from
    /// an upstream that holds the flow and is busy.
    pub(super) fn on_later_denied(
        &mut self,
        now_ms: Millis,
        view: &View,
        reply: AgentReply<'_>,
        segment: &Segment,
        actions: &mut Vec<Action>,
    ) {
        let (flow, lagging) = (segment.flow, self.is_lagging(now_ms));
        let AgentReply { from, verdict, .. } = reply;
        let entry = self.flows.entry(flow, now_ms);
        let copied = entry.visits.take_copied(from);
        match verdict {
            Verdict::WrongService { service } => entry.record_wrong_service(from, service, now_ms),
            _ => entry.record_denial(from, now_ms),
        }
        if let Some(target) = entry.target {
            let forwards = entry.confirmed || entry.visits.asked_count() <= FORWARD_DENIED_MAX_ASKS;
            if forwards && !copied && segment.wants_answer() {
                self.forward_search(now_ms, view, flow, target, actions);
            }
            return;
        }
        let sources = Sources { now_ms, view, survey: &self.survey };
        let search = Search::new(sources, flow, &self.reach, lagging);
        let asked: Vec<Ipv4Addr> = match search.next_step(entry) {
            Step::Ask(to) => {
                entry.ask(now_ms, to);
                let (next, overdue) = search.parallel_asks(entry, to);
                let overdue = overdue.filter(|_| self.budget.try_spend());
                let parallel: Vec<Ipv4Addr> = next.into_iter().chain(overdue).collect();
                parallel.iter().for_each(|address| entry.visits.ask_in_parallel(now_ms, *address));
                [to].into_iter().chain(parallel).collect()
            }
            Step::Probe(to) => {
                entry.ask(now_ms, to);
                vec![to]
            }
            Step::Wait => Vec::new(),
            Step::Absent => {
                return self.reset_if_proven_lost(now_ms, view, segment, reply.packet, actions);
            }
        };
        asked.into_iter().for_each(|to| self.forward_search(now_ms, view, flow, to, actions));
    }

    fn forward_search(
        &self,
        now_ms: Millis,
        view: &View,
        flow: FlowKey,
        to: Ipv4Addr,
        actions: &mut Vec<Action>,
    ) {
        let Some(service) = self.service_to_ask(now_ms, view, flow, to) else { return };
        let to = Destination::of(now_ms, view, flow, to, service);
        actions.push(Action::Forward { to, wants_report: true, reason: Reason::Asked });
    }

    /// Sends copies of an unanswered packet to upstreams that did not deny the flow, other than the
    /// target: the flow's upstream may be behind a dead agent or link, or the entry may be wrong.
    /// An upstream whose reply is overdue comes first, since packets get lost; then those that
    /// never got a packet, and then those whose latest packet is the oldest.
    fn send_copies(
        &mut self,
        now_ms: Millis,
        view: &View,
        flow: FlowKey,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.flows.get(flow).filter(|_| self.policy.copies) else { return };
        let is_open =
            |upstream: &Upstream| may_be_copied(now_ms, upstream, entry.target, entry, &self.reach);
        let sources = Sources { now_ms, view, survey: &self.survey };
        let mut others: Vec<Upstream> =
            sources.candidates(flow).into_iter().filter(is_open).collect();
        let overdue = others
            .iter()
            .find(|upstream| entry.visits.is_overdue(now_ms, upstream.address))
            .map(|upstream| upstream.address);
        others.sort_by_key(|Upstream { address, .. }| {
            (Some(*address) != overdue, entry.visits.last_sent_ms(*address))
        });
        others.truncate(COPIES_MAX);
        for Upstream { address, service, .. } in others {
            if !self.budget.try_spend_on_copy() {
                break;
            }
            entry.visits.copy(now_ms, address);
            let to = Destination::of(now_ms, view, flow, address, service);
            actions.push(Action::Forward { to, wants_report: true, reason: Reason::Asked });
            self.counters.copies += 1;
        }
    }

    pub(super) fn service_to_ask(
        &self,
        now_ms: Millis,
        view: &View,
        flow: FlowKey,
        address: Ipv4Addr,
    ) -> Option<ServiceStamp> {
        Sources { now_ms, view, survey: &self.survey }.service_to_ask(flow, address)
    }
}

/// Whether this upstream may get a copy of a packet that goes to `target`.
fn may_be_copied(
    now_ms: Millis,
    upstream: &Upstream,
    target: Option<Ipv4Addr>,
    entry: &Entry,
    reach: &Reach,
) -> bool {
    let address = upstream.address;
    Some(address) != target
        && !entry.has_denied(upstream)
        && !reach.is_unresponsive(now_ms, address)
}

/// The most likely upstream to ask next. If this balancer sent the flow's opening, the flow is at
/// one of the upstreams that got it. Otherwise those that were asked have not answered, and the
/// others come first, beginning with those that got no packet at all. Upstreams that were asked and
/// still have time to reply are not returned in that case.
fn likeliest<'a>(open: &[&'a Upstream], entry: &Entry) -> Option<&'a Upstream> {
    let asked = |upstream: &&&Upstream| entry.visits.has_asked(upstream.address);
    let untried = |upstream: &&&Upstream| entry.visits.last_sent_ms(upstream.address).is_none();
    let likely =
        if entry.is_opened_here() { open.iter().find(asked) } else { open.iter().find(untried) };
    likely.or(open.iter().find(|upstream| !asked(upstream))).copied()
}
