//! Report of a caller: counters, timings and incidents, from which the lab derives its verdict.

use std::net::SocketAddr;
use std::sync::Arc;

use decision::time::Millis;
use serde::{Deserialize, Serialize};

use crate::protocol::RequestId;

/// Body of `GET /admin/report`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// When the report was made.
    pub at_ms: u64,
    /// Connections that were attempted.
    pub openings_tried: u64,
    /// Connections that were established.
    pub flows_opened: u64,
    /// Connections established and currently open.
    pub flows_open: u64,
    /// Feeds currently open.
    pub feeds_open: u64,
    /// Open feeds that received no data for two seconds or more.
    pub feeds_silent: u64,
    /// Requests with a complete answer.
    pub answers_complete: u64,
    /// Feed lines received.
    pub lines_received: u64,
    /// One-datagram requests sent.
    pub datagrams_sent: u64,
    /// Packets that could not be parsed.
    pub packets_malformed: u64,
    /// Packets for a connection that came from another address than its peer's.
    pub packets_from_strangers: u64,
    /// Failed connections and requests, oldest first.
    pub incidents: Vec<Incident>,
    /// Requests that were refused and therefore must not have run.
    pub requests_refused: Vec<RequestId>,
    /// Time from the first packet to the established connection, one entry per connection.
    pub openings: Vec<Span>,
    /// Time from the request to its complete answer, one entry per request.
    pub answers: Vec<Span>,
    /// The caller was stopped and nothing is in flight.
    pub is_idle: bool,
}

/// Start and duration of a successful opening or request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// When it started.
    pub from_ms: u64,
    /// How long it took.
    pub took_ms: u64,
}

/// One failed connection or request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incident {
    /// When the failure was detected.
    pub at_ms: u64,
    /// When the connection was started or last made progress, or the datagram was sent.
    pub since_ms: u64,
    /// The service called.
    pub service: Arc<str>,
    /// The upstream that had answered on this connection before the failure.
    pub upstream: Option<Arc<str>>,
    /// Client address of the caller.
    pub client: SocketAddr,
    /// Kind of request.
    pub kind: Kind,
    /// The oldest unanswered request, or else the first request of the connection.
    pub request: RequestId,
    /// How it ended.
    pub outcome: Outcome,
    /// The connection had been established.
    pub established: bool,
    /// A request was sent and its answer is incomplete.
    pub answer_missing: bool,
}

/// Kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A long feed.
    Feed,
    /// A confirmation on its own connection.
    Confirm,
    /// A body on its own connection.
    Fetch,
    /// A confirmation in one datagram.
    Datagram,
}

/// How a connection or request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The opening or the datagram was refused; nothing ran.
    Refused,
    /// The upstream shed the request without running it.
    Shed,
    /// The opening or the datagram got no answer.
    Unanswered,
    /// The connection was reset.
    Reset,
    /// The connection made no progress.
    Stalled,
    /// The peer closed the connection before the answer was complete.
    Closed,
    /// An answer had wrong bytes, or a feed a wrong number of lines.
    Corrupt,
    /// Another service answered.
    WrongService,
}

impl Span {
    fn new(from: Millis, to: Millis) -> Self {
        Self { from_ms: from.0, took_ms: to.since(from) }
    }
}

impl Report {
    pub(super) fn record_opening(&mut self, now: Millis, started_at: Millis) {
        self.flows_opened += 1;
        self.openings.push(Span::new(started_at, now));
    }

    pub(super) fn record_answer(&mut self, now: Millis, sent_at: Millis) {
        self.answers_complete += 1;
        self.answers.push(Span::new(sent_at, now));
    }

    pub(super) fn add_incident(&mut self, incident: Incident) {
        if matches!(incident.outcome, Outcome::Refused | Outcome::Shed) {
            self.requests_refused.push(incident.request);
        }
        self.incidents.push(incident);
    }
}
