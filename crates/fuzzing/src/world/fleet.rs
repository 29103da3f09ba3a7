//! Published settings: all versions of each account, and the views built from them.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use decision::keys::{ServiceId, UpstreamId, Version};
use decision::view::{
    self, AccountSpec, Endpoint, ServiceSpec, Transport, UpstreamSpec, UpstreamState, View,
    WhenInDoubt,
};

use crate::step::Change;

/// Names of the client accounts. Each account's settings are versioned on their own.
pub(super) const ACCOUNTS: [&str; 2] = ["cascadia", "bajio"];
/// Maximum number of upstreams of a service that are listed and not retired.
const LISTED_MAX: usize = 7;
/// Maximum number of upstream names per service, which bounds what an episode can add.
const NAMES_MAX: usize = 12;

/// The version of each account that a process has.
pub(super) type Versions = [usize; ACCOUNTS.len()];

/// Constant properties of a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceKind {
    /// Name of the service.
    pub(super) name: &'static str,
    /// Index into [`ACCOUNTS`].
    pub(super) account: usize,
    /// Protocol of its endpoint.
    pub(super) transport: Transport,
    /// Whether openings are admitted or refused when an agent's state is incomplete.
    pub(super) when_in_doubt: WhenInDoubt,
}

/// The services, one for each kind of [`Promise`](crate::oracle::Promise).
pub(super) const SERVICES: [ServiceKind; 3] = [
    ServiceKind {
        name: "shelf",
        account: 0,
        transport: Transport::Tcp,
        when_in_doubt: WhenInDoubt::Admit,
    },
    ServiceKind {
        name: "confirm",
        account: 0,
        transport: Transport::Udp,
        when_in_doubt: WhenInDoubt::Refuse,
    },
    ServiceKind {
        name: "fitting",
        account: 1,
        transport: Transport::Tcp,
        when_in_doubt: WhenInDoubt::Refuse,
    },
];

impl ServiceKind {
    /// Id of the service.
    pub(super) fn id(&self) -> ServiceId {
        ServiceId::of(ACCOUNTS[self.account], self.name)
    }

    /// Id of the upstream with this number.
    pub(super) fn upstream(&self, name: usize) -> UpstreamId {
        UpstreamId::of(ACCOUNTS[self.account], self.name, &upstream_name(name))
    }

    /// Whether each datagram is a complete request.
    pub(super) fn is_datagram(&self) -> bool {
        self.transport == Transport::Udp
    }
}

/// An upstream as listed in the newest settings.
#[derive(Clone, Copy, Debug)]
pub(super) struct Listed {
    /// Number in its name.
    pub(super) name: usize,
    /// Host that it runs on.
    pub(super) host: usize,
    /// Published state.
    pub(super) state: UpstreamState,
    /// Published weight.
    pub(super) weight: u32,
    since: usize,
    retired: Option<usize>,
}

/// What hosts have to do to carry out a published change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HostAction {
    /// Only the settings change.
    Nothing,
    /// Start an upstream on a host.
    Start {
        /// Number of the upstream.
        name: usize,
        /// Number of the host.
        host: usize,
    },
}

/// All published settings.
#[derive(Debug)]
pub(super) struct Fleet {
    services: Vec<Vec<Listed>>,
    history: Vec<Vec<AccountSpec>>,
    views: Vec<(Versions, Arc<View>)>,
    /// Published flow limit of each upstream.
    pub(super) max_flows: u32,
}

/// Upstream on a host: its service and number.
pub(super) type Occupant = Option<(usize, usize)>;

impl Fleet {
    /// Creates version 1 of all accounts: `sizes` upstreams per service, on consecutive hosts.
    pub(super) fn new(sizes: &[usize], max_flows: u32) -> Self {
        let mut host = 0;
        let mut services = Vec::new();
        for &size in sizes {
            let listed = (0..size).map(|name| new_listed(name, host + name)).collect();
            services.push(listed);
            host += size;
        }
        let mut fleet =
            Self { services, history: vec![vec![]; ACCOUNTS.len()], views: vec![], max_flows };
        for account in 0..ACCOUNTS.len() {
            let spec = fleet.spec(account, 1);
            fleet.history[account].push(spec);
        }
        fleet
    }

    /// Number of services in use.
    pub(super) fn service_count(&self) -> usize {
        self.services.len()
    }

    /// Upstreams of a service in the newest settings.
    pub(super) fn listed(&self, service: usize) -> &[Listed] {
        &self.services[service]
    }

    /// Newest version of each account.
    pub(super) fn newest(&self) -> Versions {
        std::array::from_fn(|account| self.history[account].len())
    }

    /// The view of a process that has these versions.
    pub(super) fn view(&mut self, versions: Versions) -> Arc<View> {
        match self.views.binary_search_by(|(known, _)| known.cmp(&versions)) {
            Ok(index) => self.views[index].1.clone(),
            Err(index) => {
                let specs: Vec<AccountSpec> = versions
                    .iter()
                    .zip(&self.history)
                    .map(|(version, history)| history[version - 1].clone())
                    .collect();
                let view = Arc::new(view::build(&specs));
                self.views.insert(index, (versions, view.clone()));
                view
            }
        }
    }

