//! Applies steps: traffic, planned changes and faults.

use super::agents::{Incoming, Process};
use super::balancers::Balancer;
use super::callers::Phase;
use super::fleet::{SERVICES, pick_of};
use super::network::{Partition, Weather};
use super::{Node, QueuedEvent, World};
use crate::oracle::{IncarnationId, Observation};
use crate::step::{Report, Step};

/// Grace period between the request to leave and the end of an agent's process.
pub(super) const GRACE_MS: u64 = 3_000;

impl World {
    pub(super) fn change(&mut self, step: &Step) {
        let now_ms = self.now_ms;
        match *step {
            Step::Advance { .. } | Step::Idle { .. } => self.advance(step.takes_ms()),
            Step::Open { pick } => self.open(pick),
            Step::Send { pick } => {
                self.send_in_flow(pick, |token| Phase::Open { token, unacknowledged: true })
            }
            Step::Finish { pick } => self.send_in_flow(pick, |token| Phase::Closing { token }),
            Step::Abort { pick } => self.abort(pick),
            Step::Publish { service, change, pick, lag_ms } => {
                self.publish(service, change, pick, lag_ms);
            }
            Step::RedeployAgent { pick, gap_ms } => self.redeploy(pick, gap_ms.into()),
            Step::EndRetired { pick } => self.end_retired(pick),
            Step::ReplaceBalancer { pick } => self.replace_balancer(pick, 0),
            Step::StaleBalancer { pick, behind } => self.replace_balancer(pick, behind),
            Step::Weather { loss_percent, copy_percent, delay_ms, lasts_ms } => {
                let (delay_ms, until_ms) = (delay_ms.into(), now_ms + u64::from(lasts_ms));
                let weather = Weather { loss_percent, copy_percent, delay_ms, until_ms };
                self.network.weather.retain(|weather| weather.until_ms > now_ms);
                self.network.weather.push(weather);
            }
            Step::Partition { side, lasts_ms } => {
                let until_ms = now_ms + u64::from(lasts_ms);
                self.network.partitions.retain(|partition| partition.until_ms > now_ms);
                self.network.partitions.push(Partition { side, until_ms });
            }
            Step::Pause { pick, lasts_ms } => {
                let nodes = self.nodes();
                if let Some(&node) = pick_of(&nodes, pick) {
                    self.pause(node, lasts_ms.into());
                }
            }
            Step::PauseAll { lasts_ms } => {
                self.nodes().into_iter().for_each(|node| self.pause(node, lasts_ms.into()));
            }
            Step::CrashAgent { pick, gap_ms } => self.crash_agent(pick, gap_ms.into()),
            Step::CrashHost { pick, gap_ms } => self.crash_host(pick, gap_ms.into()),
            Step::Outage { lasts_ms } => {
                self.outage_until_ms = self.outage_until_ms.max(now_ms + u64::from(lasts_ms));
            }
            Step::StaleRead { pick, behind } => self.stale_read(pick, behind),
            Step::Lie { pick, report } => self.override_report(pick, report),
            Step::Hint { pick, peer, alive } => self.hint(pick, peer, alive),
            Step::Suspect { pick, down } => self.suspect(pick, down),
        }
    }

    fn open(&mut self, pick: u8) {
        let idle = |caller: &usize| self.callers[*caller].phase == Phase::Idle;
        let idle: Vec<usize> = (0..self.callers.len()).filter(idle).collect();
        let Some(&caller) = pick_of(&idle, pick) else { return };
        self.callers[caller].open(self.now_ms);
        self.transmit(caller);
    }

    fn send_in_flow(&mut self, pick: u8, phase: impl Fn(super::upstreams::Token) -> Phase) {
        let Some((caller, token)) = self.pick_open(pick) else { return };
        self.callers[caller].enter(phase(token));
        self.transmit(caller);
    }

