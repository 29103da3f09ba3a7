//! What a balancer knows about the load and the responsiveness of each upstream.

use std::net::Ipv4Addr;

use crate::flow::Millis;
use crate::policy::Policy;
use crate::view::{Upstream, View, ZoneStamp};

/// A load report expires after this time; requests take tens of milliseconds.
const REPORT_TTL_MS: Millis = 500;
/// First time for which an upstream that left an opening unanswered is skipped. It doubles each
/// time, so that an upstream that is gone costs little. Agents that were killed are back within
/// half a second: if they were skipped for longer, the other upstreams would take all of the load
/// after an outage.
const SUSPECT_BACKOFF_MS: Millis = 200;
/// Longest time for which an unresponsive upstream is skipped.
const SUSPECT_BACKOFF_MAX_MS: Millis = 1_600;
/// Longest time for which an agent's report keeps openings away from an upstream that is known to
/// be cold, and from one that only its agent considers cold.
const RATE_LIMIT_MAX_MS: Millis = 5_000;
const RATE_LIMIT_WARM_MAX_MS: Millis = 1_000;
/// Weight of a cold upstream's load, in halves: it needs 1.6 times as long per request.
const COLD_WEIGHT: u32 = 3;
const WARM_WEIGHT: u32 = 2;

#[derive(Clone, Copy, Debug)]
struct Load {
    address: Ipv4Addr,
    /// The upstream's incarnation; the entry is discarded when it changes.
    born_ms: u64,
    busy: u32,
    placed: u32,
    updated_ms: Millis,
    suspect_until_ms: Millis,
    suspect_backoff_ms: Millis,
    /// Until when it takes no openings because it is cold.
    rate_limited_until_ms: Millis,
    /// Whether the view listed it as cold when the limit was reported.
    rate_limited_while_cold: bool,
}

/// Loads, sorted by address.
#[derive(Default)]
pub(super) struct LoadTable {
    loads: Vec<Load>,
    policy: Policy,
    /// The balancer's own availability zone.
    zone: ZoneStamp,
}

impl LoadTable {
    /// A table without any loads.
    pub(super) fn with_policy(policy: Policy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Sets the availability zone whose upstreams are preferred.
    pub(super) fn set_zone(&mut self, zone: ZoneStamp) {
        self.zone = zone;
    }

    /// Whether an upstream is in another availability zone, where bodies cost more and take longer.
    pub(super) fn is_in_other_zone(&self, upstream: &Upstream) -> bool {
        self.policy.zone_affinity && upstream.zone != self.zone
    }

    /// Records a report that `busy` requests are in progress.
    pub(super) fn record_report(
        &mut self,
        now_ms: Millis,
        view: &View,
        address: Ipv4Addr,
        busy: u8,
    ) {
        let load = self.entry(view, address);
        load.busy = u32::from(busy);
        load.placed = 0;
        load.updated_ms = now_ms;
        load.suspect_until_ms = 0;
        load.suspect_backoff_ms = 0;
    }

    /// Records that a flow was placed.
    pub(super) fn record_placement(&mut self, now_ms: Millis, view: &View, address: Ipv4Addr) {
        let load = self.entry(view, address);
        if now_ms.saturating_sub(load.updated_ms) >= REPORT_TTL_MS {
            load.busy = 0;
            load.placed = 0;
            load.updated_ms = now_ms;
        }
        load.placed += 1;
    }

    /// Records that an opening was not answered.
    pub(super) fn record_no_reply(&mut self, now_ms: Millis, view: &View, address: Ipv4Addr) {
        let load = self.entry(view, address);
        if load.suspect_until_ms > now_ms {
            return;
        }
        load.suspect_backoff_ms =
            (load.suspect_backoff_ms * 2).clamp(SUSPECT_BACKOFF_MS, SUSPECT_BACKOFF_MAX_MS);
        load.suspect_until_ms = now_ms + load.suspect_backoff_ms;
    }

    /// Records that a cold upstream takes no openings for this long.
    pub(super) fn record_rate_limit(
        &mut self,
        now_ms: Millis,
        view: &View,
        address: Ipv4Addr,
        for_ms: Millis,
    ) {
        let is_cold = view.upstream_at(address).is_some_and(|upstream| upstream.is_cold(now_ms));
        let max_ms = if is_cold { RATE_LIMIT_MAX_MS } else { RATE_LIMIT_WARM_MAX_MS };
        let load = self.entry(view, address);
        load.rate_limited_until_ms = now_ms + for_ms.min(max_ms);
        load.rate_limited_while_cold = is_cold;
    }

    /// Whether a cold upstream takes no openings at present. A limit that was reported while it was
    /// cold ends when it is no longer cold.
    pub(super) fn is_rate_limited(&self, now_ms: Millis, upstream: &Upstream) -> bool {
        let is_in_force = |load: &Load| {
            let is_over = load.rate_limited_while_cold && !upstream.is_cold(now_ms);
            load.rate_limited_until_ms > now_ms && !is_over
        };
        self.find(upstream).is_some_and(is_in_force)
    }

    /// Whether an upstream is skipped because it did not answer.
    pub(super) fn is_suspect(&self, now_ms: Millis, upstream: &Upstream) -> bool {
        self.policy.suspicion
            && self.find(upstream).is_some_and(|load| load.suspect_until_ms > now_ms)
    }

    /// Load of an upstream; smaller is better.
    pub(super) fn load(&self, now_ms: Millis, upstream: &Upstream) -> u32 {
        if !self.policy.load {
            return 0;
        }
        let weight = if upstream.is_cold(now_ms) { COLD_WEIGHT } else { WARM_WEIGHT };
        let load = self.find(upstream);
        let fresh = load.filter(|load| now_ms.saturating_sub(load.updated_ms) < REPORT_TTL_MS);
        fresh.map_or(0, |load| load.busy + load.placed) * weight
    }

    fn find(&self, upstream: &Upstream) -> Option<&Load> {
        let key = |load: &Load| load.address;
        let index = self.loads.binary_search_by_key(&upstream.address, key).ok()?;
        Some(&self.loads[index]).filter(|load| load.born_ms == upstream.born_ms)
    }

    fn entry(&mut self, view: &View, address: Ipv4Addr) -> &mut Load {
        let born_ms = view.upstream_at(address).map_or(0, |upstream| upstream.born_ms);
        let blank = Load {
            address,
            born_ms,
            busy: 0,
            placed: 0,
            updated_ms: 0,
            suspect_until_ms: 0,
            suspect_backoff_ms: 0,
            rate_limited_until_ms: 0,
            rate_limited_while_cold: false,
        };
        let index = match self.loads.binary_search_by_key(&address, |load| load.address) {
            Ok(index) => index,
            Err(index) => {
                self.loads.insert(index, blank);
                index
            }
        };
        if self.loads[index].born_ms != born_ms {
            self.loads[index] = blank;
        }
        &mut self.loads[index]
    }
}
