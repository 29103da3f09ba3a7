//! Packets of open flows: where they go, how their upstream is looked for, and when a flow counts
//! as lost.
//!
//! Every upstream that may hold the flow is asked, one after the other, until one answers. A flow is lost
//! when each of them has denied it, or is out of reach for all flows; the proof is a [`Step`], and
//! nothing else leads to a reset.

use std::net::Ipv4Addr;

use super::Edge;
use super::candidates::{candidates, may_be_at_unrouted_service};
use super::flows::Entry;
use super::pending::Due;
use super::placement::service_of;
use super::reach::Reach;
use super::types::{Action, Destination, Reason};
use crate::flow::{FlowKey, Millis, Segment};
use crate::view::{Upstream, View};

/// Copies of a repeated packet that go to further upstreams at once.
const COPIES_MAX: usize = 3;
/// Upstreams up to which all packets of a flow follow the search. Most flows live at one of the
/// first ranks, and what is dropped on the way there comes again 200 ms later; further on, each
/// packet would be a search of its own.
const FORWARDED_WITHIN: u64 = 3;

/// Upstreams that are asked one after the other. Nearly all flows live at one of these.
const SEQUENTIAL_ASKS: u64 = 6;
/// Most upstreams that are asked at once by a search that has gone on for longer: in so few packets, it
/// leaves room on a thin link.
const PARALLEL_ASKS_MAX: u64 = 16;

/// What a search does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// This upstream is asked.
    Ask(Ipv4Addr),
    /// This quiet upstream is asked on behalf of all flows.
    Probe(Ipv4Addr),
    /// All that are left are quiet, and were asked lately.
    Wait,
    /// Nobody holds the flow, as far as the list names all upstreams.
    Absent,
}

/// A packet of an open flow.
#[derive(Clone, Copy, Debug)]
struct LaterPacket {
    flow: FlowKey,
    /// Whether the caller has sent it before, and nobody has answered.
    repeated: bool,
}

/// Where a flow is looked for.
struct Search<'a> {
    now_ms: Millis,
    /// Upstreams that may hold the flow, best guess first.
    candidates: Vec<Upstream>,
    reach: &'a Reach,
    /// Whether silence may stand for a denial: this process is not behind, and the flow's caller
    /// asks anew after a reset.
    ///
    /// A request that must not be sent twice may have run at an upstream that comes back.
    treats_no_reply_as_denial: bool,
}

impl<'a> Search<'a> {
    fn new(now_ms: Millis, view: &View, flow: FlowKey, reach: &'a Reach, lagging: bool) -> Self {
        let repeatable = view.routes.find(flow.endpoint).is_some_and(|route| route.repeatable);
        let candidates = candidates(view, flow, now_ms);
        Self { now_ms, candidates, reach, treats_no_reply_as_denial: repeatable && !lagging }
    }

    /// What becomes of a packet that may have a target already.
    ///
    /// A target that is lost may have held the flow half open only, so that all others are asked first.
    fn step(&self, entry: &Entry) -> Step {
        match entry.target {
            Some(target) if !self.is_unreachable(target) => Step::Ask(target),
            _ => self.next_step(entry),
        }
    }

    /// The same for a packet of the caller's own: where one that may hold the flow is heard, the packet
    /// goes there although it was asked a moment ago.
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

