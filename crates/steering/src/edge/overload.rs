//! Where an opening goes while upstreams are overloaded.
//!
//! The load pattern: for seconds, callers send more than all upstreams can process. Agents whose
//! callers give up return openings. Such an upstream is skipped for as long as its agent asked for.
//! If every upstream that may take an opening is overloaded, the opening is reset at once, provided
//! that no upstream can have received it.

use std::cmp::Reverse;
use std::net::Ipv4Addr;

use super::Edge;
use super::flows::Entry;
use super::placement::{Placement, keep_or_reason};
use super::types::{AgentReply, Reason};
use crate::flow::{FlowKey, Millis, Segment, SegmentKind};
use crate::rank;
use crate::view::{ServiceStamp, Upstream, View};

/// While all upstreams of a service are overloaded, an opening that could be reset is sent on this
/// often, so that the end of the overload is noticed.
const PROBE_INTERVAL_MS: Millis = 100;
/// An opening that cannot be reset is sent to overloaded upstreams until this many have refused it.
/// Agents take its next copy.
const REFUSALS_MAX: u8 = 3;

/// When openings were last sent to overloaded upstreams of a service, sorted by service.
#[derive(Debug, Default)]
pub(super) struct Probes {
    sent_ms: Vec<(ServiceStamp, Millis)>,
}

impl Probes {
    /// Whether a probe is due; if so, it counts as sent.
    fn take_due(&mut self, now_ms: Millis, service: ServiceStamp) -> bool {
        match self.sent_ms.binary_search_by_key(&service, |(other, _)| *other) {
            Ok(index) if now_ms.saturating_sub(self.sent_ms[index].1) < PROBE_INTERVAL_MS => false,
            Ok(index) => {
                self.sent_ms[index].1 = now_ms;
                true
            }
            Err(_) => {
                let is_recent =
                    |sent_ms: Millis| now_ms.saturating_sub(sent_ms) < PROBE_INTERVAL_MS;
                self.sent_ms.retain(|(_, sent_ms)| is_recent(*sent_ms));
                let index = self.sent_ms.partition_point(|(other, _)| *other < service);
                self.sent_ms.insert(index, (service, now_ms));
                true
            }
        }
    }

    /// Chooses the upstream of an opening. Returns [`Reason::Overloaded`] if the opening is to be
    /// rejected; unless the entry allows a reset, it is dropped then.
    pub(super) fn place(
        &mut self,
        placement: &mut Placement<'_>,
        service: ServiceStamp,
        flow: FlowKey,
        entry: &mut Entry,
    ) -> Result<Ipv4Addr, Reason> {
        let is_denied_by_all = match placement.place(service, flow, entry) {
            Err(Reason::Overloaded) => false,
            Err(Reason::Refused) if entry.overload_refusals > 0 => true,
            placed => return placed,
        };
        if entry.denials_in_doubt {
            entry.resettable_until_ms = 0;
        }
        let now_ms = placement.now_ms;
        let sent_on = if is_denied_by_all {
            false
        } else if entry.may_be_reset(now_ms) {
            self.take_due(now_ms, service)
        } else {
            entry.overload_refusals < REFUSALS_MAX
        };
        let next = sent_on.then(|| placement.where_overload_ends_first(service, flow, entry));
        next.flatten().ok_or(Reason::Overloaded)
    }
}

impl Placement<'_> {
    /// Removes the upstreams that are overloaded, unless the flow is urgent: agents always take
    /// urgent openings.
    pub(super) fn without_overloaded<'a>(
        &self,
        flow: FlowKey,
        upstreams: Vec<&'a Upstream>,
    ) -> Result<Vec<&'a Upstream>, Reason> {
        let is_urgent = self.view.routes.find(flow.endpoint).is_some_and(|route| route.urgent);
        if is_urgent {
            return Ok(upstreams);
        }
        keep_or_reason(upstreams, Reason::Overloaded, |upstream| {
            !self.loads.is_overloaded(self.now_ms, upstream)
        })
    }

    /// Of the upstreams that have not denied the opening, the one whose overload ends first;
    /// upstreams that were already asked, or that did not answer lately, come after all others.
    fn where_overload_ends_first(
        &self,
        service: ServiceStamp,
        flow: FlowKey,
        entry: &Entry,
    ) -> Option<Ipv4Addr> {
        let open = self.eligible_upstreams(service, flow, entry).ok()?;
        let first = open.into_iter().min_by_key(|upstream| {
            let asked = entry.visits.has_asked(upstream.address);
            let suspect = self.loads.is_suspect(self.now_ms, upstream);
            let score = Reverse(rank::score(flow, upstream.address));
            (asked, suspect, self.loads.overloaded_until_ms(upstream), score)
        })?;
        Some(first.address)
    }
}

impl Edge {
    /// Records that an agent returned a packet because its upstream is overloaded. Returns whether
    /// the packet is an opening that now goes elsewhere.
    pub(super) fn record_overload(
        &mut self,
        now_ms: Millis,
        view: &View,
        reply: AgentReply,
        for_ms: Millis,
        segment: &Segment,
    ) -> bool {
        self.loads.record_overload(now_ms, view, reply.from, for_ms);
        // The reply says nothing about a flow that is open.
        if !matches!(segment.kind, SegmentKind::Opening { .. }) {
            return false;
        }
        let entry = self.flows.entry(segment.flow, now_ms);
        if entry.confirmed || entry.sequence.is_some_and(|sequence| sequence != segment.sequence) {
            return false;
        }
        entry.overload_refusals = entry.overload_refusals.saturating_add(1);
        // Another upstream has the opening already, and is retried until it replies.
        if entry.target.is_some_and(|target| target != reply.from) {
            entry.record_opening_denial(reply.from, now_ms);
            return false;
        }
        true
    }
}
