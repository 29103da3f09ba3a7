//! Whether the own upstream accepts openings, and the heartbeats that report this to the peers.

use super::mutant::mutated;
use super::peers::{heartbeat_period_ms, suspect_after_ms};
use super::{Action, Agent, TimelineEntry, UpstreamReport, limits};
use crate::keys::UpstreamId;
use crate::message::{Heartbeat, Message};
use crate::spread::Member;
use crate::time::Millis;
use crate::view::UpstreamState;

/// Whether the upstream has flows that its agent does not know, according to the upstream's
/// reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UnknownFlows {
    /// It reports more flows than the agent knows, unconfirmed ones included.
    Present,
    /// It reports no more flows than the agent knows for certain.
    Absent,
}

/// Health of the own upstream, as this agent sees it.
#[derive(Debug, Default)]
pub(super) struct Health {
    report: Option<UpstreamReport>,
    /// When the upstream process started, from its first report after the start.
    upstream_started_at: Option<Millis>,
    /// Whether the last heartbeat reported that the upstream accepts openings.
    advertised_accepting: Option<bool>,
    /// Number of uncertain flows that the upstream does not have by its last report.
    unconfirmed: usize,
    /// Number of uncertain flows that the upstream has by neither of its last two reports. These do
    /// not count as load.
    discounted: usize,
    /// Whether the last report shows flows that this agent does not know.
    last_unknown: Option<UnknownFlows>,
    /// The same, if the last two reports agree.
    confirmed_unknown: Option<UnknownFlows>,
}

impl Agent {
    /// Processes a report of the upstream. A report can only keep openings away from it, never
    /// attract more.
    pub(super) fn upstream_report_received(
        &mut self,
        now: Millis,
        report: UpstreamReport,
        out: &mut Vec<Action>,
    ) {
        let before = self.health.report.and_then(|report| report.age_ms);
        if let Some(age_ms) = report.age_ms {
            // A report that is stuck repeats the same age; only a smaller age means a restart.
            if before.is_none_or(|before| age_ms < before) {
                self.health.upstream_started_at = Some(Millis(now.0.saturating_sub(age_ms)));
            }
        }
        self.health.report = Some(report);
        self.reconcile_uncertain_flows(report);
        self.update_unknown_flows(report);
        self.notify_if_accepting_changed(now, out);
    }

    /// Compares the uncertain flows, which the upstream may never have had, with the number of
    /// flows that it reports as open.
    ///
    /// Uncertain flows in excess of the reported number do not count as load once two reports in a
    /// row show the excess. The answers to peers that ask about these flows do not change. A report
    /// that is too low lets the upstream exceed its limit by at most the number of uncertain flows.
    fn reconcile_uncertain_flows(&mut self, report: UpstreamReport) {
        let uncertain = self.flows.uncertain();
        let confirmed = (report.open_flows as usize).saturating_sub(self.flows.certain());
        let unconfirmed = uncertain.saturating_sub(confirmed);
        self.health.discounted = unconfirmed.min(self.health.unconfirmed);
        self.health.unconfirmed = unconfirmed;
    }

    /// Derives from the report whether there are unknown flows. Two reports in a row must agree,
    /// since one may be older than a flow.
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

    /// Whether the upstream has flows that this agent does not know, if its last two reports agree.
    pub(super) fn unknown_flows(&self) -> Option<UnknownFlows> {
        self.health.confirmed_unknown
    }

    /// Number of open flows that count for load and limits.
    pub(super) fn counted_flows(&self) -> usize {
        self.flows.open() - self.health.discounted.min(self.flows.uncertain())
    }

    /// Whether the own upstream accepts openings now.
    pub(super) fn accepts_openings(&mut self, now: Millis) -> bool {
        if self.must_not_admit() || self.is_full() {
            return false;
        }
        let stalled = self.is_stalled(now);
        let Some(report) = self.health.report else { return !stalled };
        let progressing = now.since(self.flows.last_progress()) < limits::UNHEALTHY_AFTER_MS
            && self.flows.last_progress() > self.started_at;
        let unhealthy = !report.healthy && !progressing;
        !(report.shedding || unhealthy || stalled)
    }

    /// Whether the upstream is draining or retired, or this agent is leaving.
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

