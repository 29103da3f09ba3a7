//! Where a new flow goes.

use std::cmp::Reverse;
use std::net::Ipv4Addr;

use super::flows::Entry;
use super::loads::LoadTable;
use crate::flow::{FlowKey, Millis};
use crate::membership;
use crate::rank;
use crate::view::{ServiceStamp, Standing, Upstream, View};

/// Upstreams of the first ranks among which load decides. More would spread flows further from
/// their first rank, and a balancer without memory would ask longer.
const PLACEMENT_RANKS: usize = 3;

/// The service of a flow's endpoint.
pub(super) fn service_of(view: &View, flow: FlowKey) -> Option<ServiceStamp> {
    view.routes.find(flow.endpoint)?.service_of(flow)
}

/// Chooses the upstream of a new flow among those that did not deny it; one that was asked before
/// comes only after all others.
pub(super) fn place(
    now_ms: Millis,
    view: &View,
    service: ServiceStamp,
    flow: FlowKey,
    entry: &Entry,
    loads: &LoadTable,
) -> Option<Ipv4Addr> {
    let usable = |upstream: &&Upstream| !entry.has_denied(upstream.address);
    let is_ready = |upstream: &&Upstream| upstream.standing == Standing::Ready;
    let all = view.upstreams_of(service);
    let mut open: Vec<&Upstream> = all.iter().filter(is_ready).filter(usable).collect();
    if open.is_empty() && !all.iter().any(|upstream| upstream.standing == Standing::Ready) {
        // All entries of a service go at once only when the list itself had a fault.
        open = all.iter().filter(|u| is_silent(u, now_ms)).filter(usable).collect();
    }
    open.sort_by_key(|upstream| {
        (
            entry.has_asked(upstream.address),
            loads.is_suspect(now_ms, upstream),
            Reverse(rank::score(flow, upstream.address)),
        )
    });
    let first = open.first()?;
    let class = |upstream: &Upstream| {
        (entry.has_asked(upstream.address), loads.is_suspect(now_ms, upstream))
    };
    let best = open
        .iter()
        .take(PLACEMENT_RANKS)
        .filter(|upstream| class(upstream) == class(first))
        .min_by_key(|upstream| (loads.load(now_ms, upstream), loads.is_far(upstream)))?;
    Some(best.address)
}

fn is_silent(upstream: &Upstream, now_ms: Millis) -> bool {
    let missing = matches!(upstream.standing, Standing::Missing { drained: false, .. });
    missing && !membership::is_gone(upstream.standing, now_ms)
}