    fn abort(&mut self, pick: u8) {
        let Some((caller, token)) = self.pick_open(pick) else { return };
        let request = self.callers[caller].request();
        self.emit(caller, super::callers::Inner::Reset(request, token));
        self.callers[caller].abort();
    }

    fn pick_open(&self, pick: u8) -> Option<(usize, super::upstreams::Token)> {
        let open: Vec<(usize, super::upstreams::Token)> = self
            .callers
            .iter()
            .filter_map(|caller| match caller.phase {
                Phase::Open { token, .. } => Some((caller.number, token)),
                _ => None,
            })
            .collect();
        pick_of(&open, pick).copied()
    }

    fn pause(&mut self, node: Node, lasts_ms: u64) {
        let until_ms = self.now_ms + lasts_ms;
        let paused_until_ms = match node {
            Node::Balancer(balancer) => &mut self.balancers[balancer].process.paused_until_ms,
            Node::Host(host) => &mut self.hosts[host].process.paused_until_ms,
        };
        *paused_until_ms = until_ms.max(*paused_until_ms);
        self.schedule(lasts_ms, QueuedEvent::Wake { node });
    }

    pub(super) fn wake(&mut self, node: Node) {
        let now_ms = self.now_ms;
        match node {
            Node::Balancer(balancer) => {
                for caller_packet in self.balancers[balancer].process.take_backlog(now_ms) {
                    self.forward(balancer, caller_packet);
                }
            }
            Node::Host(host) => {
                for incoming in self.hosts[host].process.take_backlog(now_ms) {
                    self.handle_incoming(host, incoming);
                }
            }
        }
    }

    fn hosts_with_agent(&self) -> Vec<usize> {
        (0..self.hosts.len()).filter(|host| self.hosts[*host].agent.is_some()).collect()
    }

    fn redeploy(&mut self, pick: u8, gap_ms: u64) {
        let Some(&host) = pick_of(&self.hosts_with_agent(), pick) else { return };
        let Some(incarnation) = self.hosts[host].agent.as_ref().map(|shell| shell.incarnation)
        else {
            return;
        };
        self.at_agent(host, Incoming::Leave);
        self.schedule(GRACE_MS, QueuedEvent::StopAgent { host, incarnation, gap_ms });
    }

    /// Completes an orderly shutdown, unless the agent has crashed meanwhile.
    pub(super) fn stop_agent(&mut self, host: usize, incarnation: IncarnationId, gap_ms: u64) {
        if self.hosts[host].agent.as_ref().is_some_and(|shell| shell.incarnation == incarnation) {
            self.record_loss(host, false);
            self.note(|| format!("host {host}: agent life {incarnation} ends"));
            self.hosts[host].agent = None;
            self.schedule(gap_ms, QueuedEvent::StartAgent { host });
        }
    }

    fn crash_agent(&mut self, pick: u8, gap_ms: u64) {
        let Some(&host) = pick_of(&self.hosts_with_agent(), pick) else { return };
        self.note(|| format!("host {host}: agent dies"));
        self.record_loss(host, true);
        self.hosts[host].agent = None;
        self.schedule(gap_ms, QueuedEvent::StartAgent { host });
    }

    fn crash_host(&mut self, pick: u8, gap_ms: u64) {
        let Some(&host) = pick_of(&self.hosts_with_agent(), pick) else { return };
        let occupant = self.hosts[host].occupant;
        self.record_loss(host, true);
        self.kill(host);
        if self.is_listed(occupant) {
            self.schedule(gap_ms, QueuedEvent::StartHost { host, occupant });
        } else {
            self.hosts[host].occupant = None;
        }
    }

    /// Terminates the upstream and its agent, which ends all their flows.
    pub(super) fn kill(&mut self, host: usize) {
        self.hosts[host].agent = None;
        self.hosts[host].process = Process::default();
        if let Some(upstream) = self.hosts[host].upstream.take() {
            self.note(|| format!("host {host}: upstream life {} is gone", upstream.incarnation));
            self.observe(Observation::UpstreamDied { upstream: upstream.incarnation });
        }
    }

