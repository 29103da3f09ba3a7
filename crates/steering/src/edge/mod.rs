//! A balancer's decisions: where each packet of a caller goes, and what follows when an agent
//! returns it.
//!
//! The table of flows is a shortcut only. A balancer without an entry asks the upstreams of the
//! service one after the other, in an order that all balancers share; an upstream that does not
//! hold the flow returns the packet, and the one that holds it says so once.

mod flows;
mod loads;
mod pending;

use std::net::Ipv4Addr;
use std::sync::Arc;

use crate::flow::{FlowKey, Millis, Segment, SegmentKind};
use crate::membership;
use crate::rank;
use crate::view::{ServiceStamp, Standing, Upstream, View};

pub use flows::FLOWS_MAX;
use flows::{Entry, FlowTable};
use loads::LoadTable;
use pending::{Due, PendingTable};
pub use pending::{PENDING_BYTES_MAX, REPEAT_AFTER_MS};

/// Upstreams of the first ranks among which load decides. More would spread flows further from
/// their first rank, and a balancer without memory would ask longer.
const PLACEMENT_RANKS: usize = 3;
/// Copies of a repeated packet that go to further upstreams at once.
const FAN_OUT: usize = 3;
/// After this time, that an upstream once denied a flow says nothing any more.
const DENIAL_MS: Millis = 1_000;
/// A packet with the same data that comes again after this time is taken as repeated because
/// nobody answered; the callers' first pause is 200 ms.
const REPEAT_MS: Millis = 150;
/// A view that nobody has confirmed for this long proves nothing by what it lacks: this balancer may
/// be cut off, and flows may live at upstreams that it has never heard of. A reader hears from the
/// configuration service every 2.5 s, all others from a reader twice a second.
const CONFIRMED_MS: Millis = 5_000;
/// A balancer looks after its flows at least every 60 ms; after this time without, it was paused.
const PAUSE_MS: Millis = 300;
/// An upstream that has been silent for this long, beside an agent that lives, counts as one that
/// denies. Upstreams answer at once or return the packet.
const SILENCE_PROVES_MS: Millis = 400;

/// What an agent says about a packet that it got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The upstream answers on this flow; `busy` requests are at work there.
    Held {
        /// Requests at work.
        busy: u8,
        /// The number with which the upstream has answered an opening, if that is what it did.
        opening_sequence: Option<u32>,
    },
    /// The upstream does not hold the flow, or cannot take it.
    Denied,
    /// The upstream has answered nothing for that long; the packet went to it all the same.
    Silent {
        /// How long it has been silent.
        for_ms: Millis,
    },
}

/// How far the list of upstreams can be trusted to name all that may hold a flow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Trust {
    /// When the view was last confirmed by whoever reads the configuration service.
    pub confirmed_ms: Millis,
    /// From when on the list counts as whole: right after an outage of the configuration service, and
    /// until other balancers could tell of one, it may lack upstreams that live.
    pub whole_from_ms: Millis,
}

impl Trust {
    fn proves_absence(self, now_ms: Millis) -> bool {
        let confirmed = now_ms.saturating_sub(self.confirmed_ms) < CONFIRMED_MS;
        confirmed && now_ms >= self.whole_from_ms
    }
}

/// A verdict and the instance whose agent gave it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Said {
    /// Address of the agent's instance.
    pub from: Ipv4Addr,
    /// What it says.
    pub verdict: Verdict,
}

/// Why something was done, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// A new flow was placed.
    Placed,
    /// An opening went to another upstream, since one denied it or stayed silent.
    Replaced,
    /// The flow's upstream is known.
    Known,
    /// The flow's upstream is being looked for.
    Asked,
    /// No route leads from the endpoint.
    NoRoute,
    /// All upstreams deny the opening.
    Refused,
    /// All upstreams deny the flow.
    Lost,
    /// Nothing is known about routes or upstreams, or a proof is missing.
    Unknown,
}

/// An agent and what it is told with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Destination {
    /// Address of the agent's instance.
    pub address: Ipv4Addr,
    /// The service whose upstream may take the packet.
    pub service: ServiceStamp,
    /// Requests that the upstream works on at a time; zero if not known.
    pub slots: u8,
}

