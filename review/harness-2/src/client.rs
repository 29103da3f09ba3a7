//! Clients as the users' pages describe them. Each sends one request at a time, on a flow of its own
//! for each request (`unsafe`) or on a flow that stays open for many (`safe`).

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use platform_standins::packet::{ACK, FIN, Packet, RST, SYN, decode, is_system_reset};

use crate::record::{Flow, Record};

const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const OPENING_LIMIT: Duration = Duration::from_millis(1_400);
const RESEND_FIRST: Duration = Duration::from_millis(200);
const RESEND_MAX: Duration = Duration::from_millis(1_600);
const RETRIES: u32 = 2;
/// How far from its last acknowledgement a reset of an open flow may be for a client to heed it.
const RESET_WINDOW: u32 = 76_800;

/// Chooses the balancer for a hash.
pub type Routing = Arc<dyn Fn(u64) -> SocketAddrV4 + Send + Sync>;

#[derive(Clone, Copy)]
pub struct Kind {
    pub name: &'static str,
    /// The balancer that gets all packets; `None` if the routers choose.
    pub direct: Option<SocketAddrV4>,
    pub endpoint: SocketAddrV4,
    pub safe: bool,
    /// Requests on one flow of a `safe` kind; zero if the flow stays open.
    pub per_flow: u32,
    pub clients: u32,
    pub pause: Duration,
    pub budget: Duration,
}

