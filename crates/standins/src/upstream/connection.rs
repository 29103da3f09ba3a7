//! A caller's connection at an upstream: reads requests, sends answers and feed lines.

use std::collections::VecDeque;

use decision::time::Millis;
use smoltcp::socket::tcp;

use super::{Event, Ledger, Switches};
use crate::protocol::{Answer, Body, Request, RequestId, Responder, line_checksum};
use crate::stack::TcpStack;

/// Longest request line; the connection of a caller that sends a longer one is reset.
const LINE_BYTES_MAX: usize = 256;
/// A feed pauses while more unsent bytes than this are queued for a slow reader.
const OUTGOING_BYTES_MAX: usize = 4 * 1024;

pub(super) struct Connection {
    stack: TcpStack,
    /// When the next poll is due.
    pub(super) due: Millis,
    line: Vec<u8>,
    /// Received requests and the time at which each is run, later by `Switches::slow_ms`.
    pending: VecDeque<(Millis, Request)>,
    outgoing: VecDeque<u8>,
    feed: Option<Feed>,
}

struct Feed {
    id: RequestId,
    interval_ms: u64,
    next_line: u64,
    next_line_at: Millis,
}

impl Connection {
    pub(super) fn new(stack: TcpStack, now: Millis) -> Self {
        Self {
            stack,
            due: now,
            line: Vec::new(),
            pending: VecDeque::new(),
            outgoing: VecDeque::new(),
            feed: None,
        }
    }

    pub(super) fn push(&mut self, now: Millis, packet: &[u8]) {
        self.stack.push(packet);
        self.due = now;
    }

    /// False once both sides have closed or one has reset the connection.
    pub(super) fn is_open(&self) -> bool {
        self.stack.socket().is_open()
    }

    pub(super) fn poll(
        &mut self,
        now: Millis,
        responder: &Responder,
        switches: &Switches,
        ledger: &mut Ledger,
        out: &mut Vec<Vec<u8>>,
    ) {
        self.stack.poll(now, out);
        self.receive(now, switches);
        self.run_pending(now, responder, switches, ledger);
        self.advance_feed(now);
        self.flush();
        self.close_after_peer();
        self.stack.poll(now, out);
        self.due = self.next_due(now);
    }

    fn receive(&mut self, now: Millis, switches: &Switches) {
        while self.stack.socket().can_recv() {
            let mut bytes = [0; 512];
            let Ok(count) = self.stack.socket_mut().recv_slice(&mut bytes) else { return };
            for &byte in &bytes[..count] {
                self.receive_byte(now, switches, byte);
            }
        }
    }

    fn receive_byte(&mut self, now: Millis, switches: &Switches, byte: u8) {
        if byte != b'\n' {
            self.line.push(byte);
            if self.line.len() > LINE_BYTES_MAX {
                self.stack.socket_mut().abort();
            }
            return;
        }
        let line = std::mem::take(&mut self.line);
        match Request::parse(std::str::from_utf8(&line).unwrap_or_default()) {
            Ok(request) => self.pending.push_back((now.after(switches.slow_ms), request)),
            Err(_) => self.stack.socket_mut().abort(),
        }
    }

    fn run_pending(
        &mut self,
        now: Millis,
        responder: &Responder,
        switches: &Switches,
        ledger: &mut Ledger,
    ) {
        while let Some((at, request)) = self.pending.front().copied() {
            if at > now {
                return;
            }
            self.pending.pop_front();
            if switches.shedding && !matches!(request, Request::End(_)) {
                ledger.add(now, Event::Shed { request: request.id() });
                self.queue_answer(&Answer::Shed(request.id()));
                continue;
            }
            self.run(now, responder, request, ledger);
        }
    }

    fn run(&mut self, now: Millis, responder: &Responder, request: Request, ledger: &mut Ledger) {
        if !matches!(request, Request::End(_))
            && let Some(client) = self.client()
        {
            ledger.add(now, Event::Run { request: request.id(), client });
        }
        match request {
            Request::Confirm(id) => self.queue_answer(&Answer::Confirmed(id, responder.clone())),
            Request::Fetch { id, bytes } => {
                self.queue_answer(&Answer::Body { id, responder: responder.clone(), bytes });
                self.outgoing.extend(Body::new(id).take(bytes as usize));
            }
            Request::Feed { id, interval_ms } => {
                self.queue_answer(&Answer::Feed(id, responder.clone()));
                let interval_ms = u64::from(interval_ms.max(1));
                self.feed = Some(Feed { id, interval_ms, next_line: 0, next_line_at: now });
            }
            Request::End(id) => {
                let lines = self.feed.take().map_or(0, |feed| feed.next_line);
                self.queue_answer(&Answer::Ended(id, lines));
            }
        }
    }

    fn client(&self) -> Option<std::net::SocketAddr> {
        let endpoint = self.stack.socket().remote_endpoint()?;
        Some(std::net::SocketAddr::new(endpoint.addr.into(), endpoint.port))
    }

    fn queue_answer(&mut self, answer: &Answer) {
        self.outgoing.extend(answer.to_string().into_bytes());
        self.outgoing.push_back(b'\n');
    }

    fn advance_feed(&mut self, now: Millis) {
        let Some(feed) = &mut self.feed else { return };
        if feed.next_line_at > now || self.outgoing.len() > OUTGOING_BYTES_MAX {
            return;
        }
        let (id, number) = (feed.id, feed.next_line);
        feed.next_line += 1;
        feed.next_line_at = now.after(feed.interval_ms);
        self.queue_answer(&Answer::Line { id, number, checksum: line_checksum(id, number) });
    }

    fn flush(&mut self) {
        let socket = self.stack.socket_mut();
        while socket.can_send() && !self.outgoing.is_empty() {
            let (front, _) = self.outgoing.as_slices();
            let Ok(count) = socket.send_slice(front) else { return };
            self.outgoing.drain(..count);
        }
    }

    /// Closes our side once the caller has closed its own and all its answers are sent.
    fn close_after_peer(&mut self) {
        let peer_closed = self.stack.socket().state() == tcp::State::CloseWait;
        if peer_closed && self.outgoing.is_empty() && self.pending.is_empty() {
            self.stack.socket_mut().close();
        }
    }

    fn next_due(&mut self, now: Millis) -> Millis {
        let pending = self.pending.front().map(|(at, _)| *at);
        let feed = self.feed.as_ref().map(|feed| feed.next_line_at.max(now.after(1)));
        let stack = self.stack.due(now);
        [pending, feed, stack].into_iter().flatten().min().unwrap_or(Millis(u64::MAX))
    }
}
