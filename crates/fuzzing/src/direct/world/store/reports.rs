//! Reports by which the balancers that read the configuration service keep the others up to date.

use rand::RngExt as _;
use steering::membership::Delta;
use steering::peers::{Comparison, compare};

use super::ReaderReport;
use crate::direct::Mutant;
use crate::direct::world::{Event, World};

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
        if lost || !self.exchanges_reports(from) || state.knowledge.revision.is_none() {
            return;
        }
        let whole_in_ms = state.complete_from_ms.saturating_sub(now_ms);
        let view = state.knowledge.contents(now_ms, whole_in_ms, 0);
        let report =
            ReaderReport { from, summary: state.knowledge.summary(), delta, view, corrects };
        self.schedule(delay_ms, Event::Reported { to, report: Box::new(report) });
    }

    /// A balancer receives what another one knows.
    pub(in crate::direct::world) fn on_reader_report(&mut self, to: usize, report: ReaderReport) {
        if !self.exchanges_reports(to) || !self.exchanges_reports(report.from) {
            return;
        }
        let now_ms = self.now_ms;
        let mut knowledge = std::mem::take(&mut self.balancers[to].knowledge);
        let report = self.mutate_report(report);
        self.mutate_before(&mut knowledge, report.summary.revision);
        let state = &mut self.balancers[to];
        state.knowledge = knowledge;
        let Some(mut view) = report.view else { return };
        state.complete_from_ms = state.complete_from_ms.max(now_ms + view.whole_in_ms);
        let reported = std::mem::take(&mut view.history);
        let lacks_held = state.knowledge.lacks_held_of(now_ms, report.summary);
        let fetches = match compare(report.summary, state.knowledge.summary()) {
            Comparison::NotNewer => lacks_held,
            Comparison::Same => {
                state.knowledge.confirm(now_ms, report.summary);
                lacks_held
            }
            Comparison::Fetch => {
                let apply = |delta| state.knowledge.apply_delta(now_ms, report.summary, delta);
                !report.delta.as_ref().is_some_and(apply)
            }
        };
        if fetches {
            state.knowledge.apply_view(now_ms, view);
        }
        if fetches || state.knowledge.history.is_behind(now_ms, reported.summary) {
            state.knowledge.merge_history(now_ms, state.confirmed_ms, &reported);
        }
        if !report.corrects && state.knowledge.is_confirmed_by(report.summary) {
            state.confirmed_ms = now_ms;
        }
        let mut knowledge = std::mem::take(&mut state.knowledge);
        self.mutate_after(&mut knowledge);
        let state = &mut self.balancers[to];
        state.knowledge = knowledge;
        let exceeds = state.knowledge.exceeds(now_ms, report.summary);
        let lacks_history = report.summary.routes_version >= state.knowledge.routes.version
            && reported.summary.may_lack(state.knowledge.history.summary(now_ms));
        if !report.corrects && (exceeds || lacks_history) {
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
