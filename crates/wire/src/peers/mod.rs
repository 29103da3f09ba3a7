//! Messages between balancers of the direct-return path: short ones in datagrams, and whole views
//! over HTTP, both encoded in MessagePack.

mod body;
mod identities;
mod translate;

use std::net::Ipv4Addr;
use std::sync::Arc;

use steering::history::HistorySummary;
pub use steering::knowledge::ViewContents;
use steering::membership::{Delta, Held};
use steering::peers::{PEERS_PER_REPLY_MAX, Summary};
use steering::revision::Revision;

use body::{MessageBody, ViewBody};
use identities::{ReceivedIdentities, StatedIdentities};
use translate::{
    delta_body, delta_from, era_body, held_from, history_body, history_from, routes_body,
    routes_from, state_summary_body, state_summary_from, upstream_body, upstream_list_from,
    zone_list_body, zone_list_from,
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
            Message::Changes(state_summary_from(&body), delta_from(body.era, delta)?)
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
    let mut identities = StatedIdentities::default();
    let upstreams = view.upstreams.iter();
    let body = ViewBody {
        identities: Vec::new(),
        revision: view.revision.number,
        whole_in_ms: view.whole_in_ms,
        version: view.routes_version,
        routes: view.routes.as_ref().map(|table| routes_body(&mut identities, table)),
        upstreams: upstreams.map(|record| upstream_body(&mut identities, record)).collect(),
        closed_zones: zone_list_body(&mut identities, &view.closed_zones),
        history: history_body(&mut identities, &view.history),
        era: era_body(&mut identities, view.revision, &view.held),
    };
    let body = ViewBody { identities: identities.into_body(), ..body };
    rmp_serde::to_vec(&body).expect("plain structs always encode")
}

/// Decodes a view; `None` if it is malformed.
pub fn decode_view(bytes: &[u8]) -> Option<ViewContents> {
    let body: ViewBody = rmp_serde::from_slice(bytes).ok()?;
    let identities = ReceivedIdentities(body.identities);
    let routes = body.routes.map(|routes| routes_from(&identities, body.version, routes));
    let era = body.era.as_ref().map_or(0, |body| body.era);
    let held = body.era.map(|body| held_from(&identities, body));
    Some(ViewContents {
        revision: Revision { era, number: body.revision },
        whole_in_ms: body.whole_in_ms,
        routes: match routes {
            Some(table) => Some(Arc::new(table?)),
            None => None,
        },
        routes_version: body.version,
        upstreams: upstream_list_from(&identities, body.upstreams)?,
        closed_zones: zone_list_from(&identities, body.closed_zones)?,
        history: history_from(&identities, body.version, body.history)?,
        held: match held {
            Some(held) => held?,
            None => Held::default(),
        },
    })
}
