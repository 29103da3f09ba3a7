//! Which upstreams may hold a flow, and in which order they are asked.
//!
//! After a route has left a service, callers continue flows that are open there, and the fabric may
//! hand them to balancers that do not know them. The first ranks of the former services come right
//! after those of the current ones, so that such a flow is found in a few steps.

use std::cmp::Reverse;
use std::net::Ipv4Addr;

use super::placement::PLACEMENT_RANKS;
use super::survey::Survey;
use crate::flow::{FlowKey, Millis};
use crate::membership;
use crate::rank;
use crate::view::{ServiceStamp, ShortStamp, Upstream, View};

/// Services at which a flow may be open.
#[derive(Default)]
struct Services {
    /// Those that its route leads to.
    current: Vec<ServiceStamp>,
    /// Those that its route has left.
    former: Vec<ServiceStamp>,
    /// Services that its route may have left without this balancer's knowledge: those of routes
    /// with the same address. They belong to the same client account.
    suspected: Vec<ServiceStamp>,
}

impl Services {
    fn of(view: &View, flow: FlowKey, now_ms: Millis) -> Self {
        let Some(route) = view.routes.find(flow.endpoint) else { return Self::default() };
        let history = view.history();
        let current: Vec<ServiceStamp> = route.services().collect();
        let former = excluding(history.former_services_of(now_ms, flow.endpoint), &current);
        if history.is_complete(now_ms) {
            return Self { current, former, ..Self::default() };
        }
        let known = [&current[..], &former[..]].concat();
        let same_address = view.routes.routes_at(*flow.endpoint.ip()).iter();
        let suspected = excluding(same_address.flat_map(|route| route.services()), &known);
        Self { current, former, suspected }
    }

    fn contain(&self, mut is_match: impl FnMut(ServiceStamp) -> bool) -> bool {
        let mut services = self.current.iter().chain(&self.former).chain(&self.suspected);
        services.any(|service| is_match(*service))
    }
}

/// What the candidates of a flow depend on, besides the flow.
#[derive(Clone, Copy)]
pub(super) struct Sources<'a> {
    pub(super) now_ms: Millis,
    pub(super) view: &'a View,
    pub(super) survey: &'a Survey,
}

impl Sources<'_> {
    /// Upstreams that may hold a flow, most likely first.
    pub(super) fn candidates(&self, flow: FlowKey) -> Vec<Upstream> {
        let Self { now_ms, view, survey } = *self;
        let services = Services::of(view, flow, now_ms);
        let mut candidates = ranked(view, flow, now_ms, &services.current);
        let holders: Vec<Upstream> = survey
            .holders(now_ms, view, flow)
            .filter(|upstream| !membership::is_gone(upstream.standing, now_ms))
            .filter(|upstream| !services.contain(|service| service == upstream.service))
            .copied()
            .collect();
        let former = ranked(view, flow, now_ms, &services.former);
        let (likely, unlikely) = former.split_at(PLACEMENT_RANKS.min(former.len()));
        let first = PLACEMENT_RANKS.min(candidates.len());
        candidates.splice(first..first, likely.iter().chain(&holders).copied());
        candidates.extend_from_slice(unlikely);
        candidates.extend(ranked(view, flow, now_ms, &services.suspected));
        candidates
    }

    /// The service of the upstream at an address, if packets of a flow may be addressed to it. The
    /// address may have gone to an upstream of another service since the flow was found there.
    pub(super) fn service_to_ask(&self, flow: FlowKey, address: Ipv4Addr) -> Option<ServiceStamp> {
        let upstream = self.view.upstream_at(address)?;
        let service = upstream.service;
        let may_ask = || {
            Services::of(self.view, flow, self.now_ms).contain(|other| other == service)
                || self.survey.may_hold(self.now_ms, flow, upstream)
        };
        let route = self.view.routes.find(flow.endpoint)?;
        let is_current = route.services().any(|current| current == service);
        (is_current || may_ask()).then_some(service)
    }

    /// Whether a flow may be open at an upstream of a service with this short stamp.
    pub(super) fn may_be_open_at(&self, flow: FlowKey, service: ShortStamp) -> bool {
        let services = Services::of(self.view, flow, self.now_ms);
        services.contain(|other| other.short() == service)
    }

    /// Upstreams that no search for this flow asks. If the route may have led to their services
    /// without this balancer's knowledge, the flow may be open there; but they may belong to another
    /// client account.
    pub(super) fn unasked(&self, flow: FlowKey) -> Vec<Ipv4Addr> {
        let mut asked: Vec<Ipv4Addr> =
            self.candidates(flow).into_iter().map(|upstream| upstream.address).collect();
        asked.sort_unstable();
        let addresses = self.view.all_upstreams().map(|upstream| upstream.address);
        let unasked = addresses.filter(|address| asked.binary_search(address).is_err());
        unasked.filter(|address| self.may_hold_earlier_flows(*address)).collect()
    }

    /// Whether the upstream at this address may hold flows from before the history began.
    pub(super) fn may_hold_earlier_flows(&self, address: Ipv4Addr) -> bool {
        self.view.upstream_at(address).is_some_and(|upstream| {
            !membership::is_gone(upstream.standing, self.now_ms) && !self.survey.is_new(upstream)
        })
    }
}

fn excluding(
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
