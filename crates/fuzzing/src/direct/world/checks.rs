//! Checks of requests that were never answered.

use super::{Balancer, FLOW_TTL_MS, LIST_DELAY_MAX_MS, SERVICES, SETTLE_MS, World};
use crate::direct::Violation;
use crate::direct::caller::{Caller, State};

impl World {
    /// Checks a request that was never answered: unless the world was disturbed, its upstream must
    /// not hold the flow.
    pub(super) fn check_unanswered(&mut self, caller: usize, before: State) {
        if !matches!(
            before,
            State::Requesting { .. } | State::Receiving { .. } | State::Ending { .. }
        ) {
            return;
        }
        let undisturbed = self.now_ms.saturating_sub(self.disturbed_until_ms) >= SETTLE_MS;
        if undisturbed && self.is_held(caller) && self.is_lookup_expected(caller) {
            self.record_violation(Violation::FlowNotFound, self.callers[caller].flow);
        }
    }

    /// Whether balancers must have looked for the flow. A service that no route leads to may belong
    /// to another client account, so its upstreams are asked only if a balancer knows that the
    /// flow's route has left the service, or for a packet that is sent once all balancers know of a
    /// route that leads there.
    fn is_lookup_expected(&self, caller: usize) -> bool {
        let Caller { holder, flow, sent_ms, .. } = self.callers[caller];
        let Some((upstream, _)) = holder else { return false };
        let service = self.upstreams[upstream].service;
        let known_ms = self.routed_since_ms[service].map(|at_ms| at_ms + LIST_DELAY_MAX_MS);
        let routed = known_ms.is_some_and(|known_ms| sent_ms >= known_ms);
        let knows = |balancer: &Balancer| {
            let mut former =
                balancer.knowledge.history.former_services_of(self.now_ms, flow.endpoint);
            balancer.up && former.any(|known| known == SERVICES[service])
        };
        routed || self.balancers.iter().any(knows)
    }

    pub(super) fn is_held(&self, caller: usize) -> bool {
        let caller = &self.callers[caller];
        let holds = |(upstream, incarnation): (usize, u64)| {
            self.upstreams[upstream].holds(caller.flow, incarnation)
        };
        let may_be_discarded =
            self.size.moving_routes && self.now_ms - caller.opened_ms >= FLOW_TTL_MS;
        caller.holder.is_some_and(holds) && !may_be_discarded
    }
}
