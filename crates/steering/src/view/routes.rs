//! The services to which new flows go, as one immutable table for each configuration version.

use std::hash::{Hash as _, Hasher as _};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use siphasher::sip::SipHasher13;

use super::{RegionStamp, ServiceStamp};
use crate::flow::{FlowKey, Millis};
use crate::rank;

/// A service's share of the flows of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Share {
    /// The service that gets the share.
    pub service: ServiceStamp,
    /// Its weight among the route's shares.
    pub weight: u32,
}

/// How long callers wait before giving up, in multiples of the time within which they expect an
/// answer; zero stands for [`WAIT_DEFAULT_SLOS`]. Steps are used so that most changes of a timeout
/// leave the route unchanged, and so that the value fits into two bits of a packet.
pub const WAIT_STEPS_SLOS: [u8; 4] = [0, 4, 7, 10];

/// How many multiples of that time callers wait if nothing else is stated.
pub const WAIT_DEFAULT_SLOS: u8 = 6;
/// Time within which callers expect an answer if their route states none: the shortest known for
/// any caller.
pub const SLO_DEFAULT_MS: Millis = 150;

/// The largest step that is within a timeout, or the smallest known step if the timeout is shorter.
/// Zero if the timeout is unknown, and if [`WAIT_DEFAULT_SLOS`] is closer to it than any step.
///
/// ```
/// use steering::view::wait_slos;
/// assert_eq!(wait_slos(3_000, 400), 7);
/// assert_eq!(wait_slos(900, 300), 4);
/// assert_eq!(wait_slos(1_200, 200), 0);
/// assert_eq!(wait_slos(0, 300), 0);
/// ```
pub fn wait_slos(timeout_ms: u32, slo_ms: u32) -> u8 {
    if timeout_ms == 0 || slo_ms == 0 || timeout_ms / slo_ms == u32::from(WAIT_DEFAULT_SLOS) {
        return 0;
    }
    let [_, shortest, ..] = WAIT_STEPS_SLOS;
    let fits = |step: &u8| u32::from(*step) * slo_ms <= timeout_ms;
    WAIT_STEPS_SLOS.into_iter().rfind(fits).unwrap_or(0).max(shortest)
}

/// Where new flows to an endpoint go.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Route {
    /// Address and port that callers send to.
    pub endpoint: SocketAddrV4,
    /// One or more shares.
    pub shares: Arc<[Share]>,
    /// Time within which callers expect an answer; zero if unknown.
    pub slo_ms: u32,
    /// How many multiples of `slo_ms` callers wait before they give up, one of [`WAIT_STEPS_SLOS`];
    /// zero stands for [`WAIT_DEFAULT_SLOS`].
    pub wait_slos: u8,
    /// Whether the route's requests take precedence over others to the same services.
    pub urgent: bool,
    /// Whether the route's requests may be sent twice: a caller whose flow is reset sends its
    /// request again.
    pub repeatable: bool,
    /// Regions whose upstreams may receive the route's flows; any if empty.
    pub regions: Arc<[RegionStamp]>,
}

/// Configuration of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Service {
    /// Identity of the service.
    pub stamp: ServiceStamp,
    /// Openings per 1,000 seconds that a cold upstream can handle; zero if they are not limited.
    pub cold_openings_per_ks: u32,
}

impl Service {
    /// A service whose cold upstreams are not limited.
    pub fn unlimited(stamp: ServiceStamp) -> Self {
        Self { stamp, cold_openings_per_ks: 0 }
    }
}

/// Changes that turn an earlier table of routes into a later one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutesDelta {
    /// Version of the earlier table.
    pub from_version: u64,
    /// Digest of the earlier table.
    pub from_digest: u64,
    /// Routes that were added or changed.
    pub changed: Vec<Route>,
    /// Endpoints that no longer have a route.
    pub removed: Vec<SocketAddrV4>,
}

/// Routes of one configuration version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTable {
    /// Version of the configuration. It never decreases while a process runs.
    pub version: u64,
    routes: Vec<Route>,
    services: Arc<[Service]>,
    /// Services that no route points to, sorted.
    unrouted: Arc<[ServiceStamp]>,
    digest: u64,
}

impl Default for RouteTable {
    fn default() -> Self {
        Self::new(0, Vec::new(), [])
    }
}

