//! The settings as the core uses them: immutable tables built from validated account subtrees.
//!
//! A [`View`] is shared behind an `Arc` and replaced as a whole. Services and upstreams are kept in
//! sorted vectors; the ranking of every bucket is computed when the view is built.

mod build;

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

pub use build::build;

use crate::keys::{
    AccountId, AccountKey, BucketIndex, ServiceId, ServiceKey, UpstreamId, UpstreamKey, Version,
};

/// Transport protocol of a service address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Transport {
    /// Transmission Control Protocol.
    Tcp,
    /// User Datagram Protocol.
    Udp,
}

/// Address, port and protocol under which callers reach a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Endpoint {
    /// Address that the account owns.
    pub address: IpAddr,
    /// Destination port.
    pub port: u16,
    /// Transport protocol.
    pub transport: Transport,
}

/// What a service does with an opening when a witness does not reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenInDoubt {
    /// Admit after a short wait. If several upstreams admit the opening, the caller's handshake
    /// still completes at only one of them.
    Admit,
    /// Refuse unless a quorum of the service's agents has recorded the claim.
    Refuse,
}

/// Whether an upstream accepts openings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// Accepts openings.
    Active,
    /// Accepts no openings, keeps its flows and stays in the ranking as home and witness.
    Draining,
    /// Removed or about to be removed: still counts as a witness of claims, but is not ranked.
    Retired,
}

/// One account's validated subtree, from which a view is built.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountSpec {
    /// Name of the client account.
    pub name: Arc<str>,
    /// Version of this subtree.
    pub version: Version,
    /// Services in any order.
    pub services: Vec<ServiceSpec>,
}

/// One service of an account.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name, unique within the account.
    pub name: Arc<str>,
    /// Endpoints, owned by the account.
    pub endpoints: Vec<Endpoint>,
    /// What to do with an opening when a witness does not reply.
    pub when_in_doubt: WhenInDoubt,
    /// Percentage by which the mean load of a zone may exceed the mean load of all zones before
    /// openings spill to other zones.
    pub zone_spill_percent: u32,
    /// Upstreams in any order.
    pub upstreams: Vec<UpstreamSpec>,
}

/// One upstream of a service and the agent beside it.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamSpec {
    /// Name, unique within the service.
    pub name: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Relative weight, 1 to 1000.
    pub weight: u32,
    /// Open flows that the upstream can hold.
    pub max_flows: u32,
    /// Address on which the agent receives encapsulated packets and control datagrams.
    pub agent_address: SocketAddr,
    /// Address on which the agent's HTTP endpoint listens.
    pub control_address: SocketAddr,
    /// Address on which the upstream receives plain GUE.
    pub address: SocketAddr,
    /// Whether it accepts openings.
    pub state: UpstreamState,
    /// First version that lists this upstream.
    pub since: Version,
    /// First version in which it counts as retired.
    pub retired: Option<Version>,
}

/// An account in a view.
#[derive(Clone, Debug)]
pub struct Account {
    /// Stable id.
    pub id: AccountId,
    /// Name.
    pub name: Arc<str>,
    /// Version in force.
    pub version: Version,
}

/// A service in a view.
#[derive(Clone, Debug)]
pub struct Service {
    /// Stable id.
    pub id: ServiceId,
    /// Account that owns the service.
    pub account: AccountKey,
    /// Validated settings.
    pub spec: ServiceSpec,
    /// Keys of this service's upstreams, in the order of their ids.
    pub upstreams: std::ops::Range<u32>,
    /// Rankings of all buckets in one vector: `ranks_per_bucket` keys each, first rank first.
    ranking: Vec<UpstreamKey>,
    ranks_per_bucket: usize,
}

/// An upstream in a view.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Stable id.
    pub id: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceKey,
    /// Validated settings.
    pub spec: UpstreamSpec,
}

/// All accounts that a process knows, at one version each.
#[derive(Clone, Debug, Default)]
pub struct View {
    accounts: Vec<Account>,
    services: Vec<Service>,
    upstreams: Vec<Upstream>,
    endpoints: Vec<(Endpoint, ServiceKey)>,
}

impl Service {
    /// Ranking of `bucket`, from first to last rank.
    pub fn ranking(&self, bucket: BucketIndex) -> &[UpstreamKey] {
        let start = usize::from(bucket.0) * self.ranks_per_bucket;
        &self.ranking[start..start + self.ranks_per_bucket]
    }

    /// Keys of all upstreams, retired ones included.
    pub fn upstream_keys(&self) -> impl Iterator<Item = UpstreamKey> + use<> {
        self.upstreams.clone().map(UpstreamKey)
    }
}

impl View {
    /// Accounts sorted by id.
    pub fn accounts(&self) -> &[Account] {
        &self.accounts
    }

    /// Services sorted by id.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// The account with a key of this view.
    pub fn account(&self, key: AccountKey) -> &Account {
        &self.accounts[key.0 as usize]
    }

    /// The service with a key of this view.
    pub fn service(&self, key: ServiceKey) -> &Service {
        &self.services[key.0 as usize]
    }

    /// The upstream with a key of this view.
    pub fn upstream(&self, key: UpstreamKey) -> &Upstream {
        &self.upstreams[key.0 as usize]
    }

    /// Finds an account by id.
    pub fn find_account(&self, id: AccountId) -> Option<AccountKey> {
        find(&self.accounts, |account| account.id.cmp(&id)).map(AccountKey)
    }

    /// Finds a service by id.
    pub fn find_service(&self, id: ServiceId) -> Option<ServiceKey> {
        find(&self.services, |service| service.id.cmp(&id)).map(ServiceKey)
    }

    /// Finds the service that owns an endpoint.
    pub fn find_endpoint(&self, endpoint: Endpoint) -> Option<ServiceKey> {
        let index = self.endpoints.binary_search_by(|(known, _)| known.cmp(&endpoint)).ok()?;
        Some(self.endpoints[index].1)
    }

    /// Finds an upstream of a service by id.
    pub fn find_upstream(&self, service: ServiceKey, id: UpstreamId) -> Option<UpstreamKey> {
        let range = self.service(service).upstreams.clone();
        let table = &self.upstreams[range.start as usize..range.end as usize];
        find(table, |upstream| upstream.id.cmp(&id)).map(|offset| UpstreamKey(range.start + offset))
    }
}

fn find<T>(table: &[T], compare: impl FnMut(&T) -> std::cmp::Ordering) -> Option<u32> {
    table.binary_search_by(compare).ok().map(|index| index as u32)
}
