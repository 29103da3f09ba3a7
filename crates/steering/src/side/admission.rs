//! Which openings an agent gives back untried: those for an upstream that takes no new flows, and
//! those beyond what a cold one bears.
//!
//! Load pattern: all balancers see an upstream come back at the same moment, cold and idle, and each
//! sends it new flows. Only the agent sees the sum.

use std::collections::VecDeque;

use super::types::ForwardMetadata;
use super::votes::{Validity, Votes};
use crate::flow::Millis;

/// Votes on whether the upstream takes new flows; balancers in touch learn of a change sooner.
const LEAVING_VALIDITY: Validity = Validity { yes_ms: 2_000, no_ms: 2_000 };
/// Votes on whether the upstream is cold. Balancers that were told to come later say nothing until
/// then.
const COLD_VALIDITY: Validity = Validity { yes_ms: 5_000, no_ms: 2_000 };
/// How long an upstream that may just have started counts as cold without a balancer's vote.
const RESTART_SUSPECTED_MS: Millis = 2_000;
/// Shortest span in which openings are counted.
const WINDOW_MIN_MS: Millis = 1_000;
/// Openings remembered at most; no upstream bears more while it is cold.
const ADMITTED_MAX: usize = 1_024;

/// Why an opening goes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// The upstream takes no new flows.
    NotAccepting,
    /// It is cold, and bears no further one for so long.
    RateLimited { for_ms: Millis },
}

/// What balancers say of the upstream, and the openings that it took lately.
#[derive(Debug)]
pub(super) struct Admission {
    leaving: Votes,
    cold: Votes,
    /// Until when the upstream may be cold without any balancer knowing.
    restart_suspected_until_ms: Millis,
    /// Whether the upstream has said anything since the process started.
    upstream_seen: bool,
    admitted_ms: VecDeque<Millis>,
    /// Openings given back that were told to come later.
    deferred: usize,
    /// Since when openings are counted.
    counted_since_ms: Option<Millis>,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            leaving: Votes::new(LEAVING_VALIDITY),
            cold: Votes::new(COLD_VALIDITY),
            restart_suspected_until_ms: 0,
            upstream_seen: false,
            admitted_ms: VecDeque::new(),
            deferred: 0,
            counted_since_ms: None,
        }
    }
}

impl Admission {
    /// Notes that the process runs, and from when on it sees all openings.
    pub(super) fn start_counting(&mut self, now_ms: Millis) {
        if self.counted_since_ms.is_none() {
            self.counted_since_ms = Some(now_ms);
            self.suspect_restart(now_ms);
        }
    }

    /// Notes that the upstream may just have started: lists name its earlier life for a while.
    pub(super) fn suspect_restart(&mut self, now_ms: Millis) {
        self.restart_suspected_until_ms = now_ms + RESTART_SUSPECTED_MS;
    }

    /// Notes that the upstream has said something. One that is first upstream_seen right after this process has
    /// started may have started after it.
    pub(super) fn note_upstream_activity(&mut self, now_ms: Millis) {
        let first = !std::mem::replace(&mut self.upstream_seen, true);
        if first && now_ms < self.restart_suspected_until_ms {
            self.suspect_restart(now_ms);
        }
    }

    /// Takes a balancer's vote, which comes with any packet.
    pub(super) fn record_acceptance_vote(&mut self, now_ms: Millis, metadata: &ForwardMetadata) {
        self.leaving.record(now_ms, metadata.balancer, metadata.refuses_new_flows);
    }

    /// Whether an opening may go to the upstream; one that may counts as taken.
    pub(super) fn admit(
        &mut self,
        now_ms: Millis,
        metadata: &ForwardMetadata,
    ) -> Result<(), Refusal> {
        if self.is_leaving(now_ms) {
            return Err(Refusal::NotAccepting);
        }
        let limited = metadata.limit_per_ks > 0 && self.is_cold(now_ms, metadata);
        let (count, window_ms) =
            if limited { window(metadata.limit_per_ks) } else { (ADMITTED_MAX, WINDOW_MIN_MS) };
        self.drop_admissions_before(now_ms, window_ms);
        let for_ms = if limited { self.at_limit_for(now_ms, count, window_ms) } else { 0 };
        let for_ms =
            for_ms.max(if metadata.cold { self.unknown_admissions_for(now_ms) } else { 0 });
        if limited && for_ms > 0 {
            self.deferred = (self.deferred + 1).min(2 * count);
            return Err(Refusal::RateLimited { for_ms });
        }
        self.deferred = self.deferred.saturating_sub(1);
        if self.admitted_ms.len() == ADMITTED_MAX {
            self.admitted_ms.pop_front();
        }
        self.admitted_ms.push_back(now_ms);
        Ok(())
    }

    /// More than half of the balancers upstream_seen lately say so: one that is cut off must neither close an
    /// upstream nor open it.
    fn is_leaving(&mut self, now_ms: Millis) -> bool {
        let (yes, all) = self.leaving.count(now_ms);
        2 * yes > all
    }

    /// A balancer that says so knows; one that does not may have an old view.
    fn is_cold(&mut self, now_ms: Millis, metadata: &ForwardMetadata) -> bool {
        self.cold.record(now_ms, metadata.balancer, metadata.cold);
        let (yes, all) = self.cold.count(now_ms);
        metadata.cold || (yes > 0 && 2 * yes >= all) || now_ms < self.restart_suspected_until_ms
    }

    fn drop_admissions_before(&mut self, now_ms: Millis, window_ms: Millis) {
        let is_old = |admitted_ms: &Millis| now_ms.saturating_sub(*admitted_ms) > window_ms;
        while self.admitted_ms.front().is_some_and(is_old) {
            self.admitted_ms.pop_front();
        }
    }

    /// How long the upstream is full. Each opening that is given back gets a place of its own among
    /// those that come later, so that the next one taken meets one balancer, not all.
    fn at_limit_for(&self, now_ms: Millis, count: usize, window_ms: Millis) -> Millis {
        let Some(surplus) = self.admitted_ms.len().checked_sub(count) else { return 0 };
        let admitted_ms = self.admitted_ms[surplus + self.deferred % count];
        let rounds = (self.deferred / count) as Millis;
        (admitted_ms + (1 + rounds) * window_ms + 1).saturating_sub(now_ms)
    }

    /// How long openings may still count that this process's predecessor took.
    fn unknown_admissions_for(&self, now_ms: Millis) -> Millis {
        let until_ms =
            self.counted_since_ms.map_or(0, |counted_since_ms| counted_since_ms + WINDOW_MIN_MS);
        until_ms.saturating_sub(now_ms)
    }
}

/// Openings, and the span in which there may be so many: a second, or longer where an upstream
/// bears less than one a second.
fn window(per_ks: u32) -> (usize, Millis) {
    let count = (per_ks / 1_000).clamp(1, ADMITTED_MAX as u32);
    let window_ms = u64::from(count) * 1_000_000 / u64::from(per_ks);
    (count as usize, window_ms.max(WINDOW_MIN_MS))
}
