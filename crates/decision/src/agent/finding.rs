//! What the answers to a question about a flow come to: where its packet goes, or that nobody can tell.

use super::Agent;
use super::flows::{Flow, FlowState};
use super::health::Unknown;
use super::lookup::Lookup;
use super::mutant::mutated;
use crate::keys::{FlowId, UpstreamId};
use crate::message::Knowledge;
use crate::time::Millis;

/// What a lookup has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Finding {
    Holder(UpstreamId),
    /// Only this agent or the given one may hold it, from an earlier life.
    OnlyThisAgent,
    OnlyPeer(UpstreamId),
    NoHolder,
    /// Nobody holds it; the own upstream has another connection on its ports, and judges.
    OlderConnection,
    /// Somebody may hold it who has not answered, or two may.
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
        let peer_reported = own.is_some();
        if let Some(holder) = self.most_reported_holder(lookup, peer_reported) {
            // The caller may use the ports of a closing flow again, and a silent agent hold the new one:
            // the old upstream would reset it.
            let undecided = unanswered && lookup.reports_closing(holder);
            return Some(if undecided { Finding::Undecided } else { Finding::Holder(holder) });
        }
        // The caller may have opened the next flow on these ports at an agent that does not answer.
        if unanswered && self.was_reset(flow) {
            return Some(Finding::Undecided);
        }
        if peer_reported {
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

    /// Whether another agent has taken a flow on these ports since the lookup began.
    ///
    /// The answers then still name an earlier holder; the caller sends again.
    fn is_superseded(&self, now: Millis, flow: FlowId, lookup: &Lookup) -> bool {
        let redirect = self.redirects.get(now, flow);
        redirect.is_some_and(|redirect| {
            redirect.opened_at >= lookup.started_at && redirect.holder != self.config.upstream
        })
    }

    pub(super) fn was_reset(&self, flow: FlowId) -> bool {
        self.flows.get(flow).is_some_and(|known| known.state == FlowState::Reset)
    }

    /// The peer that most answers name as holder. If it has denied the flow it may still decide
    /// about it, but not against hearsay at this agent, and not where others name this one.
    fn most_reported_holder(&self, lookup: &Lookup, peer_reported: bool) -> Option<UpstreamId> {
        let me = self.config.upstream;
        let count = |id: UpstreamId| lookup.reported_holders().filter(|named| *named == id).count();
        lookup
            .reported_holders()
            .filter(|id| *id != me && self.peers.get(*id).is_some())
            .filter(|id| !lookup.denied_by(*id) || (!peer_reported && count(me) == 0))
            .filter(|id| !peer_reported || count(*id) > count(me))
            .max_by_key(|id| (count(*id), *id))
    }

    /// Everybody has answered and nobody holds the flow for certain.
    fn evaluate_denials(&self, now: Millis, lookup: &Lookup) -> Finding {
        let me = self.config.upstream;
        // A redirect that names this agent is proof enough for one that has had an earlier life.
        let named_by_peer =
            self.config.may_have_prior_flows && lookup.reported_holders().any(|id| id == me);
        let own = (me, self.unknown_flows().filter(|_| !named_by_peer));
        let possible: Vec<(UpstreamId, Option<Unknown>)> = lookup
            .possible_holders()
            .chain((named_by_peer || self.is_unsure(now)).then_some(own))
            .collect();
        let only = match possible.as_slice() {
            [] => return Finding::NoHolder,
            [(only, _)] => Some(*only),
            several => sole_likely_holder(several),
        };
        match only {
            Some(only) if only == me => Finding::OnlyThisAgent,
            Some(only) => Finding::OnlyPeer(only),
            None => Finding::Undecided,
        }
    }
}

/// Of several that may hold a flow, the one whose upstream alone has a flow that its agent does not know.
fn sole_likely_holder(possible: &[(UpstreamId, Option<Unknown>)]) -> Option<UpstreamId> {
    let others = possible.iter().filter(|(_, unknown)| *unknown != Some(Unknown::Nothing));
    let others: Vec<_> = others.collect();
    match others.as_slice() {
        [(only, Some(Unknown::Some))] => Some(*only),
        _ => None,
    }
}

impl Lookup {
    /// The agent that says it holds the flow.
    fn holder(&self) -> Option<UpstreamId> {
        let mut answers = self.answers.iter();
        answers.find(|(_, answer)| *answer == Some(Knowledge::Mine)).map(|(id, _)| *id)
    }

    /// Agents that may hold the flow without knowing, and what their upstreams say of such flows.
    fn possible_holders(&self) -> impl Iterator<Item = (UpstreamId, Option<Unknown>)> + '_ {
        self.answers.iter().filter_map(|(id, answer)| match answer {
            Some(Knowledge::Unsure) => Some((*id, None)),
            Some(Knowledge::Likely) => Some((*id, Some(Unknown::Some))),
            Some(Knowledge::Unlikely) => Some((*id, Some(Unknown::Nothing))),
            _ => None,
        })
    }

    fn denied_by(&self, id: UpstreamId) -> bool {
        self.answers.contains(&(id, Some(Knowledge::NotMine)))
    }

    fn reports_closing(&self, id: UpstreamId) -> bool {
        self.answers.contains(&(id, Some(Knowledge::Closing)))
    }

    /// Agents that may hold the flow by their own word or that of others.
    fn reported_holders(&self) -> impl Iterator<Item = UpstreamId> + '_ {
        self.answers.iter().filter_map(|(id, answer)| match answer {
            Some(Knowledge::HeldBy(holder)) => Some(*holder),
            Some(Knowledge::Closing) => Some(*id),
            _ => None,
        })
    }
}
