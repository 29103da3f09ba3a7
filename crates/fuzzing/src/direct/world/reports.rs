//! Reports of balancers that read the configuration service on behalf of all, by which balancers
//! learn which services routes have left.
//!
//! As in the processes, balancers hear of each other only through readers, at a fixed interval and
//! with the list, and some reports get lost.

use std::sync::Arc;

use rand::RngExt as _;
use steering::history::History;
use steering::peers::{BEACON_MS, READERS};
use steering::view::RouteTable;

use super::{Event, World};
use crate::direct::Mutant;

/// Share of the reports that get lost.
const LOST_REPORTS_SHARE: f64 = 0.1;

impl World {
    /// Delivers a report of each reader to all other balancers.
    pub(super) fn report(&mut self) {
        self.schedule(BEACON_MS, Event::Report);
        if self.store.is_some() {
            self.end_watches();
            return self.send_reader_reports();
        }
        if self.mutant == Some(Mutant::HistoryNotLearnt) {
            return;
        }
        for reader in self.readers() {
            for receiver in 0..self.size.balancers {
                let lost = self.reports_rng.random_bool(LOST_REPORTS_SHARE);
                if receiver != reader && !lost && self.exchanges_reports(receiver) {
                    self.receive_report(receiver, reader);
                }
            }
        }
    }

    /// Merges a reader's history, and the receiver's into the reader's if the reader lacks
    /// something.
    fn receive_report(&mut self, receiver: usize, reader: usize) {
        self.learn_from(receiver, reader);
        let theirs = self.balancers[reader].knowledge.history.summary(self.now_ms);
        let ours = self.balancers[receiver].knowledge.history.summary(self.now_ms);
        let lost = self.reports_rng.random_bool(LOST_REPORTS_SHARE);
        if theirs.may_lack(ours) && !lost {
            self.learn_from(reader, receiver);
        }
    }

    fn learn_from(&mut self, learner: usize, peer: usize) {
        let mut history = History::clone(&self.balancers[learner].knowledge.history);
        let routes = Arc::clone(&self.balancers[learner].knowledge.routes);
        self.merge_if_behind(&mut history, self.now_ms, &routes, peer);
        if history != *self.balancers[learner].knowledge.history {
            self.balancers[learner].knowledge.history = Arc::new(history);
            self.rebuild_view(learner);
            self.note(|world| world.list_taken(learner));
        }
    }

    /// Merges what the readers know of services that routes have left. The learner has missed no
    /// version until `current_until_ms`, and `routes` are in force there now.
    pub(super) fn learn_from_readers(
        &self,
        learner: usize,
        history: &mut History,
        current_until_ms: u64,
        routes: &RouteTable,
    ) {
        for reader in self.readers().into_iter().filter(|reader| *reader != learner) {
            self.merge_if_behind(history, current_until_ms, routes, reader);
        }
    }

    /// The balancers that read the configuration service: the first ones that reach it.
    pub(super) fn readers(&self) -> Vec<usize> {
        let reads = |balancer: &usize| self.exchanges_reports(*balancer);
        (0..self.size.balancers).filter(reads).take(READERS).collect()
    }

    pub(super) fn exchanges_reports(&self, balancer: usize) -> bool {
        let balancer = &self.balancers[balancer];
        balancer.up && balancer.cut_until_ms.max(balancer.paused_until_ms) <= self.now_ms
    }
}
