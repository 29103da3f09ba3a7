//! State of an agent as reported to operators.

use super::Agent;
use super::flows::FlowState;
use super::peers::Peer;
use super::redirects::Redirect;
use crate::keys::{BucketIndex, FlowId, UpstreamId, Version};
use crate::rank;
use crate::time::Millis;

/// Sizes of the tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stats {
    /// Open flows of the upstream.
    pub open_flows: usize,
    /// Flows that are closing.
    pub closing_flows: usize,
    /// Openings after which the caller has sent no further packet yet.
    pub unanswered: usize,
    /// Redirects to other agents.
    pub redirects: usize,
    /// Recorded claims.
    pub claims: usize,
    /// Claims that wait for witnesses.
    pub pending_claims: usize,
    /// Lookups that wait for answers.
    pub lookups: usize,
    /// Flow notes not yet acknowledged.
    pub unannounced: usize,
    /// Peers that are suspected to be down.
    pub suspected_peers: usize,
    /// Settings version in force.
    pub version: Version,
    /// Whether the agent may hold flows of a previous incarnation that it does not know.
    pub may_hold_unknown_flows: bool,
}

/// Location of a flow as known to one agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowLocation {
    /// At the local upstream.
    Local(FlowState),
    /// At the upstream of another agent.
    Remote(Redirect),
    /// Not known. A packet would lead to a lookup.
    Unknown,
}

/// Whether an agent can be the home of a bucket, as known to another agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentStatus {
    /// It can be home.
    Up,
    /// It is suspected to be down, because it does not respond.
    Suspected,
    /// It has announced that it is leaving.
    Leaving,
}

/// Explanation of how packets of a flow are routed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explanation {
    /// Bucket of the flow.
    pub bucket: BucketIndex,
    /// Agents of the bucket from first to last rank.
    pub ranking: Vec<(UpstreamId, AgentStatus)>,
    /// Home as known to this agent.
    pub home: Option<UpstreamId>,
    /// Location of the flow.
    pub location: FlowLocation,
}

impl Agent {
    /// Number of flows that this agent holds for its upstream, excluding closing ones.
    pub fn open_flows(&self) -> usize {
        self.flows.open()
    }

    /// Flows of the upstream in any order, including closing ones.
    pub fn flows(&self) -> impl Iterator<Item = (FlowId, FlowState)> + '_ {
        self.flows.iter().map(|(id, flow)| (id, flow.state))
    }

    /// Redirects in any order. Some of them may have expired.
    pub fn redirects(&self) -> impl Iterator<Item = (FlowId, Redirect)> + '_ {
        self.redirects.iter().map(|(id, redirect)| (id, *redirect))
    }

    /// Settings version in force, or zero before any settings list the service.
    pub fn version(&self) -> Version {
        self.settings.version
    }

    /// Whether this agent's upstream currently accepts openings.
    pub fn is_accepting(&mut self, now: Millis) -> bool {
        self.accepts_openings(now)
    }

    /// Whether all announcements have been acknowledged and no peer is still reading the records of
    /// claims, so that a leaving agent may exit.
    pub fn is_handed_over(&self) -> bool {
        self.is_all_acknowledged() && self.is_read()
    }

    /// Sizes of the tables.
    pub fn stats(&self, now: Millis) -> Stats {
        Stats {
            open_flows: self.flows.open(),
            closing_flows: self.flows.closing(),
            unanswered: self.flows.unanswered(),
            redirects: self.redirects.len(),
            claims: self.claims.len(),
            pending_claims: self.pending.len(),
            lookups: self.lookups.len(),
            unannounced: self.peers.iter().map(|(_, peer)| peer.outbox.len()).sum(),
            suspected_peers: self.peers.iter().filter(|(_, peer)| peer.suspected).count(),
            version: self.settings.version,
            may_hold_unknown_flows: self.may_hold_unknown_flows(now),
        }
    }

    /// Explains how packets of the flow are routed.
    pub fn explain(&self, now: Millis, flow: FlowId) -> Explanation {
        let bucket = rank::bucket_of(flow);
        let here = self.flows.get(flow).map(|flow| FlowLocation::Local(flow.state));
        let redirect = self.redirects.get(now, flow).map(|known| FlowLocation::Remote(*known));
        Explanation {
            bucket,
            ranking: self.ranking(bucket).map(|id| (id, self.agent_status(id))).collect(),
            home: self.home(bucket),
            location: here.or(redirect).unwrap_or(FlowLocation::Unknown),
        }
    }

    fn agent_status(&self, upstream: UpstreamId) -> AgentStatus {
        if self.is_up(upstream) {
            return AgentStatus::Up;
        }
        let has_announced = self.peers.get(upstream).is_some_and(Peer::is_leaving);
        let leaving = has_announced || upstream == self.config.upstream;
        if leaving { AgentStatus::Leaving } else { AgentStatus::Suspected }
    }
}
