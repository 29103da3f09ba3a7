//! Whether the own upstream takes openings, and the heartbeats that tell it to the peers.

use super::mutant::mutated;
use super::peers::{heartbeat_period_ms, suspect_after_ms};
use super::{Action, Agent, Note, UpstreamReport, limits};
use crate::keys::UpstreamId;
use crate::message::{Heartbeat, Message};
use crate::spread::Member;
use crate::time::Millis;
use crate::view::UpstreamState;

/// Whether the upstream has flows that its agent does not know, by its own report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UnknownFlows {
    /// It has more than the agent knows, hearsay included.
    Present,
    /// It has no more than the agent knows for certain.
    Absent,
}

/// What is believed about the own upstream.
#[derive(Debug, Default)]
pub(super) struct Health {
    report: Option<UpstreamReport>,
    /// When the upstream process started, as first reported.
    upstream_started_at: Option<Millis>,
    /// What the last heartbeat said.
    advertised_accepting: Option<bool>,
    /// Uncertain flows that the last report did not confirm.
    unconfirmed: usize,
    /// Those that neither of the last two reports confirmed: they don't count as load.
    discounted: usize,
    /// What the last report said of flows that this agent does not know.
    last_unknown: Option<UnknownFlows>,
    /// What the last two reports have said alike.
    confirmed_unknown: Option<UnknownFlows>,
}

impl Agent {
    /// Takes in what the upstream says. A report can only take openings away, never pull them.
    pub(super) fn upstream_report_received(
        &mut self,
        now: Millis,
        report: UpstreamReport,
        out: &mut Vec<Action>,
    ) {
        let before = self.health.report.and_then(|report| report.age_ms);
        if let Some(age_ms) = report.age_ms {
            // A frozen report repeats its age; only a smaller one tells of a restart.
            if before.is_none_or(|before| age_ms < before) {
                self.health.upstream_started_at = Some(Millis(now.0.saturating_sub(age_ms)));
            }
        }
        self.health.report = Some(report);
        self.reconcile_uncertain_flows(report);
        self.update_unknown_flows(report);
        self.notify_if_accepting_changed(now, out);
    }

    /// Compares the flows that the upstream may never have had with what it has open.
    ///
    /// What two reports in a row leave no room for is not counted as load; that it may be held is still
    /// answered. A report that says too little gives the upstream at most as many flows more as are
    /// uncertain.
    fn reconcile_uncertain_flows(&mut self, report: UpstreamReport) {
        let uncertain = self.flows.uncertain();
        let confirmed = (report.open_flows as usize).saturating_sub(self.flows.certain());
        let unconfirmed = uncertain.saturating_sub(confirmed);
        self.health.discounted = unconfirmed.min(self.health.unconfirmed);
        self.health.unconfirmed = unconfirmed;
    }

    /// A report may be older than a flow, so two in a row must say the same.
    fn update_unknown_flows(&mut self, report: UpstreamReport) {
        let reported = report.open_flows as usize;
        let unknown = match reported {
            more if more > self.flows.open() => Some(UnknownFlows::Present),
            fewer if fewer <= self.flows.certain() => Some(UnknownFlows::Absent),
            _ => None,
        };
        self.health.confirmed_unknown = unknown.filter(|_| self.health.last_unknown == unknown);
        self.health.last_unknown = unknown;
    }

    /// What the upstream's last reports say of flows that this agent does not know.
    pub(super) fn unknown_flows(&self) -> Option<UnknownFlows> {
        self.health.confirmed_unknown
    }

    /// Open flows as they count for load and limits.
    pub(super) fn counted_flows(&self) -> usize {
        self.flows.open() - self.health.discounted.min(self.flows.uncertain())
    }

