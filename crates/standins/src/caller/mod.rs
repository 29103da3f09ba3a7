//! Callers: many connections with long feeds and short requests. Every byte of each answer is
//! checked.
//!
//! A caller never repeats a confirmation that got no answer. A request that ran twice was therefore
//! duplicated by the system under test.

mod connection;
mod datagrams;
mod report;
mod workload;

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use decision::time::Millis;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;

use crate::datagram::{self, Content};
use crate::protocol::RequestId;
use crate::stack::TcpStack;
use connection::{Connection, Purpose};
use datagrams::PendingDatagrams;
pub use report::{Incident, Kind, Outcome, Report, Span};
use workload::Schedule;
pub use workload::Workload;

/// First port that a client uses; lower ones are left to other programs.
const PORT_MIN: u16 = 10_000;
/// Closed connections are kept this long to absorb late duplicate segments, as a host does in
/// TIME-WAIT.
const LINGER_MS: u64 = 1_000;

/// Configuration of a caller.
#[derive(Clone, Debug)]
pub struct CallerConfig {
    /// Addresses of the clients, each used for many connections.
    pub clients: Vec<IpAddr>,
    /// Number of this caller; the upper bits of its request numbers, so that those of several
    /// callers differ.
    pub number: u16,
    /// Seed of the initial sequence numbers and the times of requests.
    pub seed: u64,
    /// An opening, datagram or established connection without progress for this long has failed.
    pub stall_ms: u64,
}

/// The caller. It does no I/O: packets and the time are passed in, packets to send are returned.
pub struct Caller {
    config: CallerConfig,
    random: Pcg64,
    /// Sorted by client address.
    connections: Vec<(SocketAddr, Box<Connection>)>,
    datagrams: PendingDatagrams,
    schedules: Vec<Schedule>,
    replies: Vec<Vec<u8>>,
    report: Report,
    next_request: u64,
    next_client: u32,
    stopping: bool,
}

impl Caller {
    /// Creates a caller without workloads.
    ///
    /// ```
    /// use decision::time::Millis;
    /// use standins::caller::{Caller, CallerConfig};
    /// let config = CallerConfig { clients: vec![], number: 1, seed: 1, stall_ms: 8_000 };
    /// assert_eq!(Caller::new(config).report(Millis(0)).flows_opened, 0);
    /// ```
    pub fn new(config: CallerConfig) -> Self {
        Self {
            random: Pcg64::seed_from_u64(config.seed),
            config,
            connections: Vec::new(),
            datagrams: PendingDatagrams::default(),
            schedules: Vec::new(),
            replies: Vec::new(),
            report: Report::default(),
            next_request: 0,
            next_client: 0,
            stopping: false,
        }
    }

    /// Replaces all workloads.
    pub fn set_workloads(&mut self, now: Millis, workloads: Vec<Workload>) {
        self.schedules = workloads.into_iter().map(|work| Schedule::new(now, work)).collect();
    }

    /// Ends the feeds that `upstream` serves, or all feeds, as their clients would. The workloads
    /// open new ones.
    pub fn end_feeds(&mut self, now: Millis, upstream: Option<&str>) {
        for (_, connection) in &mut self.connections {
            if upstream.is_none_or(|name| connection.is_held_by(name)) {
                connection.end_feed(now);
            }
        }
    }

    /// Starts no further requests and ends all feeds. Requests in flight may still complete.
    pub fn stop(&mut self, now: Millis) {
        self.stopping = true;
        self.schedules.clear();
        self.end_feeds(now, None);
    }

    /// True once the caller was stopped and nothing is in flight.
    pub fn is_idle(&self) -> bool {
        let is_active = |connection: &Connection| !connection.is_finished();
        self.stopping
            && self.datagrams.is_empty()
            && !self.connections.iter().any(|(_, connection)| is_active(connection))
    }

