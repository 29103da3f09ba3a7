//! What operators see of an agent.

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
    /// Openings that their callers have not followed up yet.
    pub unanswered: usize,
    /// Redirects to other agents.
    pub redirects: usize,
    /// Recorded claims.
    pub claims: usize,
    /// Claims that wait for witnesses.
    pub pending_claims: usize,
    /// Lookups that wait for answers.
    pub lookups: usize,
    /// Announcements not yet acknowledged.
    pub unannounced: usize,
    /// Peers that are believed to be silent.
    pub suspected_peers: usize,
    /// Settings version in force.
    pub version: Version,
    /// Whether the agent may hold flows of an earlier life that it does not know.
    pub unsure: bool,
}

/// Where a flow is, as one agent knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Whereabouts {
    /// At the own upstream.
    Here(FlowState),
    /// At another agent.
    At(Redirect),
    /// Not known; a packet would lead to a lookup.
    Unknown,
}

/// Whether an agent can be the home of a bucket, as another one sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It can.
    Up,
    /// It is suspected, because nothing was heard from it.
    Silent,
    /// It has said that it leaves.
    Leaving,
}

/// Why a packet of a flow goes where it goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explanation {
    /// Bucket of the flow.
    pub bucket: BucketIndex,
    /// Agents of the bucket from first to last rank.
    pub ranking: Vec<(UpstreamId, Standing)>,
    /// Home as this agent sees it.
    pub home: Option<UpstreamId>,
    /// Where the flow is.
    pub whereabouts: Whereabouts,
}

impl Agent {
    /// Flows that this agent holds for its upstream, closing ones left out.
    pub fn open_flows(&self) -> usize {
        self.flows.open()
    }

    /// Flows of the upstream in any order, closing ones included.
    pub fn flows(&self) -> impl Iterator<Item = (FlowId, FlowState)> + '_ {
        self.flows.iter().map(|(id, flow)| (id, flow.state))
    }

    /// Redirects in any order, some of them perhaps expired.
    pub fn redirects(&self) -> impl Iterator<Item = (FlowId, Redirect)> + '_ {
        self.redirects.iter().map(|(id, redirect)| (id, *redirect))
    }

    /// Settings version in force, zero before any lists the service.
    pub fn version(&self) -> Version {
        self.settings.version
    }

    /// Whether new openings go to this agent's upstream for now.
    pub fn is_accepting(&mut self, now: Millis) -> bool {
        self.accepts_openings(now)
    }

    /// Whether every announcement has been acknowledged: a leaving agent may then end.
    pub fn is_handed_over(&self) -> bool {
        self.is_all_acknowledged()
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
            unsure: self.may_hold_unknown_flows(now),
        }
    }

    /// Why a packet of the flow goes where it goes.
    pub fn explain(&self, now: Millis, flow: FlowId) -> Explanation {
        let bucket = rank::bucket_of(flow);
        let here = self.flows.get(flow).map(|flow| Whereabouts::Here(flow.state));
        let redirect = self.redirects.get(now, flow).map(|known| Whereabouts::At(*known));
        Explanation {
            bucket,
            ranking: self.ranking(bucket).map(|id| (id, self.standing(id))).collect(),
            home: self.home(bucket),
            whereabouts: here.or(redirect).unwrap_or(Whereabouts::Unknown),
        }
    }
    fn standing(&self, upstream: UpstreamId) -> Standing {
        if self.is_up(upstream) {
            return Standing::Up;
        }
        let says_so = self.peers.get(upstream).is_some_and(Peer::is_leaving);
        let leaving = says_so || upstream == self.config.upstream;
        if leaving { Standing::Leaving } else { Standing::Silent }
    }
}