    /// Publishes a change; `None` if it doesn't apply to any upstream.
    pub(super) fn publish(
        &mut self,
        service: usize,
        change: Change,
        pick: u8,
        hosts: &[Occupant],
    ) -> Option<HostAction> {
        let account = SERVICES[service].account;
        let version = self.history[account].len() + 1;
        let action = match change {
            Change::Add => self.add(service, version, pick, hosts)?,
            Change::Return => self.restore_retired(service, version, pick, hosts)?,
            Change::Drain => self.drain(service, pick)?,
            Change::Undrain => {
                self.pick(service, UpstreamState::Draining, pick)?.state = UpstreamState::Active;
                HostAction::Nothing
            }
            Change::Retire => {
                let listed = self.pick(service, UpstreamState::Draining, pick)?;
                listed.state = UpstreamState::Retired;
                listed.retired = Some(version);
                HostAction::Nothing
            }
            Change::Reweigh => {
                self.pick(service, UpstreamState::Active, pick)?.weight = 1 + u32::from(pick) * 3;
                HostAction::Nothing
            }
        };
        let spec = self.spec(account, version);
        self.history[account].push(spec);
        Some(action)
    }

    fn add(
        &mut self,
        service: usize,
        version: usize,
        pick: u8,
        hosts: &[Occupant],
    ) -> Option<HostAction> {
        let name = self.services[service].len();
        let free: Vec<usize> = (0..hosts.len()).filter(|host| hosts[*host].is_none()).collect();
        let host = *pick_of(&free, pick)?;
        if name >= NAMES_MAX || self.count_unretired(service) >= LISTED_MAX {
            return None;
        }
        self.services[service].push(Listed { since: version, ..new_listed(name, host) });
        Some(HostAction::Start { name, host })
    }

    fn restore_retired(
        &mut self,
        service: usize,
        version: usize,
        pick: u8,
        hosts: &[Occupant],
    ) -> Option<HostAction> {
        if self.count_unretired(service) >= LISTED_MAX {
            return None;
        }
        let listed = self.pick(service, UpstreamState::Retired, pick)?;
        let (name, host) = (listed.name, listed.host);
        let action = match hosts[host] {
            None => HostAction::Start { name, host },
            Some(occupant) if occupant == (service, name) => HostAction::Nothing,
            Some(_) => return None,
        };
        *listed = Listed { since: version, ..new_listed(name, host) };
        Some(action)
    }

    /// Starts to drain an upstream. Keeps one active, so that refusing all openings is always a
    /// violation.
    fn drain(&mut self, service: usize, pick: u8) -> Option<HostAction> {
        let active = |listed: &&Listed| listed.state == UpstreamState::Active;
        if self.services[service].iter().filter(active).count() < 2 {
            return None;
        }
        self.pick(service, UpstreamState::Active, pick)?.state = UpstreamState::Draining;
        Some(HostAction::Nothing)
    }

    fn count_unretired(&self, service: usize) -> usize {
        let retired = |listed: &&Listed| listed.state != UpstreamState::Retired;
        self.services[service].iter().filter(retired).count()
    }

    fn pick(&mut self, service: usize, state: UpstreamState, pick: u8) -> Option<&mut Listed> {
        let mut matching: Vec<&mut Listed> =
            self.services[service].iter_mut().filter(|listed| listed.state == state).collect();
        if matching.is_empty() {
            return None;
        }
        let index = usize::from(pick) % matching.len();
        Some(matching.swap_remove(index))
    }

    fn spec(&self, account: usize, version: usize) -> AccountSpec {
        let services = SERVICES
            .iter()
            .zip(&self.services)
            .enumerate()
            .filter(|(_, (kind, _))| kind.account == account)
            .map(|(index, (kind, listed))| ServiceSpec {
                name: kind.name.into(),
                endpoints: vec![endpoint(index)],
                when_in_doubt: kind.when_in_doubt,
                zone_spill_percent: 25,
                upstreams: listed
                    .iter()
                    .map(|listed| upstream_spec(listed, self.max_flows))
                    .collect(),
            })
            .collect();
        AccountSpec { name: ACCOUNTS[account].into(), version: Version(version as u64), services }
    }
}

/// The endpoint of a service.
pub(super) fn endpoint(service: usize) -> Endpoint {
    Endpoint {
        address: IpAddr::V4(Ipv4Addr::new(203, 0, 113, 1 + service as u8)),
        port: 8443,
        transport: SERVICES[service].transport,
    }
}

/// The host of an agent's address.
pub(super) fn host_at(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => usize::from(ip.octets()[3]),
        IpAddr::V6(_) => usize::MAX,
    }
}

/// Picks one of `candidates`, if there is any.
pub(super) fn pick_of<T>(candidates: &[T], pick: u8) -> Option<&T> {
    candidates.get(usize::from(pick).checked_rem(candidates.len())?)
}

fn new_listed(name: usize, host: usize) -> Listed {
    Listed { name, host, state: UpstreamState::Active, weight: 100, since: 1, retired: None }
}

fn upstream_name(name: usize) -> String {
    format!("u{name}")
}

fn upstream_spec(listed: &Listed, max_flows: u32) -> UpstreamSpec {
    let address = |net: u8, port: u16| SocketAddr::from(([127, net, 0, listed.host as u8], port));
    UpstreamSpec {
        name: upstream_name(listed.name).into(),
        zone: if listed.name.is_multiple_of(2) { "a" } else { "b" }.into(),
        weight: listed.weight,
        max_flows,
        agent_address: address(20, 6080),
        control_address: address(20, 9080),
        address: address(30, 6080),
        state: listed.state,
        since: Version(listed.since as u64),
        retired: listed.retired.map(|version| Version(version as u64)),
    }
}
