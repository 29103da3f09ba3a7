//! Encoded types of the messages between balancers, with a bound for each list.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{CHANGES_MAX, PEERS_MAX};
use crate::bounded;

/// Maximum number of routes of a view.
const ROUTES_MAX: usize = 16_384;
/// Maximum number of upstreams of a view.
const UPSTREAMS_MAX: usize = 65_536;
/// Maximum number of services of a view.
const SERVICES_MAX: usize = 16_384;
/// Maximum number of shares of a route.
const SHARES_MAX: usize = 64;
/// Maximum number of former services of routes in a view.
const FORMER_SERVICES_MAX: usize = 65_536;
/// Maximum number of availability zones that are closed at the same time.
const ZONES_MAX: usize = 1_024;
/// Maximum number of regions of a route.
const REGIONS_MAX: usize = 64;

/// Maximum number of identities in a message.
const IDENTITIES_MAX: usize = SERVICES_MAX + ZONES_MAX;

/// Messages. Those about routes and upstreams are not the ones of earlier releases, which identify
/// services and zones by a few bytes of a hash: each release takes only its own, and those of the
/// other one are of an unknown kind to it.
#[derive(Serialize, Deserialize)]
pub(super) enum MessageBody {
    Hello {
        revision: u64,
    },
    Peers(#[serde(deserialize_with = "peer_list")] Vec<u32>),
    #[serde(rename = "Beacon2")]
    Beacon(SummaryBody),
    #[serde(rename = "Knows2")]
    Knows(SummaryBody),
    #[serde(rename = "Changes2")]
    Changes(SummaryBody, DeltaBody),
}

#[derive(Serialize, Deserialize)]
pub(super) struct DeltaBody {
    #[serde(deserialize_with = "identity_list")]
    pub(super) identities: Vec<u128>,
    pub(super) from_revision: u64,
    #[serde(deserialize_with = "changed_list")]
    pub(super) listed: Vec<UpstreamBody>,
    #[serde(deserialize_with = "gone_list")]
    pub(super) gone: Vec<Arc<str>>,
    /// Availability zones, and whether each is closed now.
    #[serde(deserialize_with = "zone_changes")]
    pub(super) zones: Vec<(u32, bool)>,
    pub(super) routes: Option<RoutesDeltaBody>,
}

#[derive(Serialize, Deserialize)]
pub(super) struct RoutesDeltaBody {
    pub(super) from_version: u64,
    pub(super) from_digest: u64,
    #[serde(deserialize_with = "route_list")]
    pub(super) changed: Vec<RouteBody>,
    #[serde(deserialize_with = "endpoint_list")]
    pub(super) removed: Vec<(u32, u16)>,
}

#[derive(Serialize, Deserialize)]
pub(super) struct SummaryBody {
    pub(super) revision: u64,
    pub(super) routes_version: u64,
    pub(super) routes_digest: u64,
    pub(super) upstreams_digest: u64,
    pub(super) whole_in_ms: u64,
    pub(super) history: HistorySummaryBody,
    pub(super) era: u64,
    pub(super) held_digest: u64,
}

#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub(super) struct HistorySummaryBody {
    pub(super) version: u64,
    pub(super) whole_in_ms: u64,
    pub(super) former_digest: u64,
}

#[derive(Default, Serialize, Deserialize)]
pub(super) struct HistoryBody {
    pub(super) summary: HistorySummaryBody,
    #[serde(deserialize_with = "former_list")]
    pub(super) former: Vec<FormerBody>,
}

#[derive(Serialize, Deserialize)]
pub(super) struct FormerBody {
    pub(super) address: u32,
    pub(super) port: u16,
    pub(super) service: u32,
    pub(super) left_ms: u64,
}

#[derive(Serialize, Deserialize)]
pub(super) struct ViewBody {
    /// The identities of services, zones and regions that the view mentions. Everything else refers
    /// to them by their positions.
    #[serde(deserialize_with = "identity_list")]
    pub(super) identities: Vec<u128>,
    pub(super) revision: u64,
    pub(super) whole_in_ms: u64,
    pub(super) version: u64,
    pub(super) routes: Option<RoutesBody>,
    #[serde(deserialize_with = "upstream_list")]
    pub(super) upstreams: Vec<UpstreamBody>,
    #[serde(deserialize_with = "zone_list")]
    pub(super) closed_zones: Vec<u32>,
    pub(super) history: HistoryBody,
    /// `None` without an era.
    pub(super) era: Option<EraBody>,
}

