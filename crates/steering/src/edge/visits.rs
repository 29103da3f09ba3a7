//! Which upstreams a search has sent packets to, and when each may get another one.

use std::net::Ipv4Addr;

use crate::flow::Millis;

/// First and longest time before a search that has moved on asks an unresponsive upstream again. An
/// upstream denies or returns a packet within a few milliseconds, and packets get lost.
const RETRY_MS: Millis = 100;
const RETRY_MAX_MS: Millis = 400;

/// An upstream to which the search has sent a packet.
#[derive(Clone, Copy, Debug)]
struct Visit {
    address: Ipv4Addr,
    /// Whether the search asked it, rather than only sending it a copy.
    asked: bool,
    /// Whether it got a copy and has not denied the flow since.
    copied: bool,
    /// When the latest packet was sent to it.
    last_sent_ms: Millis,
    /// When it may get another packet if it has not replied.
    retry_at_ms: Millis,
    backoff_ms: Millis,
}

/// Upstreams that got packets of a search, sorted by address.
#[derive(Debug, Default)]
pub(super) struct Visits {
    visits: Vec<Visit>,
    asked: u64,
}

impl Visits {
    /// Records that the upstream at `address` is asked.
    pub(super) fn ask(&mut self, now_ms: Millis, address: Ipv4Addr) {
        let first = !std::mem::replace(&mut self.record(now_ms, address).asked, true);
        self.asked += u64::from(first);
    }

    /// Records that the upstream at `address` is asked in parallel with another one.
    pub(super) fn ask_in_parallel(&mut self, now_ms: Millis, address: Ipv4Addr) {
        let visit = self.record(now_ms, address);
        visit.copied = true;
        let first = !std::mem::replace(&mut visit.asked, true);
        self.asked += u64::from(first);
    }

    /// Records that the upstream at `address` gets a copy.
    pub(super) fn copy(&mut self, now_ms: Millis, address: Ipv4Addr) {
        self.record(now_ms, address).copied = true;
    }

    /// Whether the upstream at `address` got a copy since the last call.
    pub(super) fn take_copied(&mut self, address: Ipv4Addr) -> bool {
        let index = self.find(address);
        index.is_ok_and(|index| std::mem::take(&mut self.visits[index].copied))
    }

    /// The upstreams that got a packet.
    pub(super) fn addresses(&self) -> impl Iterator<Item = Ipv4Addr> + '_ {
        self.visits.iter().map(|visit| visit.address)
    }

    /// Number of upstreams that were asked.
    pub(super) fn asked_count(&self) -> u64 {
        self.asked
    }

    /// Whether the upstream at `address` was asked.
    pub(super) fn has_asked(&self, address: Ipv4Addr) -> bool {
        self.get(address).is_some_and(|visit| visit.asked)
    }

    /// Whether the upstream at `address` has exceeded its time to reply to a packet.
    pub(super) fn is_overdue(&self, now_ms: Millis, address: Ipv4Addr) -> bool {
        self.get(address).is_some_and(|visit| visit.retry_at_ms <= now_ms)
    }

    /// When the latest packet was sent to the upstream at `address`; `None` if there was none.
    pub(super) fn last_sent_ms(&self, address: Ipv4Addr) -> Option<Millis> {
        self.get(address).map(|visit| visit.last_sent_ms)
    }

    fn record(&mut self, now_ms: Millis, address: Ipv4Addr) -> &mut Visit {
        let (index, backoff_ms) = match self.find(address) {
            Ok(index) => (index, (2 * self.visits[index].backoff_ms).min(RETRY_MAX_MS)),
            Err(index) => {
                let (last_sent_ms, retry_at_ms) = (now_ms, now_ms);
                let (asked, copied) = (false, false);
                let visit = Visit {
                    address,
                    asked,
                    copied,
                    last_sent_ms,
                    retry_at_ms,
                    backoff_ms: RETRY_MS,
                };
                self.visits.insert(index, visit);
                (index, RETRY_MS)
            }
        };
        let visit = &mut self.visits[index];
        visit.last_sent_ms = now_ms;
        visit.retry_at_ms = now_ms + backoff_ms;
        visit.backoff_ms = backoff_ms;
        visit
    }

    fn get(&self, address: Ipv4Addr) -> Option<&Visit> {
        self.find(address).ok().map(|index| &self.visits[index])
    }

    fn find(&self, address: Ipv4Addr) -> Result<usize, usize> {
        self.visits.binary_search_by_key(&address, |visit| visit.address)
    }
}