impl Destination {
    fn of(view: &View, address: Ipv4Addr, service: ServiceStamp) -> Self {
        let slots = view.upstream_at(address).map_or(0, |upstream| upstream.slots);
        Self { address, service, slots: u8::try_from(slots).unwrap_or(u8::MAX) }
    }
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the packet at hand to the agent at `to`.
    Forward {
        /// The agent.
        to: Destination,
        /// Whether the agent is to say so when its upstream answers.
        ask: bool,
        /// Why.
        reason: Reason,
    },
    /// Tell the caller that the flow does not exist.
    Reset {
        /// Why.
        reason: Reason,
    },
    /// Nothing more is done with the packet.
    Drop {
        /// Why.
        reason: Reason,
    },
}

/// The state of a balancer.
#[derive(Default)]
pub struct Edge {
    flows: FlowTable,
    loads: LoadTable,
    pending: PendingTable,
    trust: Trust,
    called_ms: Millis,
    woken_ms: Millis,
}

impl Edge {
    /// Decides about a packet of a caller; `bytes` is the packet itself.
    pub fn on_packet(
        &mut self,
        now_ms: Millis,
        view: &View,
        segment: &Segment,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
        self.wake(now_ms);
        match segment.kind {
            SegmentKind::Opening { .. } => self.open(now_ms, view, segment, bytes, actions),
            SegmentKind::Later => self.carry(now_ms, view, segment, bytes, actions),
            SegmentKind::Reset => self.close(now_ms, view, segment, bytes, actions),
        }
    }

    /// Notes how far the list of upstreams can be trusted from now on.
    pub fn trust(&mut self, trust: Trust) {
        self.trust = trust;
    }

    /// Takes what an agent says about a packet; the packet itself comes along.
    pub fn on_verdict(
        &mut self,
        now_ms: Millis,
        view: &View,
        said: Said,
        segment: &Segment,
        actions: &mut Vec<Action>,
    ) {
        self.wake(now_ms);
        let Said { from, verdict } = said;
        match verdict {
            Verdict::Held { busy, opening_sequence } => {
                self.loads.report(now_ms, from, busy);
                self.held(now_ms, from, opening_sequence, segment.flow);
            }
            Verdict::Denied => {
                self.denied(now_ms, view, from, segment, actions);
            }
            Verdict::Silent { for_ms } => {
                self.loads.silent(now_ms, from);
                if for_ms >= SILENCE_PROVES_MS || segment.kind != SegmentKind::Later {
                    self.denied(now_ms, view, from, segment, actions);
                }
            }
        }
    }

    /// Repeats packets that nobody has answered, to other upstreams first, and forgets what is old.
    /// Each action goes with the packet that it is about.
    pub fn on_tick(&mut self, now_ms: Millis, view: &View, actions: &mut Vec<(Arc<[u8]>, Action)>) {
        self.wake(now_ms);
        for due in self.pending.take_due(now_ms) {
            let mut own = Vec::new();
            match due.segment.kind {
                SegmentKind::Opening { .. } => self.reopen(now_ms, view, &due, &mut own),
                SegmentKind::Later => self.ask_again(now_ms, view, &due, &mut own),
                SegmentKind::Reset => {}
            }
            actions.extend(own.into_iter().map(|action| (Arc::clone(&due.packet), action)));
        }
        self.flows.expire(now_ms);
    }

    /// After a pause of the process, packets that have waited come before any news: upstreams may have
    /// started meanwhile, and entries gone. Nothing is proven until the view was confirmed again.
    fn wake(&mut self, now_ms: Millis) {
        if now_ms.saturating_sub(self.called_ms) >= PAUSE_MS {
            self.woken_ms = now_ms;
        }
        self.called_ms = now_ms;
    }

