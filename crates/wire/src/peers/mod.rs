//! Messages between balancers of the direct-return path: short ones in datagrams, and whole views
//! over HTTP, both encoded in MessagePack.

mod body;
mod translate;

use std::net::Ipv4Addr;
use std::sync::Arc;

use steering::history::HistorySummary;
pub use steering::knowledge::ViewContents;
use steering::membership::Delta;
use steering::peers::{PEERS_PER_REPLY_MAX, Summary};
use steering::revision::Revision;
use steering::view::{RouteTable, Service, ServiceStamp, ZoneStamp};

use body::{MessageBody, RoutesBody, ViewBody};
use translate::{
    delta_body, delta_from, era_body, held_from, history_body, history_from, openings_limit,
    record_from, route_body, route_from, state_summary_body, state_summary_from, upstream_body,
};

/// Maximum number of balancers named in one message: they fit into a datagram of 1,300 bytes.
pub const PEERS_MAX: usize = PEERS_PER_REPLY_MAX;
/// Maximum number of changes in one message: at 45 bytes each they fit into a datagram and leave
/// room for long names.
pub const CHANGES_MAX: usize = 24;
/// Maximum size of a message in bytes, so that it fits into an Ethernet frame without
/// fragmentation.
pub const MESSAGE_BYTES_MAX: usize = 1_400;
/// A message between balancers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// The sender is running and knows this revision. The receiver replies with the balancers that
    /// it knows, and with its own state if that may be another one.
    Hello {
        /// Number of the revision that the sender knows; zero if it knows nothing. Without the era,
        /// so that earlier releases read it too.
        revision: u64,
    },
    /// Balancers that the sender knows.
    Peers(Vec<Ipv4Addr>),
    /// State of a sender that reads the configuration service itself.
    Beacon(StateSummary),
    /// State of a sender that does not necessarily read the configuration service.
    Knows(StateSummary),
    /// A beacon together with the changes that lead to its state.
    Changes(StateSummary, Delta),
}

/// Summary of a balancer's state, and for how long that may be incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateSummary {
    /// Revision, version of the routes, and digests of routes and upstreams.
    pub summary: Summary,
    /// For how much longer its list may lack upstreams that are running.
    pub whole_in_ms: u64,
    /// Summary of the former services of routes.
    pub history: HistorySummary,
}

/// Encodes a message. A list of balancers is truncated to [`PEERS_MAX`].
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

/// Decodes a message; `None` if it is malformed or of a kind that this release does not define.
pub fn decode(bytes: &[u8]) -> Option<Message> {
    Some(match rmp_serde::from_slice(bytes).ok()? {
        MessageBody::Hello { revision } => Message::Hello { revision },
        MessageBody::Peers(peers) => {
            Message::Peers(peers.into_iter().map(Ipv4Addr::from_bits).collect())
        }
        MessageBody::Beacon(body) => Message::Beacon(state_summary_from(&body)),
        MessageBody::Knows(body) => Message::Knows(state_summary_from(&body)),
        MessageBody::Changes(body, delta) => {
            Message::Changes(state_summary_from(&body), delta_from(body.era, delta))
        }
    })
}

/// Builds the message by which a balancer that reads the configuration service announces its state.
/// The changes that led to this state are included if they fit into a datagram; `delta` is `None`
/// if something else has changed too.
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
        revision: view.revision.number,
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
        era: era_body(view.revision, &view.held),
    };
    rmp_serde::to_vec(&body).expect("plain structs always encode")
}

/// Decodes a view; `None` if it is malformed.
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
    let era = body.era.as_ref().map_or(0, |body| body.era);
    Some(ViewContents {
        revision: Revision { era, number: body.revision },
        whole_in_ms: body.whole_in_ms,
        routes: body.routes.map(table),
        routes_version: body.version,
        upstreams: body.upstreams.into_iter().map(record_from).collect(),
        closed_zones: body.closed_zones.into_iter().map(ZoneStamp).collect(),
        history: history_from(body.version, body.history),
        held: body.era.map(held_from).unwrap_or_default(),
    })
}