    /// Whether the upstream completes no handshakes, whatever it reports. It gets no more openings
    /// until the unanswered ones have expired.
    fn is_stalled(&mut self, now: Millis) -> bool {
        if self.settings.datagrams
            || self.flows.unanswered() < limits::UNHEALTHY_UNANSWERED_OPENINGS
        {
            return false;
        }
        let oldest = self.flows.oldest_unanswered();
        let stuck =
            oldest.is_some_and(|opened_at| now.since(opened_at) > limits::UNHEALTHY_AFTER_MS);
        stuck && now.since(self.flows.last_progress()) > limits::UNHEALTHY_AFTER_MS
    }

    /// Percentage of its weight that the own upstream takes now: it grows after the upstream's
    /// start.
    pub(super) fn ramp_percent(&self, now: Millis) -> u64 {
        let Some(started_at) = self.health.upstream_started_at else { return 100 };
        let span = 100 - limits::RAMP_START_PERCENT;
        let grown =
            span * now.since(started_at).min(limits::RAMP_DURATION_MS) / limits::RAMP_DURATION_MS;
        limits::RAMP_START_PERCENT + grown
    }

    /// Sends heartbeats at once when the upstream stops or starts to accept openings.
    pub(super) fn notify_if_accepting_changed(&mut self, now: Millis, out: &mut Vec<Action>) {
        let accepting = self.accepts_openings(now);
        if self.health.advertised_accepting != Some(accepting) {
            self.send_heartbeats(now, out);
        }
    }

    pub(super) fn heartbeat_if_due(&mut self, now: Millis, out: &mut Vec<Action>) {
        if now >= self.next_heartbeat_at {
            self.send_heartbeats(now, out);
        }
    }

    pub(super) fn send_heartbeats(&mut self, now: Millis, out: &mut Vec<Action>) {
        let accepting = self.accepts_openings(now);
        self.health.advertised_accepting = Some(accepting);
        self.next_heartbeat_at = now.after(heartbeat_period_ms(self.peers.len()));
        let heartbeat = Heartbeat {
            incarnation: self.config.incarnation,
            born: (!self.config.may_have_prior_flows).then_some(self.config.incarnation),
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

    /// Reports this agent itself as up while it is isolated.
    ///
    /// An agent that receives messages from few of its peers may be reported down by them although
    /// the balancers still reach it. Its own report has a later beat than theirs and so keeps it in
    /// rotation.
    fn report_self_up(&self, beat: u64, out: &mut Vec<Action>) {
        if self.is_isolated() && !self.leaving {
            let upstream = self.config.upstream;
            out.push(Action::Report(Member { upstream, beat, up: true }));
        }
    }

    fn beat(&self, now: Millis) -> u64 {
        self.config.incarnation.0 + now.since(self.started_at)
    }

    /// Records a peer's load and state. Late heartbeats of a previous incarnation are ignored. Once
    /// an incarnation has reported that it leaves, later heartbeats cannot take that back.
    pub(super) fn heartbeat_received(
        &mut self,
        now: Millis,
        from: UpstreamId,
        mut heartbeat: Heartbeat,
        out: &mut Vec<Action>,
    ) {
        if !self.observe_incarnation(now, from, heartbeat.incarnation) {
            return;
        }
        self.observe_version(now, heartbeat.view, out);
        let homes = self.homes();
        let Some(peer) = self.peers.get_mut(from) else { return };
        if let Some(born) = heartbeat.born
            && peer.born < Some(born)
        {
            peer.born = Some(born);
            self.redirects.remove_before(from, born);
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
        self.record_former_homes(now, &homes);
        self.update_announce_targets();
    }

    /// Records that a message of a peer has arrived, which ends a suspicion.
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

    /// Processes a liveness hint from the platform. The platform's list lags, so a hint that a peer
    /// is down counts only if the peer is unresponsive as well.
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

    /// Sets or clears the suspicion of a peer. This only changes which agents are home of buckets;
    /// former homes are still asked for a while.
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
            // A peer that has never sent a heartbeat is not known to have been up.
            if let Some(heartbeat) = peer.heartbeat {
                peer.reported_down = true;
                let beat = heartbeat.beat;
                out.push(Action::Report(Member { upstream: id, beat, up: false }));
            }
            self.count_suspected_peer();
        }
        out.push(Action::Record(TimelineEntry::PeerSuspected { upstream: id, suspected }));
        self.record_former_homes(now, &homes);
        self.update_announce_targets();
        if !suspected {
            self.former_homes.add_everywhere(now, id);
            self.expedite_announcements(id);
        }
    }
}