/// The era of a view, and what is held besides its list.
#[derive(Serialize, Deserialize)]
pub(super) struct EraBody {
    pub(super) era: u64,
    pub(super) held_for_ms: u64,
    #[serde(deserialize_with = "upstream_list")]
    pub(super) held_upstreams: Vec<UpstreamBody>,
    #[serde(deserialize_with = "zone_list")]
    pub(super) held_zones: Vec<u32>,
}

#[derive(Serialize, Deserialize)]
pub(super) struct RoutesBody {
    #[serde(deserialize_with = "route_list")]
    pub(super) routes: Vec<RouteBody>,
    #[serde(deserialize_with = "service_list")]
    pub(super) services: Vec<u32>,
    /// Services whose cold upstreams have a limit, with the openings that one of them accepts in a
    /// thousand seconds.
    #[serde(deserialize_with = "limit_list")]
    pub(super) limits: Vec<(u32, u32)>,
}

#[derive(Serialize, Deserialize)]
pub(super) struct RouteBody {
    pub(super) address: u32,
    pub(super) port: u16,
    #[serde(deserialize_with = "share_list")]
    pub(super) shares: Vec<(u32, u32)>,
    pub(super) slo_ms: u32,
    pub(super) repeatable: bool,
    #[serde(deserialize_with = "region_list")]
    pub(super) regions: Vec<u32>,
    pub(super) wait_slos: u8,
    pub(super) urgent: bool,
}

#[derive(Serialize, Deserialize)]
pub(super) struct UpstreamBody {
    pub(super) id: Arc<str>,
    pub(super) born_ms: u64,
    pub(super) address: u32,
    pub(super) service: u32,
    pub(super) zone: u32,
    pub(super) draining: bool,
    pub(super) warmup_left_ms: u64,
    pub(super) slots: u32,
}

fn identity_list<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Vec<u128>, D::Error> {
    bounded::list::<D, u128, IDENTITIES_MAX>(deserializer)
}

fn peer_list<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Vec<u32>, D::Error> {
    bounded::list::<D, u32, PEERS_MAX>(deserializer)
}

fn route_list<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<RouteBody>, D::Error> {
    bounded::list::<D, RouteBody, ROUTES_MAX>(deserializer)
}

fn endpoint_list<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<(u32, u16)>, D::Error> {
    bounded::list::<D, (u32, u16), ROUTES_MAX>(deserializer)
}

fn service_list<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Vec<u32>, D::Error> {
    bounded::list::<D, u32, SERVICES_MAX>(deserializer)
}

fn limit_list<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<(u32, u32)>, D::Error> {
    bounded::list::<D, (u32, u32), SERVICES_MAX>(deserializer)
}

fn region_list<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Vec<u32>, D::Error> {
    bounded::list::<D, u32, REGIONS_MAX>(deserializer)
}

fn zone_list<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Vec<u32>, D::Error> {
    bounded::list::<D, u32, ZONES_MAX>(deserializer)
}

fn zone_changes<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<(u32, bool)>, D::Error> {
    bounded::list::<D, (u32, bool), CHANGES_MAX>(deserializer)
}

fn former_list<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<FormerBody>, D::Error> {
    bounded::list::<D, FormerBody, FORMER_SERVICES_MAX>(deserializer)
}

fn upstream_list<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<UpstreamBody>, D::Error> {
    bounded::list::<D, UpstreamBody, UPSTREAMS_MAX>(deserializer)
}

fn changed_list<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<UpstreamBody>, D::Error> {
    bounded::list::<D, UpstreamBody, CHANGES_MAX>(deserializer)
}

fn gone_list<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Vec<Arc<str>>, D::Error> {
    bounded::list::<D, Arc<str>, CHANGES_MAX>(deserializer)
}

fn share_list<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<(u32, u32)>, D::Error> {
    bounded::list::<D, (u32, u32), SHARES_MAX>(deserializer)
}
