//! An upstream: serves TCP and UDP on the service's addresses and keeps a ledger of the requests
//! that it ran.

mod connection;
mod ledger;
mod status;

use std::net::SocketAddr;
use std::sync::Arc;

use decision::time::Millis;

use crate::datagram::{self, Content, Packet};
use crate::protocol::{Answer, Request, Responder};
use crate::stack::TcpStack;
use connection::Connection;
pub use ledger::{Event, Ledger, Row};
pub use status::{Lie, Stats, Status, Switches};

/// Configuration of an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamConfig {
    /// Service and upstream names in its answers.
    pub responder: Responder,
    /// Addresses of its service; a packet to any other address counts as misdelivered.
    pub endpoints: Vec<SocketAddr>,
    /// Seed of the initial sequence numbers.
    pub seed: u64,
}

/// Both addresses of a connection: the caller's, then the service's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ConnectionKey(SocketAddr, SocketAddr);

/// The upstream. It does no I/O: packets and the time are passed in, packets to send are returned.
pub struct Upstream {
    config: UpstreamConfig,
    /// Sorted by key.
    connections: Vec<(ConnectionKey, Box<Connection>)>,
    /// Answers to datagrams and resets, sent by the next poll.
    replies: Vec<Vec<u8>>,
    ledger: Ledger,
    switches: Switches,
    /// The status at the moment when it was frozen.
    frozen_status: Option<Status>,
    stats: Stats,
    started_at: Millis,
    opened_connections: u64,
}

impl Upstream {
    /// Creates an upstream without connections.
    ///
    /// ```
    /// use decision::time::Millis;
    /// use standins::{protocol::Responder, upstream::*};
    /// let responder = Responder { service: "shelf".into(), upstream: "shelf-1".into() };
    /// let config = UpstreamConfig { responder, endpoints: vec![], seed: 1 };
    /// assert_eq!(Upstream::new(config, Millis(0)).status(Millis(5)).open_flows, 0);
    /// ```
    pub fn new(config: UpstreamConfig, now: Millis) -> Self {
        Self {
            config,
            connections: Vec::new(),
            replies: Vec::new(),
            ledger: Ledger::default(),
            switches: Switches::default(),
            frozen_status: None,
            stats: Stats::default(),
            started_at: now,
            opened_connections: 0,
        }
    }

    /// Handles one received IP packet; [`Upstream::poll`] returns the answers.
    pub fn handle_packet(&mut self, now: Millis, bytes: &[u8]) {
        self.stats.packets_received += 1;
        let Some(packet) = datagram::parse(bytes) else {
            self.stats.packets_malformed += 1;
            return;
        };
        if !self.config.endpoints.contains(&packet.destination) {
            self.stats.packets_misdelivered += 1;
            self.ledger.add(now, Event::Misdelivered { destination: packet.destination });
            return;
        }
        match packet.content {
            Content::Tcp { opening, .. } => self.handle_segment(now, &packet, opening, bytes),
            Content::Udp(payload) => self.handle_datagram(now, &packet, payload),
            Content::Unreachable { .. } => self.stats.packets_malformed += 1,
        }
    }

    /// Handles queued packets and due timers, and appends the packets to send to `out`.
    pub fn poll(&mut self, now: Millis, out: &mut Vec<Vec<u8>>) {
        let first = out.len();
        out.append(&mut self.replies);
        let responder = &self.config.responder;
        for (_, connection) in &mut self.connections {
            if connection.due <= now {
                connection.poll(now, responder, &self.switches, &mut self.ledger, out);
            }
        }
        self.connections.retain(|(_, connection)| connection.is_open());
        let resets = out[first..].iter().filter(|packet| is_reset(packet)).count();
        self.stats.resets_sent += resets as u64;
        self.stats.open_connections = self.connections.len() as u64;
    }

    /// When the next poll is due if no packet arrives.
    pub fn due(&self) -> Option<Millis> {
        self.connections.iter().map(|(_, connection)| connection.due).min()
    }

