//! Answers of the daemons. Only the fields that the commands read are declared.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Answer of `/status`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Status {
    pub(crate) instance: String,
    /// `balancer` or `agent`.
    pub(crate) kind: String,
    pub(crate) ready: bool,
    pub(crate) settings: Vec<AccountVersion>,
    pub(crate) counters: BTreeMap<String, u64>,
}

/// Version of an account's settings that an instance has in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AccountVersion {
    pub(crate) account: String,
    pub(crate) version: u64,
}

/// Answer of an agent's `/flows`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Flows {
    pub(crate) instance: String,
    /// Number of open flows; closing ones are not counted.
    pub(crate) open: usize,
    pub(crate) flows: Vec<Flow>,
}

/// Answer of a balancer's `/zones`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Zones {
    /// Era of the configuration service; zero if it states none.
    #[serde(default)]
    pub(crate) era: u64,
    /// Revision of the configuration service that `closed` is taken from.
    pub(crate) revision: u64,
    /// Names of the availability zones that take no new flows, in order.
    pub(crate) closed: Vec<String>,
}

impl Zones {
    /// Era and revision, or the revision alone without an era.
    pub(crate) fn revision_text(&self) -> String {
        match self.era {
            0 => self.revision.to_string(),
            era => format!("{era}.{}", self.revision),
        }
    }
}

/// One flow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Flow {
    /// Hexadecimal id.
    pub(crate) flow: String,
    /// `open`, `finishing` or `reset`.
    pub(crate) state: String,
}

/// One event of `/timeline`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Event {
    /// Hybrid logical time.
    pub(crate) hlc: u64,
    pub(crate) instance: String,
    /// Empty if the event does not belong to an account.
    pub(crate) account: String,
    pub(crate) kind: String,
    pub(crate) fields: Map<String, Value>,
}

/// Answer of an agent's `/explain`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AgentExplained {
    pub(crate) instance: String,
    pub(crate) version: u64,
    pub(crate) bucket: u16,
    pub(crate) ranking: Vec<Rank>,
    pub(crate) home: Option<String>,
    pub(crate) place: FlowLocation,
}

/// One rank of a bucket, with the state that an agent knows of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Rank {
    /// Hexadecimal id.
    pub(crate) upstream: String,
    /// `up`, `silent`, `leaving` or `unknown`.
    pub(crate) standing: String,
}

/// Where a flow is, as far as an agent knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FlowLocation {
    /// `open`, `finishing`, `reset`, `elsewhere` or `unknown`.
    pub(crate) state: String,
    /// Hexadecimal id of the holder, if it is another agent.
    pub(crate) holder: Option<String>,
    /// How the agent learned of the holder: `found`, `assigned` or `announced`.
    pub(crate) evidence: Option<String>,
}

/// Answer of a balancer's `/explain`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct BalancerExplained {
    pub(crate) instance: String,
    pub(crate) version: u64,
    /// Data address of the agent to which the balancer sends the flow's packets.
    pub(crate) home: Option<std::net::SocketAddr>,
}

impl Event {
    /// A field as text; empty if the event does not have the field.
    pub(crate) fn field(&self, name: &str) -> String {
        match self.fields.get(name) {
            None => String::new(),
            Some(Value::String(text)) => text.clone(),
            Some(other) => other.to_string(),
        }
    }

    /// Time of the event by the instance's clock, in milliseconds since 1970.
    pub(crate) fn wall_ms(&self) -> u64 {
        telemetry::clock::Timestamp(self.hlc).wall_ms()
    }
}
