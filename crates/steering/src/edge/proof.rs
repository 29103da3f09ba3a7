//! When a flow that all listed upstreams have denied counts as lost. Nothing else leads to a reset of
//! an open flow.
//!
//! An upstream that is not listed yet may hold the flow. It was acknowledged before the flow opened,
//! so that a list which was current after the denials contains it.

use std::net::Ipv4Addr;

use super::Edge;
use super::candidates::Sources;
use super::types::{Action, Reason};
use crate::flow::{FlowKey, Millis, Segment};
use crate::view::View;

/// Maximum number of flows that are handled again right after a read. All others are when their
/// callers retransmit.
const AWAITING_READ_MAX: usize = 4_096;

impl Edge {
    /// Resets a flow that all listed upstreams have denied, if that proves that it is lost. If the list
    /// has to be read first, the packet is kept, and handled again as soon as the answer is there.
    pub(super) fn reset_if_proven_lost(
        &mut self,
        now_ms: Millis,
        view: &View,
        segment: &Segment,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
        let flow = segment.flow;
        let sources = Sources { now_ms, view, survey: &self.survey };
        let has_candidates = !sources.candidates(flow).is_empty();
        let is_excluded = has_candidates && self.is_excluded_elsewhere(now_ms, view, flow);
        // The flow was open when it was first denied everywhere. If that was before a pause of this
        // process, it may have been opened anew since.
        let absent_since_ms = self.flows.entry(flow, now_ms).absent_since_ms(now_ms);
        let open_ms = absent_since_ms.max(self.resumed_ms);
        if is_excluded && self.trust.is_whole_since(open_ms) {
            self.flows.expire_soon(flow, now_ms);
            self.pending.remove(flow);
            actions.push(Action::Reset { reason: Reason::Lost });
            return;
        }
        if is_excluded {
            self.await_read(now_ms, open_ms, segment, bytes);
        }
        actions.push(Action::Drop { reason: Reason::Unknown });
    }

    /// Asks for a read of the configuration service that shows every upstream which may hold a flow
    /// that was open at `open_ms`, and keeps the flow's packet. While running upstreams may be missing
    /// from the list, a read shows nothing.
    fn await_read(&mut self, now_ms: Millis, open_ms: Millis, segment: &Segment, bytes: &[u8]) {
        let complete_from_ms = self.trust.complete_from_ms;
        if now_ms < complete_from_ms {
            return;
        }
        self.read_wanted_ms = self.read_wanted_ms.max(Some(open_ms.max(complete_from_ms)));
        if self.awaiting_read.len() < AWAITING_READ_MAX {
            self.awaiting_read.push(segment.flow);
            self.pending.insert(now_ms, segment, bytes);
        }
    }

    /// Whether the flow is at none of the upstreams that its search does not ask. If their agents
    /// have not told so yet, they are asked.
    fn is_excluded_elsewhere(&mut self, now_ms: Millis, view: &View, flow: FlowKey) -> bool {
        if view.history().is_complete(now_ms) {
            return true;
        }
        let entry = self.flows.entry(flow, now_ms);
        let sources = Sources { now_ms, view, survey: &self.survey };
        let mut unasked = sources.unasked(flow);
        let undelivered = entry.wrong_services().map(|(address, _)| address);
        unasked.extend(undelivered.filter(|address| sources.may_hold_earlier_flows(*address)));
        let since_ms = entry.doubted_since_ms(now_ms);
        let excluded = |address: &&Ipv4Addr| {
            self.survey.has_told(**address, since_ms)
                && !self.survey.is_holder(now_ms, flow, **address)
        };
        unasked.iter().filter(excluded).count() == unasked.len()
    }
}
