//! Conversions between the encoded types and those of the steering core.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use steering::history::{FormerService, HistoryContents, HistorySummary};
use steering::membership::{Change, Delta, Held, UpstreamRecord};
use steering::peers::Summary;
use steering::revision::Revision;
use steering::view::{Route, RouteTable, RoutesDelta, Service, Share, ZoneStamp};

use super::StateSummary;
use super::body::{
    DeltaBody, EraBody, FormerBody, HistoryBody, HistorySummaryBody, RouteBody, RoutesBody,
    RoutesDeltaBody, SummaryBody, UpstreamBody,
};
use super::identities::{ReceivedIdentities, StatedIdentities};

pub(super) fn delta_body(delta: &Delta) -> DeltaBody {
    let mut identities = StatedIdentities::default();
    let mut body = DeltaBody {
        identities: Vec::new(),
        from_revision: delta.from_revision.number,
        listed: Vec::new(),
        gone: Vec::new(),
        zones: Vec::new(),
        routes: delta.routes.as_ref().map(|routes| routes_delta_body(&mut identities, routes)),
    };
    for change in &delta.changes {
        match change {
            Change::Listed(record) => body.listed.push(upstream_body(&mut identities, record)),
            Change::Gone(id) => body.gone.push(Arc::clone(id)),
            Change::ZoneClosed(zone) => body.zones.push((identities.position(zone.0), true)),
            Change::ZoneOpened(zone) => body.zones.push((identities.position(zone.0), false)),
        }
    }
    DeltaBody { identities: identities.into_body(), ..body }
}

/// A delta leads to a revision of the era that its message states.
pub(super) fn delta_from(era: u64, body: DeltaBody) -> Option<Delta> {
    let identities = ReceivedIdentities(body.identities);
    let listed = |body| Some(Change::Listed(record_from(&identities, body)?));
    let zone = |(zone, closed)| {
        let zone = identities.zone(zone)?;
        Some(if closed { Change::ZoneClosed(zone) } else { Change::ZoneOpened(zone) })
    };
    let listed = body.listed.into_iter().map(listed);
    let gone = body.gone.into_iter().map(|id| Some(Change::Gone(id)));
    let zones = body.zones.into_iter().map(zone);
    let changes: Option<Vec<Change>> = listed.chain(gone).chain(zones).collect();
    let routes = match body.routes {
        Some(body) => Some(routes_delta_from(&identities, body)?),
        None => None,
    };
    let from = Revision { era, number: body.from_revision };
    Some(Delta { routes, ..Delta::new(from, changes?) })
}

fn routes_delta_body(identities: &mut StatedIdentities, delta: &RoutesDelta) -> RoutesDeltaBody {
    RoutesDeltaBody {
        from_version: delta.from_version,
        from_digest: delta.from_digest,
        changed: delta.changed.iter().map(|route| route_body(identities, route)).collect(),
        removed: delta.removed.iter().copied().map(endpoint_body).collect(),
    }
}

fn routes_delta_from(
    identities: &ReceivedIdentities,
    body: RoutesDeltaBody,
) -> Option<RoutesDelta> {
    let changed = body.changed.into_iter().map(|body| route_from(identities, body));
    Some(RoutesDelta {
        from_version: body.from_version,
        from_digest: body.from_digest,
        changed: changed.collect::<Option<_>>()?,
        removed: body.removed.into_iter().map(endpoint_from).collect(),
    })
}

pub(super) fn route_body(identities: &mut StatedIdentities, route: &Route) -> RouteBody {
    let (address, port) = endpoint_body(route.endpoint);
    RouteBody {
        address,
        port,
        shares: route
            .shares
            .iter()
            .map(|share| (identities.position(share.service.0), share.weight))
            .collect(),
        slo_ms: route.slo_ms,
        repeatable: route.repeatable,
        regions: route.regions.iter().map(|region| identities.position(region.0)).collect(),
        wait_slos: route.wait_slos,
        urgent: route.urgent,
    }
}

pub(super) fn route_from(identities: &ReceivedIdentities, body: RouteBody) -> Option<Route> {
    let share = |(service, weight)| Some(Share { service: identities.service(service)?, weight });
    let region = |region| identities.region(region);
    Some(Route {
        endpoint: endpoint_from((body.address, body.port)),
        shares: body.shares.into_iter().map(share).collect::<Option<_>>()?,
        slo_ms: body.slo_ms,
        repeatable: body.repeatable,
        regions: body.regions.into_iter().map(region).collect::<Option<_>>()?,
        wait_slos: body.wait_slos,
        urgent: body.urgent,
    })
}

pub(super) fn upstream_body(
    identities: &mut StatedIdentities,
    record: &UpstreamRecord,
) -> UpstreamBody {
    UpstreamBody {
        id: Arc::clone(&record.id),
        born_ms: record.born_ms,
        address: record.address.to_bits(),
        service: identities.position(record.service.0),
        zone: identities.position(record.zone.0),
        draining: record.draining,
        warmup_left_ms: record.warmup_left_ms,
        slots: record.slots,
    }
}

pub(super) fn record_from(
    identities: &ReceivedIdentities,
    body: UpstreamBody,
) -> Option<UpstreamRecord> {
    Some(UpstreamRecord {
        id: body.id,
        born_ms: body.born_ms,
        address: Ipv4Addr::from_bits(body.address),
        service: identities.service(body.service)?,
        zone: identities.zone(body.zone)?,
        draining: body.draining,
        warmup_left_ms: body.warmup_left_ms,
        slots: body.slots,
    })
}

