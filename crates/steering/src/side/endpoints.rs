//! Endpoints of which the upstream may hold flows. Balancers that do not know to which services
//! routes led before their start ask for them.

use std::net::SocketAddrV4;

use crate::flow::Millis;
use crate::history::FLOW_TTL_MS;

/// Maximum number of endpoints that are remembered, and told in one message.
pub const ENDPOINTS_MAX: usize = 128;

/// An endpoint of which the upstream may hold flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeldEndpoint {
    /// Address and port that callers send to.
    pub endpoint: SocketAddrV4,
    /// For how much longer.
    pub left_ms: Millis,
}

/// What an agent tells of its upstream's flows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointReport {
    /// The endpoints that the agent knows, sorted.
    pub held: Vec<HeldEndpoint>,
    /// Whether the upstream holds flows of no other endpoint. An agent that has started beside a
    /// running upstream cannot tell until all flows from before have ended.
    pub is_whole: bool,
}

/// The endpoints on which the upstream has sent packets.
#[derive(Clone, Debug)]
pub(super) struct Endpoints {
    /// When the upstream last sent a packet on each, sorted by endpoint.
    answered: Vec<(SocketAddrV4, Millis)>,
    /// Until when the upstream may hold flows that this process has not seen.
    unseen_until_ms: Millis,
    flow_ttl_ms: Millis,
}

impl Default for Endpoints {
    /// Those of an upstream that has held no flow yet.
    fn default() -> Self {
        Self { answered: Vec::new(), unseen_until_ms: 0, flow_ttl_ms: FLOW_TTL_MS }
    }
}

impl Endpoints {
    /// Notes that the upstream may hold flows that this process has not seen.
    pub(super) fn note_unseen_flows(&mut self, now_ms: Millis) {
        self.unseen_until_ms = now_ms + self.flow_ttl_ms;
    }

    pub(super) fn set_flow_ttl_ms(&mut self, flow_ttl_ms: Millis) {
        self.flow_ttl_ms = flow_ttl_ms;
    }

    /// Age at which a flow may be discarded.
    pub(super) fn flow_ttl_ms(&self) -> Millis {
        self.flow_ttl_ms
    }

    /// Whether the upstream may hold flows that this process has not seen.
    pub(super) fn may_have_unseen_flows(&self, now_ms: Millis) -> bool {
        now_ms < self.unseen_until_ms
    }

    /// Records a packet that the upstream has sent.
    pub(super) fn record_answer(&mut self, now_ms: Millis, endpoint: SocketAddrV4) {
        let find = |answered: &[(SocketAddrV4, Millis)]| {
            answered.binary_search_by_key(&endpoint, |(known, _)| *known)
        };
        if let Ok(index) = find(&self.answered) {
            self.answered[index].1 = now_ms;
            return;
        }
        if self.answered.len() >= ENDPOINTS_MAX {
            let flow_ttl_ms = self.flow_ttl_ms;
            self.answered.retain(|(_, at_ms)| now_ms.saturating_sub(*at_ms) < flow_ttl_ms);
        }
        match find(&self.answered) {
            Err(index) if self.answered.len() < ENDPOINTS_MAX => {
                self.answered.insert(index, (endpoint, now_ms));
            }
            _ => self.note_unseen_flows(now_ms),
        }
    }

    pub(super) fn report(&self, now_ms: Millis) -> EndpointReport {
        let held = |(endpoint, at_ms): &(SocketAddrV4, Millis)| HeldEndpoint {
            endpoint: *endpoint,
            left_ms: (at_ms + self.flow_ttl_ms).saturating_sub(now_ms),
        };
        let held = self.answered.iter().map(held).filter(|held| held.left_ms > 0);
        EndpointReport { held: held.collect(), is_whole: !self.may_have_unseen_flows(now_ms) }
    }
}
