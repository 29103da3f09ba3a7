//! Immutable tables that the receiving threads use to forward packets. They are laid out so that a
//! lookup touches few cache lines, and are replaced as a whole.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use decision::keys::{AccountId, BucketIndex, FlowId, ServiceId, ServiceKey, UpstreamId, Version};
use decision::rank::{self, BUCKET_COUNT};
use decision::router::Router;
use decision::view::{Account, Endpoint, Service, Transport, View};
use wire::sealed::{AccountKeyring, KeyId};

/// Entry of [`Snapshot::homes`] if the service has no agent.
const NO_AGENT: u32 = u32::MAX;

/// Routes and keys at a point in time.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// IPv4 endpoints as sorted integers, see [`pack_ipv4`]. Comparing integers instead of
    /// endpoints halves the time of a lookup among 1,900 services, since a table of eight bytes
    /// per endpoint stays in the L1 cache.
    packed_endpoints: Vec<u64>,
    /// Service of each packed endpoint, at the same index.
    packed_services: Vec<ServiceKey>,
    /// IPv6 endpoints, sorted.
    ipv6_endpoints: Vec<(Endpoint, ServiceKey)>,
    /// Keyrings, sorted by account.
    keyrings: Vec<(AccountId, AccountKeyring)>,
    /// Services in the order of the view's keys.
    services: Vec<ServiceEntry>,
    /// Index in `agents` of the home for each service and bucket, as chosen by the router.
    homes: Vec<u32>,
    /// Data addresses of the agents in the order of the view's keys.
    agents: Vec<SocketAddr>,
}

/// Values that are sealed into the packets of a service, and the keyring that seals them.
#[derive(Clone, Copy, Debug)]
pub struct ServiceEntry {
    /// Client account that owns the service.
    pub account: AccountId,
    /// Id of the service.
    pub service: ServiceId,
    /// Settings version of the account.
    pub version: Version,
    /// Keyring of the account.
    pub keyring: AccountKeyring,
}

/// The newest snapshot. A thread compares `PublishedSnapshot::generation` with its own once per
/// batch and takes the lock only after a change.
#[derive(Debug, Default)]
pub struct PublishedSnapshot {
    generation: AtomicU64,
    snapshot: Mutex<Arc<Snapshot>>,
    current: AtomicBool,
}

/// One thread's reference to the newest snapshot.
#[derive(Debug)]
pub struct Subscription {
    published: Arc<PublishedSnapshot>,
    generation: u64,
    snapshot: Arc<Snapshot>,
}

impl Snapshot {
    /// Builds a snapshot that passes over the agents in `down`, and derives the keyring of every
    /// account from the master keys. `None` if there is no master key.
    ///
    /// ```
    /// use balancer::snapshot::Snapshot;
    /// use wire::sealed::KeyId;
    /// let master_keys = [(KeyId(1), [0; 32])];
    /// assert!(Snapshot::build(&Default::default(), vec![], &master_keys).is_some());
    /// assert!(Snapshot::build(&Default::default(), vec![], &[]).is_none());
    /// ```
    pub fn build(
        view: &Arc<View>,
        down: Vec<UpstreamId>,
        master_keys: &[(KeyId, [u8; 32])],
    ) -> Option<Self> {
        let derive =
            |owner: &Account| Some((owner.id, AccountKeyring::derive(master_keys, owner.id)?));
        AccountKeyring::derive(master_keys, AccountId(0))?;
        let keyrings = view.accounts().iter().filter_map(derive).collect();
        let mut snapshot = Self { keyrings, ..Self::default() };
        for (index, service) in view.services().iter().enumerate() {
            snapshot.push_endpoints(service, ServiceKey(index as u32));
            let account = view.account(service.account);
            let keyring = snapshot.keyrings[service.account.0 as usize].1;
            let (account, version) = (account.id, account.version);
            snapshot.services.push(ServiceEntry { account, service: service.id, version, keyring });
        }
        snapshot.sort_endpoints();
        snapshot.push_homes(&Router::new(view.clone(), down));
        Some(snapshot)
    }

    /// Finds the service of a packet by its destination.
    pub fn find_by_endpoint(&self, endpoint: Endpoint) -> Option<ServiceKey> {
        if let Some(number) = pack_ipv4(endpoint) {
            let index = self.packed_endpoints.binary_search(&number).ok()?;
            return Some(self.packed_services[index]);
        }
        let table = &self.ipv6_endpoints;
        let index = table.binary_search_by(|(known, _)| known.cmp(&endpoint)).ok()?;
        Some(table[index].1)
    }

