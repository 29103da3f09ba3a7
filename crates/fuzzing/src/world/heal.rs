//! End of an episode: all faults end, and every live flow must become reachable again.

use decision::view::UpstreamState;

use super::callers::{Outcome, Phase};
use super::faults::GRACE_MS;
use super::{Node, QueuedEvent, World};
use crate::oracle::{Observation, Promise};
use crate::step::Report;

/// Time for the fleet to recover after the last fault.
const SETTLE_MS: u64 = 12_000;
/// Time within which a caller must receive a reply once the fleet has recovered.
const ANSWER_MS: u64 = 20_000;
/// Time after which no table has entries of ended flows.
const EXPIRY_MS: u64 = 200_000;
/// Longer than a restarted witness abstains from voting (`CLAIM_TTL_MS`).
const ABSTAIN_MS: u64 = 125_000;
/// Maximum time for which an agent may hold a packet.
const HELD_MS: u64 = 5_000;

impl World {
    /// Ends all faults, waits for the fleet to recover, and checks that open flows work and
    /// openings are answered.
    ///
    /// Witnesses of an at-most-once service abstain from voting for a while after a restart, and an
    /// opening without a majority can neither run nor be refused. Openings of such a service are
    /// therefore checked only after that time.
    pub fn heal(&mut self) {
        // Lets agents that are already leaving terminate first, so that they are restarted below.
        self.advance(GRACE_MS + 1);
        self.note(|| "all faults end".to_owned());
        self.end_faults();
        self.advance(SETTLE_MS);
        let abstains =
            self.last_agent_start_ms > 0 && self.now_ms < self.last_agent_start_ms + ABSTAIN_MS;
        self.check_service(|promise| !(promise.at_most_once && abstains));
        self.check_held();
        if self.patient {
            self.advance(ABSTAIN_MS);
            self.check_service(|promise| promise.at_most_once);
            self.check_flow_tables();
        }
    }

    /// Probes open flows and the services for which `openings` holds, and checks the replies.
    fn check_service(&mut self, openings: impl Fn(Promise) -> bool) {
        let probed_ms = self.now_ms;
        let probes = self.probe(openings);
        self.advance(ANSWER_MS);
        if self.violation.is_none() {
            self.check_answers(probed_ms, &probes);
            self.check_refusals(&probes);
        }
    }

    fn end_faults(&mut self) {
        self.network.heal();
        self.outage_until_ms = 0;
        for node in self.nodes() {
            match node {
                Node::Balancer(index) => self.balancers[index].process.paused_until_ms = 0,
                Node::Host(index) => self.hosts[index].process.paused_until_ms = 0,
            }
            self.wake(node);
        }
        let versions = self.fleet.newest();
        for node in self.nodes() {
            self.schedule(0, QueuedEvent::Settings { node, versions });
        }
        for balancer in &mut self.balancers {
            balancer.down.clear();
        }
        for host in 0..self.hosts.len() {
            self.hosts[host].report = Some(Report::Honest);
            self.restart(host);
        }
    }

    fn restart(&mut self, host: usize) {
        let target = &self.hosts[host];
        let occupant = target.occupant;
        if target.upstream.is_some() {
            self.schedule(0, QueuedEvent::StartAgent { host });
        } else if self.is_listed(occupant) {
            self.schedule(0, QueuedEvent::StartHost { host, occupant });
        }
    }

    /// Sends a packet in every open flow, and an opening from every idle caller of the services for
    /// which `openings` holds. Returns the callers that sent an opening.
    fn probe(&mut self, openings: impl Fn(Promise) -> bool) -> Vec<usize> {
        let mut opened = Vec::new();
        for caller in 0..self.callers.len() {
            match self.callers[caller].phase {
                Phase::Open { token, .. } => {
                    self.callers[caller].enter(Phase::Open { token, unacknowledged: true });
                    self.transmit(caller);
                }
                Phase::Idle if openings(Self::promise(self.callers[caller].service)) => {
                    self.callers[caller].open(self.now_ms);
                    self.transmit(caller);
                    opened.push(caller);
                }
                Phase::Idle | Phase::Opening | Phase::Closing { .. } => {}
            }
        }
        opened
    }

    fn check_answers(&mut self, probed_ms: u64, probes: &[usize]) {
        for caller in self.callers.clone() {
            let request = caller.request();
            match caller.phase {
                Phase::Open { token, .. }
                    if self.is_held(token) && caller.answered_ms < probed_ms =>
                {
                    self.observe(Observation::Stuck { request });
                }
                _ if probes.contains(&caller.number) && caller.outcome == Outcome::Unknown => {
                    self.observe(Observation::Unanswered { request });
                }
                _ => {}
            }
        }
    }

    fn check_refusals(&mut self, probes: &[usize]) {
        for service in 0..self.fleet.service_count() {
            let mut probes = probes
                .iter()
                .map(|probe| &self.callers[*probe])
                .filter(|caller| caller.service == service)
                .peekable();
            let tried = probes.peek().is_some();
            if tried
                && self.has_room(service)
                && probes.all(|caller| caller.outcome == Outcome::Refused)
            {
                self.observe(Observation::Shut { service });
            }
        }
    }

    /// Whether some active upstream has fewer flows than its limit.
    fn has_room(&self, service: usize) -> bool {
        let mut active = self
            .fleet
            .listed(service)
            .iter()
            .filter(|listed| listed.state == UpstreamState::Active)
            .filter_map(|listed| self.hosts[listed.host].upstream.as_ref());
        active.any(|upstream| upstream.connections.len() < self.fleet.max_flows as usize)
    }

    /// Checks that ended flows leave the agents' tables. Faults may leave entries without a flow,
    /// which only expiry or eviction removes, so this is checked only in episodes without faults.
    fn check_flow_tables(&mut self) {
        if self.violation.is_some() || self.faulted {
            return;
        }
        for caller in 0..self.callers.len() {
            if let Phase::Open { token, .. } = self.callers[caller].phase {
                self.callers[caller].enter(Phase::Closing { token });
                self.transmit(caller);
            }
        }
        self.advance(EXPIRY_MS);
        for host in 0..self.hosts.len() {
            let target = &self.hosts[host];
            let (Some(shell), Some(upstream)) = (&target.agent, &target.upstream) else { continue };
            let flows = shell.agent.open_flows();
            if !upstream.datagrams && flows > upstream.connections.len() {
                self.observe(Observation::Remembered { agent: shell.incarnation, flows });
            }
        }
    }

    /// Checks that no agent has held a packet for longer than [`HELD_MS`].
    fn check_held(&mut self) {
        if self.violation.is_some() {
            return;
        }
        for host in 0..self.hosts.len() {
            let Some(shell) = &self.hosts[host].agent else { continue };
            let agent = shell.incarnation;
            let old = |since_ms: u64| since_ms + HELD_MS < self.now_ms;
            if shell.held.iter().any(|(.., since_ms)| old(*since_ms)) {
                self.observe(Observation::HeldBack { agent });
            }
        }
    }
}
