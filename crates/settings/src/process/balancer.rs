//! Settings of one balancer process.

use std::net::SocketAddr;
use std::sync::{Arc, LazyLock};

use super::shared::{self, Key};
use crate::document::{self, Cursor, Schema};
use crate::fault::Fault;
use crate::fields;
use crate::generated::balancer::BalancerDocument;

static SCHEMA: LazyLock<Schema> =
    LazyLock::new(|| Schema::from_json(include_str!("../../../../schema/balancer.json")));

/// Checked settings of a balancer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BalancerSettings {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Availability zone of the instance.
    pub zone: Arc<str>,
    /// Region of that availability zone.
    pub region: Arc<str>,
    /// Address that receives encapsulated packets.
    pub data_address: SocketAddr,
    /// Address of the HTTP endpoint.
    pub control_address: SocketAddr,
    /// Address of the platform.
    pub platform_address: SocketAddr,
    /// Control addresses of the peers that are asked for settings at the start.
    pub peers: Vec<SocketAddr>,
    /// Master keys of the fleet, one or two; the first one signs.
    pub keys: Vec<Key>,
    /// Key of the flow hash.
    pub flow_key: [u8; 16],
    /// Number of threads that receive packets.
    pub receive_threads: usize,
    /// Maximum time from the termination signal to the exit, in milliseconds.
    pub shutdown_grace_ms: u64,
}

/// Parses and checks the settings file of a balancer; reports only the first fault.
///
/// ```
/// let fault = settings::process::balancer::parse("instance: x\n").unwrap_err();
/// assert_eq!(fault.code, settings::codes::MISSING_FIELD);
/// ```
pub fn parse(yaml: &str) -> Result<BalancerSettings, Fault> {
    shared::first_fault(document::parse(yaml, &SCHEMA, check))
}

fn check(raw: &BalancerDocument, at: &Cursor<'_>, faults: &mut Vec<Fault>) -> BalancerSettings {
    let mut name = |text: &str, field: &str| fields::name(text, &at.field(field), faults);
    let instance = name(&raw.instance, "instance");
    let zone = name(&raw.zone, "zone");
    let region = name(&raw.region, "region");
    let mut address = |text: &str, field: &str| fields::address(text, &at.field(field), faults);
    BalancerSettings {
        instance,
        zone,
        region,
        data_address: address(&raw.data_address, "data_address"),
        control_address: address(&raw.control_address, "control_address"),
        platform_address: address(&raw.platform_address, "platform_address"),
        peers: shared::peers(&raw.peers, &at.field("peers"), faults),
        keys: shared::keys(
            raw.keys.iter().map(|key| (key.id, key.secret_hex.as_str())),
            &at.field("keys"),
            faults,
        ),
        flow_key: fields::hex(&raw.flow_key_hex, &at.field("flow_key_hex"), faults),
        receive_threads: raw.receive_threads.get() as usize,
        shutdown_grace_ms: raw.shutdown_grace_ms.into(),
    }
}
