//! Reads of the published list that flows in doubt require, and lists that arrive late.

use rand::RngExt as _;
use steering::knowledge::Listing;

use super::lists::PublishedList;
use super::{Balancer, Event, World};

/// Longest time for which a balancer hears of no changes although nothing has failed.
const LISTS_DELAYED_MAX_MS: u64 = 2_500;
/// Longest delay of an answer, and of one out of [`SLOW_ANSWER_EVERY`].
const ANSWER_MAX_MS: u64 = 5;
const SLOW_ANSWER_MAX_MS: u64 = 500;
const SLOW_ANSWER_EVERY: u64 = 4;
/// Share of the packets that the fabric hands to any balancer.
const STRAY_PACKETS_SHARE: f64 = 0.05;

/// The answer to a read that flows in doubt require.
#[derive(Clone, Debug)]
pub(super) enum Read {
    /// Everything that is published, where every balancer receives that.
    List(PublishedList),
    /// The changes since the balancer's revision.
    Changes(Listing),
}

impl World {
    /// Lets a balancer read the list if its flows require that.
    pub(super) fn begin_wanted_read(&mut self, balancer: usize) {
        let state = &mut self.balancers[balancer];
        let Some(from_ms) = state.edge.take_wanted_read() else { return };
        if state.current_at_ms >= from_ms || state.is_reading {
            return;
        }
        state.is_reading = true;
        self.schedule(1, Event::ReadBegins(balancer));
    }

    pub(super) fn begin_read(&mut self, balancer: usize) {
        let Some(read) = self.read_now(balancer).filter(|_| self.exchanges_reports(balancer))
        else {
            self.balancers[balancer].is_reading = false;
            return;
        };
        let slow = self.reads_rng.random_range(0..SLOW_ANSWER_EVERY) == 0;
        let longest_ms = if slow { SLOW_ANSWER_MAX_MS } else { ANSWER_MAX_MS };
        let delay_ms = self.reads_rng.random_range(1..longest_ms);
        let (began_ms, read) = (self.now_ms, Box::new(read));
        self.schedule(delay_ms, Event::ReadEnds { balancer, began_ms, read });
    }

    /// What a call of this balancer returns now; `None` if the configuration service is away, or has
    /// no changes after the balancer's revision.
    fn read_now(&self, balancer: usize) -> Option<Read> {
        if self.store.is_none() {
            return Some(Read::List(self.published_list()));
        }
        let after = self.balancers[balancer].knowledge.revision?;
        self.available_changes(after).map(Read::Changes)
    }

    pub(super) fn end_read(&mut self, balancer: usize, began_ms: u64, read: Read) {
        self.balancers[balancer].is_reading = false;
        if !self.exchanges_reports(balancer) {
            return;
        }
        match read {
            Read::List(list) => {
                self.take_list(balancer, &list);
                // What was published later in the same millisecond may be missing.
                let read_ms = began_ms.saturating_sub(1);
                let Balancer { current_at_ms, .. } = &mut self.balancers[balancer];
                *current_at_ms = read_ms.max(*current_at_ms);
            }
            Read::Changes(listing) => self.take_changes(balancer, listing),
        }
    }

    /// Lets a balancer that has started hear of changes late: no reader knows it yet.
    pub(super) fn delay_first_lists(&mut self, balancer: usize) {
        if self.size.late_lists {
            self.delay_lists(balancer);
        }
    }

    /// Where lists arrive late, the fabric hands some packets to any balancer.
    pub(super) fn stray_balancer(&mut self) -> Option<usize> {
        let strays = self.size.late_lists && self.reads_rng.random_bool(STRAY_PACKETS_SHARE);
        strays.then(|| self.reads_rng.random_range(0..self.size.balancers))
    }

    /// Delays a balancer's lists, unless they are delayed already.
    pub(super) fn delay_lists(&mut self, balancer: usize) {
        if self.balancers[balancer].lists_delayed_until_ms > self.now_ms {
            return;
        }
        let for_ms = self.reads_rng.random_range(1..LISTS_DELAYED_MAX_MS);
        self.balancers[balancer].lists_delayed_until_ms = self.now_ms + for_ms;
        self.schedule(for_ms, Event::ListArrives(balancer));
    }
}
