//! One connection of a caller, from its opening to its outcome.

use std::net::SocketAddr;
use std::sync::Arc;

use decision::time::Millis;
use smoltcp::socket::tcp;

use super::{Incident, Kind, Outcome, Report, Workload};
use crate::protocol::{Answer, AnswerReader, Request, RequestId, Responder};
use crate::stack::TcpStack;

/// An open feed that received no data for this long is reported as silent.
const FEED_SILENT_MS: u64 = 2_000;
/// Request numbers of confirmations on a feed's connection carry their counter from this bit
/// upwards, so that they differ from the feed's own number.
const FEED_CONFIRM_SHIFT: u32 = 28;

/// Why a connection is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// Keeps a feed open.
    Feed,
    /// One confirmation.
    Confirm,
    /// One body.
    Fetch,
    /// A confirmation in one datagram, which needs no connection.
    Datagram,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    Opening,
    /// The handshake is complete; requests are sent and answers read.
    Open,
    /// All answers have been received and our side is closed.
    Closing,
    /// The connection failed and its incident is recorded.
    Finished,
}

pub(super) struct Connection {
    stack: TcpStack,
    /// When the next poll is due.
    pub(super) due: Millis,
    phase: Phase,
    purpose: Purpose,
    id: RequestId,
    service: Arc<str>,
    client: SocketAddr,
    remote: SocketAddr,
    request: Request,
    upstream: Option<Arc<str>>,
    reader: AnswerReader,
    outgoing: Vec<u8>,
    /// Time between confirmations on the feed's connection, 0 for none.
    confirm_interval_ms: u64,
    next_confirm_at: Millis,
    confirms: u64,
    /// Requests whose answer is not complete yet, and when each was sent.
    unanswered: Vec<(RequestId, Millis)>,
    lines: u64,
    is_ending: bool,
    started_at: Millis,
    progress_at: Millis,
    finished_at: Millis,
}

impl Connection {
    pub(super) fn new(
        now: Millis,
        client: SocketAddr,
        seed: u64,
        purpose: Purpose,
        id: RequestId,
        work: &Workload,
    ) -> Self {
        let request = match purpose {
            Purpose::Feed => Request::Feed { id, interval_ms: work.feed_interval_ms },
            Purpose::Fetch => Request::Fetch { id, bytes: work.fetch_bytes },
            Purpose::Confirm | Purpose::Datagram => Request::Confirm(id),
        };
        let confirms = purpose == Purpose::Feed && work.feed_confirm_interval_ms > 0;
        Self {
            stack: TcpStack::connect(client, work.address, seed, now),
            due: now,
            phase: Phase::Opening,
            purpose,
            id,
            service: Arc::clone(&work.service),
            client,
            remote: work.address,
            request,
            upstream: None,
            reader: AnswerReader::default(),
            outgoing: Vec::new(),
            confirm_interval_ms: if confirms { work.feed_confirm_interval_ms } else { 0 },
            next_confirm_at: Millis(u64::MAX),
            confirms: 0,
            unanswered: Vec::new(),
            lines: 0,
            is_ending: false,
            started_at: now,
            progress_at: now,
            finished_at: now,
        }
    }

    pub(super) fn remote(&self) -> SocketAddr {
        self.remote
    }

    pub(super) fn push(&mut self, now: Millis, packet: &[u8]) {
        self.stack.push(packet);
        self.due = now;
    }

    pub(super) fn is_held_by(&self, upstream: &str) -> bool {
        self.upstream.as_deref() == Some(upstream)
    }

    pub(super) fn is_feed_of(&self, service: &str) -> bool {
        self.purpose == Purpose::Feed
            && !self.is_ending
            && self.phase < Phase::Closing
            && &*self.service == service
    }

    pub(super) fn is_finished(&self) -> bool {
        self.phase >= Phase::Closing
    }

    /// True once the connection has finished and its linger time is over.
    pub(super) fn is_expired(&self, now: Millis, linger_ms: u64) -> bool {
        self.is_finished() && now.since(self.finished_at) >= linger_ms
    }

