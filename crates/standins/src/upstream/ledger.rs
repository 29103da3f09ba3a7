//! Ledger of the events at one upstream, one row per event. The lab derives its verdict from these
//! rows.

use std::net::SocketAddr;

use decision::time::Millis;
use serde::{Deserialize, Serialize};

use crate::protocol::RequestId;

/// One event and its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Time of the event on [`crate::clock`].
    pub at_ms: u64,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// An event at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A connection was opened.
    Open {
        /// Caller.
        client: SocketAddr,
    },
    /// A request ran.
    Run {
        /// Request.
        request: RequestId,
        /// Caller.
        client: SocketAddr,
    },
    /// A request was refused without running.
    Shed {
        /// Request.
        request: RequestId,
    },
    /// A packet for another service arrived.
    Misdelivered {
        /// Destination of the packet.
        destination: SocketAddr,
    },
}

/// All rows, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    rows: Vec<Row>,
    written: usize,
}

impl Ledger {
    /// Appends a row.
    ///
    /// ```
    /// use decision::time::Millis;
    /// use standins::{protocol::RequestId, upstream::{Event, Ledger}};
    /// let mut ledger = Ledger::default();
    /// ledger.add(Millis(5), Event::Shed { request: RequestId(7) });
    /// assert_eq!(ledger.rows()[0].at_ms, 5);
    /// ```
    pub fn add(&mut self, now: Millis, event: Event) {
        self.rows.push(Row { at_ms: now.0, event });
    }

    /// All rows.
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }

    /// Rows added since the previous call.
    pub fn take_new(&mut self) -> &[Row] {
        let first = std::mem::replace(&mut self.written, self.rows.len());
        &self.rows[first..]
    }

    /// How many times a request ran at this upstream.
    pub fn runs(&self, id: RequestId) -> usize {
        let is_run = |row: &&Row| matches!(row.event, Event::Run { request, .. } if request == id);
        self.rows.iter().filter(is_run).count()
    }
}
