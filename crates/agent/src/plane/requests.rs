//! What other threads ask of the data thread.

use std::sync::mpsc;

use decision::agent::{Event, Explanation, FlowLocation, FlowState};
use decision::keys::{FlowId, UpstreamId, Version};
use decision::time::Millis;

use super::DataPlane;

/// Requests taken in one batch, so that a burst of them does not hold up packets.
const REQUESTS_PER_BATCH: usize = 16;

/// A request to the data thread.
pub(crate) enum Request {
    /// An event for the decision core.
    Event(Event),
    /// A list of flows; the answer is dropped if nobody waits for it any more.
    Flows(FlowQuery, mpsc::SyncSender<FlowList>),
    /// Why packets of a flow go where they go; the answer is dropped likewise.
    Explain(FlowId, mpsc::SyncSender<(Version, Explanation)>),
}

/// Which flows are wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FlowQuery {
    /// So many, in any order.
    Limit(usize),
    /// This one.
    ById(FlowId),
}

/// Flows as the decision core knows them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FlowList {
    /// Open flows in all.
    pub(crate) open: usize,
    /// Those wanted.
    pub(crate) entries: Vec<FlowEntry>,
}

/// One flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FlowEntry {
    /// Its id.
    pub(crate) flow: FlowId,
    /// `open`, `finishing`, `reset`, `elsewhere` or `unknown`.
    pub(crate) state: &'static str,
    /// Agent that holds it, if another one.
    pub(crate) holder: Option<UpstreamId>,
}

impl DataPlane {
    /// Takes in what other threads ask for.
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
                    // The asker may have timed out; there is nobody to tell then.
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

/// A flow's state for people and programs.
pub(crate) fn state_name(state: FlowState) -> &'static str {
    match state {
        FlowState::Open => "open",
        FlowState::Finishing => "finishing",
        FlowState::Reset => "reset",
    }
}