    /// Whether the own upstream takes openings.
    pub(super) fn accepts_openings(&mut self, now: Millis) -> bool {
        if self.must_not_admit() || self.is_full() {
            return false;
        }
        let stalled = self.is_stalled(now);
        let Some(report) = self.health.report else { return !stalled };
        let progressing = now.since(self.flows.last_progress()) < limits::SICK_MS
            && self.flows.last_progress() > self.started_at;
        let unhealthy = !report.healthy && !progressing;
        !(report.shedding || unhealthy || stalled)
    }

    /// Whether the upstream or this agent is on its way out.
    pub(super) fn must_not_admit(&self) -> bool {
        if mutated!(self, DrainIgnored) {
            return false;
        }
        let reported = self.health.report.is_some_and(|report| report.draining);
        self.leaving || reported || self.settings.state != UpstreamState::Active
    }

    pub(super) fn is_full(&self) -> bool {
        self.counted_flows() >= self.settings.max_flows as usize || !self.flows.has_room()
    }

    /// An upstream that reports to be well but completes no handshake gets no more of them, until
    /// the old ones have expired.
    fn is_stalled(&mut self, now: Millis) -> bool {
        if self.settings.datagrams || self.flows.unanswered() < limits::SICK_UNANSWERED {
            return false;
        }
        let oldest = self.flows.oldest_unanswered();
        let stuck = oldest.is_some_and(|opened_at| now.since(opened_at) > limits::SICK_MS);
        stuck && now.since(self.flows.last_progress()) > limits::SICK_MS
    }

    /// Share of the weight that the own upstream takes for now.
    pub(super) fn ramp_percent(&self, now: Millis) -> u64 {
        let Some(started_at) = self.health.upstream_started_at else { return 100 };
        let span = 100 - limits::RAMP_START_PERCENT;
        let grown = span * now.since(started_at).min(limits::RAMP_MS) / limits::RAMP_MS;
        limits::RAMP_START_PERCENT + grown
    }

    /// Tells the peers at once when the upstream stops or starts to take openings.
    pub(super) fn notify_if_accepting_changed(&mut self, now: Millis, out: &mut Vec<Action>) {
        let accepting = self.accepts_openings(now);
        if self.health.advertised_accepting != Some(accepting) {
            self.send_heartbeats(now, out);
        }
    }

    pub(super) fn heartbeat_if_due(&mut self, now: Millis, out: &mut Vec<Action>) {
        if now >= self.heartbeat_at {
            self.send_heartbeats(now, out);
        }
    }

    pub(super) fn send_heartbeats(&mut self, now: Millis, out: &mut Vec<Action>) {
        let accepting = self.accepts_openings(now);
        self.health.advertised_accepting = Some(accepting);
        self.heartbeat_at = now.after(heartbeat_period_ms(self.peers.len()));
        let heartbeat = Heartbeat {
            incarnation: self.config.incarnation,
            born: (!self.config.may_have_past).then_some(self.config.incarnation),
            beat: self.beat(now),
            view: self.settings.version,
            open_flows: self.counted_flows() as u32,
            unanswered: self.flows.unanswered() as u32,
            accepting,
            ramp_percent: self.ramp_percent(now) as u8,
            leaving: self.leaving,
        };
        self.heartbeats = self.heartbeats.wrapping_add(1);
        let outdated = self.settings.memberships.outdated(now, self.heartbeats);
        for (to, peer) in self.peers.iter().filter(|(_, peer)| peer.may_hold_flows(now)) {
            out.push(Action::Send { to, message: Message::Heartbeat(heartbeat) });
            let outdated = outdated.filter(|_| !peer.retired).map(Message::Outdated);
            out.extend(outdated.map(|message| Action::Send { to, message }));
        }
        self.report_self_up(heartbeat.beat, out);
    }

    /// An agent that hears from few of its peers may be reported down by them although the
    /// balancers still reach it. Its own word, at a later beat, keeps its packets coming.
    fn report_self_up(&self, beat: u64, out: &mut Vec<Action>) {
        if self.is_isolated() && !self.leaving {
            let upstream = self.config.upstream;
            out.push(Action::Report(Member { upstream, beat, up: true }));
        }
    }

