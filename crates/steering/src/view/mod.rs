//! What a balancer believes: routes, services and their upstreams, as immutable sorted tables.

mod routes;

use std::hash::Hasher as _;
use std::net::Ipv4Addr;
use std::sync::Arc;

use siphasher::sip::SipHasher13;

use crate::flow::Millis;
use crate::history::History;

pub use routes::{Route, RouteTable, RoutesDelta, Service, Share, WAIT_STEPS_SLOS, wait_slos};

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
    pub fn refuses_new_flows(&self, upstream: &Upstream) -> bool {
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
