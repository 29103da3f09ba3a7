//! Which upstreams may hold a flow, and in which order they are asked.
//!
//! Load pattern: a route has just left a service, callers go on with flows that are open there, and
//! the fabric hands them to balancers that do not know them. The first ranks of the services before
//! come right after those of the present ones, so that such a flow is found in a few steps.

use std::cmp::Reverse;

use crate::flow::{FlowKey, Millis};
use crate::membership;
use crate::rank;
use crate::view::{ServiceStamp, Upstream, View};

/// Ranks of a service's upstreams among which nearly all flows were placed.
const FIRST_RANKS: usize = 3;

/// Upstreams that may hold a flow, best guess first.
pub(super) fn candidates(view: &View, flow: FlowKey, now_ms: Millis) -> Vec<Upstream> {
    let Some(route) = view.routes.find(flow.endpoint) else { return Vec::new() };
    let mut services: Vec<ServiceStamp> = route.shares.iter().map(|share| share.service).collect();
    let mut candidates = ranked(view, flow, now_ms, &services);
    let history = view.history();

    let former = without(history.of(now_ms, flow.endpoint), &services);
    let left = ranked(view, flow, now_ms, &former);
    let (likely, unlikely) = left.split_at(FIRST_RANKS.min(left.len()));
    let first = FIRST_RANKS.min(candidates.len());
    candidates.splice(first..first, likely.iter().copied());
    candidates.extend_from_slice(unlikely);

    if !history.is_whole(now_ms) {
        services.extend(former);
        let suspected = without(neighbors(view, flow), &services);
        candidates.extend(ranked(view, flow, now_ms, &suspected));
    }
    candidates
}

/// Whether a flow may be open where nobody looks: no route leads to some service any more, and which
/// ones did is not known. It may be another client account's, so that it is not asked.
pub(super) fn may_be_elsewhere(view: &View, flow: FlowKey, now_ms: Millis) -> bool {
    let history = view.history();
    let is_known = |service: ServiceStamp| history.of(now_ms, flow.endpoint).any(|s| s == service);
    let mut unrouted = view.routes.unrouted().iter();
    !history.is_whole(now_ms)
        && unrouted.any(|service| !is_known(*service) && !view.upstreams_of(*service).is_empty())
}

/// Whether a flow may be open at an upstream of this service.
pub(super) fn may_lead_to(
    view: &View,
    flow: FlowKey,
    service: ServiceStamp,
    now_ms: Millis,
) -> bool {
    let Some(route) = view.routes.find(flow.endpoint) else { return false };
    let history = view.history();
    let mut now = route.shares.iter().map(|share| share.service);
    let mut before = history.of(now_ms, flow.endpoint);
    let mut unknown = neighbors(view, flow).chain(view.routes.unrouted().iter().copied());
    let is_it = |other: ServiceStamp| other == service;
    now.any(is_it) || before.any(is_it) || (!history.is_whole(now_ms) && unknown.any(is_it))
}

/// Services that routes of the same address lead to. They belong to the same client account, so that
/// the route may have left them while nobody here could know.
fn neighbors(view: &View, flow: FlowKey) -> impl Iterator<Item = ServiceStamp> + '_ {
    let same = view.routes.routes_at(*flow.endpoint.ip()).iter();
    same.flat_map(|route| route.shares.iter().map(|share| share.service))
}

fn without(
    services: impl Iterator<Item = ServiceStamp>,
    known: &[ServiceStamp],
) -> Vec<ServiceStamp> {
    let mut others: Vec<ServiceStamp> =
        services.filter(|service| !known.contains(service)).collect();
    others.sort_unstable();
    others.dedup();
    others
}

fn ranked(view: &View, flow: FlowKey, now_ms: Millis, services: &[ServiceStamp]) -> Vec<Upstream> {
    let mut ranked: Vec<(u64, Upstream)> = services
        .iter()
        .flat_map(|service| view.upstreams_of(*service))
        .filter(|upstream| !membership::is_gone(upstream.standing, now_ms))
        .map(|upstream| (rank::score(flow, upstream.address), *upstream))
        .collect();
    ranked.sort_by_key(|(score, upstream)| (Reverse(*score), upstream.address));
    ranked.into_iter().map(|(_, upstream)| upstream).collect()
}