    /// Number of flows in the table.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    fn open(
        &mut self,
        now_ms: Millis,
        view: &View,
        segment: &Segment,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
        let Some(service) = service_of(view, segment.flow) else {
            let known = view.routes.version > 0;
            actions.push(if known {
                Action::Reset { reason: Reason::NoRoute }
            } else {
                Action::Drop { reason: Reason::Unknown }
            });
            return;
        };
        let entry = self.flows.entry(segment.flow, now_ms);
        if entry.sequence != Some(segment.sequence) {
            entry.restart(segment.sequence);
        }
        let copied = entry.target.is_some();
        if let (Some(to), true) = (entry.target, entry.confirmed) {
            let to = Destination::of(view, to, service);
            actions.push(Action::Forward { to, ask: true, reason: Reason::Known });
            return;
        }
        let reason = if copied { Reason::Replaced } else { Reason::Placed };
        let Some(to) = place(now_ms, view, service, segment.flow, entry, &self.loads) else {
            actions.push(Action::Drop { reason: Reason::Unknown });
            return;
        };
        entry.ask(to);
        self.loads.placed(now_ms, to);
        let to = Destination::of(view, to, service);
        actions.push(Action::Forward { to, ask: true, reason });
        self.pending.insert(now_ms, segment, bytes);
    }

    fn reopen(&mut self, now_ms: Millis, view: &View, due: &Due, actions: &mut Vec<Action>) {
        let flow = due.segment.flow;
        let Some(service) = service_of(view, flow) else { return };
        let Some(entry) = self.flows.get(flow) else { return };
        if let Some(silent) = entry.target {
            self.loads.silent(now_ms, silent);
        }
        let Some(to) = place(now_ms, view, service, flow, entry, &self.loads) else { return };
        entry.ask(to);
        self.loads.placed(now_ms, to);
        let to = Destination::of(view, to, service);
        actions.push(Action::Forward { to, ask: true, reason: Reason::Replaced });
    }

    /// The upstream that is asked gets the packet again, for it may be at work, and three others get
    /// copies. The upstreams that have not denied the flow are silent: they are down, start just now, or
    /// their agents do. Asked again soon, the flow is found or proven lost as soon as they answer;
    /// the caller's own repetition may come a second later, too late for its request.
    fn ask_again(&mut self, now_ms: Millis, view: &View, due: &Due, actions: &mut Vec<Action>) {
        let candidates = candidates(view, due.segment.flow, now_ms);
        let Some(entry) = self.flows.get(due.segment.flow) else { return };
        entry.forget_old_denials(now_ms, DENIAL_MS);
        let Some(target) = entry.target.or_else(|| next_unasked(&candidates, entry, now_ms)) else {
            return;
        };
        if candidates.iter().all(|upstream| entry.has_denied(upstream.address)) {
            self.give_up(now_ms, due.segment.flow, &candidates, actions);
            return;
        }
        entry.ask(target);
        if let Some(upstream) = view.upstream_at(target) {
            let to = Destination::of(view, target, upstream.service);
            actions.push(Action::Forward { to, ask: true, reason: Reason::Asked });
        }
        fan_out(view, &candidates, entry, actions);
    }

    fn give_up(
        &mut self,
        now_ms: Millis,
        flow: FlowKey,
        candidates: &[Upstream],
        actions: &mut Vec<Action>,
    ) {
        let informed = self.trust.confirmed_ms >= self.woken_ms;
        let proven = informed && self.trust.proves_absence(now_ms) && !candidates.is_empty();
        if !proven {
            actions.push(Action::Drop { reason: Reason::Unknown });
            return;
        }
        self.flows.closing(flow, now_ms);
        self.pending.remove(flow);
        actions.push(Action::Reset { reason: Reason::Lost });
    }

    fn carry(
        &mut self,
        now_ms: Millis,
        view: &View,
        segment: &Segment,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
        let entry = self.flows.entry(segment.flow, now_ms);
        entry.settle(segment.acknowledged);
        let repeated = entry.note_data(now_ms, segment, REPEAT_MS);
        // Most packets go where the last one went; ranking all upstreams is for the others.
        let candidates = if repeated || entry.target.is_none() {
            candidates(view, segment.flow, now_ms)
        } else {
            Vec::new()
        };
        if repeated {
            entry.forget_old_denials(now_ms, DENIAL_MS);
        }
        let target = entry.target.or_else(|| next_unasked(&candidates, entry, now_ms));
        let Some(to) = target else {
            actions.push(Action::Drop { reason: Reason::Unknown });
            return;
        };
        let service = view.upstream_at(to).map(|upstream| upstream.service);
        let service = service.or_else(|| service_of(view, segment.flow));
        let Some(service) = service else {
            actions.push(Action::Drop { reason: Reason::NoRoute });
            return;
        };
        let ask = !entry.confirmed || repeated;
        let reason = if entry.confirmed { Reason::Known } else { Reason::Asked };
        entry.ask(to);
        let to = Destination::of(view, to, service);
        actions.push(Action::Forward { to, ask, reason });
        // Copies of a known flow's packets would find nothing: its upstream is slow, or dead with it.
        if repeated && !entry.confirmed {
            fan_out(view, &candidates, entry, actions);
        }
        // An upstream that holds the flow answers data sooner or later, and says nothing to the rest.
        if !entry.confirmed && segment.data_bytes > 0 {
            self.pending.insert(now_ms, segment, bytes);
        }
    }

    fn close(
        &mut self,
        now_ms: Millis,
        view: &View,
        segment: &Segment,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
        self.carry(now_ms, view, segment, bytes, actions);
        self.pending.remove(segment.flow);
        self.flows.closing(segment.flow, now_ms);
    }

    fn held(
        &mut self,
        now_ms: Millis,
        from: Ipv4Addr,
        opening_sequence: Option<u32>,
        flow: FlowKey,
    ) {
        self.pending.remove(flow);
        let entry = self.flows.entry(flow, now_ms);
        entry.denials.clear();
        if let Some(sequence) = opening_sequence {
            entry.note_answer(from, sequence);
            if entry.confirmed {
                return;
            }
        }
        entry.target = Some(from);
        entry.confirmed = true;
    }

    fn denied(
        &mut self,
        now_ms: Millis,
        view: &View,
        from: Ipv4Addr,
        segment: &Segment,
        actions: &mut Vec<Action>,
    ) {
        match segment.kind {
            SegmentKind::Opening { .. } => {
                self.opening_denied(now_ms, view, from, segment, actions)
            }
            SegmentKind::Later => self.later_denied(now_ms, view, from, segment, actions),
            SegmentKind::Reset => {}
        }
    }

    fn opening_denied(
        &mut self,
        now_ms: Millis,
        view: &View,
        from: Ipv4Addr,
        segment: &Segment,
        actions: &mut Vec<Action>,
    ) {
        let flow = segment.flow;
        let entry = self.flows.entry(flow, now_ms);
        // An upstream that holds the flow takes no second opening of it.
        if entry.confirmed {
            return;
        }
        entry.deny(from, now_ms, DENIAL_MS);
        let Some(service) = service_of(view, flow) else { return };
        let Some(to) = place(now_ms, view, service, flow, entry, &self.loads) else {
            actions.push(Action::Reset { reason: Reason::Refused });
            self.pending.remove(flow);
            self.flows.closing(flow, now_ms);
            return;
        };
        entry.ask(to);
        self.loads.placed(now_ms, to);
        let to = Destination::of(view, to, service);
        actions.push(Action::Forward { to, ask: true, reason: Reason::Replaced });
    }

    /// One search at a time: only a denial of the upstream that is asked leads to the next. Denials of
    /// copies are noted; if each led on, searches would multiply, and packets wander away from an
    /// upstream that holds the flow and is at work.
    fn later_denied(
        &mut self,
        now_ms: Millis,
        view: &View,
        from: Ipv4Addr,
        segment: &Segment,
        actions: &mut Vec<Action>,
    ) {
        let flow = segment.flow;
        let entry = self.flows.entry(flow, now_ms);
        let copied = entry.take_copied(from);
        entry.deny(from, now_ms, DENIAL_MS);
        if let Some(to) = entry.target {
            if !copied
                && segment.data_bytes > 0
                && let Some(upstream) = view.upstream_at(to)
            {
                let (ask, reason) = (!entry.confirmed, Reason::Asked);
                let to = Destination::of(view, to, upstream.service);
                actions.push(Action::Forward { to, ask, reason });
            }
            return;
        }
        let candidates = candidates(view, flow, now_ms);
        let Some(next) = next_undenied(&candidates, entry) else {
            self.give_up(now_ms, flow, &candidates, actions);
            return;
        };
        entry.ask(next.address);
        let to = Destination::of(view, next.address, next.service);
        actions.push(Action::Forward { to, ask: true, reason: Reason::Asked });
    }
}

