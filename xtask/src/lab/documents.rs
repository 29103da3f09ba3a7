//! Generates the YAML documents of a run: the published settings tree and process settings.

use std::fmt::Write as _;

use decision::keys::AccountId;
use wire::sealed::{KeyId, derive_account_key};

use super::fleet::{Balancer, Fleet, Published, Upstream};
use super::topology::{ACCOUNTS, MAX_FLOWS, Net};

/// Id of the only key in a run.
const KEY_ID: u8 = 1;
/// Maximum time from SIGTERM to the exit.
const SHUTDOWN_GRACE_MS: u64 = 3_000;
/// Load above the zone's mean, in percent, at which openings spill to other zones.
const ZONE_SPILL_PERCENT: u32 = 25;

/// Secrets of one run.
pub(super) struct Secrets {
    master: [u8; 32],
    flow_key_hex: String,
}

impl Secrets {
    /// Derives the secrets from the seed, so that they differ between runs but not for one seed.
    pub(super) fn new(seed: u64) -> Self {
        let mut master = [0x5a; 32];
        master[..8].copy_from_slice(&seed.to_be_bytes());
        let flow_key_hex = hex(&derive_account_key(&master, KeyId(0), AccountId(seed))[..16]);
        Self { master, flow_key_hex }
    }
}

/// The root document.
pub(super) fn root(fleet: &Fleet) -> String {
    let mut yaml = format!("version: {}\naccounts:\n", fleet.root_version);
    for account in &ACCOUNTS {
        let _ =
            writeln!(yaml, "  - name: {}\n    prefixes: [\"{}\"]", account.name, account.prefix);
    }
    yaml
}

/// An account's subtree without any service.
pub(super) fn account_without_services(name: &str, version: u64) -> String {
    format!("account: {name}\nversion: {version}\nservices: []\n")
}

/// An account's subtree.
pub(super) fn account(fleet: &Fleet, account: usize) -> String {
    let plan = &ACCOUNTS[account];
    let version = fleet.versions[account];
    let mut yaml = format!("account: {}\nversion: {version}\nservices:\n", plan.name);
    for (index, service) in plan.services.iter().enumerate() {
        let _ = writeln!(yaml, "  - name: {}\n    addresses:", service.name);
        let _ = writeln!(yaml, "      - \"{}/tcp\"", service.address);
        if let Some(address) = service.datagram_address {
            let _ = writeln!(yaml, "      - \"{address}/udp\"");
        }
        let _ = writeln!(yaml, "    when_in_doubt: {}", service.when_in_doubt);
        let _ = writeln!(yaml, "    zone_spill_percent: {ZONE_SPILL_PERCENT}\n    upstreams:");
        let rows = fleet.upstreams.iter();
        for row in rows.filter(|row| (row.account, row.service) == (account, index)) {
            push_upstream(&mut yaml, row);
        }
    }
    yaml
}

fn push_upstream(yaml: &mut String, row: &Upstream) {
    let state = match row.published {
        Published::Absent => return,
        Published::Active => "active",
        Published::Draining => "draining",
        Published::Retired => "retired",
    };
    let _ = writeln!(yaml, "      - name: {}", row.upstream.name);
    let _ = writeln!(yaml, "        zone: {}\n        weight: {}", row.zone, row.weight);
    let _ = writeln!(yaml, "        max_flows: {MAX_FLOWS}");
    let _ = writeln!(yaml, "        agent_address: \"{}\"", row.agent.endpoints.data);
    let _ = writeln!(yaml, "        control_address: \"{}\"", row.agent.endpoints.control);
    let _ = writeln!(yaml, "        address: \"{}\"", row.upstream.endpoints.data);
    let _ = writeln!(yaml, "        state: {state}\n        since: {}", row.since_version);
    if row.published == Published::Retired {
        let _ = writeln!(yaml, "        retired: {}", row.retired_version);
    }
}

/// Settings of a balancer process.
pub(super) fn balancer(net: Net, fleet: &Fleet, row: &Balancer, secrets: &Secrets) -> String {
    let region = ACCOUNTS[row.account].region;
    let mut yaml = format!("instance: {}\nzone: {}\nregion: {region}\n", row.daemon.name, row.zone);
    let _ = writeln!(yaml, "data_address: \"{}\"", row.daemon.endpoints.data);
    let _ = writeln!(yaml, "control_address: \"{}\"", row.daemon.endpoints.control);
    push_common_settings(&mut yaml, net, fleet, row.daemon.endpoints.control, secrets);
    push_key(&mut yaml, &secrets.master);
    yaml
}

/// Settings of an agent process.
pub(super) fn agent(net: Net, fleet: &Fleet, row: &Upstream, secrets: &Secrets) -> String {
    let plan = row.account_plan();
    let mut yaml = format!("instance: {}\nzone: {}\n", row.agent.name, row.zone);
    let _ = writeln!(yaml, "region: {}\naccount: {}", plan.region, plan.name);
    let _ = writeln!(yaml, "service: {}", row.service_plan().name);
    let _ = writeln!(yaml, "upstream: {}", row.upstream.name);
    let _ = writeln!(yaml, "data_address: \"{}\"", row.agent.endpoints.data);
    let _ = writeln!(yaml, "control_address: \"{}\"", row.agent.endpoints.control);
    let _ = writeln!(yaml, "upstream_address: \"{}\"", row.upstream.endpoints.data);
    let _ = writeln!(yaml, "upstream_status_address: \"{}\"", row.upstream.endpoints.control);
    let _ = writeln!(yaml, "gateway_address: \"{}\"", net.gateway());
    push_common_settings(&mut yaml, net, fleet, row.agent.endpoints.control, secrets);
    let account = AccountId::of(plan.name);
    push_key(&mut yaml, &derive_account_key(&secrets.master, KeyId(KEY_ID), account));
    yaml
}

fn push_common_settings(
    yaml: &mut String,
    net: Net,
    fleet: &Fleet,
    own: std::net::SocketAddr,
    secrets: &Secrets,
) {
    let _ = writeln!(yaml, "platform_address: \"{}\"\npeers:", net.platform());
    for peer in fleet.balancer_controls().into_iter().filter(|peer| *peer != own) {
        let _ = writeln!(yaml, "  - \"{peer}\"");
    }
    let _ = writeln!(yaml, "flow_key_hex: \"{}\"", secrets.flow_key_hex);
    let _ = writeln!(yaml, "receive_threads: 1\nshutdown_grace_ms: {SHUTDOWN_GRACE_MS}");
}

fn push_key(yaml: &mut String, secret: &[u8]) {
    let _ = writeln!(yaml, "keys:\n  - id: {KEY_ID}\n    secret_hex: \"{}\"", hex(secret));
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}
