//! A balancer's view: routes, services and their upstreams, as immutable sorted tables.

mod identity;
mod routes;

use std::net::Ipv4Addr;
use std::sync::Arc;

use crate::flow::Millis;
use crate::history::History;
use crate::revision::Revision;

pub use identity::{AddressedService, RegionStamp, ServiceStamp, ShortStamp, ZoneStamp};
pub use routes::{
    Route, RouteTable, RoutesDelta, SLO_DEFAULT_MS, Service, Share, WAIT_DEFAULT_SLOS,
    WAIT_STEPS_SLOS, wait_slos,
};

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

/// Whether an upstream accepts new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Accepts new flows.
    Ready,
    /// Keeps its flows and accepts no new ones.
    Draining,
    /// No longer listed. Its flows may still be open.
    Missing {
        /// When the entry disappeared.
        since_ms: Millis,
        /// Whether the upstream had announced that it was draining.
        drained: bool,
    },
}

/// An upstream as seen by balancers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Address of its instance.
    pub address: Ipv4Addr,
    /// The service that it runs.
    pub service: ServiceStamp,
    /// Its availability zone.
    pub zone: ZoneStamp,
    /// Whether it accepts new flows.
    pub standing: Standing,
    /// When its warm-up ends; until then it is slow.
    pub warm_at_ms: Millis,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Start of its incarnation by its own clock. Serves only to distinguish incarnations.
    pub born_ms: u64,
    /// When its incarnation appeared in the list of this process.
    pub listed_ms: Millis,
}

impl Upstream {
    /// Whether it is still slow after its start.
    pub fn is_cold(&self, now_ms: Millis) -> bool {
        self.warm_at_ms > now_ms
    }
}

/// Routes and upstreams at one moment.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Routes in force.
    pub routes: Arc<RouteTable>,
    /// Revision of the configuration service from which the view was built.
    pub revision: Revision,
    /// When the view came into force.
    pub since_ms: Millis,
    upstreams: Vec<Upstream>,
    /// Entries of services that the configuration does not contain, at addresses without another
    /// upstream, sorted by address.
    unconfigured: Vec<Upstream>,
    /// Indexes into `upstreams`, sorted by address.
    by_address: Vec<(Ipv4Addr, usize)>,
    /// Sorted.
    closed_zones: Vec<ZoneStamp>,
    regions: Arc<Regions>,
    history: Arc<History>,
}

impl View {
    /// Creates a view of these routes and upstreams.
    pub fn new(routes: Arc<RouteTable>, mut upstreams: Vec<Upstream>) -> Self {
        upstreams.sort_by_key(|upstream| (upstream.service, upstream.address));
        let positions = upstreams.iter().zip(0..);
        let mut by_address: Vec<(Ipv4Addr, usize)> =
            positions.map(|(upstream, position)| (upstream.address, position)).collect();
        by_address.sort_unstable();
        Self { routes, upstreams, by_address, ..Self::default() }
    }

    /// Adds entries of services that the configuration does not contain. They get no new flows. Most
    /// come from other writers, but a route may have led to such a service before.
    #[must_use]
    pub fn with_unconfigured(self, mut unconfigured: Vec<Upstream>) -> Self {
        unconfigured.retain(|entry| self.configured_at(entry.address).is_none());
        unconfigured.sort_by_key(|entry| entry.address);
        Self { unconfigured, ..self }
    }

    /// Closes these availability zones to new flows.
    #[must_use]
    pub fn with_closed_zones(mut self, mut closed_zones: Vec<ZoneStamp>) -> Self {
        closed_zones.sort_unstable();
        self.closed_zones = closed_zones;
        self
    }

    /// Sets the regions of the availability zones.
    #[must_use]
    pub fn with_regions(mut self, regions: Arc<Regions>) -> Self {
        self.regions = regions;
        self
    }

    /// Sets the services that routes previously pointed to.
    #[must_use]
    pub fn with_history(mut self, history: Arc<History>) -> Self {
        self.history = history;
        self
    }

    /// Services that routes previously pointed to.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Whether a route allows the region of an upstream. A zone whose region is unknown belongs to
    /// none.
    pub fn allows(&self, route: &Route, upstream: &Upstream) -> bool {
        let region = || self.regions.of(upstream.zone);
        route.regions.is_empty() || region().is_some_and(|region| route.regions.contains(&region))
    }

    /// Availability zones that are closed to new flows, sorted.
    pub fn closed_zones(&self) -> &[ZoneStamp] {
        &self.closed_zones
    }

    /// Whether an availability zone is closed to new flows.
    pub fn is_closed(&self, zone: ZoneStamp) -> bool {
        self.closed_zones.binary_search(&zone).is_ok()
    }

    /// Whether balancers with this view place no new flows on the upstream, because it is draining
    /// or its zone is closed. An upstream whose entry disappeared without notice is not assumed to
    /// drain.
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
        let unconfigured = || {
            let entries = &self.unconfigured;
            let index = entries.binary_search_by_key(&address, |entry| entry.address).ok()?;
            Some(&entries[index])
        };
        self.configured_at(address).or_else(unconfigured)
    }

    fn configured_at(&self, address: Ipv4Addr) -> Option<&Upstream> {
        let index = self.by_address.binary_search_by_key(&address, |(at, _)| *at).ok()?;
        Some(&self.upstreams[self.by_address[index].1])
    }

    /// All entries, also those of services that the configuration does not contain.
    pub fn all_upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.iter().chain(&self.unconfigured)
    }

    /// The upstreams of services that the configuration contains, sorted by service and address.
    pub fn upstreams(&self) -> &[Upstream] {
        &self.upstreams
    }
}
