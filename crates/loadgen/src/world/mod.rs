//! Generated settings as the platform would publish them, at any size up to the target, which is
//! the size expected in two years.

use std::fmt::Write as _;
use std::net::{Ipv4Addr, SocketAddr};

use decision::keys::Version;
use decision::view::{
    AccountSpec, Endpoint, ServiceSpec, Transport, UpstreamSpec, UpstreamState, WhenInDoubt,
};

/// Availability zones at target size.
pub const ZONES: usize = 17;
/// Regions at target size.
const REGIONS: usize = 5;
/// Port of every service.
pub const SERVICE_PORT: u16 = 443;

/// Size of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeploymentSize {
    /// Client accounts; each owns a /24 prefix.
    pub accounts: usize,
    /// Services with one address each, assigned to the accounts round-robin.
    pub services: usize,
    /// Upstreams, assigned to the services round-robin.
    pub upstreams: usize,
}

/// Target size: the deployment expected in two years. Users expect hundreds of accounts; 300 is
/// assumed.
pub const TARGET_SIZE: DeploymentSize =
    DeploymentSize { accounts: 300, services: 1_900, upstreams: 10_000 };

impl DeploymentSize {
    /// The target size scaled to `services`: accounts and upstreams change in proportion.
    ///
    /// ```
    /// let quarter = loadgen::world::DeploymentSize::with_services(475);
    /// assert_eq!((quarter.accounts, quarter.upstreams), (75, 2_500));
    /// ```
    pub fn with_services(services: usize) -> Self {
        let scaled = |whole: usize| (whole * services / TARGET_SIZE.services).max(1);
        Self {
            accounts: scaled(TARGET_SIZE.accounts),
            services,
            upstreams: scaled(TARGET_SIZE.upstreams),
        }
    }

    /// Specs of all accounts at version 1, as the settings parser would return them.
    ///
    /// ```
    /// let size = loadgen::world::DeploymentSize { accounts: 2, services: 4, upstreams: 10 };
    /// let accounts = size.accounts();
    /// assert_eq!(accounts.iter().map(|account| account.services.len()).sum::<usize>(), 4);
    /// ```
    pub fn accounts(&self) -> Vec<AccountSpec> {
        (0..self.accounts).map(|account| self.account(account)).collect()
    }

    /// The platform's list of instances as JSON, with the agent of each upstream.
    ///
    /// ```
    /// let size = loadgen::world::DeploymentSize { accounts: 1, services: 2, upstreams: 4 };
    /// assert_eq!(size.instances_json().matches("agent-").count(), 4);
    /// ```
    pub fn instances_json(&self) -> String {
        let entry = |index: usize| {
            let (service, spec) = (index % self.services, upstream(index));
            serde_json::json!({
                "name": format!("agent-{index}"), "kind": "agent",
                "account": account_name(service % self.accounts),
                "service": format!("service-{service}"), "upstream": spec.name,
                "data_address": spec.agent_address, "control_address": spec.control_address,
                "zone": spec.zone, "region": format!("region-{}", index % REGIONS),
                "state": "live",
            })
        };
        let entries: Vec<_> = (0..self.upstreams).map(entry).collect();
        serde_json::json!({ "instances": entries }).to_string()
    }

    fn account(&self, account: usize) -> AccountSpec {
        let services = (account..self.services).step_by(self.accounts);
        AccountSpec {
            name: account_name(account).into(),
            version: Version(1),
            services: services.map(|service| self.service(account, service)).collect(),
        }
    }

    fn service(&self, account: usize, service: usize) -> ServiceSpec {
        let upstreams = (service..self.upstreams).step_by(self.services);
        let address = service_address(account, service / self.accounts);
        let endpoint =
            Endpoint { address: address.into(), port: SERVICE_PORT, transport: Transport::Tcp };
        ServiceSpec {
            name: format!("service-{service}").into(),
            endpoints: vec![endpoint],
            when_in_doubt: WhenInDoubt::Admit,
            zone_spill_percent: 25,
            upstreams: upstreams.map(upstream).collect(),
        }
    }
}

