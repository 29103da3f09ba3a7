//! What a balancer believes: routes, services and their upstreams, as immutable sorted tables.

use std::hash::{Hash as _, Hasher as _};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use siphasher::sip::SipHasher13;

use crate::flow::{FlowKey, Millis};
use crate::history::History;
use crate::rank;

/// Identity of a service that packets carry between balancer and agent, so that an agent whose
/// address was used by another service before never delivers that service's packets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceStamp(pub u32);

impl ServiceStamp {
    /// Packets have room for three bytes.
    const MASK: u32 = 0xff_ffff;

    /// The stamp of a service's name. Zero stands for no service and is never a stamp.
    ///
    /// ```
    /// use steering::view::ServiceStamp;
    /// assert_ne!(ServiceStamp::of("shelf"), ServiceStamp::of("manifest"));
    /// ```
    pub fn of(name: &str) -> Self {
        Self((name_hash(name) & Self::MASK).max(1))
    }
}

/// Identity of an availability zone; zero if it is not known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneStamp(pub u32);

impl ZoneStamp {
    /// The stamp of an availability zone's name.
    ///
    /// ```
    /// use steering::view::ZoneStamp;
    /// assert_ne!(ZoneStamp::of("pnw-a"), ZoneStamp::of("pnw-b"));
    /// ```
    pub fn of(name: &str) -> Self {
        Self(name_hash(name).max(1))
    }
}

fn name_hash(name: &str) -> u32 {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    hasher.finish() as u32
}

/// Identity of a region: a group of availability zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RegionStamp(pub u32);

impl RegionStamp {
    /// The stamp of a region's name.
    ///
    /// ```
    /// use steering::view::RegionStamp;
    /// assert_ne!(RegionStamp::of("pnw"), RegionStamp::of("bajio"));
    /// ```
    pub fn of(name: &str) -> Self {
        Self(name_hash(name).max(1))
    }
}

/// Which region each availability zone is in.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Regions {
    zones: Vec<(ZoneStamp, RegionStamp)>,
}

impl Regions {
    /// The regions of these zones.
    ///
    /// ```
    /// use steering::view::{RegionStamp, Regions, ZoneStamp};
    /// let regions = Regions::new([(ZoneStamp(1), RegionStamp(7))]);
    /// assert_eq!(regions.of(ZoneStamp(1)), Some(RegionStamp(7)));
    /// assert_eq!(regions.of(ZoneStamp(2)), None);
    /// ```
    pub fn new(zones: impl IntoIterator<Item = (ZoneStamp, RegionStamp)>) -> Self {
        let mut zones: Vec<_> = zones.into_iter().collect();
        zones.sort_unstable();
        Self { zones }
    }

    /// The region of a zone, if it is known.
    pub fn of(&self, zone: ZoneStamp) -> Option<RegionStamp> {
        let index = self.zones.binary_search_by_key(&zone, |(known, _)| *known).ok()?;
        Some(self.zones[index].1)
    }
}

/// Whether an upstream takes new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Takes new flows.
    Ready,
    /// Keeps its flows and takes no new ones.
    Draining,
    /// No longer listed, since that moment. Its flows may still live.
    Missing {
        /// When the entry went.
        since_ms: Millis,
        /// Whether it had announced that it leaves.
        drained: bool,
    },
}

/// An upstream as balancers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Address of its instance.
    pub address: Ipv4Addr,
    /// The service that it runs.
    pub service: ServiceStamp,
    /// Its availability zone.
    pub zone: ZoneStamp,
    /// Whether it takes new flows.
    pub standing: Standing,
    /// Until when it is slow after its start.
    pub warm_at_ms: Millis,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Start of its life by its own clock; tells lives apart, and nothing else.
    pub born_ms: u64,
}

