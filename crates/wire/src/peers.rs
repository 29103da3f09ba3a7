//! What balancers of the direct-return path tell each other: short messages in datagrams, and whole
//! views over HTTP, both as MessagePack.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use steering::membership::UpstreamRecord;
use steering::peers::Summary;
use steering::view::{Route, RouteTable, ServiceStamp, Share, ZoneStamp};

use crate::bounded;

/// Most balancers named in one message: 240 addresses fit into a datagram of 1,300 bytes.
pub const PEERS_MAX: usize = 240;
/// Most routes of a view.
const ROUTES_MAX: usize = 16_384;
/// Most upstreams of a view.
const UPSTREAMS_MAX: usize = 65_536;
/// Most services of a view.
const SERVICES_MAX: usize = 16_384;
/// Most shares of a route.
const SHARES_MAX: usize = 64;

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
}

/// What a balancer knows, and how far its list can be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct News {
    /// What it knows, in short.
    pub summary: Summary,
    /// For how much longer its list of upstreams may lack some that live.
    pub whole_in_ms: u64,
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
}

#[derive(Serialize, Deserialize)]
enum MessageBody {
    Hello { revision: u64 },
    Peers(#[serde(deserialize_with = "peer_list")] Vec<u32>),
    Beacon(SummaryBody),
    Knows(SummaryBody),
}

#[derive(Serialize, Deserialize)]
struct SummaryBody {
    revision: u64,
    routes_version: u64,
    routes_digest: u64,
    upstreams_digest: u64,
    whole_in_ms: u64,
}

#[derive(Serialize, Deserialize)]
struct ViewBody {
    revision: u64,
    whole_in_ms: u64,
    version: u64,
    routes: Option<RoutesBody>,
    #[serde(deserialize_with = "upstream_list")]
    upstreams: Vec<UpstreamBody>,
}

#[derive(Serialize, Deserialize)]
struct RoutesBody {
    #[serde(deserialize_with = "route_list")]
    routes: Vec<RouteBody>,
    #[serde(deserialize_with = "service_list")]
    services: Vec<u32>,
}

#[derive(Serialize, Deserialize)]
struct RouteBody {
    address: u32,
    port: u16,
    #[serde(deserialize_with = "share_list")]
    shares: Vec<(u32, u32)>,
    slo_ms: u32,
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

fn service_list<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Vec<u32>, D::Error> {
    bounded::list::<D, u32, SERVICES_MAX>(deserializer)
}

fn upstream_list<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<UpstreamBody>, D::Error> {
    bounded::list::<D, UpstreamBody, UPSTREAMS_MAX>(deserializer)
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
    })
}

fn news_body(news: &News) -> SummaryBody {
    SummaryBody {
        revision: news.summary.revision,
        routes_version: news.summary.routes_version,
        routes_digest: news.summary.routes_digest,
        upstreams_digest: news.summary.upstreams_digest,
        whole_in_ms: news.whole_in_ms,
    }
}

fn news(body: &SummaryBody) -> News {
    let summary = Summary {
        revision: body.revision,
        routes_version: body.routes_version,
        routes_digest: body.routes_digest,
        upstreams_digest: body.upstreams_digest,
    };
    News { summary, whole_in_ms: body.whole_in_ms }
}

/// Encodes a view.
pub fn encode_view(view: &ViewContents) -> Vec<u8> {
    let route = |route: &Route| RouteBody {
        address: route.endpoint.ip().to_bits(),
        port: route.endpoint.port(),
        shares: route.shares.iter().map(|share| (share.service.0, share.weight)).collect(),
        slo_ms: route.slo_ms,
    };
    let upstream = |record: &UpstreamRecord| UpstreamBody {
        id: Arc::clone(&record.id),
        born_ms: record.born_ms,
        address: record.address.to_bits(),
        service: record.service.0,
        zone: record.zone.0,
        draining: record.draining,
        warmup_left_ms: record.warmup_left_ms,
        slots: record.slots,
    };
    let body = ViewBody {
        revision: view.revision,
        whole_in_ms: view.whole_in_ms,
        version: view.routes_version,
        routes: view.routes.as_ref().map(|table| RoutesBody {
            routes: table.routes().iter().map(route).collect(),
            services: table.services().iter().map(|service| service.0).collect(),
        }),
        upstreams: view.upstreams.iter().map(upstream).collect(),
    };
    rmp_serde::to_vec(&body).expect("plain structs always encode")
}

/// Decodes a view; `None` if it makes no sense.
pub fn decode_view(bytes: &[u8]) -> Option<ViewContents> {
    let body: ViewBody = rmp_serde::from_slice(bytes).ok()?;
    let share = |(service, weight): (u32, u32)| Share { service: ServiceStamp(service), weight };
    let route = |route: RouteBody| Route {
        endpoint: SocketAddrV4::new(Ipv4Addr::from_bits(route.address), route.port),
        shares: route.shares.into_iter().map(share).collect(),
        slo_ms: route.slo_ms,
    };
    let upstream = |body: UpstreamBody| UpstreamRecord {
        id: body.id,
        born_ms: body.born_ms,
        address: Ipv4Addr::from_bits(body.address),
        service: ServiceStamp(body.service),
        zone: ZoneStamp(body.zone),
        draining: body.draining,
        warmup_left_ms: body.warmup_left_ms,
        slots: body.slots,
    };
    let table = |RoutesBody { routes, services }| {
        let routes = routes.into_iter().map(route).collect();
        let services = services.into_iter().map(ServiceStamp);
        Arc::new(RouteTable::new(body.version, routes, services))
    };
    Some(ViewContents {
        revision: body.revision,
        whole_in_ms: body.whole_in_ms,
        routes: body.routes.map(table),
        routes_version: body.version,
        upstreams: body.upstreams.into_iter().map(upstream).collect(),
    })
}