    pub(super) fn is_listed(&self, occupant: super::fleet::Occupant) -> bool {
        let Some((service, name)) = occupant else { return false };
        let listed = &self.fleet.listed(service)[name];
        listed.state != decision::view::UpstreamState::Retired
    }

    fn end_retired(&mut self, pick: u8) {
        let retired = |host: &usize| {
            let target = &self.hosts[*host];
            let idle = target.upstream.as_ref().is_some_and(|known| known.connections.is_empty());
            idle && target.agent.is_some() && !self.is_listed(target.occupant)
        };
        let retired: Vec<usize> = (0..self.hosts.len()).filter(retired).collect();
        let Some(&host) = pick_of(&retired, pick) else { return };
        let Some(incarnation) = self.hosts[host].agent.as_ref().map(|shell| shell.incarnation)
        else {
            return;
        };
        self.at_agent(host, Incoming::Leave);
        self.schedule(GRACE_MS, QueuedEvent::StopHost { host, incarnation });
    }

    /// Shuts down a retired upstream. If it has flows again, retries after the grace period. If it
    /// has been restored in the settings, only its agent, which has already been asked to
    /// terminate, is restarted, at once.
    pub(super) fn stop_host(&mut self, host: usize, incarnation: IncarnationId) {
        let target = &self.hosts[host];
        let same = target.agent.as_ref().is_some_and(|shell| shell.incarnation == incarnation);
        let idle = target.upstream.as_ref().is_some_and(|known| known.connections.is_empty());
        if !same {
            return;
        }
        if self.is_listed(target.occupant) {
            self.stop_agent(host, incarnation, 0);
            return;
        }
        if idle {
            self.kill(host);
            self.hosts[host].occupant = None;
        } else {
            self.schedule(GRACE_MS, QueuedEvent::StopHost { host, incarnation });
        }
    }

    fn replace_balancer(&mut self, pick: u8, behind: u8) {
        let balancer = usize::from(pick) % self.balancers.len();
        let versions = self.older_versions(behind);
        let view = self.fleet.view(versions);
        self.balancers[balancer] = Balancer::new(versions, view);
    }

    fn older_versions(&self, behind: u8) -> super::fleet::Versions {
        self.fleet.newest().map(|version| version.saturating_sub(behind.into()).max(1))
    }

    fn stale_read(&mut self, pick: u8, behind: u8) {
        let Some(&host) = pick_of(&self.hosts_with_agent(), pick) else { return };
        let view = self.fleet.view(self.older_versions(behind));
        self.at_agent(host, Incoming::View(view));
    }

    fn override_report(&mut self, pick: u8, report: Report) {
        let Some(&host) = pick_of(&self.hosts_with_agent(), pick) else { return };
        self.at_agent(host, Incoming::Report(report));
    }

    fn hint(&mut self, pick: u8, peer: u8, alive: bool) {
        let Some(&host) = pick_of(&self.hosts_with_agent(), pick) else { return };
        let Some((service, _)) = self.hosts[host].occupant else { return };
        let Some(listed) = pick_of(self.fleet.listed(service), peer) else { return };
        let peer = SERVICES[service].upstream(listed.name);
        self.at_agent(host, Incoming::Hint { peer, alive });
    }

    fn suspect(&mut self, pick: u8, down: u32) {
        let balancer = usize::from(pick) % self.balancers.len();
        let mut suspects = Vec::new();
        for (host, target) in self.hosts.iter().enumerate() {
            if let Some((service, name)) = target.occupant.filter(|_| down >> host & 1 == 1) {
                suspects.push(SERVICES[service].upstream(name));
            }
        }
        let versions = self.balancers[balancer].versions;
        let view = self.fleet.view(versions);
        self.balancers[balancer].down = suspects;
        self.balancers[balancer].set(versions, view);
    }
}