/// Address of the `index`-th service of an account.
///
/// ```
/// assert_eq!(loadgen::world::service_address(257, 2).to_string(), "10.1.1.3");
/// ```
pub fn service_address(account: usize, index: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, (account / 256) as u8, (account % 256) as u8, index as u8 + 1)
}

/// Name of an account.
///
/// ```
/// assert_eq!(loadgen::world::account_name(7), "account-007");
/// ```
pub fn account_name(account: usize) -> String {
    format!("account-{account:03}")
}

/// The root document, which assigns each account its prefix.
///
/// ```
/// let yaml = loadgen::world::root_yaml(2);
/// assert_eq!(settings::root::parse(&yaml).unwrap().accounts.len(), 2);
/// ```
pub fn root_yaml(accounts: usize) -> String {
    let mut yaml = String::from("version: 1\naccounts:\n");
    for account in 0..accounts {
        let (name, base) = (account_name(account), service_address(account, 0));
        let [a, b, c, _] = base.octets();
        // Writing to a `String` cannot fail.
        let _ = writeln!(yaml, "  - name: {name}\n    prefixes: [\"{a}.{b}.{c}.0/24\"]");
    }
    yaml
}

/// The subtree of an account as YAML.
///
/// ```
/// let size = loadgen::world::DeploymentSize { accounts: 1, services: 2, upstreams: 4 };
/// let yaml = loadgen::world::account_yaml(&size.accounts()[0]);
/// let root = settings::root::parse(&loadgen::world::root_yaml(1)).unwrap();
/// assert_eq!(settings::account::parse(&yaml, &root, "account-000").unwrap().services.len(), 2);
/// ```
pub fn account_yaml(account: &AccountSpec) -> String {
    let mut yaml =
        format!("account: {}\nversion: {}\nservices:\n", account.name, account.version.0);
    for service in &account.services {
        write_service_yaml(&mut yaml, service);
    }
    yaml
}

fn write_service_yaml(yaml: &mut String, service: &ServiceSpec) {
    let when_in_doubt = match service.when_in_doubt {
        WhenInDoubt::Admit => "admit",
        WhenInDoubt::Refuse => "refuse",
    };
    let endpoints: Vec<String> =
        service.endpoints.iter().map(|it| format!("\"{}:{}/tcp\"", it.address, it.port)).collect();
    let _ = write!(
        yaml,
        "  - name: {}\n    addresses: [{}]\n    when_in_doubt: {when_in_doubt}\n    \
         zone_spill_percent: {}\n    upstreams:\n",
        service.name,
        endpoints.join(", "),
        service.zone_spill_percent,
    );
    for upstream in &service.upstreams {
        write_upstream_yaml(yaml, upstream);
    }
}

fn write_upstream_yaml(yaml: &mut String, upstream: &UpstreamSpec) {
    let _ = write!(
        yaml,
        "      - name: {}\n        zone: {}\n        weight: {}\n        max_flows: {}\n        \
         agent_address: \"{}\"\n        control_address: \"{}\"\n        address: \"{}\"\n        \
         state: active\n        since: {}\n",
        upstream.name,
        upstream.zone,
        upstream.weight,
        upstream.max_flows,
        upstream.agent_address,
        upstream.control_address,
        upstream.address,
        upstream.since.0,
    );
}

/// The upstream with this index; its addresses lie in 127.64.0.0/10 and are unique.
fn upstream(index: usize) -> UpstreamSpec {
    let socket_address = |port: u16| -> SocketAddr {
        let [high, low] = (index as u16).to_be_bytes();
        SocketAddr::from((Ipv4Addr::new(127, 64, high, low), port))
    };
    UpstreamSpec {
        name: format!("upstream-{index}").into(),
        zone: format!("zone-{}", index % ZONES).into(),
        weight: 100,
        max_flows: 60_000,
        agent_address: socket_address(6_080),
        control_address: socket_address(9_080),
        address: socket_address(6_081),
        state: UpstreamState::Active,
        since: Version(1),
        retired: None,
    }
}
