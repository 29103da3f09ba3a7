//! What balancers of the direct-return path tell each other: short messages in datagrams, and whole
//! views over HTTP, both as MessagePack.

mod body;
mod translate;

use std::net::Ipv4Addr;
use std::sync::Arc;

use steering::history::{HistoryContents, HistorySummary};
use steering::membership::{Delta, UpstreamRecord};
use steering::peers::{NAMED_MAX, Summary};
use steering::view::{RouteTable, Service, ServiceStamp, ZoneStamp};

use body::{MessageBody, RoutesBody, ViewBody};
use translate::{
    delta_body, delta_from, history_body, history_from, openings_limit, record_from, route_body,
    route_from, state_summary_body, state_summary_from, upstream_body,
};

/// Most balancers named in one message: they fit into a datagram of 1,300 bytes.
pub const PEERS_MAX: usize = NAMED_MAX;
/// Most changes in one message: at 45 bytes each they fit into a datagram with room for long names.
pub const CHANGES_MAX: usize = 24;
/// Most bytes of a message: what an Ethernet frame takes without being cut.
pub const MESSAGE_BYTES_MAX: usize = 1_400;
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
    Beacon(StateSummary),
    /// The sender knows this, but need not be a reader.
    Knows(StateSummary),
    /// A beacon that brings the changes which lead to it.
    Changes(StateSummary, Delta),
}

/// What a balancer knows, and how far its list can be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateSummary {
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
        Message::Beacon(state) => MessageBody::Beacon(state_summary_body(state)),
        Message::Knows(state) => MessageBody::Knows(state_summary_body(state)),
        Message::Changes(state, delta) => {
            MessageBody::Changes(state_summary_body(state), delta_body(delta))
        }
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
        MessageBody::Beacon(body) => Message::Beacon(state_summary_from(&body)),
        MessageBody::Knows(body) => Message::Knows(state_summary_from(&body)),
        MessageBody::Changes(body, delta) => {
            Message::Changes(state_summary_from(&body), delta_from(delta))
        }
    })
}

/// The message with which a reader tells what it knows now: with the changes that led there, if
/// they fit into a datagram and nothing else has changed.
pub fn beacon(state: StateSummary, delta: Option<Delta>) -> Message {
    let Some(delta) = delta.filter(|delta| delta.changes.len() <= CHANGES_MAX) else {
        return Message::Beacon(state);
    };
    let message = Message::Changes(state, delta);
    if encode(&message).len() <= MESSAGE_BYTES_MAX { message } else { Message::Beacon(state) }
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
            limits: table.services().iter().filter_map(openings_limit).collect(),
        }),
        upstreams: view.upstreams.iter().map(upstream_body).collect(),
        closed_zones: view.closed_zones.iter().map(|zone| zone.0).collect(),
        history: history_body(&view.history),
    };
    rmp_serde::to_vec(&body).expect("plain structs always encode")
}

/// Decodes a view; `None` if it makes no sense.
pub fn decode_view(bytes: &[u8]) -> Option<ViewContents> {
    let body: ViewBody = rmp_serde::from_slice(bytes).ok()?;
    let limited = |(stamp, cold_openings_per_ks)| Service {
        stamp: ServiceStamp(stamp),
        cold_openings_per_ks,
    };
    let table = |RoutesBody { routes, services, limits }| {
        let routes = routes.into_iter().map(route_from).collect();
        let unlimited = services.into_iter().map(|stamp| Service::unlimited(ServiceStamp(stamp)));
        let services = limits.into_iter().map(limited).chain(unlimited);
        Arc::new(RouteTable::new(body.version, routes, services))
    };
    Some(ViewContents {
        revision: body.revision,
        whole_in_ms: body.whole_in_ms,
        routes: body.routes.map(table),
        routes_version: body.version,
        upstreams: body.upstreams.into_iter().map(record_from).collect(),
        closed_zones: body.closed_zones.into_iter().map(ZoneStamp).collect(),
        history: history_from(body.version, body.history),
    })
}
