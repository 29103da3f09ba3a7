//! What balancers of the direct-return path tell each other: short messages in datagrams, and whole
//! views over HTTP, both as MessagePack.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use steering::history::{FormerService, HistoryContents, HistorySummary};
use steering::membership::{Change, Delta, UpstreamRecord};
use steering::peers::{NAMED_MAX, Summary};
use steering::view::{
    RegionStamp, Route, RouteTable, RoutesDelta, Service, ServiceStamp, Share, ZoneStamp,
};

use crate::bounded;

/// Most balancers named in one message: they fit into a datagram of 1,300 bytes.
pub const PEERS_MAX: usize = NAMED_MAX;
/// Most changes in one message: at 45 bytes each they fit into a datagram with room for long names.
pub const CHANGES_MAX: usize = 24;
/// Most bytes of a message: what an Ethernet frame takes without being cut.
pub const MESSAGE_BYTES_MAX: usize = 1_400;
/// Most routes of a view.
const ROUTES_MAX: usize = 16_384;
/// Most upstreams of a view.
const UPSTREAMS_MAX: usize = 65_536;
/// Most services of a view.
const SERVICES_MAX: usize = 16_384;
/// Most shares of a route.
const SHARES_MAX: usize = 64;
/// Most services that routes have left.
const FORMER_MAX: usize = 65_536;
/// Most availability zones that are closed at once.
const ZONES_MAX: usize = 1_024;
/// Most regions of a route.
const REGIONS_MAX: usize = 64;

/// A message between balancers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// The sender lives and knows this revision; the receiver answers with the balancers it knows,
    /// and with what it knows itself, if that is more.
    Hello {
        /// Revision that the sender knows; zero if it knows nothing.
        revision: u64,
    },
    /// Balancers that the sender knows.
    Peers(Vec<Ipv4Addr>),
    /// The sender reads the configuration service, and this is what it knows.
    Beacon(News),
    /// The sender knows this, but need not be a reader.
    Knows(News),
    /// A beacon that brings the changes which lead to it.
    Changes(News, Delta),
}

/// What a balancer knows, and how far its list can be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct News {
    /// What it knows, in short.
    pub summary: Summary,
    /// For how much longer its list of upstreams may lack some that live.
    pub whole_in_ms: u64,
    /// The services that routes have left, in short.
    pub history: HistorySummary,
}

/// Everything that a balancer needs to know, as another one gives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewContents {
    /// Revision of the configuration service.
    pub revision: u64,
    /// For how much longer the list of upstreams may lack some that live.
    pub whole_in_ms: u64,
    /// Routes in force; `None` if the receiver has the same ones.
    pub routes: Option<Arc<RouteTable>>,
    /// Their version.
    pub routes_version: u64,
    /// The listed upstreams.
    pub upstreams: Vec<UpstreamRecord>,
    /// Availability zones that take no new flows.
    pub closed_zones: Vec<ZoneStamp>,
    /// Services that routes have left.
    pub history: HistoryContents,
}

