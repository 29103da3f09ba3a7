//! New flows: where their openings are sent, when they are retransmitted, and where they go after a
//! denial.

use super::flows::Entry;
use super::pending::Due;
use super::placement::{Placement, service_of};
use super::types::{Action, Destination, Reason};
use super::{BACKLOG_DRAIN_MS, Edge};
use crate::flow::{Millis, Segment, SegmentKind};
use crate::view::View;
use std::net::Ipv4Addr;

/// When a caller retransmits an opening; any balancer may receive the copy.
const CALLER_RETRANSMIT_MS: Millis = 200;

impl Edge {
    pub(super) fn handle_opening(
        &mut self,
        now_ms: Millis,
        view: &View,
        segment: &Segment,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
        let in_time = self.is_read_in_time(now_ms, segment);
        let Some(service) = service_of(view, segment.flow) else {
            // Another balancer may know the route, and have opened the flow for an earlier copy.
            let may_be_reset = view.routes.version > 0 && in_time;
            actions.push(if may_be_reset {
                Action::Reset { reason: Reason::NoRoute }
            } else {
                Action::Drop { reason: Reason::Unknown }
            });
            return;
        };
        let entry = self.flows.entry(segment.flow, now_ms);
        if entry.sequence != Some(segment.sequence) {
            entry.reset_for_opening(segment.sequence);
            entry.resettable_until_ms = if in_time { now_ms + CALLER_RETRANSMIT_MS } else { 0 };
        }
        if segment.kind != (SegmentKind::Opening { copy: 0 }) {
            entry.forget_overload_refusals();
        }
        let already_sent = entry.target.is_some();
        entry.denials_in_doubt |= already_sent;
        if let (Some(to), true) = (entry.target, entry.confirmed) {
            let to = Destination::of(now_ms, view, segment.flow, to, service);
            actions.push(Action::Forward { to, wants_report: true, reason: Reason::Known });
            return;
        }
        let mut placement = Placement { now_ms, view, loads: &mut self.loads };
        let to = match self.probes.place(&mut placement, service, segment.flow, entry) {
            Ok(to) => to,
            Err(reason) => {
                let action = if is_final(reason) {
                    reject(now_ms, entry, reason)
                } else {
                    Action::Drop { reason: Reason::Unknown }
                };
                if action == (Action::Reset { reason: Reason::Overloaded }) {
                    self.pending.remove(segment.flow);
                }
                actions.push(action);
                return;
            }
        };
        let reason = if already_sent { Reason::Replaced } else { Reason::Placed };
        entry.ask(now_ms, to);
        if !already_sent {
            entry.await_first_reply(now_ms, to);
        }
        self.loads.record_placement(now_ms, view, to);
        let to = Destination::of(now_ms, view, segment.flow, to, service);
        actions.push(Action::Forward { to, wants_report: true, reason });
        self.pending.insert(now_ms, segment, bytes);
    }

    /// Whether an opening is the first copy and was read soon after its arrival. The flow of any other
    /// may be open by now.
    fn is_read_in_time(&mut self, now_ms: Millis, segment: &Segment) -> bool {
        let since_resumed_ms = now_ms.saturating_sub(self.resumed_ms);
        let queued = self.resumed_ms > 0 && since_resumed_ms < BACKLOG_DRAIN_MS;
        let first = segment.kind == SegmentKind::Opening { copy: 0 };
        first && !queued && !self.is_lagging(now_ms)
    }

    pub(super) fn retry_opening(
        &mut self,
        now_ms: Millis,
        view: &View,
        due: &Due,
        actions: &mut Vec<Action>,
    ) {
        if !self.try_spend_budget() {
            return;
        }
        let flow = due.segment.flow;
        let Some(service) = service_of(view, flow) else { return };
        let Some(entry) = self.flows.get(flow) else { return };
        entry.resettable_until_ms = 0;
        if let Some(unresponsive) = entry.target {
            self.loads.record_no_reply(now_ms, view, unresponsive);
        }
        let mut placement = Placement { now_ms, view, loads: &mut self.loads };
        let Ok(to) = self.probes.place(&mut placement, service, flow, entry) else { return };
        entry.ask(now_ms, to);
        self.loads.record_placement(now_ms, view, to);
        let to = Destination::of(now_ms, view, flow, to, service);
        actions.push(Action::Forward { to, wants_report: true, reason: Reason::Replaced });
    }

    pub(super) fn on_opening_denied(
        &mut self,
        now_ms: Millis,
        view: &View,
        from: Ipv4Addr,
        segment: &Segment,
        actions: &mut Vec<Action>,
    ) {
        let flow = segment.flow;
        let entry = self.flows.entry(flow, now_ms);
        // An upstream that holds the flow does not accept a second opening of it.
        if entry.confirmed {
            return;
        }
        entry.record_opening_denial(from, now_ms);
        let Some(service) = service_of(view, flow) else { return };
        let mut placement = Placement { now_ms, view, loads: &mut self.loads };
        let to = match self.probes.place(&mut placement, service, flow, entry) {
            Ok(to) => to,
            Err(reason) => {
                let reason = if is_final(reason) { reason } else { Reason::Refused };
                actions.push(reject(now_ms, entry, reason));
                self.pending.remove(flow);
                self.flows.expire_soon(flow, now_ms);
                return;
            }
        };
        entry.ask(now_ms, to);
        self.loads.record_placement(now_ms, view, to);
        let to = Destination::of(now_ms, view, flow, to, service);
        actions.push(Action::Forward { to, wants_report: true, reason: Reason::Replaced });
    }
}

/// Whether an opening that cannot be placed for this reason is rejected without asking any
/// upstream.
fn is_final(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::ZoneClosed | Reason::ColdLimit | Reason::RegionNotAllowed | Reason::Overloaded
    )
}

/// The action for an opening that no upstream takes. A reset is sent only for the first copy of an
/// opening, if it arrived in time and this balancer did not retransmit it, only until the caller
/// does, and only once. In all other cases the flow may be open by now.
fn reject(now_ms: Millis, entry: &mut Entry, reason: Reason) -> Action {
    let may_be_reset = entry.may_be_reset(now_ms);
    entry.resettable_until_ms = 0;
    if may_be_reset { Action::Reset { reason } } else { Action::Drop { reason: Reason::Unknown } }
}
