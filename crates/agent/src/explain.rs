//! Response to `/explain?flow=ID`: how this agent routes packets of a flow, and why.

use std::sync::Arc;

use decision::agent::{AgentStatus, Evidence, Explanation, FlowLocation};
use decision::keys::{UpstreamId, Version};
use serde::Serialize;

use crate::plane::state_name;

/// The response. Ids are hexadecimal.
#[derive(Debug, Serialize)]
pub(crate) struct ExplainResponse {
    instance: Arc<str>,
    /// Settings version of the account; zero until settings list the service.
    version: u64,
    bucket: u16,
    /// Agents of the bucket, from highest to lowest rank.
    ranking: Vec<RankedAgent>,
    home: Option<String>,
    place: FlowPlacement,
}

#[derive(Debug, Serialize)]
struct RankedAgent {
    upstream: String,
    /// `up`, `silent` or `leaving`.
    standing: &'static str,
}

/// Location of the flow.
#[derive(Debug, Serialize)]
struct FlowPlacement {
    /// `open`, `finishing`, `reset`, `elsewhere` or `unknown`.
    state: &'static str,
    holder: Option<String>,
    /// Evidence for a redirect: `found`, `assigned` or `announced`.
    evidence: Option<&'static str>,
}

impl ExplainResponse {
    pub(crate) fn new(instance: Arc<str>, version: Version, explanation: &Explanation) -> Self {
        let rank = |(upstream, standing): &(UpstreamId, AgentStatus)| RankedAgent {
            upstream: hex(*upstream),
            standing: match standing {
                AgentStatus::Up => "up",
                AgentStatus::Suspected => "silent",
                AgentStatus::Leaving => "leaving",
            },
        };
        Self {
            instance,
            version: version.0,
            bucket: explanation.bucket.0,
            ranking: explanation.ranking.iter().map(rank).collect(),
            home: explanation.home.map(hex),
            place: FlowPlacement::from(explanation.location),
        }
    }
}

impl From<FlowLocation> for FlowPlacement {
    fn from(location: FlowLocation) -> Self {
        let (state, redirect) = match location {
            FlowLocation::Local(state) => (state_name(state), None),
            FlowLocation::Remote(redirect) => ("elsewhere", Some(redirect)),
            FlowLocation::Unknown => ("unknown", None),
        };
        let evidence = redirect.map(|redirect| match redirect.evidence {
            Evidence::Found => "found",
            Evidence::Assigned => "assigned",
            Evidence::Announced => "announced",
        });
        Self { state, holder: redirect.map(|redirect| hex(redirect.holder)), evidence }
    }
}

fn hex(id: UpstreamId) -> String {
    format!("{:016x}", id.0)
}