    /// Upstreams that may hold the flow: those that are quiet, and those that are heard.
    fn undenied(&self, entry: &Entry) -> (Vec<&Upstream>, Vec<&Upstream>) {
        let open = self.candidates.iter().filter(|upstream| !entry.has_denied(upstream.address));
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
            return if entry.has_inconclusive_denial() { Step::Wait } else { Step::Absent };
        }
        let may_probe = |upstream: &&&Upstream| self.reach.may_probe(self.now_ms, upstream.address);
        unresponsive
            .iter()
            .find(may_probe)
            .map_or(Step::Wait, |upstream| Step::Probe(upstream.address))
    }

    /// Upstreams that are asked beside the one at `to`: the next ones of a search that has asked many,
    /// and one that should have answered.
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

    /// Whether the upstream at this address is out of reach, and it is not this balancer that is.
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
            // Most packets go where the last one went; ranking all upstreams is for the others.
            Some(target) if !repeated => Step::Ask(target),
            _ => {
                entry.forget_old_denials(now_ms);
                let search = Search::new(now_ms, view, flow, &self.reach, lagging);
                // No copies may be sent: the caller's own repetitions look for the flow instead.
                let copies_fail = !entry.confirmed && self.budget.is_low();
                let step = if copies_fail { search.next_step(entry) } else { search.step(entry) };
                search.step_for_caller(entry, step)
            }
        };
        entry.suspect_if_unresponsive();
        match step {
            Step::Ask(to) | Step::Probe(to) => {
                self.forward(now_ms, view, LaterPacket { flow, repeated }, to, actions);
            }
            Step::Wait => actions.push(Action::Drop { reason: Reason::Unknown }),
            Step::Absent => return self.reset_if_proven_lost(now_ms, view, flow, actions),
        }
        // Copies of a known flow's packets would find nothing: its upstream is slow, or dead with it.
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
        let service = view.upstream_at(to).map(|upstream| upstream.service);
        let Some(service) = service.or_else(|| service_of(view, flow)) else {
            actions.push(Action::Drop { reason: Reason::NoRoute });
            return;
        };
        let entry = self.flows.entry(flow, now_ms);
        let ask = !entry.confirmed || repeated;
        let reason = if entry.confirmed { Reason::Known } else { Reason::Asked };
        entry.ask(now_ms, to);
        let to = Destination::of(now_ms, view, flow, to, service);
        actions.push(Action::Forward { to, ask, reason });
    }

    /// The upstream that is asked is silent: it is down, starts just now, is at work, or its agent
    /// is one of these. The search goes on to one that was not asked yet, and whose denial leads to
    /// the next; the silent ones get copies from time to time. Asked again soon, the flow is found
    /// or proven lost as soon as they answer; the caller's own repetition may come a second later,
    /// too late for its request.
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
        let search = Search::new(now_ms, view, flow, &self.reach, lagging);
        let step = if entry.is_opened_here() || entry.confirmed {
            search.step(entry)
        } else {
            search.next_step(entry)
        };
        // A flow is given up also where nothing more may be sent for it. Probes have a bound of
        // their own.
        match step {
            Step::Absent => self.reset_if_proven_lost(now_ms, view, flow, actions),
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

    /// One search at a time: only a denial of the upstream that is asked leads to the next. Denials of
    /// copies are noted; if each led on, searches would multiply, and packets wander away from an
    /// upstream that holds the flow and is at work.
    pub(super) fn on_later_denied(
        &mut self,
        now_ms: Millis,
        view: &View,
        from: Ipv4Addr,
        segment: &Segment,
        actions: &mut Vec<Action>,
    ) {
        let (flow, lagging) = (segment.flow, self.is_lagging(now_ms));
        let entry = self.flows.entry(flow, now_ms);
        let copied = entry.visits.take_copied(from);
        entry.record_denial(from, now_ms);
        if let Some(target) = entry.target {
            let forwards = entry.confirmed || entry.visits.asked_count() <= FORWARDED_WITHIN;
            if forwards && !copied && segment.wants_answer() {
                self.forward_search(now_ms, view, flow, target, actions);
            }
            return;
        }
        let search = Search::new(now_ms, view, flow, &self.reach, lagging);
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
            Step::Absent => return self.reset_if_proven_lost(now_ms, view, flow, actions),
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
        let Some(upstream) = view.upstream_at(to) else { return };
        let to = Destination::of(now_ms, view, flow, to, upstream.service);
        actions.push(Action::Forward { to, ask: true, reason: Reason::Asked });
    }

    /// Sends copies of a packet that nobody answers to upstreams that did not deny the flow, but
    /// for the one that is asked: the flow's upstream may be behind an agent or a link that is
    /// dead, or the entry may be wrong. One that should have answered comes first, since packets get lost;
    /// then those that never got one, and those that got theirs longest ago.
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
        let mut others: Vec<Upstream> =
            candidates(view, flow, now_ms).into_iter().filter(is_open).collect();
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
            actions.push(Action::Forward { to, ask: true, reason: Reason::Asked });
            self.counters.copies += 1;
        }
    }

    fn reset_if_proven_lost(
        &mut self,
        now_ms: Millis,
        view: &View,
        flow: FlowKey,
        actions: &mut Vec<Action>,
    ) {
        let confirmed_since_pause = self.trust.confirmed_ms >= self.resumed_ms;
        let proven = confirmed_since_pause
            && self.trust.proves_absence(now_ms)
            && !may_be_at_unrouted_service(view, flow, now_ms)
            && !candidates(view, flow, now_ms).is_empty();
        if !proven {
            actions.push(Action::Drop { reason: Reason::Unknown });
            return;
        }
        self.flows.expire_soon(flow, now_ms);
        self.pending.remove(flow);
        actions.push(Action::Reset { reason: Reason::Lost });
    }
}

/// Whether a copy of a packet that goes to `target` may go to this upstream as well.
fn may_be_copied(
    now_ms: Millis,
    upstream: &Upstream,
    target: Option<Ipv4Addr>,
    entry: &Entry,
    reach: &Reach,
) -> bool {
    let address = upstream.address;
    Some(address) != target && !entry.has_denied(address) && !reach.is_unresponsive(now_ms, address)
}

/// The upstream to ask next. If the flow's opening went through here, it lives at one of those that
/// got a copy; otherwise those that were asked have not answered, and others come first, before all
/// those that got nothing yet. Of those that were asked there is none while they have time to answer.
fn likeliest<'a>(open: &[&'a Upstream], entry: &Entry) -> Option<&'a Upstream> {
    let asked = |upstream: &&&Upstream| entry.visits.has_asked(upstream.address);
    let untried = |upstream: &&&Upstream| entry.visits.last_sent_ms(upstream.address).is_none();
    let likely =
        if entry.is_opened_here() { open.iter().find(asked) } else { open.iter().find(untried) };
    likely.or(open.iter().find(|upstream| !asked(upstream))).copied()
}