impl Upstream {
    /// Whether it is slow after its start.
    pub fn is_cold(&self, now_ms: Millis) -> bool {
        self.warm_at_ms > now_ms
    }
}

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
    /// first is kept. Services that routes lead to need not be named; of two entries for one service
    /// the first is kept.
    pub fn new(
        version: u64,
        mut routes: Vec<Route>,
        services: impl IntoIterator<Item = Service>,
    ) -> Self {
        routes.sort_by_key(|route| route.endpoint);
        routes.dedup_by_key(|route| route.endpoint);
        let shares = routes.iter().flat_map(|route| route.shares.iter());
        let mut routed: Vec<ServiceStamp> = shares.map(|share| share.service).collect();
        routed.sort_unstable();
        routed.dedup();
        let led_to = routed.iter().copied().map(Service::unlimited);
        let mut services: Vec<Service> = services.into_iter().chain(led_to).collect();
        services.sort_by_key(|service| service.stamp);
        services.dedup_by_key(|service| service.stamp);
        let named = services.iter().map(|service| service.stamp);
        let unrouted = named.filter(|stamp| routed.binary_search(stamp).is_err()).collect();
        let mut hasher = SipHasher13::new();
        (&routes, &services).hash(&mut hasher);
        Self { version, routes, services: services.into(), unrouted, digest: hasher.finish() }
    }

    /// Whether there is such a service. Before a configuration is known, there may be any.
    pub fn names(&self, service: ServiceStamp) -> bool {
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
    /// assert_eq!(old.patched(2, &new.since(&old)), Some(new));
    /// ```
    pub fn since(&self, old: &Self) -> RoutesDelta {
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
    /// Services that no route leads to any more stay named.
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
    pub fn renumbered(&self, version: u64) -> Self {
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

/// Routes and upstreams at one moment.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Routes in force.
    pub routes: Arc<RouteTable>,
    /// Revision of the configuration service that it was made of.
    pub revision: u64,
    /// Since when it is in force.
    pub since_ms: Millis,
    upstreams: Vec<Upstream>,
    /// Positions in `upstreams`, by address.
    by_address: Vec<(Ipv4Addr, usize)>,
    /// In order.
    closed_zones: Vec<ZoneStamp>,
    regions: Arc<Regions>,
    history: Arc<History>,
}

impl View {
    /// A view of these routes and upstreams.
    pub fn new(routes: Arc<RouteTable>, mut upstreams: Vec<Upstream>) -> Self {
        upstreams.sort_by_key(|upstream| (upstream.service, upstream.address));
        let positions = upstreams.iter().zip(0..);
        let mut by_address: Vec<(Ipv4Addr, usize)> =
            positions.map(|(upstream, position)| (upstream.address, position)).collect();
        by_address.sort_unstable();
        Self { routes, upstreams, by_address, ..Self::default() }
    }

    /// The same with these availability zones closed to new flows.
    #[must_use]
    pub fn with_closed_zones(mut self, mut closed_zones: Vec<ZoneStamp>) -> Self {
        closed_zones.sort_unstable();
        self.closed_zones = closed_zones;
        self
    }

    /// The same with availability zones in these regions.
    #[must_use]
    pub fn with_regions(mut self, regions: Arc<Regions>) -> Self {
        self.regions = regions;
        self
    }

    /// The same with services that routes sent to before.
    #[must_use]
    pub fn with_history(mut self, history: Arc<History>) -> Self {
        self.history = history;
        self
    }

    /// Services that routes sent to before.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Whether a route allows an upstream's region. A zone whose region is not known is in none.
    pub fn allows(&self, route: &Route, upstream: &Upstream) -> bool {
        let region = || self.regions.of(upstream.zone);
        route.regions.is_empty() || region().is_some_and(|region| route.regions.contains(&region))
    }

    /// Availability zones that are closed to new flows, in order.
    pub fn closed_zones(&self) -> &[ZoneStamp] {
        &self.closed_zones
    }

    /// Whether an availability zone is closed to new flows.
    pub fn is_closed(&self, zone: ZoneStamp) -> bool {
        self.closed_zones.binary_search(&zone).is_ok()
    }

    /// Whether no balancer with this view places a new flow on the upstream: it leaves, or its zone is
    /// closed. One whose entry went without notice is not known to leave.
    pub fn turns_away(&self, upstream: &Upstream) -> bool {
        let leaves = matches!(
            upstream.standing,
            Standing::Draining | Standing::Missing { drained: true, .. }
        );
        leaves || self.is_closed(upstream.zone)
    }

    /// The upstreams of a service.
    pub fn upstreams_of(&self, service: ServiceStamp) -> &[Upstream] {
        let start = self.upstreams.partition_point(|upstream| upstream.service < service);
        let count = self.upstreams[start..].partition_point(|upstream| upstream.service == service);
        &self.upstreams[start..start + count]
    }

    /// The upstream at an address.
    pub fn upstream_at(&self, address: Ipv4Addr) -> Option<&Upstream> {
        let index = self.by_address.binary_search_by_key(&address, |(at, _)| *at).ok()?;
        Some(&self.upstreams[self.by_address[index].1])
    }

    /// All upstreams, by service and address.
    pub fn upstreams(&self) -> &[Upstream] {
        &self.upstreams
    }
}
