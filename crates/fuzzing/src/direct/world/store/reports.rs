//! Reports by which the balancers that read the configuration service keep the others up to date.

use rand::RngExt as _;
use steering::flow::Millis;
use steering::membership::Delta;
use steering::peers::{Comparison, compare};

use super::ReaderReport;
use super::mutants::{mutate_after, mutate_before, mutate_report};
use crate::direct::Mutant;
use crate::direct::world::{Balancer, Event, World};

/// Share of the reports that get lost.
const LOST_SHARE: f64 = 0.1;
/// Share of the reports that are delayed, and the longest delay.
const LATE_SHARE: f64 = 0.02;
const LATE_MAX_MS: u64 = 1_000;

/// A balancer that the service has not answered for this long does not act as a reader.
const READER_TIMEOUT_MS: u64 = 2_000;

impl World {
    /// Sends the reports that readers send at a fixed interval.
    pub(in crate::direct::world) fn send_reader_reports(&mut self) {
        for reader in self.readers() {
            self.tell_others(reader, None);
        }
    }

    /// A reader tells all other balancers what it knows, if the service has answered it recently.
    pub(super) fn tell_others(&mut self, reader: usize, delta: Option<Delta>) {
        let answered_ms = self.balancers[reader].store_answered_ms;
        if answered_ms.is_none_or(|at_ms| self.now_ms - at_ms >= READER_TIMEOUT_MS) {
            return;
        }
        for other in (0..self.balancers.len()).filter(|other| *other != reader) {
            self.tell(reader, other, delta.clone(), false);
        }
    }

    /// Sends what a balancer knows to another one.
    pub(in crate::direct::world) fn tell(
        &mut self,
        from: usize,
        to: usize,
        delta: Option<Delta>,
        corrects: bool,
    ) {
        let now_ms = self.now_ms;
        let Some(store) = &mut self.store else { return };
        let lost = store.rng.random_bool(LOST_SHARE);
        let late = store.rng.random_bool(LATE_SHARE);
        let delay_ms = store.rng.random_range(1..if late { LATE_MAX_MS } else { 5 });
        let state = &self.balancers[from];
        if lost || !self.exchanges_reports(from) {
            return;
        }
        let whole_in_ms = state.complete_from_ms.saturating_sub(now_ms);
        let Some(view) = state.knowledge.contents(now_ms, whole_in_ms, 0) else { return };
        let report =
            ReaderReport { from, summary: state.knowledge.summary(), delta, view, corrects };
        self.schedule(delay_ms, Event::Reported { to, report: Box::new(report) });
    }

    /// A balancer receives what another one knows.
    pub(in crate::direct::world) fn on_reader_report(&mut self, to: usize, report: ReaderReport) {
        if !self.exchanges_reports(to) || !self.exchanges_reports(report.from) {
            return;
        }
        let (now_ms, mutant) = (self.now_ms, self.mutant);
        let report = mutate_report(mutant, report);
        let state = &mut self.balancers[to];
        mutate_before(mutant, now_ms, &mut state.knowledge, report.summary.revision);
        state.learn(now_ms, &report);
        mutate_after(mutant, now_ms, &mut state.knowledge);
        if !report.corrects && state.exceeds(now_ms, &report) {
            self.tell(to, report.from, None, true);
        }
        self.adopt_knowledge(to);
    }

    /// Derives a balancer's view from what it knows now.
    pub(super) fn adopt_knowledge(&mut self, balancer: usize) {
        let now_ms = self.now_ms;
        let mutant = self.mutant;
        let state = &mut self.balancers[balancer];
        if mutant != Some(Mutant::HeldForever) {
            state.knowledge.membership.expire(now_ms);
        }
        if mutant != Some(Mutant::CopyCountsAsComplete) {
            let until_ms = state.knowledge.incomplete_until_ms();
            state.complete_from_ms = state.complete_from_ms.max(until_ms);
        }
        self.rebuild_view(balancer);
        self.note(|world| world.list_taken(balancer));
    }
}

impl Balancer {
    /// Takes what is newer in a report, as the processes do.
    fn learn(&mut self, now_ms: Millis, report: &ReaderReport) {
        let view = &report.view;
        self.complete_from_ms = self.complete_from_ms.max(now_ms + view.whole_in_ms);
        let lacks_held = self.knowledge.lacks_held_of(now_ms, report.summary);
        let fetches = match compare(report.summary, self.knowledge.summary()) {
            Comparison::NotNewer => lacks_held,
            Comparison::Same => {
                self.knowledge.confirm(now_ms, report.summary);
                lacks_held
            }
            Comparison::Fetch => {
                let apply = |delta| self.knowledge.apply_delta(now_ms, report.summary, delta);
                !report.delta.as_ref().is_some_and(apply)
            }
        };
        let version = self.knowledge.routes.version;
        if fetches {
            self.knowledge.apply_view(now_ms, view.clone());
        }
        if fetches || self.knowledge.history.is_behind(now_ms, view.history.summary) {
            self.knowledge.merge_history(now_ms, version, &view.history);
        }
    }

    /// Whether the sender of a report lacks something that is known here.
    fn exceeds(&self, now_ms: Millis, report: &ReaderReport) -> bool {
        let has_routes = report.summary.routes_version >= self.knowledge.routes.version;
        let history = self.knowledge.history.summary(now_ms);
        let lacks_history = has_routes && report.view.history.summary.may_lack(history);
        lacks_history || self.knowledge.exceeds(now_ms, report.summary)
    }
}