    /// Body of the status endpoint: the true status, unless [`Switches::lie`] falsifies it.
    pub fn status(&self, now: Millis) -> Status {
        if let Some(frozen) = &self.frozen_status {
            return frozen.clone();
        }
        let open_flows = match self.switches.lie {
            Lie::OpenFlows(number) => number,
            _ => self.connections.len() as u32,
        };
        Status {
            healthy: self.switches.lie != Lie::Unhealthy,
            draining: self.switches.draining,
            shedding: self.switches.shedding,
            open_flows,
            age_ms: now.since(self.started_at),
        }
    }

    /// Changes the behaviour of the upstream from now on.
    pub fn set_switches(&mut self, now: Millis, switches: Switches) {
        self.frozen_status = None;
        if switches.lie == Lie::Frozen {
            self.frozen_status = Some(self.status(now));
        }
        self.switches = switches;
    }

    /// Connections opened, requests run and refused, and packets misdelivered.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The ledger, to take the rows that have not been written to a file yet.
    pub fn ledger_mut(&mut self) -> &mut Ledger {
        &mut self.ledger
    }

    /// Counters.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    fn handle_segment(&mut self, now: Millis, packet: &Packet<'_>, opening: bool, bytes: &[u8]) {
        let key = ConnectionKey(packet.source, packet.destination);
        let found = self.connections.binary_search_by(|(known, _)| known.cmp(&key));
        match found {
            Ok(index) => self.connections[index].1.push(now, bytes),
            Err(index) if opening => {
                let mut connection = Box::new(self.open(now, packet));
                connection.push(now, bytes);
                self.connections.insert(index, (key, connection));
            }
            Err(_) => self.reject(now, packet.destination, bytes),
        }
    }

    fn open(&mut self, now: Millis, packet: &Packet<'_>) -> Connection {
        self.opened_connections += 1;
        let seed = self.config.seed.wrapping_add(self.opened_connections);
        self.ledger.add(now, Event::Open { client: packet.source });
        Connection::new(TcpStack::listen(packet.destination, seed, now), now)
    }

    /// Answers a segment of an unknown connection with a reset, as a host does.
    fn reject(&mut self, now: Millis, local: SocketAddr, bytes: &[u8]) {
        self.stats.segments_unknown += 1;
        let mut stack = TcpStack::closed(local, now);
        stack.push(bytes);
        stack.poll(now, &mut self.replies);
    }

    /// Runs a one-datagram request each time it arrives. There is no deduplication, so that a
    /// datagram delivered twice shows as two runs in the ledger.
    fn handle_datagram(&mut self, now: Millis, packet: &Packet<'_>, payload: &[u8]) {
        let line = std::str::from_utf8(payload).unwrap_or_default();
        let Ok(Request::Confirm(id)) = Request::parse(line) else {
            self.stats.packets_malformed += 1;
            return;
        };
        let answer = if self.switches.shedding {
            self.ledger.add(now, Event::Shed { request: id });
            Answer::Shed(id)
        } else {
            self.ledger.add(now, Event::Run { request: id, client: packet.source });
            Answer::Confirmed(id, self.config.responder.clone())
        };
        let answer = answer.to_string();
        self.replies.push(datagram::build_udp(
            packet.destination,
            packet.source,
            answer.as_bytes(),
        ));
    }
}

fn is_reset(packet: &[u8]) -> bool {
    let parsed = datagram::parse(packet);
    matches!(parsed, Some(Packet { content: Content::Tcp { reset: true, .. }, .. }))
}

impl UpstreamConfig {
    /// Builds the names that an upstream states in its answers.
    ///
    /// ```
    /// use standins::upstream::UpstreamConfig;
    /// assert_eq!(&*UpstreamConfig::responder("shelf", "shelf-1").upstream, "shelf-1");
    /// ```
    pub fn responder(service: &str, upstream: &str) -> Responder {
        Responder { service: Arc::from(service), upstream: Arc::from(upstream) }
    }
}
