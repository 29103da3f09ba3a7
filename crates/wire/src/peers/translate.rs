//! Conversions between the encoded types and those of the steering core.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use steering::history::{FormerService, HistoryContents, HistorySummary};
use steering::membership::{Change, Delta, Held, UpstreamRecord};
use steering::peers::Summary;
use steering::revision::Revision;
use steering::view::{RegionStamp, Route, RoutesDelta, Service, ServiceStamp, Share, ZoneStamp};

use super::StateSummary;
use super::body::{
    DeltaBody, EraBody, FormerBody, HistoryBody, HistorySummaryBody, RouteBody, RoutesDeltaBody,
    SummaryBody, UpstreamBody,
};

pub(super) fn delta_body(delta: &Delta) -> DeltaBody {
    let mut body = DeltaBody {
        from_revision: delta.from_revision.number,
        listed: Vec::new(),
        gone: Vec::new(),
        zones: Vec::new(),
        routes: delta.routes.as_ref().map(routes_delta_body),
    };
    for change in &delta.changes {
        match change {
            Change::Listed(record) => body.listed.push(upstream_body(record)),
            Change::Gone(id) => body.gone.push(Arc::clone(id)),
            Change::ZoneClosed(zone) => body.zones.push((zone.0, true)),
            Change::ZoneOpened(zone) => body.zones.push((zone.0, false)),
        }
    }
    body
}

/// A delta leads to a revision of the era that its message states.
pub(super) fn delta_from(era: u64, body: DeltaBody) -> Delta {
    let listed = body.listed.into_iter().map(|body| Change::Listed(record_from(body)));
    let gone = body.gone.into_iter().map(Change::Gone);
    let zones = body.zones.into_iter().map(|(zone, closed)| match closed {
        true => Change::ZoneClosed(ZoneStamp(zone)),
        false => Change::ZoneOpened(ZoneStamp(zone)),
    });
    let from = Revision { era, number: body.from_revision };
    let delta = Delta::new(from, listed.chain(gone).chain(zones).collect());
    Delta { routes: body.routes.map(routes_delta_from), ..delta }
}

pub(super) fn routes_delta_body(delta: &RoutesDelta) -> RoutesDeltaBody {
    RoutesDeltaBody {
        from_version: delta.from_version,
        from_digest: delta.from_digest,
        changed: delta.changed.iter().map(route_body).collect(),
        removed: delta.removed.iter().copied().map(endpoint_body).collect(),
    }
}

pub(super) fn routes_delta_from(body: RoutesDeltaBody) -> RoutesDelta {
    RoutesDelta {
        from_version: body.from_version,
        from_digest: body.from_digest,
        changed: body.changed.into_iter().map(route_from).collect(),
        removed: body.removed.into_iter().map(endpoint_from).collect(),
    }
}

pub(super) fn route_body(route: &Route) -> RouteBody {
    let (address, port) = endpoint_body(route.endpoint);
    RouteBody {
        address,
        port,
        shares: route.shares.iter().map(|share| (share.service.0, share.weight)).collect(),
        slo_ms: route.slo_ms,
        repeatable: route.repeatable,
        regions: route.regions.iter().map(|region| region.0).collect(),
        wait_slos: route.wait_slos,
        urgent: route.urgent,
    }
}

pub(super) fn route_from(body: RouteBody) -> Route {
    let share = |(service, weight): (u32, u32)| Share { service: ServiceStamp(service), weight };
    Route {
        endpoint: endpoint_from((body.address, body.port)),
        shares: body.shares.into_iter().map(share).collect(),
        slo_ms: body.slo_ms,
        repeatable: body.repeatable,
        regions: body.regions.into_iter().map(RegionStamp).collect(),
        wait_slos: body.wait_slos,
        urgent: body.urgent,
    }
}

pub(super) fn upstream_body(record: &UpstreamRecord) -> UpstreamBody {
    UpstreamBody {
        id: Arc::clone(&record.id),
        born_ms: record.born_ms,
        address: record.address.to_bits(),
        service: record.service.0,
        zone: record.zone.0,
        draining: record.draining,
        warmup_left_ms: record.warmup_left_ms,
        slots: record.slots,
    }
}

pub(super) fn record_from(body: UpstreamBody) -> UpstreamRecord {
    UpstreamRecord {
        id: body.id,
        born_ms: body.born_ms,
        address: Ipv4Addr::from_bits(body.address),
        service: ServiceStamp(body.service),
        zone: ZoneStamp(body.zone),
        draining: body.draining,
        warmup_left_ms: body.warmup_left_ms,
        slots: body.slots,
    }
}

pub(super) fn state_summary_body(state: &StateSummary) -> SummaryBody {
    let era = state.summary.revision.era;
    SummaryBody {
        revision: state.summary.revision.number,
        routes_version: state.summary.routes_version,
        routes_digest: state.summary.routes_digest,
        upstreams_digest: state.summary.upstreams_digest,
        whole_in_ms: state.whole_in_ms,
        history: history_summary_body(state.history),
        era,
        held_digest: if era > 0 { state.summary.held_digest } else { 0 },
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

pub(super) fn history_body(history: &HistoryContents) -> HistoryBody {
    let former = |former: &FormerService| {
        let (address, port) = endpoint_body(former.endpoint);
        FormerBody { address, port, service: former.service.0, left_ms: former.left_ms }
    };
    HistoryBody {
        summary: history_summary_body(history.summary),
        former: history.former.iter().map(former).collect(),
    }
}

pub(super) fn history_from(routes_version: u64, body: HistoryBody) -> HistoryContents {
    let former = |body: FormerBody| FormerService {
        endpoint: endpoint_from((body.address, body.port)),
        service: ServiceStamp(body.service),
        left_ms: body.left_ms,
    };
    HistoryContents {
        summary: history_summary_from(body.summary),
        routes_version,
        former: body.former.into_iter().map(former).collect(),
    }
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
pub(super) fn era_body(revision: Revision, held: &Held) -> Option<EraBody> {
    let body = || EraBody {
        era: revision.era,
        held_for_ms: held.for_ms,
        held_upstreams: held.upstreams.iter().map(upstream_body).collect(),
        held_zones: held.closed_zones.iter().map(|zone| zone.0).collect(),
    };
    (revision.era > 0).then(body)
}

pub(super) fn held_from(body: EraBody) -> Held {
    Held {
        for_ms: body.held_for_ms,
        upstreams: body.held_upstreams.into_iter().map(record_from).collect(),
        closed_zones: body.held_zones.into_iter().map(ZoneStamp).collect(),
    }
}

pub(super) fn openings_limit(service: &Service) -> Option<(u32, u32)> {
    let limit = service.cold_openings_per_ks;
    (limit > 0).then_some((service.stamp.0, limit))
}

fn endpoint_body(endpoint: SocketAddrV4) -> (u32, u16) {
    (endpoint.ip().to_bits(), endpoint.port())
}

fn endpoint_from((address, port): (u32, u16)) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from_bits(address), port)
}
