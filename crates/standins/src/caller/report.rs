//! What a caller saw, in a form that the lab can judge.

use std::net::SocketAddr;
use std::sync::Arc;

use decision::time::Millis;
use serde::{Deserialize, Serialize};

use crate::protocol::RequestId;

/// Body of `GET /admin/report`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// When it was made.
    pub at_ms: u64,
    /// Connections tried.
    pub openings_tried: u64,
    /// Connections established.
    pub flows_opened: u64,
    /// Connections established and open now.
    pub flows_open: u64,
    /// Feeds open now.
    pub feeds_open: u64,
    /// Open feeds that had no line for two seconds or more.
    pub feeds_silent: u64,
    /// Requests answered whole.
    pub answers_complete: u64,
    /// Lines of feeds.
    pub lines_received: u64,
    /// One-datagram requests sent.
    pub datagrams_sent: u64,
    /// Packets that could not be read.
    pub packets_malformed: u64,
    /// Packets to a connection from another address than its peer's.
    pub packets_from_strangers: u64,
    /// Everything that did not end well, oldest first.
    pub incidents: Vec<Incident>,
    /// Requests that were refused, and so must not have run.
    pub requests_refused: Vec<RequestId>,
    /// From the first packet to the established connection, of each.
    pub openings: Vec<Span>,
    /// From the request to its whole answer, of each.
    pub answers: Vec<Span>,
    /// Stopped, and nothing in flight.
    pub is_idle: bool,
}

/// How long something took that ended well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// When it began.
    pub from_ms: u64,
    /// How long it took.
    pub took_ms: u64,
}

/// One thing that did not end well.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incident {
    /// When it was noticed.
    pub at_ms: u64,
    /// When the last good thing happened.
    pub since_ms: u64,
    /// Service that was called.
    pub service: Arc<str>,
    /// Upstream that had answered on the connection before.
    pub upstream: Option<Arc<str>>,
    /// Caller's end.
    pub client: SocketAddr,
    /// What was asked.
    pub kind: Kind,
    /// Request that was waited for.
    pub request: RequestId,
    /// How it ended.
    pub outcome: Outcome,
    /// The connection had been established.
    pub established: bool,
    /// A request was sent and its answer isn't whole.
    pub answer_missing: bool,
}

/// What was asked.
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

/// How something ended that did not end well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The opening or the datagram was refused: nothing was run.
    Refused,
    /// The upstream shed the request: it was not run.
    Shed,
    /// Nobody answered the opening or the datagram.
    Unanswered,
    /// The connection was reset.
    Reset,
    /// The connection made no progress.
    Stalled,
    /// The peer closed before the answer was whole.
    Closed,
    /// Wrong bytes, or a wrong number of lines.
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
