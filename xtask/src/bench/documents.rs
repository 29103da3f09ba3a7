//! Settings of the bench: the settings tree of target size, one more account for the agent, and the
//! settings files of the two daemons.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use decision::keys::{AccountId, Version};
use decision::view::{
    AccountSpec, Endpoint, ServiceSpec, Transport, UpstreamSpec, UpstreamState, WhenInDoubt,
};
use loadgen::world::{TARGET_SIZE, root_yaml};
use wire::sealed::{KeyId, derive_account_key};

pub(super) const MASTER_KEY: [u8; 32] = [0x5a; 32];
pub(super) const FLOW_KEY: [u8; 16] = [0x42; 16];
pub(super) const KEY_ID: KeyId = KeyId(1);
/// Client account of the agent.
pub(super) const ACCOUNT: &str = "bench";
/// Service of the agent.
pub(super) const SERVICE: &str = "feed";
/// Upstream of the agent.
const UPSTREAM: &str = "feed-1";
/// Address of the agent's service.
pub(super) const SERVICE_ADDRESS: SocketAddrV4 =
    SocketAddrV4::new(Ipv4Addr::new(10, 200, 0, 1), 443);

pub(super) const PLATFORM_ADDRESS: SocketAddr = loopback(1, 8_000);
pub(super) const RELAY_ADDRESS: SocketAddr = loopback(2, 6_080);
pub(super) const BALANCER_ADDRESS: SocketAddr = loopback(3, 6_080);
pub(super) const AGENT_ADDRESS: SocketAddr = loopback(4, 6_080);
pub(super) const UPSTREAM_ADDRESS: SocketAddr = loopback(5, 6_080);
const GATEWAY_ADDRESS: SocketAddr = loopback(6, 6_081);
const CONTROL_PORT: u16 = 9_080;

const fn loopback(host: u8, port: u16) -> SocketAddr {
    SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::new(127, 90, 0, host), port))
}

/// HTTP endpoint of the daemon with this data address.
pub(super) fn control_address(data: SocketAddr) -> SocketAddr {
    SocketAddr::new(data.ip(), CONTROL_PORT)
}

/// Root document of target size, with the bench's account added.
pub(super) fn root() -> String {
    root_yaml(TARGET_SIZE.accounts) + "  - name: bench\n    prefixes: [\"10.200.0.0/24\"]\n"
}

/// Specification of the agent's account.
pub(super) fn account() -> AccountSpec {
    let endpoint = Endpoint {
        address: (*SERVICE_ADDRESS.ip()).into(),
        port: SERVICE_ADDRESS.port(),
        transport: Transport::Tcp,
    };
    let upstream = UpstreamSpec {
        name: UPSTREAM.into(),
        zone: "zone-0".into(),
        weight: 100,
        max_flows: 60_000,
        agent_address: AGENT_ADDRESS,
        control_address: control_address(AGENT_ADDRESS),
        address: UPSTREAM_ADDRESS,
        state: UpstreamState::Active,
        since: Version(1),
        retired: None,
    };
    let service = ServiceSpec {
        name: SERVICE.into(),
        endpoints: vec![endpoint],
        when_in_doubt: WhenInDoubt::Admit,
        zone_spill_percent: 25,
        upstreams: vec![upstream],
    };
    AccountSpec { name: ACCOUNT.into(), version: Version(1), services: vec![service] }
}

/// Settings file of the balancer.
pub(super) fn balancer() -> String {
    format!("instance: bal-1\n{}{}", common_settings(BALANCER_ADDRESS), keys_yaml(&MASTER_KEY))
}

/// Settings file of the agent.
pub(super) fn agent() -> String {
    let secret = derive_account_key(&MASTER_KEY, KEY_ID, AccountId::of(ACCOUNT));
    let agent_settings = format!(
        "instance: agent-1\naccount: {ACCOUNT}\nservice: {SERVICE}\nupstream: {UPSTREAM}\n\
         upstream_address: \"{UPSTREAM_ADDRESS}\"\nupstream_status_address: \"{}\"\n\
         gateway_address: \"{GATEWAY_ADDRESS}\"\n",
        loopback(5, 9_000),
    );
    agent_settings + &common_settings(AGENT_ADDRESS) + &keys_yaml(&secret)
}

fn common_settings(data: SocketAddr) -> String {
    format!(
        "zone: zone-0\nregion: region-0\ndata_address: \"{data}\"\ncontrol_address: \"{}\"\n\
         platform_address: \"{PLATFORM_ADDRESS}\"\npeers: []\nflow_key_hex: \"{}\"\nreceive_threads: 1\n\
         shutdown_grace_ms: 0\n",
        control_address(data),
        hex(&FLOW_KEY),
    )
}

fn keys_yaml(secret: &[u8]) -> String {
    format!("keys:\n  - id: {}\n    secret_hex: \"{}\"\n", KEY_ID.0, hex(secret))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