pub(super) fn state_summary_body(state: &StateSummary) -> SummaryBody {
    SummaryBody {
        revision: state.summary.revision.number,
        routes_version: state.summary.routes_version,
        routes_digest: state.summary.routes_digest,
        upstreams_digest: state.summary.upstreams_digest,
        whole_in_ms: state.whole_in_ms,
        history: history_summary_body(state.history),
        era: state.summary.revision.era,
        held_digest: state.summary.held_digest,
    }
}

pub(super) fn history_summary_body(summary: HistorySummary) -> HistorySummaryBody {
    let HistorySummary { version, whole_in_ms, former_digest } = summary;
    HistorySummaryBody { version, whole_in_ms, former_digest }
}

pub(super) fn history_summary_from(body: HistorySummaryBody) -> HistorySummary {
    let HistorySummaryBody { version, whole_in_ms, former_digest } = body;
    HistorySummary { version, whole_in_ms, former_digest }
}

pub(super) fn history_body(
    identities: &mut StatedIdentities,
    history: &HistoryContents,
) -> HistoryBody {
    let former = |former: &FormerService| {
        let (address, port) = endpoint_body(former.endpoint);
        let service = identities.position(former.service.0);
        FormerBody { address, port, service, left_ms: former.left_ms }
    };
    HistoryBody {
        summary: history_summary_body(history.summary),
        former: history.former.iter().map(former).collect(),
    }
}

pub(super) fn history_from(
    identities: &ReceivedIdentities,
    routes_version: u64,
    body: HistoryBody,
) -> Option<HistoryContents> {
    let former = |body: FormerBody| {
        Some(FormerService {
            endpoint: endpoint_from((body.address, body.port)),
            service: identities.service(body.service)?,
            left_ms: body.left_ms,
        })
    };
    Some(HistoryContents {
        summary: history_summary_from(body.summary),
        routes_version,
        former: body.former.into_iter().map(former).collect::<Option<_>>()?,
    })
}

pub(super) fn state_summary_from(body: &SummaryBody) -> StateSummary {
    let summary = Summary {
        revision: Revision { era: body.era, number: body.revision },
        routes_version: body.routes_version,
        routes_digest: body.routes_digest,
        upstreams_digest: body.upstreams_digest,
        held_digest: body.held_digest,
    };
    StateSummary {
        summary,
        whole_in_ms: body.whole_in_ms,
        history: history_summary_from(body.history),
    }
}

/// The era of a view and what is held; `None` without an era.
pub(super) fn era_body(
    identities: &mut StatedIdentities,
    revision: Revision,
    held: &Held,
) -> Option<EraBody> {
    if revision.era == 0 {
        return None;
    }
    let upstreams = held.upstreams.iter();
    Some(EraBody {
        era: revision.era,
        held_for_ms: held.for_ms,
        held_upstreams: upstreams.map(|record| upstream_body(identities, record)).collect(),
        held_zones: zone_list_body(identities, &held.closed_zones),
    })
}

/// Positions of the identities of zones.
pub(super) fn zone_list_body(identities: &mut StatedIdentities, zones: &[ZoneStamp]) -> Vec<u32> {
    zones.iter().map(|zone| identities.position(zone.0)).collect()
}

/// Zones by the positions of their identities.
pub(super) fn zone_list_from(
    identities: &ReceivedIdentities,
    zones: Vec<u32>,
) -> Option<Vec<ZoneStamp>> {
    zones.into_iter().map(|zone| identities.zone(zone)).collect()
}

pub(super) fn upstream_list_from(
    identities: &ReceivedIdentities,
    upstreams: Vec<UpstreamBody>,
) -> Option<Vec<UpstreamRecord>> {
    upstreams.into_iter().map(|body| record_from(identities, body)).collect()
}

pub(super) fn held_from(identities: &ReceivedIdentities, body: EraBody) -> Option<Held> {
    Some(Held {
        for_ms: body.held_for_ms,
        upstreams: upstream_list_from(identities, body.held_upstreams)?,
        closed_zones: zone_list_from(identities, body.held_zones)?,
    })
}

/// The services of a view, and the limits of those that have one.
pub(super) fn routes_body(identities: &mut StatedIdentities, table: &RouteTable) -> RoutesBody {
    let mut body = RoutesBody {
        routes: table.routes().iter().map(|route| route_body(identities, route)).collect(),
        services: Vec::new(),
        limits: Vec::new(),
    };
    for Service { stamp, cold_openings_per_ks } in table.services() {
        let service = identities.position(stamp.0);
        body.services.push(service);
        if *cold_openings_per_ks > 0 {
            body.limits.push((service, *cold_openings_per_ks));
        }
    }
    body
}

pub(super) fn routes_from(
    identities: &ReceivedIdentities,
    version: u64,
    body: RoutesBody,
) -> Option<RouteTable> {
    let routes = body.routes.into_iter().map(|body| route_from(identities, body));
    let limited = |(service, cold_openings_per_ks)| {
        Some(Service { stamp: identities.service(service)?, cold_openings_per_ks })
    };
    let unlimited = |service| identities.service(service).map(Service::unlimited);
    let limited = body.limits.into_iter().map(limited);
    let services = limited.chain(body.services.into_iter().map(unlimited));
    let services: Vec<Service> = services.collect::<Option<_>>()?;
    Some(RouteTable::new(version, routes.collect::<Option<_>>()?, services))
}

fn endpoint_body(endpoint: SocketAddrV4) -> (u32, u16) {
    (endpoint.ip().to_bits(), endpoint.port())
}

fn endpoint_from((address, port): (u32, u16)) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from_bits(address), port)
}