    fn beat(&self, now: Millis) -> u64 {
        self.config.incarnation.0 + now.since(self.started_at)
    }

    /// A peer's load and state. Late ones of an earlier life are ignored; leaving is for life.
    pub(super) fn heartbeat_received(
        &mut self,
        now: Millis,
        from: UpstreamId,
        mut heartbeat: Heartbeat,
        out: &mut Vec<Action>,
    ) {
        if !self.meet_life(now, from, heartbeat.incarnation) {
            return;
        }
        self.saw_version(now, heartbeat.view, out);
        let homes = self.homes();
        let Some(peer) = self.peers.get_mut(from) else { return };
        if let Some(born) = heartbeat.born
            && peer.born < Some(born)
        {
            peer.born = Some(born);
            self.redirects.forget_before(from, born);
        }
        let same_incarnation =
            peer.heartbeat.filter(|old| old.incarnation == heartbeat.incarnation);
        heartbeat.leaving |= same_incarnation.is_some_and(|old| old.leaving);
        if peer.reported_down {
            peer.reported_down = false;
            let beat = heartbeat.beat;
            out.push(Action::Report(Member { upstream: from, beat, up: true }));
        }
        peer.view = peer.view.max(heartbeat.view);
        peer.heartbeat = Some(heartbeat);
        peer.last_heartbeat_at = Some(now);
        peer.assigned = 0;
        self.doubt_former_homes(now, &homes);
        self.retarget();
    }

    /// Any message shows that its sender lives.
    pub(super) fn mark_peer_alive(&mut self, now: Millis, from: UpstreamId, out: &mut Vec<Action>) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.last_received_at = Some(now);
            if peer.suspected {
                self.set_suspected(now, from, false, out);
            }
        }
    }

    pub(super) fn suspect_unresponsive(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.peers.retain(|peer| peer.listed || peer.may_hold_flows(now));
        let bound_ms = suspect_after_ms(self.peers.len());
        let is_unresponsive = |ms_since_received: u64| ms_since_received > bound_ms;
        let unresponsive: Vec<UpstreamId> = self
            .peers
            .iter()
            .filter(|(_, peer)| !peer.suspected && is_unresponsive(peer.ms_since_received(now)))
            .map(|(id, _)| id)
            .collect();
        for id in unresponsive {
            self.set_suspected(now, id, true, out);
        }
    }

    /// The platform's list lags, so its word counts only against a peer that is silent as well.
    pub(super) fn liveness_hint_received(
        &mut self,
        now: Millis,
        upstream: UpstreamId,
        alive: bool,
        out: &mut Vec<Action>,
    ) {
        let period_ms = heartbeat_period_ms(self.peers.len());
        let unresponsive = self.peers.get(upstream).is_some_and(|peer| {
            !peer.suspected && peer.ms_since_received(now) > period_ms + period_ms / 2
        });
        if !alive && unresponsive {
            self.set_suspected(now, upstream, true, out);
        }
    }

    /// A suspicion only changes who is home; whoever was home is asked for a while.
    fn set_suspected(
        &mut self,
        now: Millis,
        id: UpstreamId,
        suspected: bool,
        out: &mut Vec<Action>,
    ) {
        let homes = self.homes();
        let Some(peer) = self.peers.get_mut(id) else { return };
        peer.suspected = suspected;
        if suspected {
            // A peer that has never been heard from is not known to have been up.
            if let Some(heartbeat) = peer.heartbeat {
                peer.reported_down = true;
                let beat = heartbeat.beat;
                out.push(Action::Report(Member { upstream: id, beat, up: false }));
            }
            self.count_suspected_peer();
        }
        out.push(Action::Note(Note::PeerSuspected { upstream: id, suspected }));
        self.doubt_former_homes(now, &homes);
        self.retarget();
        if !suspected {
            self.doubts.add(now, id);
            self.announce_hurry(id);
        }
    }
}
