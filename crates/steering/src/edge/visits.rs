//! Which upstreams a search for a flow has been at, and when one may get a packet once more.

use std::net::Ipv4Addr;

use crate::flow::Millis;

/// First and longest pause before an upstream that has not answered is asked once more by a search that
/// has gone on: it denies or returns within a few milliseconds, and packets get lost.
const RETRY_MS: Millis = 100;
const RETRY_MAX_MS: Millis = 400;

/// An upstream that got a packet of the search.
#[derive(Clone, Copy, Debug)]
struct Visit {
    address: Ipv4Addr,
    /// Whether the search waited for its word, not for another's only.
    asked: bool,
    /// Whether it got a copy and has not denied the flow since.
    copied: bool,
    /// When it got the last packet.
    last_sent_ms: Millis,
    /// When it may get another one, if it has not answered.
    retry_at_ms: Millis,
    pause_ms: Millis,
}

/// Upstreams that got packets of a search, by address.
#[derive(Debug, Default)]
pub(super) struct Visits {
    visits: Vec<Visit>,
    asked: u64,
}

impl Visits {
    /// Notes that the upstream at `address` is asked.
    pub(super) fn ask(&mut self, now_ms: Millis, address: Ipv4Addr) {
        let first = !std::mem::replace(&mut self.record(now_ms, address).asked, true);
        self.asked += u64::from(first);
    }

    /// Notes that the upstream at `address` is asked beside another one.
    pub(super) fn ask_in_parallel(&mut self, now_ms: Millis, address: Ipv4Addr) {
        let visit = self.record(now_ms, address);
        visit.copied = true;
        let first = !std::mem::replace(&mut visit.asked, true);
        self.asked += u64::from(first);
    }

    /// Notes that the upstream at `address` gets a copy beside the one that is asked.
    pub(super) fn copy(&mut self, now_ms: Millis, address: Ipv4Addr) {
        self.record(now_ms, address).copied = true;
    }

    /// Whether the upstream at `address` got a copy; it counts once.
    pub(super) fn take_copied(&mut self, address: Ipv4Addr) -> bool {
        let index = self.find(address);
        index.is_ok_and(|index| std::mem::take(&mut self.visits[index].copied))
    }

    /// Number of upstreams that were asked.
    pub(super) fn asked_count(&self) -> u64 {
        self.asked
    }

    /// Whether the upstream at `address` was asked.
    pub(super) fn has_asked(&self, address: Ipv4Addr) -> bool {
        self.get(address).is_some_and(|visit| visit.asked)
    }

    /// Whether the upstream at `address` has had its time to answer a packet.
    pub(super) fn is_overdue(&self, now_ms: Millis, address: Ipv4Addr) -> bool {
        self.get(address).is_some_and(|visit| visit.retry_at_ms <= now_ms)
    }

    /// When the upstream at `address` got its last packet; nothing if it never got one.
    pub(super) fn last_sent_ms(&self, address: Ipv4Addr) -> Option<Millis> {
        self.get(address).map(|visit| visit.last_sent_ms)
    }

    fn record(&mut self, now_ms: Millis, address: Ipv4Addr) -> &mut Visit {
        let (index, pause_ms) = match self.find(address) {
            Ok(index) => (index, (2 * self.visits[index].pause_ms).min(RETRY_MAX_MS)),
            Err(index) => {
                let (last_sent_ms, retry_at_ms) = (now_ms, now_ms);
                let (asked, copied) = (false, false);
                let visit =
                    Visit { address, asked, copied, last_sent_ms, retry_at_ms, pause_ms: RETRY_MS };
                self.visits.insert(index, visit);
                (index, RETRY_MS)
            }
        };
        let visit = &mut self.visits[index];
        visit.last_sent_ms = now_ms;
        visit.retry_at_ms = now_ms + pause_ms;
        visit.pause_ms = pause_ms;
        visit
    }

    fn get(&self, address: Ipv4Addr) -> Option<&Visit> {
        self.find(address).ok().map(|index| &self.visits[index])
    }

    fn find(&self, address: Ipv4Addr) -> Result<usize, usize> {
        self.visits.binary_search_by_key(&address, |visit| visit.address)
    }
}
