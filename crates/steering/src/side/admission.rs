//! Decides which openings an agent returns without passing them to the upstream: those for an
//! upstream that accepts no new flows, and those that exceed the rate limit of a cold one.
//!
//! When an upstream comes back, cold and idle, all balancers see it at the same moment and each
//! sends it new flows. Only the agent sees the total.

use std::collections::VecDeque;

use super::types::ForwardMetadata;
use super::votes::{Validity, Votes};
use crate::flow::Millis;

/// How long votes on whether the upstream accepts new flows count. Balancers that are in contact
/// learn of a change sooner than this.
const LEAVING_VALIDITY: Validity = Validity { yes_ms: 2_000, no_ms: 2_000 };
/// How long votes on whether the upstream is cold count. A balancer whose opening was refused with
/// a retry delay sends no vote until the delay has passed.
const COLD_VALIDITY: Validity = Validity { yes_ms: 5_000, no_ms: 2_000 };
/// How long an upstream that may just have started counts as cold without a vote from a balancer.
const RESTART_SUSPECTED_MS: Millis = 2_000;
/// Shortest window over which openings are counted.
const WINDOW_MIN_MS: Millis = 1_000;
/// Maximum number of recorded admissions. No upstream can handle more while it is cold.
const ADMITTED_MAX: usize = 1_024;

/// Why an opening is returned to the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// The upstream accepts no new flows.
    NotAccepting,
    /// The upstream is cold and accepts no further opening for this long.
    RateLimited { for_ms: Millis },
    /// Callers of the upstream are giving up, and it should get no further opening for this long.
    Overloaded { for_ms: Millis },
}

/// The balancers' votes on the upstream, and its recent admissions.
#[derive(Debug)]
pub(super) struct Admission {
    leaving: Votes,
    cold: Votes,
    /// Until when the upstream may be cold without any balancer knowing.
    restart_suspected_until_ms: Millis,
    /// Whether any packet from the upstream has arrived since this process started.
    upstream_seen: bool,
    admitted_ms: VecDeque<Millis>,
    /// Number of openings that were refused with a retry delay.
    deferred: usize,
    /// Since when this process has counted all openings.
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
    /// Notes that the process is running. From the first call on, it sees all openings.
    pub(super) fn start_counting(&mut self, now_ms: Millis) {
        if self.counted_since_ms.is_none() {
            self.counted_since_ms = Some(now_ms);
            self.suspect_restart(now_ms);
        }
    }

    /// Notes that the upstream may just have started. Published lists show its previous incarnation
    /// for a while.
    pub(super) fn suspect_restart(&mut self, now_ms: Millis) {
        self.restart_suspected_until_ms = now_ms + RESTART_SUSPECTED_MS;
    }

    /// Notes a packet from the upstream. If the first one arrives shortly after this process has
    /// started, the upstream may have started after it.
    pub(super) fn note_upstream_activity(&mut self, now_ms: Millis) {
        let first = !std::mem::replace(&mut self.upstream_seen, true);
        if first && now_ms < self.restart_suspected_until_ms {
            self.suspect_restart(now_ms);
        }
    }

    /// Records a balancer's vote on whether the upstream accepts new flows; every packet carries
    /// one.
    pub(super) fn record_acceptance_vote(&mut self, now_ms: Millis, metadata: &ForwardMetadata) {
        self.leaving.record(now_ms, metadata.balancer, metadata.refuses_new_flows);
    }

    /// Decides whether an opening may go to the upstream, and counts it if so.
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

    /// Requires a majority of the balancers that voted recently: a single balancer that is cut off
    /// must neither close an upstream nor open it.
    fn is_leaving(&mut self, now_ms: Millis) -> bool {
        let (yes, all) = self.leaving.count(now_ms);
        2 * yes > all
    }

    /// Believes a balancer that reports the upstream as cold. One that does not may have an
    /// outdated view.
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

    /// How long the upstream stays at its limit. Each refused opening gets a retry time of its own,
    /// so that the next free admission is contended by one balancer instead of all of them.
    fn at_limit_for(&self, now_ms: Millis, count: usize, window_ms: Millis) -> Millis {
        let Some(surplus) = self.admitted_ms.len().checked_sub(count) else { return 0 };
        let admitted_ms = self.admitted_ms[surplus + self.deferred % count];
        let rounds = (self.deferred / count) as Millis;
        (admitted_ms + (1 + rounds) * window_ms + 1).saturating_sub(now_ms)
    }

    /// How long admissions by the previous incarnation of this process may still count towards the
    /// limit.
    fn unknown_admissions_for(&self, now_ms: Millis) -> Millis {
        let until_ms =
            self.counted_since_ms.map_or(0, |counted_since_ms| counted_since_ms + WINDOW_MIN_MS);
        until_ms.saturating_sub(now_ms)
    }
}

/// Number of openings and the length of the window in which they are allowed: one second, or longer
/// if the upstream can handle less than one opening per second.
fn window(per_ks: u32) -> (usize, Millis) {
    let count = (per_ks / 1_000).clamp(1, ADMITTED_MAX as u32);
    let window_ms = u64::from(count) * 1_000_000 / u64::from(per_ks);
    (count as usize, window_ms.max(WINDOW_MIN_MS))
}
