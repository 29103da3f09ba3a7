//! Where new flows to an endpoint go, as one immutable table for each configuration version.

use std::hash::{Hash as _, Hasher as _};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use siphasher::sip::SipHasher13;

use super::{RegionStamp, ServiceStamp};
use crate::flow::FlowKey;
use crate::rank;

/// A share of a route's flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Share {
    /// The service that gets it.
    pub service: ServiceStamp,
    /// Its weight among the route's shares.
    pub weight: u32,
}

/// How long callers may wait, in the times within which they want their answers; zero if it is not known.
/// Steps, so that most changes of a time-out leave a route as it is and go with a packet in two bits.
pub const WAIT_STEPS_SLOS: [u8; 4] = [0, 4, 7, 10];

/// The largest step that is within a time-out; the first one for shorter ones.
///
/// ```
/// use steering::view::wait_slos;
/// assert_eq!(wait_slos(3_000, 400), 7);
/// assert_eq!(wait_slos(900, 300), 4);
/// assert_eq!(wait_slos(0, 300), 0);
/// ```
pub fn wait_slos(timeout_ms: u32, slo_ms: u32) -> u8 {
    if timeout_ms == 0 || slo_ms == 0 {
        return 0;
    }
    let [_, shortest, ..] = WAIT_STEPS_SLOS;
    let fits = |step: &u8| u32::from(*step) * slo_ms <= timeout_ms;
    WAIT_STEPS_SLOS.into_iter().rfind(fits).unwrap_or(0).max(shortest)
}

/// Where new flows to an endpoint go.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Route {
    /// Address and port that callers write to.
    pub endpoint: SocketAddrV4,
    /// One or more shares.
    pub shares: Arc<[Share]>,
    /// Time within which callers want their answers; zero if not known.
    pub slo_ms: u32,
    /// How many of these times callers wait before they give up, one of [`WAIT_STEPS_SLOS`].
    pub wait_slos: u8,
    /// Whether its requests go before others of the same services.
    pub urgent: bool,
    /// Whether its requests may be sent twice: a caller whose flow is reset asks anew.
    pub repeatable: bool,
    /// Regions whose upstreams may take its flows; any if empty.
    pub regions: Arc<[RegionStamp]>,
}

/// What the configuration says of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Service {
    /// Its identity.
    pub stamp: ServiceStamp,
    /// Openings that a cold upstream bears in a thousand seconds; zero if they are not limited.
    pub cold_openings_per_ks: u32,
}

impl Service {
    /// A service whose cold upstreams are not limited.
    pub fn unlimited(stamp: ServiceStamp) -> Self {
        Self { stamp, cold_openings_per_ks: 0 }
    }
}

/// What makes a table of routes of an earlier one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutesDelta {
    /// Version of the earlier table.
    pub from_version: u64,
    /// Its digest.
    pub from_digest: u64,
    /// Routes that are new, or others than before.
    pub changed: Vec<Route>,
    /// Endpoints that have no route any more.
    pub removed: Vec<SocketAddrV4>,
}

/// Routes of one configuration version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTable {
    /// Version of the configuration; only grows within a process's life.
    pub version: u64,
    routes: Vec<Route>,
    services: Arc<[Service]>,
    /// Services that no route leads to, in order.
    unrouted: Arc<[ServiceStamp]>,
    digest: u64,
}

impl Default for RouteTable {
    fn default() -> Self {
        Self::new(0, Vec::new(), [])
    }
}

impl RouteTable {
    /// A table of these routes, and the services that there are. Of two routes for one endpoint the
    /// first is kept. Services that routes lead to need not be all_stamps; of two entries for one service
    /// the first is kept.
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

    /// Whether there is such a service. Before a configuration is known, there may be any.
    pub fn contains_service(&self, service: ServiceStamp) -> bool {
        self.version == 0 || self.service(service).is_some()
    }

    /// What the configuration says of a service.
    pub fn service(&self, stamp: ServiceStamp) -> Option<&Service> {
        let index = self.services.binary_search_by_key(&stamp, |service| service.stamp).ok()?;
        Some(&self.services[index])
    }

    /// All services, in order.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Services that no route leads to, in order.
    pub fn unrouted(&self) -> &[ServiceStamp] {
        &self.unrouted
    }

    /// What makes this table of an earlier one.
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

    /// The table of this version that the changes make of this one; `None` if they were made for another.
    /// Services that no route leads to any more stay all_stamps.
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

    /// The routes of an address, by port.
    pub fn routes_at(&self, address: Ipv4Addr) -> &[Route] {
        let start = self.routes.partition_point(|route| *route.endpoint.ip() < address);
        let count = self.routes[start..].partition_point(|route| *route.endpoint.ip() == address);
        &self.routes[start..start + count]
    }

    /// Digest of the routes; the version is left out, as most versions change time-outs only.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// All routes, by endpoint.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }
}

impl Route {
    /// The services that it leads to, whatever their weights.
    pub fn services(&self) -> impl Iterator<Item = ServiceStamp> + '_ {
        self.shares.iter().map(|share| share.service)
    }

    /// The service that a new flow goes to, by the shares' weights; `None` if all weights are zero.
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
