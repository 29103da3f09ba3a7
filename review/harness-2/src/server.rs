//! A server as the users' pages describe it: it holds flows, runs requests in its slots, resends
//! responses until they are acknowledged, drains, and returns packets of flows that it doesn't hold.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use platform_standins::packet::{ACK, FIN, Packet, RST, SYN, bounce, decode};

use crate::record::{Flow, Record};

const SLOTS: usize = 7;
const QUEUE: usize = 28;
/// How much longer a request takes just after the start.
const COLD_FACTOR: f64 = 1.6;
const CONNECTIONS_MAX: usize = 2_000;
const RESEND_FIRST: Duration = Duration::from_millis(200);
const RESEND_MAX: Duration = Duration::from_millis(1_600);
const RESENDS: u32 = 8;

pub struct Server {
    stop: Arc<AtomicBool>,
    draining: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    pub fn start(
        boot: u32,
        name: &str,
        app: SocketAddrV4,
        outbound: SocketAddrV4,
        work: Duration,
        cold_until: Instant,
        record: Record,
    ) -> anyhow::Result<Self> {
        let socket = UdpSocket::bind(app)?;
        socket.set_read_timeout(Some(Duration::from_millis(1)))?;
        let (stop, draining) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
        let mut worker = Worker {
            boot,
            name: name.to_owned(),
            socket,
            outbound,
            work,
            cold_until,
            record,
            flows: HashMap::new(),
            ended: HashSet::new(),
            running: Vec::new(),
            queue: VecDeque::new(),
            draining: Arc::clone(&draining),
            opened: 0,
        };
        let stopped = Arc::clone(&stop);
        let thread = Some(thread::spawn(move || worker.run(&stopped)));
        Ok(Self { stop, draining, thread })
    }

    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }
}

/// A server that is dropped ends at once, with all its flows.
impl Drop for Server {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Held {
    open: bool,
    own: u32,
    next: u32,
    /// The response that isn't acknowledged yet: packet, when it is sent again, pause, sent so far.
    response: Option<(Packet, Instant, Duration, u32)>,
}

struct Work {
    flow: Flow,
    request: String,
    ends: Instant,
}

struct Worker {
    boot: u32,
    name: String,
    socket: UdpSocket,
    outbound: SocketAddrV4,
    work: Duration,
    cold_until: Instant,
    record: Record,
    flows: HashMap<Flow, Held>,
    ended: HashSet<Flow>,
    running: Vec<Work>,
    queue: VecDeque<(Flow, String)>,
    draining: Arc<AtomicBool>,
    opened: u32,
}

impl Worker {
    fn run(&mut self, stop: &AtomicBool) {
        let mut buffer = [0; 2_048];
        while !stop.load(Ordering::Relaxed) {
            if let Ok((length, _)) = self.socket.recv_from(&mut buffer) {
                self.on_packet(&mut buffer[..length]);
            }
            self.work();
            self.resend();
        }
        let at_work: Vec<String> = self.running.drain(..).map(|work| work.request).collect();
        let queued = self.queue.drain(..).map(|(_, request)| request);
        self.record.server_ended(&self.name, self.boot, at_work, queued.collect());
    }

    fn on_packet(&mut self, bytes: &mut [u8]) {
        let Some((packet, sum_holds)) = decode(bytes) else {
            return self.record.broken("UNASKED", "a server got a malformed packet");
        };
        if !sum_holds || packet.flags & (SYN | ACK) == SYN | ACK {
            return self.record.broken("UNASKED", "a server got a packet that no client wrote so");
        }
        let flow = (packet.source, packet.destination);
        if packet.has(SYN) {
            return self.on_opening(flow, &packet, bytes);
        }
        if self.ended.contains(&flow) {
            let flags = if packet.has(FIN) {
                ACK
            } else if packet.data.is_empty() {
                return;
            } else {
                RST
            };
            return self.send(&answer(flow, flags, packet.acknowledged, packet.sequence, ""));
        }
        if !self.flows.contains_key(&flow) {
            bounce(bytes);
            let _ = self.socket.send_to(bytes, self.outbound);
            return;
        }
        if packet.has(RST) {
            return self.close(flow);
        }
        self.on_later(flow, &packet);
    }

