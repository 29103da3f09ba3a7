//! What the answers to a question about a flow come to: where its packet goes, or that nobody can tell.

use super::Agent;
use super::flows::{Flow, FlowState};
use super::health::UnknownFlows;
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
    OnlyMe,
    Only(UpstreamId),
    Nobody,
    /// Nobody holds it; the own upstream has another connection on its ports, and judges.
    Older,
    /// Somebody may hold it who has not answered, or two may.
    Doubt,
}

impl Agent {
    pub(super) fn finding(
        &self,
        now: Millis,
        flow: FlowId,
        lookup: &Lookup,
        over: bool,
    ) -> Option<Finding> {
        let own = self.own_flow(flow, lookup.sequence);
        if own.is_some_and(Flow::is_certainly_open) {
            return Some(Finding::OnlyMe);
        }
        if self.is_overtaken(now, flow, lookup) {
            return Some(Finding::Doubt);
        }
        if let Some(holder) = lookup.holder() {
            return Some(Finding::Holder(holder));
        }
        let silent = lookup.answers.iter().any(|(_, answer)| answer.is_none());
        if silent && !over {
            return None;
        }
        let hearsay = own.is_some();
        if let Some(holder) = self.most_named(lookup, hearsay) {
            // The caller may use the ports of a closing flow again, and a silent agent hold the new one:
            // the old upstream would reset it.
            let doubtful = silent && lookup.closes_at(holder);
            return Some(if doubtful { Finding::Doubt } else { Finding::Holder(holder) });
        }
        // The caller may have opened the next flow on these ports at an agent that does not answer.
        if silent && self.was_reset(flow) {
            return Some(Finding::Doubt);
        }
        if hearsay {
            return Some(Finding::OnlyMe);
        }
        let newer = self.seen_version > self.settings.version;
        if (silent || newer) && !mutated!(self, ResetInDoubt) {
            return Some(Finding::Doubt);
        }
        let finding = self.finding_of_denials(now, lookup);
        let has_older = self.flows.get(flow).is_some_and(Flow::is_certainly_open);
        Some(if finding == Finding::Nobody && has_older { Finding::Older } else { finding })
    }

    /// Whether another agent has taken a flow on these ports since the lookup began.
    ///
    /// The answers then still name an earlier holder; the caller sends again.
    fn is_overtaken(&self, now: Millis, flow: FlowId, lookup: &Lookup) -> bool {
        let redirect = self.redirects.get(now, flow);
        redirect.is_some_and(|redirect| {
            redirect.opened_at >= lookup.began_at && redirect.holder != self.config.upstream
        })
    }

    pub(super) fn was_reset(&self, flow: FlowId) -> bool {
        self.flows.get(flow).is_some_and(|known| known.state == FlowState::Reset)
    }

    /// The peer that most answers name as holder. If it has denied the flow it may still decide
    /// about it, but not against hearsay at this agent, and not where others name this one.
    fn most_named(&self, lookup: &Lookup, hearsay: bool) -> Option<UpstreamId> {
        let me = self.config.upstream;
        let count = |id: UpstreamId| lookup.named().filter(|named| *named == id).count();
        lookup
            .named()
            .filter(|id| *id != me && self.peers.get(*id).is_some())
            .filter(|id| !lookup.denied_by(*id) || (!hearsay && count(me) == 0))
            .filter(|id| !hearsay || count(*id) > count(me))
            .max_by_key(|id| (count(*id), *id))
    }

    /// Everybody has answered and nobody holds the flow for certain.
    fn finding_of_denials(&self, now: Millis, lookup: &Lookup) -> Finding {
        let me = self.config.upstream;
        // A redirect that names this agent is proof enough for one that has had an earlier life.
        let named = self.config.may_have_past && lookup.named().any(|id| id == me);
        let own = (me, self.unknown_flows().filter(|_| !named));
        let doubtful: Vec<(UpstreamId, Option<UnknownFlows>)> = lookup
            .unsure()
            .chain((named || self.may_hold_unknown_flows(now)).then_some(own))
            .collect();
        let only = match doubtful.as_slice() {
            [] => return Finding::Nobody,
            [(only, _)] => Some(*only),
            several => only_likely(several),
        };
        match only {
            Some(only) if only == me => Finding::OnlyMe,
            Some(only) => Finding::Only(only),
            None => Finding::Doubt,
        }
    }
}

/// Of several that may hold a flow, the one whose upstream alone has a flow that its agent does not know.
fn only_likely(doubtful: &[(UpstreamId, Option<UnknownFlows>)]) -> Option<UpstreamId> {
    let others = doubtful.iter().filter(|(_, unknown)| *unknown != Some(UnknownFlows::Absent));
    let others: Vec<_> = others.collect();
    match others.as_slice() {
        [(only, Some(UnknownFlows::Present))] => Some(*only),
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
    fn unsure(&self) -> impl Iterator<Item = (UpstreamId, Option<UnknownFlows>)> + '_ {
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

    fn closes_at(&self, id: UpstreamId) -> bool {
        self.answers.contains(&(id, Some(Knowledge::Closing)))
    }

    /// Agents that may hold the flow by their own word or that of others.
    fn named(&self) -> impl Iterator<Item = UpstreamId> + '_ {
        self.answers.iter().filter_map(|(id, answer)| match answer {
            Some(Knowledge::HeldBy(holder)) => Some(*holder),
            Some(Knowledge::Closing) => Some(*id),
            _ => None,
        })
    }
}
