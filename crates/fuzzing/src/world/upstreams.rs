//! Upstreams: servers with their own connection tables, which reset unknown connections.

use decision::keys::FlowId;

use super::callers::{Inner, Reply};
use crate::oracle::{IncarnationId, Request};

/// Identifies a connection of one incarnation of an upstream, as the upstream's initial sequence
/// number would.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Token {
    /// Incarnation of the upstream.
    pub(super) life: IncarnationId,
    /// Number of the connection within the incarnation.
    pub(super) number: u32,
}

/// Time after which a half-open connection is dropped, as on Linux with five SYN-ACK
/// retransmissions.
const HALF_OPEN_MS: u64 = 63_000;

/// A connection of an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Connection {
    /// Flow of the caller.
    pub(super) flow: FlowId,
    /// Opening that created it.
    pub(super) request: Request,
    /// Identity of the connection.
    pub(super) token: Token,
    /// Whether the caller has finished the handshake.
    pub(super) established: bool,
    since_ms: u64,
}

/// One incarnation of an upstream.
#[derive(Clone, Debug)]
pub(super) struct Upstream {
    /// Identity of the incarnation.
    pub(super) incarnation: IncarnationId,
    /// Whether it serves datagram requests, which are answered at once and create no connection.
    pub(super) datagrams: bool,
    /// Connections, sorted by flow.
    pub(super) connections: Vec<Connection>,
    /// Number of connections and requests begun so far.
    pub(super) begun: u32,
}

/// What an upstream did with a packet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Effect {
    /// An opening began.
    pub(super) ran: bool,
    /// A handshake was finished.
    pub(super) established: bool,
    /// A connection ended.
    pub(super) ended: bool,
    /// Reply to the caller.
    pub(super) reply: Option<Reply>,
}

impl Upstream {
    /// Creates an upstream without connections.
    pub(super) fn new(incarnation: IncarnationId, datagrams: bool) -> Self {
        Self { incarnation, datagrams, connections: Vec::new(), begun: 0 }
    }

    /// The connection that `token` identifies, if this incarnation still has it.
    pub(super) fn connection(&self, token: Token) -> Option<&Connection> {
        self.connections.iter().find(|connection| connection.token == token)
    }

    /// Handles a packet.
    pub(super) fn receive(&mut self, now_ms: u64, flow: FlowId, inner: Inner) -> Effect {
        self.connections.retain(|connection| {
            connection.established || now_ms < connection.since_ms + HALF_OPEN_MS
        });
        match inner {
            Inner::Open(request) if self.datagrams => self.run(request),
            Inner::Open(request) => self.open(now_ms, flow, request),
            Inner::Middle(_, token) => self.middle(flow, token),
            Inner::Finish(_, token) => self.end(flow, token, Some(Reply::Finished { token })),
            Inner::Reset(_, token) => self.end(flow, token, None),
        }
    }

    fn run(&mut self, request: Request) -> Effect {
        self.begun += 1;
        Effect { ran: true, reply: Some(Reply::Done { request }), ..Effect::default() }
    }

    fn open(&mut self, now_ms: u64, flow: FlowId, request: Request) -> Effect {
        let found = self.connections.binary_search_by_key(&flow, |connection| connection.flow);
        if let Ok(index) = found {
            let known = self.connections[index];
            if known.request == request {
                return reply(Reply::Accepted { request, token: known.token });
            }
            return reply(Reply::Challenge { request, token: known.token });
        }
        self.begun += 1;
        let token = Token { life: self.incarnation, number: self.begun };
        let connection = Connection { flow, request, token, established: false, since_ms: now_ms };
        let index = self.connections.partition_point(|known| known.flow < flow);
        self.connections.insert(index, connection);
        Effect { ran: true, ..reply(Reply::Accepted { request, token }) }
    }

    fn middle(&mut self, flow: FlowId, token: Token) -> Effect {
        match self.find(flow) {
            Some(connection) if connection.token == token => {
                let established = !connection.established;
                connection.established = true;
                Effect { established, ..reply(Reply::Acknowledged { token }) }
            }
            // The packet belongs to another connection on the same ports and is outside the window
            // of this one, so it is ignored rather than answered by a reset.
            Some(connection) if connection.established => Effect::default(),
            _ => reply(Reply::Reset { token }),
        }
    }

    fn end(&mut self, flow: FlowId, token: Token, answer: Option<Reply>) -> Effect {
        let index = self.connections.iter().position(|known| known.token == token);
        match index {
            Some(index) => {
                self.connections.remove(index);
                Effect { ended: true, reply: answer, ..Effect::default() }
            }
            None if self.find(flow).is_some() => Effect::default(),
            None => Effect { reply: answer.map(|_| Reply::Reset { token }), ..Effect::default() },
        }
    }

    fn find(&mut self, flow: FlowId) -> Option<&mut Connection> {
        let index = self.connections.binary_search_by_key(&flow, |known| known.flow).ok()?;
        Some(&mut self.connections[index])
    }
}

fn reply(reply: Reply) -> Effect {
    Effect { reply: Some(reply), ..Effect::default() }
}
