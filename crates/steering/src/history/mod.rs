//! Services that routes previously pointed to.
//!
//! A new configuration leaves open flows in place, so a flow may be held by an upstream of a
//! service that its route no longer points to. Such a service is remembered for as long as one of
//! its flows may be open, and is passed from balancer to balancer.

use std::hash::Hasher as _;
use std::net::SocketAddrV4;

use siphasher::sip::SipHasher13;

use crate::flow::Millis;
use crate::view::{Route, RouteTable, ServiceStamp};

/// Age at which a flow may be discarded if the settings state none.
pub const FLOW_TTL_MS: Millis = 60_000;
/// Balancers that have not received a change may open flows at the previous service for this long
/// after a route has left it.
pub const STALE_OPENINGS_MS: Millis = 30_000;
/// A history that becomes complete sooner than another by more than this contains more.
const SOONER_MARGIN_MS: Millis = 1_000;

/// Lower bits of a digest that contain a hash of the former services.
const DIGEST_HASH_BITS: u32 = 44;
const DIGEST_HASH_MASK: u64 = (1 << DIGEST_HASH_BITS) - 1;

/// A service that a route no longer points to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FormerService {
    /// Address and port of the route.
    pub endpoint: SocketAddrV4,
    /// The service.
    pub service: ServiceStamp,
    /// Remaining time for which a flow may be open there.
    pub left_ms: Millis,
}

/// A former service as stored by a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RetainedService {
    endpoint: SocketAddrV4,
    service: ServiceStamp,
    until_ms: Millis,
}

impl RetainedService {
    fn key(&self) -> (SocketAddrV4, ServiceStamp) {
        (self.endpoint, self.service)
    }
}

/// Summary of a history, for comparison with another balancer's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HistorySummary {
    /// The last known version in which a route left a service or pointed to an additional one.
    pub version: u64,
    /// Remaining time for which services that routes have left may be unknown.
    pub whole_in_ms: Millis,
    /// Digest of the former services while some may be unknown, their number in the upper bits;
    /// zero if there are none, or if none are unknown.
    pub former_digest: u64,
}

impl HistorySummary {
    /// Whether a history with this summary may lack something that the other one contains.
    ///
    /// While services may be unknown to both, only equal digests show that neither lacks anything:
    /// the last version says nothing about the changes before it, and balancers that start at the
    /// same moment may start with different versions. Of two histories whose digests differ, the
    /// one with the smaller digest is merged with the other first; if that one lacks something too,
    /// its digest is then the smaller one.
    ///
    /// ```
    /// use steering::history::HistorySummary;
    /// let ours = HistorySummary { version: 12, whole_in_ms: 50_000, former_digest: 1 };
    /// let theirs = HistorySummary { former_digest: 2, ..ours };
    /// assert!(ours.may_lack(theirs));
    /// assert!(!theirs.may_lack(ours));
    /// ```
    pub fn may_lack(self, other: Self) -> bool {
        let both_incomplete = self.whole_in_ms > 0 && other.whole_in_ms > 0;
        other.version > self.version
            || other.whole_in_ms + SOONER_MARGIN_MS < self.whole_in_ms
            || (both_incomplete && other.former_digest > self.former_digest)
    }
}

/// A history as sent from one balancer to another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HistoryContents {
    /// Summary of the history, without the digest of the former services, which are listed below.
    pub summary: HistorySummary,
    /// The routes version in force at the sender.
    pub routes_version: u64,
    /// The former services.
    pub former: Vec<FormerService>,
}

/// The former services that a balancer knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct History {
    /// Sorted by endpoint and service.
    former: Vec<RetainedService>,
    version: u64,
    complete_from_ms: Millis,
    flow_ttl_ms: Millis,
}

impl Default for History {
    /// A history from the very beginning.
    fn default() -> Self {
        Self { former: Vec::new(), version: 0, complete_from_ms: 0, flow_ttl_ms: FLOW_TTL_MS }
    }
}

impl History {
    /// The history of a balancer at the first start of the whole fleet: there is nothing before it.
    ///
    /// ```
    /// use steering::history::History;
    /// assert!(History::from_first_start(60_000).is_complete(0));
    /// ```
    pub fn from_first_start(flow_ttl_ms: Millis) -> Self {
        Self { flow_ttl_ms, ..Self::default() }
    }

    /// The history of a balancer that starts now and knows nothing of what went before.
    ///
    /// ```
    /// use steering::history::History;
    /// let history = History::from_now(1_000, 60_000);
    /// assert!(!history.is_complete(90_999));
    /// assert!(history.is_complete(91_000));
    /// ```
    pub fn from_now(now_ms: Millis, flow_ttl_ms: Millis) -> Self {
        let mut history = Self::from_first_start(flow_ttl_ms);
        history.on_gap(now_ms);
        history
    }

    /// Notes that `new` replaces `old`. The flows of a removed route end with it.
    ///
    /// What the first routes of a process have replaced is unknown, unless it belongs to the first
    /// start of the whole fleet.
    pub fn on_routes(&mut self, now_ms: Millis, old: &RouteTable, new: &RouteTable) {
        if old.version == 0 && self.complete_from_ms > 0 {
            self.on_gap(now_ms);
        }
        self.former
            .retain(|former| former.until_ms > now_ms && new.find(former.endpoint).is_some());
        for route in old.routes() {
            let Some(next) = new.find(route.endpoint) else { continue };
            for service in route.services().filter(|service| !routes_to(next, *service)) {
                let until_ms = now_ms + self.retention_ms();
                self.retain(RetainedService { endpoint: route.endpoint, service, until_ms });
                self.version = new.version;
            }
            if next.services().any(|service| !routes_to(route, service)) {
                self.version = new.version;
            }
        }
    }