    /// Requests the end of the feed. The answer states how many lines the upstream sent, which is
    /// compared with the number received.
    pub(super) fn end_feed(&mut self, now: Millis) {
        if self.purpose != Purpose::Feed || self.is_ending || self.is_finished() {
            return;
        }
        self.is_ending = true;
        self.next_confirm_at = Millis(u64::MAX);
        self.due = now;
        if self.phase == Phase::Open {
            self.queue_request(now, Request::End(self.id));
        }
    }

    pub(super) fn count_open(&self, now: Millis, report: &mut Report) {
        if self.phase != Phase::Open {
            return;
        }
        report.flows_open += 1;
        if self.purpose == Purpose::Feed {
            report.feeds_open += 1;
            report.feeds_silent += u64::from(now.since(self.progress_at) >= FEED_SILENT_MS);
        }
    }

    pub(super) fn poll(
        &mut self,
        now: Millis,
        stall_ms: u64,
        report: &mut Report,
        out: &mut Vec<Vec<u8>>,
    ) {
        self.stack.poll(now, out);
        self.advance(now, stall_ms, report);
        self.flush();
        self.stack.poll(now, out);
        self.due = self.next_due(now, stall_ms);
    }

    fn advance(&mut self, now: Millis, stall_ms: u64, report: &mut Report) {
        if self.phase == Phase::Opening {
            self.advance_opening(now, stall_ms, report);
        }
        if self.phase != Phase::Open {
            return;
        }
        if let Err(outcome) = self.receive(now, report) {
            return self.fail(now, outcome, report);
        }
        self.check_state(now, stall_ms, report);
    }

    fn advance_opening(&mut self, now: Millis, stall_ms: u64, report: &mut Report) {
        let socket = self.stack.socket();
        if socket.may_send() {
            report.record_opening(now, self.started_at);
            self.phase = Phase::Open;
            self.progress_at = now;
            self.next_confirm_at = match self.confirm_interval_ms {
                0 => Millis(u64::MAX),
                interval_ms => now.after(interval_ms),
            };
            self.queue_request(now, self.request);
            if self.is_ending {
                self.queue_request(now, Request::End(self.id));
            }
        } else if !socket.is_open() {
            self.fail(now, Outcome::Refused, report);
        } else if now.since(self.started_at) >= stall_ms {
            self.fail(now, Outcome::Unanswered, report);
        }
    }

    fn queue_request(&mut self, now: Millis, request: Request) {
        self.outgoing.extend_from_slice(format!("{request}\n").as_bytes());
        self.unanswered.push((request.id(), now));
    }

    fn receive(&mut self, now: Millis, report: &mut Report) -> Result<(), Outcome> {
        while self.stack.socket().can_recv() {
            let mut bytes = [0; 2_048];
            let Ok(count) = self.stack.socket_mut().recv_slice(&mut bytes) else { break };
            let mut answers = Vec::new();
            let read = self.reader.read(&bytes[..count], |answer| answers.push(answer));
            self.progress_at = now;
            for answer in answers {
                self.handle_answer(now, answer, report)?;
            }
            read.map_err(|_| Outcome::Corrupt)?;
        }
        Ok(())
    }

    fn handle_answer(
        &mut self,
        now: Millis,
        answer: Answer,
        report: &mut Report,
    ) -> Result<(), Outcome> {
        match answer {
            Answer::Confirmed(id, responder)
            | Answer::Body { id, responder, .. }
            | Answer::Feed(id, responder) => {
                self.check_responder(responder)?;
                self.complete_request(now, id, report)
            }
            Answer::Line { id, number, .. } => {
                if id != self.id || number != self.lines || !answer.is_intact() {
                    return Err(Outcome::Corrupt);
                }
                self.lines += 1;
                report.lines_received += 1;
                Ok(())
            }
            Answer::Ended(id, lines) if lines == self.lines => {
                self.complete_request(now, id, report)
            }
            Answer::Ended(..) => Err(Outcome::Corrupt),
            Answer::Shed(id) if id == self.id => Err(Outcome::Shed),
            Answer::Shed(id) => self.record_shed(id, report),
        }
    }