impl RouteTable {
    /// Creates a table of these routes and services. Of two routes for one endpoint, the first is
    /// kept. Services that routes point to need not be listed in `services`; of two entries for one
    /// service, the first is kept.
    pub fn new(
        version: u64,
        mut routes: Vec<Route>,
        services: impl IntoIterator<Item = Service>,
    ) -> Self {
        routes.sort_by_key(|route| route.endpoint);
        routes.dedup_by_key(|route| route.endpoint);
        let mut routed: Vec<ServiceStamp> = routes.iter().flat_map(Route::services).collect();
        routed.sort_unstable();
        routed.dedup();
        let routed_services = routed.iter().copied().map(Service::unlimited);
        let mut services: Vec<Service> = services.into_iter().chain(routed_services).collect();
        services.sort_by_key(|service| service.stamp);
        services.dedup_by_key(|service| service.stamp);
        let all_stamps = services.iter().map(|service| service.stamp);
        let unrouted = all_stamps.filter(|stamp| routed.binary_search(stamp).is_err()).collect();
        let mut hasher = SipHasher13::new();
        (&routes, &services).hash(&mut hasher);
        Self { version, routes, services: services.into(), unrouted, digest: hasher.finish() }
    }

    /// Whether the service exists. Before a configuration is known, any service may exist.
    pub fn contains_service(&self, service: ServiceStamp) -> bool {
        self.version == 0 || self.service(service).is_some()
    }

    /// Configuration of a service.
    pub fn service(&self, stamp: ServiceStamp) -> Option<&Service> {
        let index = self.services.binary_search_by_key(&stamp, |service| service.stamp).ok()?;
        Some(&self.services[index])
    }

    /// All services, sorted.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Services that no route points to, sorted.
    pub fn unrouted(&self) -> &[ServiceStamp] {
        &self.unrouted
    }

    /// The changes that turn `old` into this table.
    ///
    /// ```
    /// use steering::view::RouteTable;
    /// let (old, new) = (RouteTable::new(1, vec![], []), RouteTable::new(2, vec![], []));
    /// assert_eq!(old.patched(2, &new.delta_from(&old)), Some(new));
    /// ```
    pub fn delta_from(&self, old: &Self) -> RoutesDelta {
        let is_changed = |route: &&Route| old.find(route.endpoint) != Some(*route);
        let is_removed = |endpoint: &SocketAddrV4| self.find(*endpoint).is_none();
        RoutesDelta {
            from_version: old.version,
            from_digest: old.digest,
            changed: self.routes.iter().filter(is_changed).cloned().collect(),
            removed: old.routes.iter().map(|route| route.endpoint).filter(is_removed).collect(),
        }
    }

    /// Applies changes to this table, and returns the table of the new version; `None` if the
    /// changes were made for another table. Services that no route points to any more stay in the
    /// table.
    pub fn patched(&self, version: u64, delta: &RoutesDelta) -> Option<Self> {
        if (self.version, self.digest) != (delta.from_version, delta.from_digest) {
            return None;
        }
        let stays = |route: &&Route| !delta.removed.contains(&route.endpoint);
        let unchanged = self.routes.iter().filter(stays).cloned();
        // Of two routes for one endpoint, the first is kept.
        let routes = delta.changed.iter().cloned().chain(unchanged).collect();
        Some(Self::new(version, routes, self.services.iter().copied()))
    }

    /// The same routes under another version.
    #[must_use]
    pub fn with_version(&self, version: u64) -> Self {
        Self { version, ..self.clone() }
    }

    /// The route of an endpoint.
    pub fn find(&self, endpoint: SocketAddrV4) -> Option<&Route> {
        let index = self.routes.binary_search_by_key(&endpoint, |route| route.endpoint).ok()?;
        Some(&self.routes[index])
    }

    /// The routes of an address, sorted by port.
    pub fn routes_at(&self, address: Ipv4Addr) -> &[Route] {
        let start = self.routes.partition_point(|route| *route.endpoint.ip() < address);
        let count = self.routes[start..].partition_point(|route| *route.endpoint.ip() == address);
        &self.routes[start..start + count]
    }

    /// Digest of the routes. The version is excluded, as most versions change only timeouts.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// All routes, sorted by endpoint.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }
}

impl Route {
    /// The services that the route points to, whatever their weights.
    pub fn services(&self) -> impl Iterator<Item = ServiceStamp> + '_ {
        self.shares.iter().map(|share| share.service)
    }

    /// The service of a new flow, chosen by the weights of the shares; `None` if all weights are
    /// zero.
    pub fn service_of(&self, flow: FlowKey) -> Option<ServiceStamp> {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut point = rank::flow_hash(flow).checked_rem(total)?;
        for share in self.shares.iter() {
            let weight = u64::from(share.weight);
            if point < weight {
                return Some(share.service);
            }
            point -= weight;
        }
        None
    }
}