pub struct Clients {
    finish: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Clients {
    pub fn start(
        address: SocketAddrV4,
        kinds: &[Kind],
        routing: Routing,
        record: Record,
    ) -> anyhow::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        socket.set_read_timeout(Some(Duration::from_millis(1)))?;
        let now = Instant::now();
        let mut clients = Vec::new();
        for kind in kinds {
            for number in 0..kind.clients {
                let first = now + kind.pause * number / kind.clients;
                clients.push(Client::new(*kind, first));
            }
        }
        let (finish, stop) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
        let mut worker = Worker {
            socket,
            address: *address.ip(),
            routing,
            record,
            clients,
            by_port: HashMap::new(),
            next_port: 10_000,
            next_request: 0,
            finish: Arc::clone(&finish),
        };
        let stopped = Arc::clone(&stop);
        let thread = Some(thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                worker.turn();
            }
        }));
        Ok(Self { finish, stop, thread })
    }

    /// No new requests from now on.
    pub fn finish(&self) {
        self.finish.store(true, Ordering::Relaxed);
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

enum Phase {
    Closed,
    Opening { at: Instant, copies: usize },
    Open,
    Waiting { resend: Instant, pause: Duration },
}

struct Client {
    kind: Kind,
    phase: Phase,
    port: u16,
    sequence: u32,
    expected: u32,
    request: String,
    began: Option<Instant>,
    tries: u32,
    /// Requests answered on the open flow.
    answered: u32,
    next: Instant,
}

impl Client {
    fn new(kind: Kind, next: Instant) -> Self {
        let request = String::new();
        let phase = Phase::Closed;
        Self {
            kind,
            phase,
            port: 0,
            sequence: 0,
            expected: 0,
            request,
            began: None,
            tries: 0,
            answered: 0,
            next,
        }
    }
}

struct Worker {
    socket: UdpSocket,
    address: Ipv4Addr,
    routing: Routing,
    record: Record,
    clients: Vec<Client>,
    by_port: HashMap<u16, usize>,
    next_port: u16,
    next_request: u64,
    finish: Arc<AtomicBool>,
}

impl Worker {
    fn turn(&mut self) {
        let mut buffer = [0; 2_048];
        if let Ok((length, _)) = self.socket.recv_from(&mut buffer) {
            self.on_packet(&buffer[..length]);
        }
        for index in 0..self.clients.len() {
            self.tick(index);
        }
    }

    fn flow(&self, index: usize) -> Flow {
        let client = &self.clients[index];
        (SocketAddrV4::new(self.address, client.port), client.kind.endpoint)
    }

    fn send(&self, index: usize, flags: u8, acknowledged: u32, data: &str) {
        let (source, destination) = self.flow(index);
        let sequence = self.clients[index].sequence;
        let data = data.as_bytes().to_vec();
        let packet = Packet { source, destination, flags, sequence, acknowledged, data };
        let _ = self.socket.send_to(&packet.encode(), self.edge_of(index));
    }

    /// The routers hash the four addresses and ports over the balancers in rotation.
    fn edge_of(&self, index: usize) -> SocketAddrV4 {
        let (source, destination) = self.flow(index);
        let hash = (u64::from(source.port()) ^ u64::from(destination.port()) << 16)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15)
            >> 24;
        self.clients[index].kind.direct.unwrap_or_else(|| (self.routing)(hash))
    }

    fn tick(&mut self, index: usize) {
        let now = Instant::now();
        let client = &mut self.clients[index];
        if client.began.is_some_and(|began| now >= began + client.kind.budget) {
            let request = client.request.clone();
            self.record.count("requests given up at the time budget");
            self.record.note(format!("client gives up {request} at its time budget"));
            return self.fail(index, None);
        }
        match client.phase {
            Phase::Closed | Phase::Open if now >= client.next => {
                if client.began.is_none() {
                    if self.finish.load(Ordering::Relaxed) {
                        return;
                    }
                    client.began = Some(now);
                    client.tries = 0;
                    self.record.count("requests");
                }
                self.attempt(index, now);
            }
            Phase::Opening { at, .. } if now >= at + OPENING_LIMIT => {
                self.record.count("flows that never opened");
                self.record.opening_failed(self.flow(index), "got no answer");
                self.fail(index, Some(true));
            }
            Phase::Opening { at, copies } if copies < 2 && now >= at + COPIES[copies] => {
                client.phase = Phase::Opening { at, copies: copies + 1 };
                self.send(index, SYN, copies as u32 + 1, "");
            }
            Phase::Waiting { resend, pause } if now >= resend => {
                let pause = (pause * 2).min(RESEND_MAX);
                client.phase = Phase::Waiting { resend: now + pause, pause };
                let (expected, request) = (client.expected, client.request.clone());
                self.send(index, ACK, expected, &request);
            }
            _ => {}
        }
    }

    /// Sends the request, under an id of its own, on the open flow or on a new one.
    fn attempt(&mut self, index: usize, now: Instant) {
        self.next_request += 1;
        let number = self.next_request;
        let client = &mut self.clients[index];
        client.request = format!("{}-{number:06}", client.kind.name);
        if matches!(client.phase, Phase::Open) {
            return self.send_request(index, now);
        }
        let old = client.port;
        self.next_port = if self.next_port >= 60_000 { 10_000 } else { self.next_port + 1 };
        client.port = self.next_port;
        client.sequence = (number as u32).wrapping_mul(0x85eb_ca6b);
        client.answered = 0;
        client.phase = Phase::Opening { at: now, copies: 0 };
        self.by_port.remove(&old);
        self.by_port.insert(self.next_port, index);
        let flow = self.flow(index);
        self.record.opening_sent(flow, self.clients[index].kind.name, self.edge_of(index));
        self.send(index, SYN, 0, "");
    }

    fn send_request(&mut self, index: usize, now: Instant) {
        let client = &mut self.clients[index];
        client.phase = Phase::Waiting { resend: now + RESEND_FIRST, pause: RESEND_FIRST };
        let (expected, request) = (client.expected, client.request.clone());
        self.send(index, ACK, expected, &request);
    }

    fn on_packet(&mut self, bytes: &[u8]) {
        let Some((packet, sum_holds)) = decode(bytes) else {
            return self.record.broken("MIXED", "a client got a malformed packet");
        };
        let Some(index) = self.by_port.get(&packet.destination.port()).copied() else { return };
        let flow = self.flow(index);
        if is_system_reset(bytes) {
            return self.on_reset(index, flow, packet.sequence);
        }
        if !sum_holds {
            return self.record.broken("MIXED", "a client got a packet that no server wrote so");
        }
        if packet.source != flow.1 {
            return;
        }
        if packet.has(RST) {
            if matches!(self.clients[index].phase, Phase::Open | Phase::Waiting { .. }) {
                self.record.count("resets by servers");
                self.fail(index, Some(false));
            }
            return;
        }
        let now = Instant::now();
        let client = &mut self.clients[index];
        match client.phase {
            Phase::Opening { .. } if packet.has(SYN) => {
                client.sequence = client.sequence.wrapping_add(1);
                client.expected = packet.sequence.wrapping_add(1);
                // The handshake ends with a packet of its own.
                let expected = client.expected;
                self.send(index, ACK, expected, "");
                self.send_request(index, now);
            }
            Phase::Waiting { .. } if !packet.data.is_empty() => self.on_response(index, &packet),
            Phase::Open if !packet.data.is_empty() => {
                let expected = client.expected;
                self.send(index, ACK, expected, "");
            }
            _ => {}
        }
    }

    fn on_reset(&mut self, index: usize, flow: Flow, sequence: u32) {
        match self.clients[index].phase {
            Phase::Closed => return,
            Phase::Opening { .. } => {
                self.record.count("openings reset by the system");
                self.record.opening_failed(flow, "was reset");
                return self.fail(index, Some(true));
            }
            Phase::Open | Phase::Waiting { .. } => {}
        }
        let off = sequence.wrapping_sub(self.clients[index].expected) as i32;
        if off.unsigned_abs() > RESET_WINDOW {
            return self.record.count("resets of open flows that clients ignore");
        }
        let holder = self.record.lock().open.get(&flow).cloned();
        let request = self.clients[index].request.clone();
        match holder {
            Some((server, boot)) => self.record.broken(
                "FLOW",
                format!(
                    "the system resets the open flow {} -> {} ({request}), which server {server} \
                     (boot {boot}) holds and serves",
                    flow.0, flow.1
                ),
            ),
            None => self.record.count("flows reset that no server held any more"),
        }
        self.fail(index, Some(false));
    }

    fn on_response(&mut self, index: usize, packet: &Packet) {
        let client = &mut self.clients[index];
        if packet.sequence != client.expected {
            return;
        }
        let text = String::from_utf8_lossy(&packet.data).into_owned();
        let (status, request) = text.split_once(' ').unwrap_or_default();
        client.sequence = client.sequence.wrapping_add(client.request.len() as u32);
        client.expected = client.expected.wrapping_add(packet.data.len() as u32);
        if request != client.request {
            let own = client.request.clone();
            return self.record.broken("MIXED", format!("{own} is answered by {text}"));
        }
        client.answered += 1;
        let is_full = client.answered == client.kind.per_flow;
        let ends = packet.has(FIN) || !client.kind.safe || is_full;
        let expected = client.expected;
        self.send(index, if ends { ACK | FIN } else { ACK }, expected, "");
        let client = &mut self.clients[index];
        client.phase = if ends { Phase::Closed } else { Phase::Open };
        if status == "421" {
            return self.fail(index, Some(true));
        }
        client.began = None;
        client.next = Instant::now() + client.kind.pause;
        self.record.count("requests answered");
    }

    /// An attempt has failed. `not_run` tells whether it has certainly not run; `None` if the client
    /// gives up.
    fn fail(&mut self, index: usize, not_run: Option<bool>) {
        let client = &mut self.clients[index];
        client.phase = Phase::Closed;
        client.tries += 1;
        let again = not_run.is_some_and(|not_run| not_run || client.kind.safe);
        if again && client.tries <= RETRIES {
            client.next = Instant::now() + Duration::from_millis(50);
            return;
        }
        client.began = None;
        client.next = Instant::now() + client.kind.pause;
        let request = client.request.clone();
        self.record.count("requests never answered");
        self.record.note(format!("{request} is never answered"));
    }
}