    /// Checks that all answers on this connection come from one upstream of the expected service.
    fn check_responder(&mut self, responder: Responder) -> Result<(), Outcome> {
        if responder.service != self.service {
            return Err(Outcome::WrongService);
        }
        match &self.upstream {
            Some(known) if *known != responder.upstream => Err(Outcome::Corrupt),
            _ => {
                self.upstream = Some(responder.upstream);
                Ok(())
            }
        }
    }

    fn complete_request(
        &mut self,
        now: Millis,
        id: RequestId,
        report: &mut Report,
    ) -> Result<(), Outcome> {
        let position = self.unanswered.iter().position(|(unanswered, _)| *unanswered == id);
        let (_, sent_at) = self.unanswered.remove(position.ok_or(Outcome::Corrupt)?);
        report.record_answer(now, sent_at);
        Ok(())
    }

    /// Records a refused confirmation on a feed's connection. The feed itself continues.
    fn record_shed(&mut self, id: RequestId, report: &mut Report) -> Result<(), Outcome> {
        let position = self.unanswered.iter().position(|(unanswered, _)| *unanswered == id);
        self.unanswered.remove(position.ok_or(Outcome::Corrupt)?);
        report.requests_refused.push(id);
        Ok(())
    }

    fn check_state(&mut self, now: Millis, stall_ms: u64, report: &mut Report) {
        let is_complete =
            self.unanswered.is_empty() && (self.purpose != Purpose::Feed || self.is_ending);
        if is_complete && self.outgoing.is_empty() {
            self.stack.socket_mut().close();
            self.phase = Phase::Closing;
            self.finished_at = now;
            return;
        }
        match self.stack.socket().state() {
            tcp::State::Closed => self.fail(now, Outcome::Reset, report),
            tcp::State::CloseWait => self.fail(now, Outcome::Closed, report),
            _ if now.since(self.progress_at) >= stall_ms => {
                self.fail(now, Outcome::Stalled, report);
            }
            _ => self.send_due_confirm(now),
        }
    }

    /// Sends the next confirmation on the feed's connection if it is due and no request is
    /// unanswered.
    fn send_due_confirm(&mut self, now: Millis) {
        if self.next_confirm_at > now {
            return;
        }
        self.next_confirm_at = now.after(self.confirm_interval_ms);
        if self.unanswered.is_empty() {
            self.confirms += 1;
            let id = RequestId(self.id.0 | self.confirms << FEED_CONFIRM_SHIFT);
            self.queue_request(now, Request::Confirm(id));
        }
    }

    fn fail(&mut self, now: Millis, outcome: Outcome, report: &mut Report) {
        let established = self.phase == Phase::Open;
        report.add_incident(Incident {
            at_ms: now.0,
            since_ms: self.progress_at.0,
            service: Arc::clone(&self.service),
            upstream: self.upstream.clone(),
            client: self.client,
            kind: self.kind(),
            request: self.unanswered.first().map_or(self.id, |(id, _)| *id),
            outcome,
            established,
            answer_missing: !self.unanswered.is_empty() && outcome != Outcome::Shed,
        });
        self.stack.socket_mut().abort();
        self.phase = Phase::Finished;
        self.finished_at = now;
    }

    fn flush(&mut self) {
        if self.outgoing.is_empty() || !self.stack.socket().can_send() {
            return;
        }
        if let Ok(count) = self.stack.socket_mut().send_slice(&self.outgoing) {
            self.outgoing.drain(..count);
        }
    }

    fn next_due(&mut self, now: Millis, stall_ms: u64) -> Millis {
        let stack = self.stack.due(now).unwrap_or(Millis(u64::MAX));
        if self.is_finished() {
            return stack;
        }
        stack.min(self.progress_at.after(stall_ms)).min(self.next_confirm_at).max(now.after(1))
    }

    fn kind(&self) -> Kind {
        match self.purpose {
            Purpose::Feed => Kind::Feed,
            Purpose::Confirm => Kind::Confirm,
            Purpose::Fetch => Kind::Fetch,
            Purpose::Datagram => Kind::Datagram,
        }
    }
}
