//! What an upstream says about itself, and how it is told to behave.

use serde::{Deserialize, Serialize};

/// Body of `GET /status`. It may lag, freeze or lie.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Fit to serve.
    pub healthy: bool,
    /// Wants no new work.
    pub draining: bool,
    /// Refuses work for now.
    pub shedding: bool,
    /// Connections open.
    pub open_flows: u32,
    /// Milliseconds since the start.
    pub age_ms: u64,
}

/// Body of `PUT /admin/switches`: how the upstream behaves until told otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switches {
    /// Says that it drains.
    pub draining: bool,
    /// Refuses every request without running it.
    pub shedding: bool,
    /// Answers this much later.
    pub slow_ms: u64,
    /// What is wrong with the status.
    pub lie: Lie,
}

/// What is wrong with the status.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lie {
    /// Nothing.
    #[default]
    None,
    /// It never changes again.
    Frozen,
    /// It shows this number of open flows.
    OpenFlows(u32),
    /// It calls itself unhealthy, and serves well.
    Unhealthy,
}

/// Counters, body of `GET /admin/stats`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Packets taken in.
    pub packets_received: u64,
    /// Packets to an address that is not of this service.
    pub packets_misdelivered: u64,
    /// Packets that no caller sends.
    pub packets_malformed: u64,
    /// Segments in the middle of a connection that does not exist here.
    pub segments_unknown: u64,
    /// Segments with RST that were sent.
    pub resets_sent: u64,
    /// Connections open now.
    pub open_connections: u64,
}
