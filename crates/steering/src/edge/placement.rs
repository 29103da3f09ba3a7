//! Chooses the upstream of a new flow.

use std::cmp::Reverse;
use std::net::Ipv4Addr;

use super::delay::WIDE_RANKS;
use super::flows::Entry;
use super::loads::LoadTable;
use super::types::Reason;
use crate::flow::{FlowKey, Millis};
use crate::membership;
use crate::rank;
use crate::view::{ServiceStamp, Standing, Upstream, View};

/// Number of first-ranked upstreams among which the load decides. With more, flows would be spread
/// further from their first rank, and a balancer without an entry would need more queries to find
/// them.
pub(super) const PLACEMENT_RANKS: usize = 3;

/// The service of a flow's endpoint.
pub(super) fn service_of(view: &View, flow: FlowKey) -> Option<ServiceStamp> {
    view.routes.find(flow.endpoint)?.service_of(flow)
}

/// What a placement depends on, besides the flow.
pub(super) struct Placement<'a> {
    pub(super) now_ms: Millis,
    pub(super) view: &'a View,
    pub(super) loads: &'a mut LoadTable,
}

impl<'a> Placement<'a> {
    /// Chooses the upstream of a new flow among those that did not deny it; upstreams that were
    /// already asked come after all others. If there is none, returns the reason.
    pub(super) fn place(
        &mut self,
        service: ServiceStamp,
        flow: FlowKey,
        entry: &Entry,
    ) -> Result<Ipv4Addr, Reason> {
        let open = self.eligible_upstreams(service, flow, entry)?;
        let open = self.without_overloaded(flow, open)?;
        let class = |upstream: &Upstream| {
            (entry.visits.has_asked(upstream.address), self.loads.is_suspect(self.now_ms, upstream))
        };
        let mut ranked: Vec<(_, &Upstream)> =
            open.into_iter().map(|upstream| (class(upstream), upstream)).collect();
        ranked.sort_by_key(|(class, upstream)| {
            (*class, Reverse(rank::score(flow, upstream.address)))
        });
        let first = ranked.first().map(|(class, _)| *class).ok_or(Reason::Unknown)?;
        let compared: Vec<&Upstream> = ranked
            .into_iter()
            .take(WIDE_RANKS)
            .take_while(|(class, _)| *class == first)
            .map(|(_, upstream)| upstream)
            .collect();
        let narrow = &compared[..compared.len().min(PLACEMENT_RANKS)];
        if self.loads.knows_delays() {
            return self.place_by_delay(service, flow, narrow, &compared).ok_or(Reason::Unknown);
        }
        let best = narrow.iter().min_by_key(|upstream| {
            (self.loads.load(self.now_ms, upstream), self.loads.is_in_other_zone(upstream))
        });
        best.map(|upstream| upstream.address).ok_or(Reason::Unknown)
    }

    /// Chooses the upstream that is expected to answer soonest. The wider selection is compared
    /// only if none of the narrow one is expected to answer within the SLO.
    fn place_by_delay(
        &mut self,
        service: ServiceStamp,
        flow: FlowKey,
        narrow: &[&Upstream],
        wide: &[&Upstream],
    ) -> Option<Ipv4Addr> {
        let typical = self.loads.typical_load(self.now_ms, self.view, service);
        let slo_ms = self.view.routes.find(flow.endpoint).map_or(0, |route| route.slo_ms);
        let best_of = |upstreams: &[&Upstream]| {
            let delay = |upstream: &Upstream| {
                self.loads.expected_delay(self.now_ms, upstream, typical, slo_ms)
            };
            let preference = |(_, upstream): &(usize, &Upstream)| {
                delay(upstream).preference(slo_ms, self.loads.is_in_other_zone(upstream))
            };
            let best = upstreams.iter().copied().enumerate().min_by_key(preference);
            best.map(|(rank, upstream)| (rank, upstream.address, delay(upstream)))
        };
        let (rank, address, delay) = best_of(narrow)?;
        if !delay.is_late(slo_ms) {
            return Some(address);
        }
        let (rank, address, _) = best_of(wide).unwrap_or((rank, address, delay));
        if rank >= PLACEMENT_RANKS {
            self.loads.count_placement_beyond_ranks();
        }
        Some(address)
    }

    /// Upstreams that may take the flow at present, overloaded or not. Each step removes some; the
    /// first step that removes all of them determines the reason.
    pub(super) fn eligible_upstreams(
        &self,
        service: ServiceStamp,
        flow: FlowKey,
        entry: &Entry,
    ) -> Result<Vec<&'a Upstream>, Reason> {
        let route = self.view.routes.find(flow.endpoint).ok_or(Reason::NoRoute)?;
        let all = self.view.upstreams_of(service).iter().collect();
        let allowed = keep_or_reason(all, Reason::RegionNotAllowed, |upstream| {
            self.view.allows(route, upstream)
        })?;
        let usable = self.ready_or_missing(allowed);
        let open = keep_or_reason(usable, Reason::ZoneClosed, |upstream| {
            !self.view.is_closed(upstream.zone)
        })?;
        let free = keep_or_reason(open, Reason::ColdLimit, |upstream| {
            !self.loads.is_rate_limited(self.now_ms, upstream)
        })?;
        keep_or_reason(free, Reason::Refused, |upstream| !entry.has_denied(upstream))
    }

    /// The ready upstreams; if there are none, those whose entries lapsed without a drain. All
    /// entries of a service lapse at once only if the list itself is at fault.
    fn ready_or_missing(&self, upstreams: Vec<&'a Upstream>) -> Vec<&'a Upstream> {
        let (ready, others): (Vec<&Upstream>, Vec<&Upstream>) =
            upstreams.into_iter().partition(|upstream| upstream.standing == Standing::Ready);
        if !ready.is_empty() {
            return ready;
        }
        others
            .into_iter()
            .filter(|upstream| is_missing_unannounced(upstream, self.now_ms))
            .collect()
    }
}

/// Removes some upstreams; if none is left, returns the reason why nothing can be placed.
pub(super) fn keep_or_reason(
    upstreams: Vec<&Upstream>,
    reason: Reason,
    keep: impl Fn(&Upstream) -> bool,
) -> Result<Vec<&Upstream>, Reason> {
    let none_before = upstreams.is_empty();
    let kept: Vec<&Upstream> = upstreams.into_iter().filter(|upstream| keep(upstream)).collect();
    if kept.is_empty() && !none_before { Err(reason) } else { Ok(kept) }
}

fn is_missing_unannounced(upstream: &Upstream, now_ms: Millis) -> bool {
    let missing = matches!(upstream.standing, Standing::Missing { drained: false, .. });
    missing && !membership::is_gone(upstream.standing, now_ms)
}