    fn on_opening(&mut self, flow: Flow, packet: &Packet, bytes: &mut [u8]) {
        if !self.flows.contains_key(&flow) && self.flows.len() >= CONNECTIONS_MAX {
            bounce(bytes);
            let _ = self.socket.send_to(bytes, self.outbound);
            return;
        }
        if !self.flows.contains_key(&flow) {
            self.opened += 1;
            let own = (self.boot << 24) ^ self.opened.wrapping_mul(0x9e37_79b9);
            let next = packet.sequence.wrapping_add(1);
            self.flows.insert(flow, Held { open: false, own, next, response: None });
            self.ended.remove(&flow);
            self.record.opening_arrived(&self.name, self.boot, flow);
        }
        let held = &self.flows[&flow];
        let reply = answer(flow, SYN | ACK, held.own, held.next, "");
        self.send(&reply);
    }

    fn on_later(&mut self, flow: Flow, packet: &Packet) {
        let Some(held) = self.flows.get_mut(&flow) else { return };
        if !held.open {
            if packet.acknowledged != held.own.wrapping_add(1) {
                return;
            }
            held.open = true;
            held.own = packet.acknowledged;
            self.record.flow_opened(flow, &self.name, self.boot);
        }
        let acknowledges = |(response, ..): &mut (Packet, Instant, Duration, u32)| {
            let end = response.sequence.wrapping_add(response.data.len() as u32);
            packet.acknowledged.wrapping_sub(end) as i32 >= 0
        };
        held.response.take_if(acknowledges);
        if !packet.data.is_empty() && packet.sequence == held.next {
            held.next = held.next.wrapping_add(packet.data.len() as u32);
            let request = String::from_utf8_lossy(&packet.data).into_owned();
            if self.queue.len() >= QUEUE {
                self.respond(flow, &format!("421 {request}"));
            } else {
                self.queue.push_back((flow, request));
            }
        } else if !packet.data.is_empty()
            && let Some((response, ..)) = &held.response
        {
            let response = response.clone();
            self.send(&response);
        }
        if packet.has(FIN) {
            let next = packet.sequence.wrapping_add(packet.data.len() as u32).wrapping_add(1);
            self.send(&answer(flow, ACK | FIN, packet.acknowledged, next, ""));
            self.close(flow);
        }
    }

    fn work(&mut self) {
        let now = Instant::now();
        while let Some(index) = self.running.iter().position(|work| work.ends <= now) {
            let work = self.running.swap_remove(index);
            self.respond(work.flow, &format!("200 {}", work.request));
        }
        let work = if now < self.cold_until { self.work.mul_f64(COLD_FACTOR) } else { self.work };
        while self.running.len() < SLOTS
            && let Some((flow, request)) = self.queue.pop_front()
        {
            self.record.request_runs(&request, &self.name, self.boot);
            self.running.push(Work { flow, request, ends: now + work });
        }
    }

    fn respond(&mut self, flow: Flow, text: &str) {
        let closing = self.draining.load(Ordering::Relaxed);
        let Some(held) = self.flows.get_mut(&flow) else { return };
        let flags = if closing { ACK | FIN } else { ACK };
        let packet = answer(flow, flags, held.own, held.next, text);
        held.own = held.own.wrapping_add(text.len() as u32);
        held.response = Some((packet.clone(), Instant::now() + RESEND_FIRST, RESEND_FIRST, 0));
        self.send(&packet);
    }

    fn resend(&mut self) {
        let now = Instant::now();
        let mut due = Vec::new();
        for held in self.flows.values_mut() {
            let Some((packet, at, pause, sent)) = &mut held.response else { continue };
            if *at <= now && *sent < RESENDS {
                *pause = (*pause * 2).min(RESEND_MAX);
                *at = now + *pause;
                *sent += 1;
                due.push(packet.clone());
            }
        }
        due.iter().for_each(|packet| self.send(packet));
    }

    fn close(&mut self, flow: Flow) {
        self.flows.remove(&flow);
        self.ended.insert(flow);
        self.queue.retain(|(queued, _)| *queued != flow);
        self.record.flow_closed(flow);
    }

    fn send(&self, packet: &Packet) {
        let _ = self.socket.send_to(&packet.encode(), self.outbound);
    }
}

fn answer(flow: Flow, flags: u8, sequence: u32, acknowledged: u32, text: &str) -> Packet {
    let data = text.as_bytes().to_vec();
    Packet { source: flow.1, destination: flow.0, flags, sequence, acknowledged, data }
}