    /// Whether a balancer with this history that replaces `old` by `new` at once lacks services which
    /// `stepwise` contains, the same history after all versions in between.
    pub fn misses_in_one_step(
        &self,
        now_ms: Millis,
        old: &RouteTable,
        new: &RouteTable,
        stepwise: &Self,
    ) -> bool {
        if old.version == new.version {
            return false;
        }
        let mut direct = self.clone();
        direct.on_routes(now_ms, old, new);
        let is_known = |former: &RetainedService| {
            direct.former.binary_search_by_key(&former.key(), RetainedService::key).is_ok()
        };
        !stepwise.open(now_ms).all(is_known)
    }

    /// Notes that versions may have been in force between the known one and the next one.
    pub fn on_gap(&mut self, now_ms: Millis) {
        self.complete_from_ms = now_ms + self.retention_ms();
    }

    /// How long a service that a route has left may hold flows of the route.
    fn retention_ms(&self) -> Millis {
        self.flow_ttl_ms + STALE_OPENINGS_MS
    }

    /// Merges another balancer's history. No version in force was missed here until
    /// `current_until_ms`; `routes` are in force here now.
    ///
    /// A balancer with older routes does not know what the current routes have replaced, so its
    /// history does not make this one complete.
    pub fn merge(
        &mut self,
        now_ms: Millis,
        current_until_ms: Millis,
        routes: &RouteTable,
        theirs: &HistoryContents,
    ) {
        for former in &theirs.former {
            let FormerService { endpoint, service, left_ms } = *former;
            if left_ms > 0 && routes.find(endpoint).is_some() {
                let until_ms = now_ms + left_ms.min(self.retention_ms());
                self.retain(RetainedService { endpoint, service, until_ms });
            }
        }
        self.version = self.version.max(theirs.summary.version);
        if theirs.routes_version < routes.version {
            return;
        }
        let complete_from_ms = now_ms + theirs.summary.whole_in_ms;
        let contiguous = complete_from_ms <= current_until_ms + self.retention_ms();
        self.complete_from_ms =
            if contiguous { self.complete_from_ms.min(complete_from_ms) } else { complete_from_ms };
    }

    /// Whether another balancer's history contains anything that this one lacks.
    pub fn is_behind(&self, now_ms: Millis, theirs: HistorySummary) -> bool {
        self.summary(now_ms).may_lack(theirs)
    }

    /// Summary of the history.
    pub fn summary(&self, now_ms: Millis) -> HistorySummary {
        let whole_in_ms = self.complete_from_ms.saturating_sub(now_ms);
        let former_digest = if whole_in_ms > 0 { self.former_digest(now_ms) } else { 0 };
        HistorySummary { version: self.version, whole_in_ms, former_digest }
    }

    /// Digest of the former services, with their number in the upper bits; zero if there are none.
    fn former_digest(&self, now_ms: Millis) -> u64 {
        let mut hasher = SipHasher13::new();
        let mut count = 0;
        for RetainedService { endpoint, service, .. } in self.open(now_ms) {
            hasher.write_u32(endpoint.ip().to_bits());
            hasher.write_u16(endpoint.port());
            hasher.write_u128(service.0);
            count += 1;
        }
        if count == 0 {
            0
        } else {
            (count << DIGEST_HASH_BITS) | (hasher.finish() & DIGEST_HASH_MASK)
        }
    }

    /// Former services at which a flow may still be open.
    fn open(&self, now_ms: Millis) -> impl Iterator<Item = &RetainedService> {
        self.former.iter().filter(move |former| former.until_ms > now_ms)
    }

    /// The history to send to another balancer, with the `routes_version` in force here.
    pub fn contents(&self, now_ms: Millis, routes_version: u64) -> HistoryContents {
        let to_message = |former: &RetainedService| FormerService {
            endpoint: former.endpoint,
            service: former.service,
            left_ms: former.until_ms - now_ms,
        };
        HistoryContents {
            summary: HistorySummary { former_digest: 0, ..self.summary(now_ms) },
            routes_version,
            former: self.open(now_ms).map(to_message).collect(),
        }
    }

    /// Services that the route of an endpoint has left and that may still hold its flows.
    pub fn former_services_of(
        &self,
        now_ms: Millis,
        endpoint: SocketAddrV4,
    ) -> impl Iterator<Item = ServiceStamp> + '_ {
        let start = self.former.partition_point(|former| former.endpoint < endpoint);
        let same =
            self.former[start..].iter().take_while(move |former| former.endpoint == endpoint);
        same.filter(move |former| former.until_ms > now_ms).map(|former| former.service)
    }

    /// Whether any route has left this service.
    pub fn contains_service(&self, service: ServiceStamp) -> bool {
        self.former.iter().any(|former| former.service == service)
    }

    /// From when on every service that a route has left is known.
    pub fn known_from_ms(&self) -> Millis {
        self.complete_from_ms.saturating_sub(self.retention_ms())
    }

    /// Whether every service that a route has left is known.
    pub fn is_complete(&self, now_ms: Millis) -> bool {
        now_ms >= self.complete_from_ms
    }

    fn retain(&mut self, service: RetainedService) {
        match self.former.binary_search_by_key(&service.key(), RetainedService::key) {
            Ok(index) => {
                let known = &mut self.former[index];
                known.until_ms = known.until_ms.max(service.until_ms);
            }
            Err(index) => self.former.insert(index, service),
        }
    }
}

fn routes_to(route: &Route, service: ServiceStamp) -> bool {
    route.services().any(|other| other == service)
}
