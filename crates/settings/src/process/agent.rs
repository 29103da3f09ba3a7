//! Settings of one agent process.

use std::net::SocketAddr;
use std::sync::{Arc, LazyLock};

use super::shared::{self, Key};
use crate::document::{self, Cursor, Schema};
use crate::fault::Fault;
use crate::fields;
use crate::generated::agent::AgentDocument;

static SCHEMA: LazyLock<Schema> =
    LazyLock::new(|| Schema::from_json(include_str!("../../../../schema/agent.json")));

/// Checked settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Client account of the upstream.
    pub account: Arc<str>,
    /// Service of the upstream.
    pub service: Arc<str>,
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// Address where the upstream receives plain GUE packets.
    pub upstream_address: SocketAddr,
    /// Address of the upstream's status endpoint.
    pub upstream_status_address: SocketAddr,
    /// Address of the gateway through which refusals reach callers.
    pub gateway_address: SocketAddr,
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
    /// Keys of the account, one or two; the first one signs.
    pub keys: Vec<Key>,
    /// Key of the flow hash.
    pub flow_key: [u8; 16],
    /// Number of threads that receive packets.
    pub receive_threads: usize,
    /// Maximum time from the termination signal to the exit, in milliseconds.
    pub shutdown_grace_ms: u64,
}

/// Parses and checks the settings file of an agent; reports only the first fault.
///
/// ```
/// let fault = settings::process::agent::parse("instance: x\n").unwrap_err();
/// assert_eq!(fault.code, settings::codes::MISSING_FIELD);
/// ```
pub fn parse(yaml: &str) -> Result<AgentSettings, Fault> {
    shared::first_fault(document::parse(yaml, &SCHEMA, check))
}

fn check(raw: &AgentDocument, at: &Cursor<'_>, faults: &mut Vec<Fault>) -> AgentSettings {
    let mut name = |text: &str, field: &str| fields::name(text, &at.field(field), faults);
    let instance = name(&raw.instance, "instance");
    let account = name(&raw.account, "account");
    let service = name(&raw.service, "service");
    let upstream = name(&raw.upstream, "upstream");
    let zone = name(&raw.zone, "zone");
    let region = name(&raw.region, "region");
    let mut address = |text: &str, field: &str| fields::address(text, &at.field(field), faults);
    AgentSettings {
        instance,
        zone,
        region,
        account,
        service,
        upstream,
        upstream_address: address(&raw.upstream_address, "upstream_address"),
        upstream_status_address: address(&raw.upstream_status_address, "upstream_status_address"),
        gateway_address: address(&raw.gateway_address, "gateway_address"),
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
