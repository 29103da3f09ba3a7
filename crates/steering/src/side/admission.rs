//! Which openings an agent gives back untried: those for an upstream that takes no new flows, and
//! those beyond what a cold one bears.
//!
//! Load pattern: all balancers see an upstream come back at the same moment, cold and idle, and each
//! sends it new flows. Only the agent sees the sum.

use std::collections::VecDeque;

use super::types::Ask;
use super::votes::{Validity, Votes};
use crate::flow::Millis;

/// Votes on whether the upstream takes new flows; balancers in touch learn of a change sooner.
const LEAVING_VALIDITY: Validity = Validity { yes_ms: 2_000, no_ms: 2_000 };
/// Votes on whether the upstream is cold. Balancers that were told to come later say nothing until
/// then.
const COLD_VALIDITY: Validity = Validity { yes_ms: 5_000, no_ms: 2_000 };
/// How long an upstream that may just have started counts as cold without a balancer's vote.
const SUSPECT_MS: Millis = 2_000;
/// Shortest span in which openings are counted.
const SPAN_MIN_MS: Millis = 1_000;
/// Openings remembered at most; no upstream bears more while it is cold.
const TAKEN_MAX: usize = 1_024;

/// Why an opening goes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// The upstream takes no new flows.
    TurnedAway,
    /// It is cold, and bears no further one for so long.
    Limited { for_ms: Millis },
}

/// What balancers say of the upstream, and the openings that it took lately.
#[derive(Debug)]
pub(super) struct Admission {
    leaving: Votes,
    cold: Votes,
    /// Until when the upstream may be cold without any balancer knowing.
    suspect_until_ms: Millis,
    /// Whether the upstream has said anything since the process started.
    heard: bool,
    taken_ms: VecDeque<Millis>,
    /// Openings given back that were told to come later.
    waiting: usize,
    /// Since when openings are counted.
    since_ms: Option<Millis>,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            leaving: Votes::new(LEAVING_VALIDITY),
            cold: Votes::new(COLD_VALIDITY),
            suspect_until_ms: 0,
            heard: false,
            taken_ms: VecDeque::new(),
            waiting: 0,
            since_ms: None,
        }
    }
}

impl Admission {
    /// Notes that the process runs, and from when on it sees all openings.
    pub(super) fn wake(&mut self, now_ms: Millis) {
        if self.since_ms.is_none() {
            self.since_ms = Some(now_ms);
            self.suspect(now_ms);
        }
    }

    /// Notes that the upstream may just have started: lists name its earlier life for a while.
    pub(super) fn suspect(&mut self, now_ms: Millis) {
        self.suspect_until_ms = now_ms + SUSPECT_MS;
    }

    /// Notes that the upstream has said something. One that is first heard right after this process has
    /// started may have started after it.
    pub(super) fn hear_upstream(&mut self, now_ms: Millis) {
        let first = !std::mem::replace(&mut self.heard, true);
        if first && now_ms < self.suspect_until_ms {
            self.suspect(now_ms);
        }
    }

    /// Takes a balancer's vote, which comes with any packet.
    pub(super) fn hear(&mut self, now_ms: Millis, ask: &Ask) {
        self.leaving.hear(now_ms, ask.balancer, ask.turns_away);
    }

    /// Whether an opening may go to the upstream; one that may counts as taken.
    pub(super) fn admit(&mut self, now_ms: Millis, ask: &Ask) -> Result<(), Refusal> {
        if self.is_leaving(now_ms) {
            return Err(Refusal::TurnedAway);
        }
        let limited = ask.limit_per_ks > 0 && self.is_cold(now_ms, ask);
        let (count, span_ms) =
            if limited { window(ask.limit_per_ks) } else { (TAKEN_MAX, SPAN_MIN_MS) };
        self.forget_before(now_ms, span_ms);
        let for_ms = if limited { self.full_for(now_ms, count, span_ms) } else { 0 };
        let for_ms = for_ms.max(if ask.cold { self.unseen_for(now_ms) } else { 0 });
        if limited && for_ms > 0 {
            self.waiting = (self.waiting + 1).min(2 * count);
            return Err(Refusal::Limited { for_ms });
        }
        self.waiting = self.waiting.saturating_sub(1);
        if self.taken_ms.len() == TAKEN_MAX {
            self.taken_ms.pop_front();
        }
        self.taken_ms.push_back(now_ms);
        Ok(())
    }

    /// More than half of the balancers heard lately say so: one that is cut off must neither close an
    /// upstream nor open it.
    fn is_leaving(&mut self, now_ms: Millis) -> bool {
        let (yes, all) = self.leaving.count(now_ms);
        2 * yes > all
    }

    /// A balancer that says so knows; one that does not may have an old view.
    fn is_cold(&mut self, now_ms: Millis, ask: &Ask) -> bool {
        self.cold.hear(now_ms, ask.balancer, ask.cold);
        let (yes, all) = self.cold.count(now_ms);
        ask.cold || (yes > 0 && 2 * yes >= all) || now_ms < self.suspect_until_ms
    }

    fn forget_before(&mut self, now_ms: Millis, span_ms: Millis) {
        let is_old = |taken_ms: &Millis| now_ms.saturating_sub(*taken_ms) > span_ms;
        while self.taken_ms.front().is_some_and(is_old) {
            self.taken_ms.pop_front();
        }
    }

    /// How long the upstream is full. Each opening that is given back gets a place of its own among
    /// those that come later, so that the next one taken meets one balancer, not all.
    fn full_for(&self, now_ms: Millis, count: usize, span_ms: Millis) -> Millis {
        let Some(surplus) = self.taken_ms.len().checked_sub(count) else { return 0 };
        let taken_ms = self.taken_ms[surplus + self.waiting % count];
        let rounds = (self.waiting / count) as Millis;
        (taken_ms + (1 + rounds) * span_ms + 1).saturating_sub(now_ms)
    }

    /// How long openings may still count that this process's predecessor took.
    fn unseen_for(&self, now_ms: Millis) -> Millis {
        let until_ms = self.since_ms.map_or(0, |since_ms| since_ms + SPAN_MIN_MS);
        until_ms.saturating_sub(now_ms)
    }
}

/// Openings, and the span in which there may be so many: a second, or longer where an upstream
/// bears less than one a second.
fn window(per_ks: u32) -> (usize, Millis) {
    let count = (per_ks / 1_000).clamp(1, TAKEN_MAX as u32);
    let span_ms = u64::from(count) * 1_000_000 / u64::from(per_ks);
    (count as usize, span_ms.max(SPAN_MIN_MS))
}