#[derive(Serialize, Deserialize)]
enum MessageBody {
    Hello { revision: u64 },
    Peers(#[serde(deserialize_with = "peer_list")] Vec<u32>),
    Beacon(SummaryBody),
    Knows(SummaryBody),
    Changes(SummaryBody, DeltaBody),
}

#[derive(Serialize, Deserialize)]
struct DeltaBody {
    from_revision: u64,
    #[serde(deserialize_with = "changed_list")]
    listed: Vec<UpstreamBody>,
    #[serde(deserialize_with = "gone_list")]
    gone: Vec<Arc<str>>,
    /// Zones, and whether they are closed now.
    #[serde(default, deserialize_with = "zone_changes")]
    zones: Vec<(u32, bool)>,
    #[serde(default)]
    routes: Option<RoutesDeltaBody>,
}

#[derive(Serialize, Deserialize)]
struct RoutesDeltaBody {
    from_version: u64,
    from_digest: u64,
    #[serde(deserialize_with = "route_list")]
    changed: Vec<RouteBody>,
    #[serde(deserialize_with = "endpoint_list")]
    removed: Vec<(u32, u16)>,
}

#[derive(Serialize, Deserialize)]
struct SummaryBody {
    revision: u64,
    routes_version: u64,
    routes_digest: u64,
    upstreams_digest: u64,
    whole_in_ms: u64,
    #[serde(default)]
    history: HistorySummaryBody,
}

#[derive(Clone, Copy, Default, Serialize, Deserialize)]
struct HistorySummaryBody {
    version: u64,
    whole_in_ms: u64,
}

#[derive(Default, Serialize, Deserialize)]
struct HistoryBody {
    summary: HistorySummaryBody,
    #[serde(deserialize_with = "former_list")]
    former: Vec<FormerBody>,
}

#[derive(Serialize, Deserialize)]
struct FormerBody {
    address: u32,
    port: u16,
    service: u32,
    left_ms: u64,
}

#[derive(Serialize, Deserialize)]
struct ViewBody {
    revision: u64,
    whole_in_ms: u64,
    version: u64,
    routes: Option<RoutesBody>,
    #[serde(deserialize_with = "upstream_list")]
    upstreams: Vec<UpstreamBody>,
    #[serde(default, deserialize_with = "zone_list")]
    closed_zones: Vec<u32>,
    #[serde(default)]
    history: HistoryBody,
}

#[derive(Serialize, Deserialize)]
struct RoutesBody {
    #[serde(deserialize_with = "route_list")]
    routes: Vec<RouteBody>,
    #[serde(deserialize_with = "service_list")]
    services: Vec<u32>,
    /// Services whose cold upstreams bear so many openings in a thousand seconds.
    #[serde(default, deserialize_with = "limit_list")]
    limits: Vec<(u32, u32)>,
}

#[derive(Serialize, Deserialize)]
struct RouteBody {
    address: u32,
    port: u16,
    #[serde(deserialize_with = "share_list")]
    shares: Vec<(u32, u32)>,
    slo_ms: u32,
    repeatable: bool,
    #[serde(default, deserialize_with = "region_list")]
    regions: Vec<u32>,
    #[serde(default)]
    wait_slos: u8,
    #[serde(default)]
    urgent: bool,
}

#[derive(Serialize, Deserialize)]
struct UpstreamBody {
    id: Arc<str>,
    born_ms: u64,
    address: u32,
    service: u32,
    zone: u32,
    draining: bool,
    warmup_left_ms: u64,
    slots: u32,
}

fn peer_list<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Vec<u32>, D::Error> {
    bounded::list::<D, u32, PEERS_MAX>(deserializer)
}

fn route_list<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<RouteBody>, D::Error> {
    bounded::list::<D, RouteBody, ROUTES_MAX>(deserializer)
}

fn endpoint_list<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<(u32, u16)>, D::Error> {
    bounded::list::<D, (u32, u16), ROUTES_MAX>(deserializer)
}

fn service_list<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Vec<u32>, D::Error> {
    bounded::list::<D, u32, SERVICES_MAX>(deserializer)
}

fn limit_list<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<(u32, u32)>, D::Error> {
    bounded::list::<D, (u32, u32), SERVICES_MAX>(deserializer)
}

fn region_list<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Vec<u32>, D::Error> {
    bounded::list::<D, u32, REGIONS_MAX>(deserializer)
}

fn zone_list<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Vec<u32>, D::Error> {
    bounded::list::<D, u32, ZONES_MAX>(deserializer)
}

fn zone_changes<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<(u32, bool)>, D::Error> {
    bounded::list::<D, (u32, bool), CHANGES_MAX>(deserializer)
}

fn former_list<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<FormerBody>, D::Error> {
    bounded::list::<D, FormerBody, FORMER_MAX>(deserializer)
}

fn upstream_list<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<UpstreamBody>, D::Error> {
    bounded::list::<D, UpstreamBody, UPSTREAMS_MAX>(deserializer)
}

fn changed_list<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<UpstreamBody>, D::Error> {
    bounded::list::<D, UpstreamBody, CHANGES_MAX>(deserializer)
}

fn gone_list<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Vec<Arc<str>>, D::Error> {
    bounded::list::<D, Arc<str>, CHANGES_MAX>(deserializer)
}

fn share_list<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<(u32, u32)>, D::Error> {
    bounded::list::<D, (u32, u32), SHARES_MAX>(deserializer)
}

/// Encodes a message. A list of balancers is cut after [`PEERS_MAX`].
///
/// ```
/// use wire::peers::{Message, decode, encode};
/// let hello = Message::Hello { revision: 7 };
/// assert_eq!(decode(&encode(&hello)), Some(hello));
/// assert_eq!(decode(b"\xc1"), None);
/// ```
pub fn encode(message: &Message) -> Vec<u8> {
    let body = match message {
        Message::Hello { revision } => MessageBody::Hello { revision: *revision },
        Message::Peers(peers) => {
            MessageBody::Peers(peers.iter().take(PEERS_MAX).map(|peer| peer.to_bits()).collect())
        }
        Message::Beacon(news) => MessageBody::Beacon(news_body(news)),
        Message::Knows(news) => MessageBody::Knows(news_body(news)),
        Message::Changes(news, delta) => MessageBody::Changes(news_body(news), delta_body(delta)),
    };
    rmp_serde::to_vec(&body).expect("a plain enumeration always encodes")
}

/// Decodes a message; `None` if it is not one that this version knows.
pub fn decode(bytes: &[u8]) -> Option<Message> {
    Some(match rmp_serde::from_slice(bytes).ok()? {
        MessageBody::Hello { revision } => Message::Hello { revision },
        MessageBody::Peers(peers) => {
            Message::Peers(peers.into_iter().map(Ipv4Addr::from_bits).collect())
        }
        MessageBody::Beacon(body) => Message::Beacon(news(&body)),
        MessageBody::Knows(body) => Message::Knows(news(&body)),
        MessageBody::Changes(body, delta) => Message::Changes(news(&body), delta_of(delta)),
    })
}

/// The message with which a reader tells what it knows now: with the changes that led there, if
/// they fit into a datagram and nothing else has changed.
pub fn beacon(news: News, delta: Option<Delta>) -> Message {
    let Some(delta) = delta.filter(|delta| delta.changes.len() <= CHANGES_MAX) else {
        return Message::Beacon(news);
    };
    let message = Message::Changes(news, delta);
    if encode(&message).len() <= MESSAGE_BYTES_MAX { message } else { Message::Beacon(news) }
}

fn delta_body(delta: &Delta) -> DeltaBody {
    let mut body = DeltaBody {
        from_revision: delta.from_revision,
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

fn delta_of(body: DeltaBody) -> Delta {
    let listed = body.listed.into_iter().map(|body| Change::Listed(record_of(body)));
    let gone = body.gone.into_iter().map(Change::Gone);
    let zones = body.zones.into_iter().map(|(zone, closed)| match closed {
        true => Change::ZoneClosed(ZoneStamp(zone)),
        false => Change::ZoneOpened(ZoneStamp(zone)),
    });
    let delta = Delta::new(body.from_revision, listed.chain(gone).chain(zones).collect());
    Delta { routes: body.routes.map(routes_delta_of), ..delta }
}

fn routes_delta_body(delta: &RoutesDelta) -> RoutesDeltaBody {
    let endpoint = |endpoint: &SocketAddrV4| (endpoint.ip().to_bits(), endpoint.port());
    RoutesDeltaBody {
        from_version: delta.from_version,
        from_digest: delta.from_digest,
        changed: delta.changed.iter().map(route_body).collect(),
        removed: delta.removed.iter().map(endpoint).collect(),
    }
}

fn routes_delta_of(body: RoutesDeltaBody) -> RoutesDelta {
    let endpoint = |(address, port)| SocketAddrV4::new(Ipv4Addr::from_bits(address), port);
    RoutesDelta {
        from_version: body.from_version,
        from_digest: body.from_digest,
        changed: body.changed.into_iter().map(route_of).collect(),
        removed: body.removed.into_iter().map(endpoint).collect(),
    }
}

fn route_body(route: &Route) -> RouteBody {
    RouteBody {
        address: route.endpoint.ip().to_bits(),
        port: route.endpoint.port(),
        shares: route.shares.iter().map(|share| (share.service.0, share.weight)).collect(),
        slo_ms: route.slo_ms,
        repeatable: route.repeatable,
        regions: route.regions.iter().map(|region| region.0).collect(),
        wait_slos: route.wait_slos,
        urgent: route.urgent,
    }
}

fn route_of(body: RouteBody) -> Route {
    let share = |(service, weight): (u32, u32)| Share { service: ServiceStamp(service), weight };
    Route {
        endpoint: SocketAddrV4::new(Ipv4Addr::from_bits(body.address), body.port),
        shares: body.shares.into_iter().map(share).collect(),
        slo_ms: body.slo_ms,
        repeatable: body.repeatable,
        regions: body.regions.into_iter().map(RegionStamp).collect(),
        wait_slos: body.wait_slos,
        urgent: body.urgent,
    }
}

fn upstream_body(record: &UpstreamRecord) -> UpstreamBody {
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

fn record_of(body: UpstreamBody) -> UpstreamRecord {
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

fn news_body(news: &News) -> SummaryBody {
    SummaryBody {
        revision: news.summary.revision,
        routes_version: news.summary.routes_version,
        routes_digest: news.summary.routes_digest,
        upstreams_digest: news.summary.upstreams_digest,
        whole_in_ms: news.whole_in_ms,
        history: history_summary_body(news.history),
    }
}

fn history_summary_body(summary: HistorySummary) -> HistorySummaryBody {
    let HistorySummary { version, whole_in_ms } = summary;
    HistorySummaryBody { version, whole_in_ms }
}

fn history_summary(body: HistorySummaryBody) -> HistorySummary {
    let HistorySummaryBody { version, whole_in_ms } = body;
    HistorySummary { version, whole_in_ms }
}

fn history_body(history: &HistoryContents) -> HistoryBody {
    let former = |former: &FormerService| FormerBody {
        address: former.endpoint.ip().to_bits(),
        port: former.endpoint.port(),
        service: former.service.0,
        left_ms: former.left_ms,
    };
    HistoryBody {
        summary: history_summary_body(history.summary),
        former: history.former.iter().map(former).collect(),
    }
}

fn history_of(routes_version: u64, body: HistoryBody) -> HistoryContents {
    let former = |body: FormerBody| FormerService {
        endpoint: SocketAddrV4::new(Ipv4Addr::from_bits(body.address), body.port),
        service: ServiceStamp(body.service),
        left_ms: body.left_ms,
    };
    HistoryContents {
        summary: history_summary(body.summary),
        routes_version,
        former: body.former.into_iter().map(former).collect(),
    }
}

fn news(body: &SummaryBody) -> News {
    let summary = Summary {
        revision: body.revision,
        routes_version: body.routes_version,
        routes_digest: body.routes_digest,
        upstreams_digest: body.upstreams_digest,
    };
    News { summary, whole_in_ms: body.whole_in_ms, history: history_summary(body.history) }
}

/// Encodes a view.
pub fn encode_view(view: &ViewContents) -> Vec<u8> {
    let body = ViewBody {
        revision: view.revision,
        whole_in_ms: view.whole_in_ms,
        version: view.routes_version,
        routes: view.routes.as_ref().map(|table| RoutesBody {
            routes: table.routes().iter().map(route_body).collect(),
            services: table.services().iter().map(|service| service.stamp.0).collect(),
            limits: table.services().iter().filter_map(limit).collect(),
        }),
        upstreams: view.upstreams.iter().map(upstream_body).collect(),
        closed_zones: view.closed_zones.iter().map(|zone| zone.0).collect(),
        history: history_body(&view.history),
    };
    rmp_serde::to_vec(&body).expect("plain structs always encode")
}

fn limit(service: &Service) -> Option<(u32, u32)> {
    let limit = service.cold_openings_per_ks;
    (limit > 0).then_some((service.stamp.0, limit))
}

/// Decodes a view; `None` if it makes no sense.
pub fn decode_view(bytes: &[u8]) -> Option<ViewContents> {
    let body: ViewBody = rmp_serde::from_slice(bytes).ok()?;
    let limited = |(stamp, cold_openings_per_ks)| Service {
        stamp: ServiceStamp(stamp),
        cold_openings_per_ks,
    };
    let table = |RoutesBody { routes, services, limits }| {
        let routes = routes.into_iter().map(route_of).collect();
        let unlimited = services.into_iter().map(|stamp| Service::unlimited(ServiceStamp(stamp)));
        let services = limits.into_iter().map(limited).chain(unlimited);
        Arc::new(RouteTable::new(body.version, routes, services))
    };
    Some(ViewContents {
        revision: body.revision,
        whole_in_ms: body.whole_in_ms,
        routes: body.routes.map(table),
        routes_version: body.version,
        upstreams: body.upstreams.into_iter().map(record_of).collect(),
        closed_zones: body.closed_zones.into_iter().map(ZoneStamp).collect(),
        history: history_of(body.version, body.history),
    })
}
