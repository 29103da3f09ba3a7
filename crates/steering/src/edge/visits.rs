//! Which upstreams a search for a flow has been at, and when one may get a packet once more.

use std::net::Ipv4Addr;

use crate::flow::Millis;

/// First and longest pause before an upstream that has not answered is asked once more by a search that
/// has gone on: it denies or returns within a few milliseconds, and packets get lost.
const AGAIN_MS: Millis = 100;
const AGAIN_MAX_MS: Millis = 400;

/// An upstream that got a packet of the search.
#[derive(Clone, Copy, Debug)]
struct Visit {
    address: Ipv4Addr,
    /// Whether the search waited for its word, not for another's only.
    asked: bool,
    /// Whether it got a copy and has not denied the flow since.
    copied: bool,
    /// When it got the last packet.
    at_ms: Millis,
    /// When it may get another one, if it has not answered.
    again_ms: Millis,
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
        let first = !std::mem::replace(&mut self.note(now_ms, address).asked, true);
        self.asked += u64::from(first);
    }

    /// Notes that the upstream at `address` is asked beside another one.
    pub(super) fn ask_beside(&mut self, now_ms: Millis, address: Ipv4Addr) {
        let visit = self.note(now_ms, address);
        visit.copied = true;
        let first = !std::mem::replace(&mut visit.asked, true);
        self.asked += u64::from(first);
    }

    /// Notes that the upstream at `address` gets a copy beside the one that is asked.
    pub(super) fn copy(&mut self, now_ms: Millis, address: Ipv4Addr) {
        self.note(now_ms, address).copied = true;
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
        self.get(address).is_some_and(|visit| visit.again_ms <= now_ms)
    }

    /// When the upstream at `address` got its last packet; nothing if it never got one.
    pub(super) fn last_ms(&self, address: Ipv4Addr) -> Option<Millis> {
        self.get(address).map(|visit| visit.at_ms)
    }

    fn note(&mut self, now_ms: Millis, address: Ipv4Addr) -> &mut Visit {
        let (index, pause_ms) = match self.find(address) {
            Ok(index) => (index, (2 * self.visits[index].pause_ms).min(AGAIN_MAX_MS)),
            Err(index) => {
                let (at_ms, again_ms) = (now_ms, now_ms);
                let (asked, copied) = (false, false);
                let visit = Visit { address, asked, copied, at_ms, again_ms, pause_ms: AGAIN_MS };
                self.visits.insert(index, visit);
                (index, AGAIN_MS)
            }
        };
        let visit = &mut self.visits[index];
        visit.at_ms = now_ms;
        visit.again_ms = now_ms + pause_ms;
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
