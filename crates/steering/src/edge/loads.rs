//! What a balancer knows about the load and the silence of each upstream.

use std::net::Ipv4Addr;

use crate::flow::Millis;
use crate::view::Upstream;

/// After this time a report says nothing about the present load; requests take tens of milliseconds.
const REPORT_MS: Millis = 500;
/// How long an upstream that left an opening unanswered is passed over. Doubled each time, so that
/// one that is gone costs little and one that comes back is found soon.
const SUSPECT_MS: Millis = 500;
/// Longest time for which a silent upstream is passed over.
const SUSPECT_MAX_MS: Millis = 4_000;
/// How much a starting upstream's load weighs, in halves: it works 1.6 times as long per request.
const COLD_WEIGHT: u32 = 3;
const WARM_WEIGHT: u32 = 2;

#[derive(Clone, Copy, Debug)]
struct Load {
    address: Ipv4Addr,
    busy: u32,
    placed: u32,
    at_ms: Millis,
    suspect_until_ms: Millis,
    suspect_for_ms: Millis,
}

/// Loads by address.
#[derive(Default)]
pub(super) struct LoadTable {
    loads: Vec<Load>,
}

impl LoadTable {
    /// Takes a report: `busy` requests are at work.
    pub(super) fn report(&mut self, now_ms: Millis, address: Ipv4Addr, busy: u8) {
        let load = self.entry(address);
        load.busy = u32::from(busy);
        load.placed = 0;
        load.at_ms = now_ms;
        load.suspect_until_ms = 0;
        load.suspect_for_ms = 0;
    }

    /// Notes that a flow was placed.
    pub(super) fn placed(&mut self, now_ms: Millis, address: Ipv4Addr) {
        let load = self.entry(address);
        if now_ms.saturating_sub(load.at_ms) >= REPORT_MS {
            load.busy = 0;
            load.placed = 0;
            load.at_ms = now_ms;
        }
        load.placed += 1;
    }

    /// Notes that an opening stayed unanswered.
    pub(super) fn silent(&mut self, now_ms: Millis, address: Ipv4Addr) {
        let load = self.entry(address);
        if load.suspect_until_ms > now_ms {
            return;
        }
        load.suspect_for_ms = (load.suspect_for_ms * 2).clamp(SUSPECT_MS, SUSPECT_MAX_MS);
        load.suspect_until_ms = now_ms + load.suspect_for_ms;
    }

    /// Whether an upstream is passed over.
    pub(super) fn is_suspect(&self, now_ms: Millis, address: Ipv4Addr) -> bool {
        self.find(address).is_some_and(|load| load.suspect_until_ms > now_ms)
    }

    /// Load of an upstream; smaller is better.
    pub(super) fn load(&self, now_ms: Millis, upstream: &Upstream) -> u32 {
        let weight = if upstream.warm_at_ms > now_ms { COLD_WEIGHT } else { WARM_WEIGHT };
        let load = self.find(upstream.address);
        let fresh = load.filter(|load| now_ms.saturating_sub(load.at_ms) < REPORT_MS);
        fresh.map_or(0, |load| load.busy + load.placed) * weight
    }

    fn find(&self, address: Ipv4Addr) -> Option<&Load> {
        let index = self.loads.binary_search_by_key(&address, |load| load.address).ok()?;
        Some(&self.loads[index])
    }

    fn entry(&mut self, address: Ipv4Addr) -> &mut Load {
        let index = match self.loads.binary_search_by_key(&address, |load| load.address) {
            Ok(index) => index,
            Err(index) => {
                let load = Load {
                    address,
                    busy: 0,
                    placed: 0,
                    at_ms: 0,
                    suspect_until_ms: 0,
                    suspect_for_ms: 0,
                };
                self.loads.insert(index, load);
                index
            }
        };
        &mut self.loads[index]
    }
}
