//! Evaluation of the answers to a lookup: which agent holds the flow, if the answers suffice to
//! decide.

use super::Agent;
use super::flows::{Flow, FlowState};
use super::health::UnknownFlows;
use super::lookup::Lookup;
use super::mutant::mutated;
use crate::keys::{FlowId, UpstreamId};
use crate::message::Knowledge;
use crate::time::Millis;

/// Result of a lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Finding {
    Holder(UpstreamId),
    /// Only this agent may hold the flow, either confirmed or from a previous incarnation.
    OnlyThisAgent,
    /// Only this peer may hold the flow, from a previous incarnation.
    OnlyPeer(UpstreamId),
    NoHolder,
    /// No agent holds the flow, but the local upstream has another connection on its ports. Its TCP
    /// stack decides about the packet.
    OlderConnection,
    /// An agent that has not answered may hold the flow, or several agents may.
    Undecided,
}

impl Agent {
    pub(super) fn evaluate_answers(
        &self,
        now: Millis,
        flow: FlowId,
        lookup: &Lookup,
        timed_out: bool,
    ) -> Option<Finding> {
        let own = self.own_flow(flow, lookup.sequence);
        if own.is_some_and(Flow::is_confirmed_open) {
            return Some(Finding::OnlyThisAgent);
        }
        if self.is_superseded(now, flow, lookup) {
            return Some(Finding::Undecided);
        }
        if let Some(holder) = lookup.holder() {
            return Some(Finding::Holder(holder));
        }
        let unanswered = lookup.answers.iter().any(|(_, answer)| answer.is_none());
        if unanswered && !timed_out {
            return None;
        }
        let unconfirmed = own.is_some();
        if let Some(holder) = self.most_reported_holder(lookup, unconfirmed) {
            // The caller may have reused the ports of the closing flow, and an agent that has not
            // answered may hold the new flow, which the old upstream would reset.
            let undecided = unanswered && lookup.reports_closing(holder);
            return Some(if undecided { Finding::Undecided } else { Finding::Holder(holder) });
        }
        // The caller may have opened the next flow on these ports at an agent that has not
        // answered.
        if unanswered && self.was_reset(flow) {
            return Some(Finding::Undecided);
        }
        if unconfirmed {
            return Some(Finding::OnlyThisAgent);
        }
        let newer = self.seen_version > self.settings.version;
        if (unanswered || newer) && !mutated!(self, ResetInDoubt) {
            return Some(Finding::Undecided);
        }
        let finding = self.evaluate_denials(now, lookup);
        let has_older = self.flows.get(flow).is_some_and(Flow::is_confirmed_open);
        Some(if finding == Finding::NoHolder && has_older {
            Finding::OlderConnection
        } else {
            finding
        })
    }

    /// Whether another agent has accepted a flow on these ports since the lookup started.
    ///
    /// The answers may then name the previous holder. The packet is dropped, and the caller
    /// retransmits.
    fn is_superseded(&self, now: Millis, flow: FlowId, lookup: &Lookup) -> bool {
        let redirect = self.redirects.get(now, flow);
        redirect.is_some_and(|redirect| {
            redirect.opened_at >= lookup.started_at && redirect.holder != self.config.upstream
        })
    }

    pub(super) fn was_reset(&self, flow: FlowId) -> bool {
        self.flows.get(flow).is_some_and(|known| known.state == FlowState::Reset)
    }

    /// The peer that most answers name as holder.
    ///
    /// A peer that has denied the flow still qualifies, unless peers have reported the flow to this
    /// agent or some answers name this agent.
    fn most_reported_holder(&self, lookup: &Lookup, unconfirmed: bool) -> Option<UpstreamId> {
        let self_id = self.config.upstream;
        let count = |id: UpstreamId| lookup.reported_holders().filter(|named| *named == id).count();
        lookup
            .reported_holders()
            .filter(|id| *id != self_id && self.peers.get(*id).is_some())
            .filter(|id| !lookup.denied_by(*id) || (!unconfirmed && count(self_id) == 0))
            .filter(|id| !unconfirmed || count(*id) > count(self_id))
            .max_by_key(|id| (count(*id), *id))
    }

    /// Evaluates the answers if all peers have answered and none has confirmed the flow.
    fn evaluate_denials(&self, now: Millis, lookup: &Lookup) -> Finding {
        let self_id = self.config.upstream;
        // If a redirect names this agent and it has had a previous incarnation, it counts as a
        // possible holder.
        let named_by_peer =
            self.config.may_have_prior_flows && lookup.reported_holders().any(|id| id == self_id);
        let own = (self_id, self.unknown_flows().filter(|_| !named_by_peer));
        let possible: Vec<(UpstreamId, Option<UnknownFlows>)> = lookup
            .possible_holders()
            .chain((named_by_peer || self.may_hold_unknown_flows(now)).then_some(own))
            .collect();
        let only = match possible.as_slice() {
            [] => return Finding::NoHolder,
            [(only, _)] => Some(*only),
            several => sole_likely_holder(several),
        };
        match only {
            Some(only) if only == self_id => Finding::OnlyThisAgent,
            Some(only) => Finding::OnlyPeer(only),
            None => Finding::Undecided,
        }
    }
}

/// Of several possible holders, returns the only one whose upstream reports flows unknown to its
/// agent, if the upstreams of all others report none.
fn sole_likely_holder(possible: &[(UpstreamId, Option<UnknownFlows>)]) -> Option<UpstreamId> {
    let others = possible.iter().filter(|(_, unknown)| *unknown != Some(UnknownFlows::Absent));
    let others: Vec<_> = others.collect();
    match others.as_slice() {
        [(only, Some(UnknownFlows::Present))] => Some(*only),
        _ => None,
    }
}

impl Lookup {
    /// The agent that has answered that it holds the flow.
    fn holder(&self) -> Option<UpstreamId> {
        let mut answers = self.answers.iter();
        answers.find(|(_, answer)| *answer == Some(Knowledge::Mine)).map(|(id, _)| *id)
    }

    /// Agents that may hold the flow without knowing it, and whether their upstreams report unknown
    /// flows.
    fn possible_holders(&self) -> impl Iterator<Item = (UpstreamId, Option<UnknownFlows>)> + '_ {
        self.answers.iter().filter_map(|(id, answer)| match answer {
            Some(Knowledge::Unsure) => Some((*id, None)),
            Some(Knowledge::Likely) => Some((*id, Some(UnknownFlows::Present))),
            Some(Knowledge::Unlikely) => Some((*id, Some(UnknownFlows::Absent))),
            _ => None,
        })
    }

    fn denied_by(&self, id: UpstreamId) -> bool {
        self.answers.contains(&(id, Some(Knowledge::NotMine)))
    }

    fn reports_closing(&self, id: UpstreamId) -> bool {
        self.answers.contains(&(id, Some(Knowledge::Closing)))
    }

    /// Agents that may hold the flow by the answers of others, or because it is closing there by
    /// their own answer.
    fn reported_holders(&self) -> impl Iterator<Item = UpstreamId> + '_ {
        self.answers.iter().filter_map(|(id, answer)| match answer {
            Some(Knowledge::HeldBy(holder)) => Some(*holder),
            Some(Knowledge::Closing) => Some(*id),
            _ => None,
        })
    }
}
