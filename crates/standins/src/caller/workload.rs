//! The load that a caller puts on one service, and when its next request is due.

use std::net::SocketAddr;
use std::sync::Arc;

use decision::time::Millis;
use rand::RngExt as _;
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};

use super::connection::Purpose;

/// Minimum time between two feed openings, so that the start of a workload isn't a burst.
const FEED_OPENING_INTERVAL_MS: u64 = 10;

/// Load on one service, part of the body of `PUT /admin/workloads`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Service whose answers are expected; an answer of any other one is a misdelivery.
    pub service: Arc<str>,
    /// Address to which its connections are opened.
    pub address: SocketAddr,
    /// Number of feeds kept open.
    pub feeds: u32,
    /// Time between the lines of a feed.
    pub feed_interval_ms: u32,
    /// Time between the confirmations sent on a feed's connection, 0 for none.
    pub feed_confirm_interval_ms: u64,
    /// Rate of confirmations that each use their own connection.
    pub confirms_per_s: u32,
    /// Rate of fetches that each use their own connection.
    pub fetches_per_s: u32,
    /// Length of a fetched body.
    pub fetch_bytes: u32,
    /// Address to which one-datagram confirmations are sent.
    pub datagram_address: Option<SocketAddr>,
    /// Rate of one-datagram confirmations.
    pub datagrams_per_s: u32,
}

/// A workload and the times of its next requests.
#[derive(Debug)]
pub(super) struct Schedule {
    pub(super) work: Workload,
    next_feed_at: Millis,
    next_requests: [(Purpose, u32, Millis); 3],
}

impl Schedule {
    pub(super) fn new(now: Millis, work: Workload) -> Self {
        let next_requests = [
            (Purpose::Confirm, work.confirms_per_s, now),
            (Purpose::Fetch, work.fetches_per_s, now),
            (Purpose::Datagram, work.datagrams_per_s, now),
        ];
        Self { next_feed_at: now, next_requests, work }
    }

    /// The requests to start now, given the number of open feeds.
    pub(super) fn take_due(
        &mut self,
        now: Millis,
        feeds: usize,
        random: &mut Pcg64,
    ) -> Vec<Purpose> {
        let mut due = Vec::new();
        if feeds < self.work.feeds as usize && self.next_feed_at <= now {
            self.next_feed_at = now.after(FEED_OPENING_INTERVAL_MS);
            due.push(Purpose::Feed);
        }
        for (purpose, per_s, next_at) in &mut self.next_requests {
            if *per_s == 0 || *next_at > now {
                continue;
            }
            due.push(*purpose);
            // Uniform between 0 and twice the mean interval, so that requests don't synchronise
            // with other periodic work.
            *next_at = now.after(random.random_range(0..=2_000 / u64::from(*per_s)));
        }
        due
    }

    pub(super) fn due(&self) -> Millis {
        let requests =
            self.next_requests.iter().filter(|(_, per_s, _)| *per_s > 0).map(|request| request.2);
        requests.min().unwrap_or(self.next_feed_at).min(self.next_feed_at.after(1_000))
    }
}
