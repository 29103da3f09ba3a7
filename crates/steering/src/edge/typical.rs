//! Typical loads of the services, computed at intervals.
//!
//! A service has thousands of upstreams, and a balancer has fresh reports from a few of them, so
//! that nearly every placement needs typical values. A pass over all upstreams for each placement
//! would double its cost.

use super::delay::{KnownLoad, TypicalLoad};
use crate::flow::Millis;
use crate::view::ServiceStamp;

/// Interval at which the values of a service are computed, if flows are placed there. It is a
/// fraction of the time for which reports are fresh.
const INTERVAL_MS: Millis = 50;
/// Values that have not been needed for this long are dropped; the service may be gone.
const IDLE_TTL_MS: Millis = 10_000;

#[derive(Clone, Copy, Debug)]
struct Entry {
    service: ServiceStamp,
    computed_ms: Millis,
    typical: TypicalLoad,
}

/// The latest values of each service.
#[derive(Debug, Default)]
pub(super) struct TypicalLoads {
    entries: Vec<Entry>,
}

impl TypicalLoads {
    /// The values of a service. `known` yields its upstreams' loads, and is called only if the
    /// values are due.
    pub(super) fn get<I: Iterator<Item = KnownLoad>>(
        &mut self,
        now_ms: Millis,
        service: ServiceStamp,
        known: impl FnOnce() -> I,
    ) -> TypicalLoad {
        let of_service = |entry: &&Entry| entry.service == service;
        let latest = self.entries.iter().find(of_service);
        if let Some(entry) = latest.filter(|entry| now_ms < entry.computed_ms + INTERVAL_MS) {
            return entry.typical;
        }
        let typical = TypicalLoad::of(known());
        self.entries.retain(|entry| entry.service != service && !entry.is_idle(now_ms));
        self.entries.push(Entry { service, computed_ms: now_ms, typical });
        typical
    }

    /// Smallest and largest service time of all services.
    pub(super) fn service_time_range_ms(&self, now_ms: Millis) -> Option<(u16, u16)> {
        let in_use = self.entries.iter().filter(|entry| !entry.is_idle(now_ms));
        in_use
            .filter_map(|entry| entry.typical.range_ms)
            .reduce(|(least, most), (low, high)| (least.min(low), most.max(high)))
    }
}

impl Entry {
    fn is_idle(&self, now_ms: Millis) -> bool {
        now_ms.saturating_sub(self.computed_ms) >= IDLE_TTL_MS
    }
}