/// The service of a flow's endpoint.
fn service_of(view: &View, flow: FlowKey) -> Option<ServiceStamp> {
    view.routes.find(flow.endpoint)?.service_of(flow)
}

/// Upstreams that may hold a flow, best guess first.
fn candidates(view: &View, flow: FlowKey, now_ms: Millis) -> Vec<Upstream> {
    let Some(route) = view.routes.find(flow.endpoint) else { return Vec::new() };
    let mut ranked: Vec<(u64, Upstream)> = route
        .shares
        .iter()
        .flat_map(|share| view.upstreams_of(share.service))
        .filter(|upstream| !membership::is_gone(upstream.standing, now_ms))
        .map(|upstream| (rank::score(flow, upstream.address), *upstream))
        .collect();
    ranked.sort_by_key(|(score, upstream)| (std::cmp::Reverse(*score), upstream.address));
    ranked.into_iter().map(|(_, upstream)| upstream).collect()
}

/// Chooses the upstream of a new flow among those that did not deny it; one that was asked before
/// comes only after all others.
fn place(
    now_ms: Millis,
    view: &View,
    service: ServiceStamp,
    flow: FlowKey,
    entry: &Entry,
    loads: &LoadTable,
) -> Option<Ipv4Addr> {
    let usable = |upstream: &&Upstream| !entry.has_denied(upstream.address);
    let is_ready = |upstream: &&Upstream| upstream.standing == Standing::Ready;
    let all = view.upstreams_of(service);
    let mut open: Vec<&Upstream> = all.iter().filter(is_ready).filter(usable).collect();
    if open.is_empty() && !all.iter().any(|upstream| upstream.standing == Standing::Ready) {
        // All entries of a service go at once only when the list itself had a fault.
        open = all.iter().filter(|u| is_silent(u, now_ms)).filter(usable).collect();
    }
    open.sort_by_key(|upstream| {
        (
            entry.has_asked(upstream.address),
            loads.is_suspect(now_ms, upstream.address),
            std::cmp::Reverse(rank::score(flow, upstream.address)),
        )
    });
    let first = open.first()?;
    let class = |upstream: &Upstream| {
        (entry.has_asked(upstream.address), loads.is_suspect(now_ms, upstream.address))
    };
    let best = open
        .iter()
        .take(PLACEMENT_RANKS)
        .filter(|upstream| class(upstream) == class(first))
        .min_by_key(|upstream| loads.load(now_ms, upstream))?;
    Some(best.address)
}