    /// Handles one received IP packet.
    pub fn handle_packet(&mut self, now: Millis, bytes: &[u8]) {
        let Some(packet) = datagram::parse(bytes) else {
            self.report.packets_malformed += 1;
            return;
        };
        match packet.content {
            Content::Tcp { .. } => {
                self.handle_segment(now, packet.destination, packet.source, bytes)
            }
            Content::Udp(payload) => {
                self.datagrams.handle_answer(now, packet.destination, payload, &mut self.report);
            }
            Content::Unreachable { source, .. } => {
                self.datagrams.handle_unreachable(now, source, &mut self.report);
            }
        }
    }

    /// Handles queued packets and due timers, and appends the packets to send to `out`.
    pub fn poll(&mut self, now: Millis, out: &mut Vec<Vec<u8>>) {
        out.append(&mut self.replies);
        self.open_due(now, out);
        for (_, connection) in &mut self.connections {
            if connection.due <= now {
                connection.poll(now, self.config.stall_ms, &mut self.report, out);
            }
        }
        self.datagrams.expire(now, self.config.stall_ms, &mut self.report);
        self.connections.retain(|(_, connection)| !connection.is_expired(now, LINGER_MS));
    }

    /// When the next poll is due if no packet arrives.
    pub fn due(&self) -> Option<Millis> {
        let connections = self.connections.iter().map(|(_, connection)| connection.due);
        let schedules = self.schedules.iter().map(Schedule::due);
        connections.chain(schedules).min()
    }

    /// Report of everything up to now.
    pub fn report(&self, now: Millis) -> Report {
        let mut report = self.report.clone();
        report.at_ms = now.0;
        for (_, connection) in &self.connections {
            connection.count_open(now, &mut report);
        }
        report.is_idle = self.is_idle();
        report
    }

    fn handle_segment(&mut self, now: Millis, client: SocketAddr, from: SocketAddr, bytes: &[u8]) {
        let found = self.connections.binary_search_by(|(known, _)| known.cmp(&client));
        match found {
            Ok(index) if self.connections[index].1.remote() == from => {
                self.connections[index].1.push(now, bytes);
            }
            Ok(_) => self.report.packets_from_strangers += 1,
            Err(_) => {
                let mut stack = TcpStack::closed(client, now);
                stack.push(bytes);
                stack.poll(now, &mut self.replies);
            }
        }
    }

    fn open_due(&mut self, now: Millis, out: &mut Vec<Vec<u8>>) {
        for index in 0..self.schedules.len() {
            let service = Arc::clone(&self.schedules[index].work.service);
            let is_feed = |connection: &Connection| connection.is_feed_of(&service);
            let feeds = self.connections.iter().filter(|(_, open)| is_feed(open)).count();
            for purpose in self.schedules[index].take_due(now, feeds, &mut self.random) {
                self.open(now, index, purpose, out);
            }
        }
    }

    fn open(&mut self, now: Millis, index: usize, purpose: Purpose, out: &mut Vec<Vec<u8>>) {
        let Some(client) = self.free_client() else { return };
        self.next_request += 1;
        let id = RequestId(u64::from(self.config.number) << 40 | self.next_request);
        let work = &self.schedules[index].work;
        if purpose == Purpose::Datagram {
            self.datagrams.send(now, client, id, work, out);
            self.report.datagrams_sent += 1;
            return;
        }
        let connection = Connection::new(now, client, self.random.random(), purpose, id, work);
        let position = self.connections.partition_point(|(known, _)| *known < client);
        self.connections.insert(position, (client, Box::new(connection)));
        self.report.openings_tried += 1;
    }

    /// The next unused address and port, in round-robin order; `None` if all are in use.
    fn free_client(&mut self) -> Option<SocketAddr> {
        let addresses = self.config.clients.len() as u32;
        let ports = u32::from(u16::MAX - PORT_MIN);
        for _ in 0..addresses.checked_mul(ports)? {
            self.next_client = (self.next_client + 1) % (addresses * ports);
            let address = self.config.clients[(self.next_client % addresses) as usize];
            let port = PORT_MIN + (self.next_client / addresses) as u16;
            let client = SocketAddr::new(address, port);
            if self.connections.binary_search_by(|(known, _)| known.cmp(&client)).is_err() {
                return Some(client);
            }
        }
        None
    }
}
