//! Status that an upstream reports, and the switches that change its behaviour.

use serde::{Deserialize, Serialize};

/// Body of `GET /status`. [`Switches::lie`] can freeze or falsify it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Able to serve requests.
    pub healthy: bool,
    /// Draining: should get no new requests.
    pub draining: bool,
    /// Refuses requests for now.
    pub shedding: bool,
    /// Number of open connections.
    pub open_flows: u32,
    /// Milliseconds since the start.
    pub age_ms: u64,
}

/// Body of `PUT /admin/switches`: the behaviour of the upstream until the next such call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switches {
    /// Reports that it is draining.
    pub draining: bool,
    /// Refuses every request without running it.
    pub shedding: bool,
    /// Runs each request on a connection this much later.
    pub slow_ms: u64,
    /// How the reported status is wrong.
    pub lie: Lie,
}

/// How the reported status is wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lie {
    /// The status is true.
    #[default]
    None,
    /// The status stays as it is now.
    Frozen,
    /// The status shows this number of open flows.
    OpenFlows(u32),
    /// The status is unhealthy, although requests are served normally.
    Unhealthy,
}

/// Counters, body of `GET /admin/stats`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Packets received.
    pub packets_received: u64,
    /// Packets to an address that doesn't belong to this service.
    pub packets_misdelivered: u64,
    /// Packets that are malformed or of a kind that no caller sends.
    pub packets_malformed: u64,
    /// Segments other than openings whose connection is unknown.
    pub segments_unknown: u64,
    /// Reset segments sent.
    pub resets_sent: u64,
    /// Connections currently open.
    pub open_connections: u64,
}
