//! Distribution of published settings to the processes: delayed, at different times, or not at all.

use super::agents::Incoming;
use super::balancers::hash_of;
use super::fleet::{HostAction, Occupant, Versions};
use super::{Node, QueuedEvent, World};
use crate::step::Change;

/// Time that an agent's fetch of settings takes.
const FETCH_MS: u64 = 100;

impl World {
    /// Publishes a change and schedules its arrival at each process after a delay of its own.
    pub(super) fn publish(&mut self, service: u8, change: Change, pick: u8, lag_ms: u32) {
        let service = usize::from(service) % self.fleet.service_count();
        let hosts: Vec<Occupant> = self.hosts.iter().map(|host| host.occupant).collect();
        let Some(action) = self.fleet.publish(service, change, pick, &hosts) else { return };
        let newest = self.fleet.newest();
        let listed = self.fleet.listed(service).to_vec();
        self.note(|| format!("published {newest:?}: {listed:?}"));
        if let HostAction::Start { name, host } = action {
            self.start_host(host, Some((service, name)));
        }
        for node in self.nodes() {
            let delay_ms = hash_of(&(node, newest, pick)) % (u64::from(lag_ms) + 1);
            self.schedule(delay_ms, QueuedEvent::Settings { node, versions: newest });
        }
    }

    /// All processes: balancers, then agents.
    pub(super) fn nodes(&self) -> Vec<Node> {
        let balancers = (0..self.balancers.len()).map(Node::Balancer);
        balancers.chain((0..self.hosts.len()).map(Node::Host)).collect()
    }

    /// Delivers settings to a process. The process keeps the newer version of each account, so it
    /// never goes back to older settings by itself.
    pub(super) fn receive_settings(&mut self, node: Node, versions: Versions) {
        if self.outage_until_ms > self.now_ms {
            return;
        }
        match node {
            Node::Balancer(balancer) => {
                let versions = newer(self.balancers[balancer].versions, versions);
                let view = self.fleet.view(versions);
                self.balancers[balancer].set(versions, view);
            }
            Node::Host(host) => {
                let Some(shell) = &mut self.hosts[host].agent else { return };
                let versions = newer(shell.versions, versions);
                let view = self.fleet.view(versions);
                shell.fetching = false;
                if versions != shell.versions {
                    shell.versions = versions;
                    shell.view = view.clone();
                    self.at_agent(host, Incoming::View(view));
                }
            }
        }
    }

    /// Newest settings that a starting process can learn of: during an outage only those that
    /// another process has.
    pub(super) fn known_settings(&self) -> Versions {
        if self.outage_until_ms <= self.now_ms {
            return self.fleet.newest();
        }
        let balancers = self.balancers.iter().map(|balancer| balancer.versions);
        let agents = self.hosts.iter().filter_map(|host| Some(host.agent.as_ref()?.versions));
        balancers.chain(agents).reduce(newer).unwrap_or_else(|| self.fleet.newest())
    }

    /// Fetches the newest settings for an agent that has learned of a newer version.
    pub(super) fn fetch(&mut self, host: usize) {
        let versions = self.fleet.newest();
        let Some(shell) = &mut self.hosts[host].agent else { return };
        if !std::mem::replace(&mut shell.fetching, true) {
            self.schedule(FETCH_MS, QueuedEvent::Settings { node: Node::Host(host), versions });
        }
    }
}

fn newer(left: Versions, right: Versions) -> Versions {
    std::array::from_fn(|account| left[account].max(right[account]))
}
