//! Layout of a world: sizes, names, addresses, services and their routes.

use std::net::{Ipv4Addr, SocketAddrV4};

use steering::flow::FlowKey;
use steering::view::{RegionStamp, Route, ServiceStamp, Share, ZoneStamp};

use super::SETTLE_MS;

/// Size of a world, and the kinds of changes in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    pub(super) balancers: usize,
    pub(super) upstreams: usize,
    /// Index of the first upstream of the second service.
    pub(super) second_service_from: usize,
    pub(super) callers: usize,
    /// Whether instances fail and are cut off, upstreams are slow, and callers close their flows.
    pub(super) severe_faults: bool,
    /// Whether routes change their services.
    pub(super) moving_routes: bool,
    /// Whether all changes are planned and answers come in parts that callers acknowledge. The
    /// address of an upstream that has left is reused only several seconds later, so that
    /// balancers often ask for a flow at upstreams that have just left.
    pub(super) long_answers: bool,
    /// How many of a hundred changes are returns of the configuration service from an older copy.
    pub(super) store_returns_percent: u8,
    /// Whether balancers often restart when it returns.
    pub(super) restarts_at_returns: bool,
    /// Whether upstreams process a few requests at a time, and callers at times send more. All
    /// mechanisms are on.
    pub(super) bursts: bool,
    /// Whether balancers at times hear of changes late, above all after their start, and the fabric
    /// hands some packets to any balancer.
    pub(super) late_lists: bool,
}

impl Size {
    /// A few of each, with all planned changes and the loss of state.
    pub const SMALL: Self = Self {
        balancers: 3,
        upstreams: 7,
        second_service_from: 4,
        callers: 24,
        severe_faults: false,
        moving_routes: false,
        long_answers: false,
        store_returns_percent: 0,
        restarts_at_returns: false,
        bursts: false,
        late_lists: false,
    };
    /// Like `SMALL`, with routes that change their services.
    pub const MOVING: Self = Self { moving_routes: true, ..Self::SMALL };
    /// Like `SMALL`, with severe faults and many flows at each upstream.
    pub const CROWDED: Self = Self { callers: 120, severe_faults: true, ..Self::SMALL };
    /// Like `CROWDED`, with routes that change their services.
    pub const CROWDED_MOVING: Self = Self { moving_routes: true, ..Self::CROWDED };
    /// Like `MOVING`, with a configuration service that comes back from older copies.
    pub const RETURNING: Self = Self { store_returns_percent: 5, ..Self::MOVING };
    /// Like `CROWDED`, with a configuration service that comes back from older copies while balancers
    /// restart.
    pub const CROWDED_RETURNING: Self =
        Self { store_returns_percent: 2, restarts_at_returns: true, ..Self::CROWDED };
    /// Like `MOVING`, with balancers that hear of changes late.
    pub const LATE_LISTS: Self = Self { late_lists: true, ..Self::MOVING };
    /// Like `CROWDED`, with balancers that hear of changes late.
    pub const CROWDED_LATE_LISTS: Self = Self { late_lists: true, ..Self::CROWDED };
    /// Like `SMALL`, with upstreams of unequal speed and bursts of requests beyond what they can
    /// process, beside faults.
    pub const OVERLOADED: Self =
        Self { callers: 300, severe_faults: true, bursts: true, ..Self::SMALL };
    /// Over a hundred upstreams, with severe faults.
    pub const LARGE: Self = Self {
        balancers: 6,
        upstreams: 120,
        second_service_from: 100,
        callers: 200,
        severe_faults: true,
        moving_routes: false,
        long_answers: false,
        store_returns_percent: 0,
        restarts_at_returns: false,
        bursts: false,
        late_lists: false,
    };
    /// A large service under planned changes only, with answers in parts.
    pub const LONG_ANSWERS: Self = Self {
        balancers: 6,
        upstreams: 48,
        second_service_from: 36,
        callers: 200,
        severe_faults: false,
        moving_routes: false,
        long_answers: true,
        store_returns_percent: 0,
        restarts_at_returns: false,
        bursts: false,
        late_lists: false,
    };
}

impl Size {
    /// Length of the pauses between changes in which the world settles. After a burst, callers and
    /// queues need a part of it.
    pub(super) fn pause_ms(self) -> u64 {
        if self.bursts { 3 * SETTLE_MS } else { 2 * SETTLE_MS }
    }
}

/// Number of services. Initially each has a route of its own.
pub(in crate::direct) const SERVICES_COUNT: usize = 2;
pub(super) const SERVICES: [ServiceStamp; SERVICES_COUNT] = [ServiceStamp(1), ServiceStamp(2)];
/// The splits of a route's traffic between the services that route changes choose from.
pub(super) const SPLITS: [[u32; SERVICES_COUNT]; 4] = [[1, 0], [0, 1], [9, 1], [1, 3]];
/// A service that is not configured.
pub(super) const UNCONFIGURED_SERVICE: ServiceStamp = ServiceStamp(3);
/// Number of availability zones. Upstreams are assigned to them round-robin.
pub(in crate::direct) const ZONES: usize = 3;
/// Number of zones in the first region; the others are in the second.
const FIRST_REGION_ZONES: usize = 2;
const REGIONS: [RegionStamp; 2] = [RegionStamp(1), RegionStamp(2)];

pub(super) fn address(upstream: usize) -> Ipv4Addr {
    Ipv4Addr::from_bits(0x0a00_0001 + u32::try_from(upstream).unwrap_or_default())
}

pub(super) fn upstream_of(address: Ipv4Addr) -> usize {
    (address.to_bits() - 0x0a00_0001) as usize
}

pub(super) fn balancer_address(balancer: usize) -> Ipv4Addr {
    Ipv4Addr::from_bits(0x0a01_0001 + u32::try_from(balancer).unwrap_or_default())
}

pub(super) fn balancer_index(address: Ipv4Addr) -> usize {
    (address.to_bits() - balancer_address(0).to_bits()) as usize
}

pub(super) fn zone_of(upstream: usize) -> usize {
    upstream % ZONES
}

pub(super) fn zone_stamp(zone: usize) -> ZoneStamp {
    ZoneStamp(1 + u128::try_from(zone).unwrap_or_default())
}

pub(super) fn region_of(zone: usize) -> RegionStamp {
    REGIONS[usize::from(zone >= FIRST_REGION_ZONES)]
}

pub(super) fn endpoint(service: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), [443, 8443][service])
}

pub(super) fn endpoint_index(flow: FlowKey) -> usize {
    usize::from(flow.endpoint == endpoint(1))
}

/// Route of an endpoint with these shares. The first endpoint's route allows all regions, the
/// second one's only the first region.
pub(super) fn route(endpoint_index: usize, shares: [u32; SERVICES_COUNT]) -> Route {
    let shares = SERVICES.into_iter().zip(shares);
    let shares = shares.map(|(service, weight)| Share { service, weight });
    Route {
        endpoint: endpoint(endpoint_index),
        shares: shares.filter(|share| share.weight > 0).collect(),
        slo_ms: 0,
        wait_slos: 0,
        urgent: false,
        repeatable: true,
        regions: REGIONS[..endpoint_index].into(),
    }
}
