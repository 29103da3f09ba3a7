//! What a balancer knows about the load and the responsiveness of each upstream.

use std::net::Ipv4Addr;

use super::delay::{ExpectedDelay, KnownLoad, ReportedServiceTime, TypicalLoad};
use super::typical::TypicalLoads;
use crate::flow::Millis;
use crate::policy::Policy;
use crate::side::LoadEstimate;
use crate::view::{ServiceStamp, Upstream, View, ZoneStamp};

/// A load report expires after this time; requests take tens of milliseconds.
const REPORT_TTL_MS: Millis = 500;
/// A reported service time expires after this time. It changes more slowly than counts of requests,
/// and most upstreams send a balancer less than one report in 500 ms.
const SERVICE_TIME_TTL_MS: Millis = 10_000;
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
/// Longest time for which the refusal of an overloaded upstream's agent keeps openings away. It is
/// the same as for the limit of a warm upstream, for which balancers of earlier releases take it.
const OVERLOAD_MAX_MS: Millis = RATE_LIMIT_WARM_MAX_MS;
/// Weight of a cold upstream's load, in halves: it needs 1.6 times as long per request.
const COLD_WEIGHT: u32 = 3;
const WARM_WEIGHT: u32 = 2;

#[derive(Clone, Copy, Debug)]
struct Load {
    address: Ipv4Addr,
    /// The upstream's incarnation; the entry is discarded when it changes.
    born_ms: u64,
    busy: u32,
    queued: u32,
    placed: u32,
    updated_ms: Millis,
    /// Whether the counts come from a report; otherwise, only placements are known.
    reported: bool,
    service_time: Option<ReportedServiceTime>,
    service_time_at_ms: Millis,
    suspect_until_ms: Millis,
    suspect_backoff_ms: Millis,
    /// Until when it takes no openings because it is cold.
    rate_limited_until_ms: Millis,
    /// Whether the view listed it as cold when the limit was reported.
    rate_limited_while_cold: bool,
    /// Until when it takes no openings because it is overloaded.
    overloaded_until_ms: Millis,
}

/// Loads, sorted by address.
#[derive(Default)]
pub(super) struct LoadTable {
    loads: Vec<Load>,
    policy: Policy,
    /// The balancer's own availability zone.
    zone: ZoneStamp,
    typical: TypicalLoads,
    placed_beyond_ranks: u64,
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

    /// Records a report that `busy` requests are in progress, and the estimate in it.
    pub(super) fn record_report(
        &mut self,
        now_ms: Millis,
        view: &View,
        address: Ipv4Addr,
        busy: u8,
        estimate: Option<LoadEstimate>,
    ) {
        let cold = view.upstream_at(address).is_some_and(|upstream| upstream.is_cold(now_ms));
        let LoadEstimate { queued, service_time_ms } = estimate.unwrap_or_default();
        let load = self.entry(view, address);
        if service_time_ms > 0 {
            load.service_time = Some(ReportedServiceTime { mean_ms: service_time_ms, cold });
            load.service_time_at_ms = now_ms;
        }
        load.busy = u32::from(busy);
        load.queued = u32::from(queued);
        load.reported = true;
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
            load.queued = 0;
            load.reported = false;
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

    /// Records that an overloaded upstream should get no opening for this long.
    pub(super) fn record_overload(
        &mut self,
        now_ms: Millis,
        view: &View,
        address: Ipv4Addr,
        for_ms: Millis,
    ) {
        let until_ms = now_ms + for_ms.min(OVERLOAD_MAX_MS);
        self.entry(view, address).overloaded_until_ms = until_ms;
    }

    /// Whether an upstream takes no openings at present because it is overloaded.
    pub(super) fn is_overloaded(&self, now_ms: Millis, upstream: &Upstream) -> bool {
        self.overloaded_until_ms(upstream) > now_ms
    }

    /// Until when an upstream takes no openings because it is overloaded; zero if it never was.
    pub(super) fn overloaded_until_ms(&self, upstream: &Upstream) -> Millis {
        self.find(upstream).map_or(0, |load| load.overloaded_until_ms)
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

    /// Whether upstreams are compared by their expected delay.
    pub(super) fn knows_delays(&self) -> bool {
        self.policy.load && self.policy.delay_placement
    }

    /// The delay that a new request is expected to have at an upstream.
    pub(super) fn expected_delay(
        &self,
        now_ms: Millis,
        upstream: &Upstream,
        typical: TypicalLoad,
        slo_ms: u32,
    ) -> ExpectedDelay {
        let known = self.find(upstream).map_or(KnownLoad::default(), |load| load.known(now_ms));
        let is_cold = upstream.is_cold(now_ms);
        let cold_weight =
            if is_cold { f64::from(COLD_WEIGHT) / f64::from(WARM_WEIGHT) } else { 1.0 };
        ExpectedDelay::new(known, typical, upstream.slots, cold_weight, slo_ms)
    }

    /// Typical values of a service, which stand in for what is not known of its upstreams.
    pub(super) fn typical_load(
        &mut self,
        now_ms: Millis,
        view: &View,
        service: ServiceStamp,
    ) -> TypicalLoad {
        let Self { loads, typical, .. } = self;
        typical.get(now_ms, service, || {
            // Both lists are sorted by address.
            let mut loads = loads.iter().peekable();
            view.upstreams_of(service).iter().filter_map(move |upstream| {
                while loads.next_if(|load| load.address < upstream.address).is_some() {}
                let load = loads.next_if(|load| load.address == upstream.address)?;
                (load.born_ms == upstream.born_ms).then(|| load.known(now_ms))
            })
        })
    }

    /// Smallest and largest service time that was known at the latest placements.
    pub(super) fn service_time_range_ms(&self, now_ms: Millis) -> Option<(u16, u16)> {
        self.typical.service_time_range_ms(now_ms)
    }

    /// Counts a flow that was placed beyond the first ranks.
    pub(super) fn count_placement_beyond_ranks(&mut self) {
        self.placed_beyond_ranks += 1;
    }

    /// Number of flows that were placed beyond the first ranks.
    pub(super) fn placed_beyond_ranks(&self) -> u64 {
        self.placed_beyond_ranks
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
            queued: 0,
            placed: 0,
            updated_ms: 0,
            reported: false,
            service_time: None,
            service_time_at_ms: 0,
            suspect_until_ms: 0,
            suspect_backoff_ms: 0,
            rate_limited_until_ms: 0,
            rate_limited_while_cold: false,
            overloaded_until_ms: 0,
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

impl Load {
    /// What is known at present.
    fn known(&self, now_ms: Millis) -> KnownLoad {
        let is_fresh = now_ms.saturating_sub(self.updated_ms) < REPORT_TTL_MS;
        let has_service_time = now_ms.saturating_sub(self.service_time_at_ms) < SERVICE_TIME_TTL_MS;
        KnownLoad {
            requests: (is_fresh && self.reported).then_some(self.busy + self.queued),
            placed: if is_fresh { self.placed } else { 0 },
            service_time: self.service_time.filter(|_| has_service_time),
        }
    }
}