fn is_silent(upstream: &Upstream, now_ms: Millis) -> bool {
    let missing = matches!(upstream.standing, Standing::Missing { drained: false, .. });
    missing && !membership::is_gone(upstream.standing, now_ms)
}

/// The upstream to ask next. If the flow's opening went through here, it lives at one of those that
/// got a copy; otherwise those that were asked have not answered, and others come first.
fn next_undenied<'a>(candidates: &'a [Upstream], entry: &Entry) -> Option<&'a Upstream> {
    let opened_here = entry.sequence.is_some();
    let open = |upstream: &&Upstream| !entry.has_denied(upstream.address);
    let likely = |upstream: &&Upstream| entry.has_asked(upstream.address) == opened_here;
    let first = candidates.iter().filter(open).find(likely);
    first.or_else(|| candidates.iter().find(open))
}

fn next_unasked(candidates: &[Upstream], entry: &mut Entry, now_ms: Millis) -> Option<Ipv4Addr> {
    entry.forget_old_denials(now_ms, DENIAL_MS);
    let next = next_undenied(candidates, entry).or(candidates.first())?;
    Some(next.address)
}

/// Sends copies of a packet that nobody answers to upstreams that did not deny the flow, but for the
/// one that is asked: the flow's upstream may be behind an agent or a link that is dead, or the entry
/// may be wrong. Which of them are asked changes from time to time.
fn fan_out(view: &View, candidates: &[Upstream], entry: &mut Entry, actions: &mut Vec<Action>) {
    let others: Vec<Upstream> = candidates
        .iter()
        .filter(|upstream| Some(upstream.address) != entry.target)
        .filter(|upstream| !entry.has_denied(upstream.address))
        .copied()
        .collect();
    let skip = entry.next_round(others.len(), FAN_OUT);
    let copies = FAN_OUT.min(others.len());
    for Upstream { address, service, .. } in others.iter().cycle().skip(skip).take(copies) {
        entry.note_copy(*address);
        let to = Destination::of(view, *address, *service);
        actions.push(Action::Forward { to, ask: true, reason: Reason::Asked });
    }
}
