//! Requests from other threads to the data thread.

use std::sync::mpsc;

use decision::agent::{Event, Explanation, FlowLocation, FlowState};
use decision::keys::{FlowId, UpstreamId, Version};
use decision::time::Millis;

use super::DataPlane;

/// Maximum number of requests handled per batch of packets, so that a burst of requests does not
/// delay packets.
const REQUESTS_PER_BATCH: usize = 16;

/// A request to the data thread.
pub(crate) enum Request {
    /// An event for the decision core.
    Event(Event),
    /// Lists flows. The reply is dropped if the requester no longer waits for it.
    Flows(FlowQuery, mpsc::SyncSender<FlowList>),
    /// Explains how packets of a flow are routed. The reply is dropped likewise.
    Explain(FlowId, mpsc::SyncSender<(Version, Explanation)>),
}

/// Selects flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FlowQuery {
    /// At most this many local flows, in any order.
    Limit(usize),
    /// The flow with this id.
    ById(FlowId),
}

/// Reply to [`Request::Flows`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FlowList {
    /// Total number of open flows.
    pub(crate) open: usize,
    /// The flows that the query selects.
    pub(crate) entries: Vec<FlowEntry>,
}

/// One flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FlowEntry {
    pub(crate) flow: FlowId,
    /// `open`, `finishing`, `reset`, `elsewhere` or `unknown`.
    pub(crate) state: &'static str,
    /// Agent that holds the flow, if it is another one.
    pub(crate) holder: Option<UpstreamId>,
}

impl DataPlane {
    /// Handles pending requests from other threads.
    pub(super) fn handle_requests(&mut self, now: Millis) {
        for _ in 0..REQUESTS_PER_BATCH {
            let Ok(request) = self.requests.try_recv() else { return };
            match request {
                Request::Event(event) => {
                    if matches!(event, Event::Leave) {
                        self.leave.begin(now);
                    }
                    self.agent.handle(now, event, &mut self.actions);
                    self.run_actions();
                }
                Request::Flows(query, reply) => {
                    // Fails if the requester has timed out; the reply is then no longer needed.
                    let _ = reply.try_send(self.list_flows(now, query));
                }
                Request::Explain(flow, reply) => {
                    let explanation = self.agent.explain(now, flow);
                    let _ = reply.try_send((self.agent.version(), explanation));
                }
            }
        }
    }

    fn list_flows(&self, now: Millis, query: FlowQuery) -> FlowList {
        let entries = match query {
            FlowQuery::ById(flow) => vec![self.find_flow(now, flow)],
            FlowQuery::Limit(count) => {
                let local = self.agent.flows().map(|(flow, state)| local_entry(flow, state));
                local.take(count).collect()
            }
        };
        FlowList { open: self.agent.open_flows(), entries }
    }

    fn find_flow(&self, now: Millis, flow: FlowId) -> FlowEntry {
        match self.agent.explain(now, flow).location {
            FlowLocation::Local(state) => local_entry(flow, state),
            FlowLocation::Remote(redirect) => {
                FlowEntry { flow, state: "elsewhere", holder: Some(redirect.holder) }
            }
            FlowLocation::Unknown => FlowEntry { flow, state: "unknown", holder: None },
        }
    }
}

fn local_entry(flow: FlowId, state: FlowState) -> FlowEntry {
    FlowEntry { flow, state: state_name(state), holder: None }
}

/// Name of a flow's state in HTTP responses.
pub(crate) fn state_name(state: FlowState) -> &'static str {
    match state {
        FlowState::Open => "open",
        FlowState::Finishing => "finishing",
        FlowState::Reset => "reset",
    }
}