    /// Finds a service by id.
    pub fn find_by_id(&self, id: ServiceId) -> Option<ServiceKey> {
        // The view assigns keys in the order of ids, so `services` is sorted by id.
        let index = self.services.binary_search_by_key(&id, |entry| entry.service).ok()?;
        Some(ServiceKey(index as u32))
    }

    /// The keyring of an account.
    pub fn keyring(&self, account: AccountId) -> Option<&AccountKeyring> {
        let index = self.keyrings.binary_search_by_key(&account, |(known, _)| *known).ok()?;
        Some(&self.keyrings[index].1)
    }

    /// The entry of a service.
    pub fn service(&self, key: ServiceKey) -> &ServiceEntry {
        &self.services[key.0 as usize]
    }

    /// Data address of a flow's home; `None` if the service has no agent.
    pub fn home(&self, service: ServiceKey, flow: FlowId) -> Option<SocketAddr> {
        let bucket = usize::from(rank::bucket_of(flow).0);
        let home = self.homes[service.0 as usize * usize::from(BUCKET_COUNT) + bucket];
        self.agents.get(home as usize).copied()
    }

    fn push_endpoints(&mut self, service: &Service, key: ServiceKey) {
        for endpoint in &service.spec.endpoints {
            match pack_ipv4(*endpoint) {
                Some(number) => {
                    self.packed_endpoints.push(number);
                    self.packed_services.push(key);
                }
                None => self.ipv6_endpoints.push((*endpoint, key)),
            }
        }
    }

    fn sort_endpoints(&mut self) {
        let numbers = self.packed_endpoints.iter().copied();
        let mut pairs: Vec<(u64, ServiceKey)> =
            numbers.zip(self.packed_services.iter().copied()).collect();
        pairs.sort_unstable();
        (self.packed_endpoints, self.packed_services) = pairs.into_iter().unzip();
        self.ipv6_endpoints.sort_unstable();
    }

    fn push_homes(&mut self, router: &Router) {
        let view = router.view();
        for service in (0..self.services.len() as u32).map(ServiceKey) {
            let home = |bucket| router.home(service, BucketIndex(bucket));
            let index = |bucket| home(bucket).map_or(NO_AGENT, |agent| agent.0);
            self.homes.extend((0..BUCKET_COUNT).map(index));
            let agents = view.service(service).upstream_keys();
            self.agents.extend(agents.map(|key| view.upstream(key).spec.agent_address));
        }
    }
}

/// Packs address, port and transport of an IPv4 endpoint into an integer; `None` for IPv6.
fn pack_ipv4(endpoint: Endpoint) -> Option<u64> {
    let IpAddr::V4(address) = endpoint.address else { return None };
    let transport = match endpoint.transport {
        Transport::Tcp => 0,
        Transport::Udp => 1,
    };
    Some(u64::from(address.to_bits()) << 17 | u64::from(endpoint.port) << 1 | transport)
}

impl PublishedSnapshot {
    /// Replaces the snapshot.
    pub fn publish(&self, snapshot: Snapshot) {
        *self.snapshot.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(snapshot);
        self.generation.fetch_add(1, Ordering::Release);
    }

    /// Records that the settings in the snapshot are known to be current enough.
    pub fn mark_current(&self) {
        self.current.store(true, Ordering::Release);
    }

    /// Whether a snapshot of current settings has been published.
    ///
    /// A balancer must not report itself ready before. As soon as it does, the fabric sends to it,
    /// and packets that arrive while the empty first snapshot is in force are dropped. Nothing
    /// retransmits the datagrams of a caller.
    pub fn is_current(&self) -> bool {
        self.current.load(Ordering::Acquire)
    }

    /// The newest snapshot.
    pub fn newest(&self) -> Arc<Snapshot> {
        self.snapshot.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Subscription {
    /// Creates a subscription that starts with the newest snapshot.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use balancer::snapshot::{PublishedSnapshot, Snapshot, Subscription};
    /// let published = Arc::new(PublishedSnapshot::default());
    /// let mut subscription = Subscription::new(published.clone());
    /// published.publish(Snapshot::default());
    /// assert!(subscription.refresh());
    /// assert!(!subscription.refresh());
    /// ```
    pub fn new(published: Arc<PublishedSnapshot>) -> Self {
        let generation = published.generation.load(Ordering::Acquire);
        let snapshot = published.newest();
        Self { published, generation, snapshot }
    }

    /// Switches to the newest snapshot. Returns whether it differs from the previous one.
    pub fn refresh(&mut self) -> bool {
        let generation = self.published.generation.load(Ordering::Acquire);
        if generation == self.generation {
            return false;
        }
        self.generation = generation;
        self.snapshot = self.published.newest();
        true
    }

    /// The snapshot as of the last [`Subscription::refresh`].
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }
}
