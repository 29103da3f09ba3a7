//! Agents that have lost their memory, and the flows that nobody can know any more.
//!
//! What agents know about a flow is kept by processes without disks. A flow is beyond help once
//! all who can have been told of it have died before the loss of the first was repaired. The core
//! keeps it at three agents: its holder and two others. More than two deaths at a time, the
//! holder's among them, therefore excuse the flows of these holders, and so does the loss of all
//! agents of a service, however orderly. Nothing else does.

use decision::view::UpstreamState;

use super::World;
use crate::oracle::Observation;
use crate::step::Step;

/// Deaths at a time that an open flow survives.
const SURVIVED_DEATHS: usize = 2;
/// Time in which peers tell a restarted agent what it held and what others hold.
const REPAIR_MS: u64 = 10_000;

#[derive(Clone, Copy, Debug)]
struct Loss {
    service: usize,
    host: usize,
    died: bool,
    until_ms: u64,
}

/// Losses that are not repaired yet.
#[derive(Clone, Debug, Default)]
pub(super) struct Losses {
    losses: Vec<Loss>,
    /// True time until which the network or a pause may delay any repair.
    repairs_delayed_until_ms: u64,
}

impl Losses {
    /// Repairs take longer while processes can't talk.
    pub(super) fn delay_repairs(&mut self, now_ms: u64, step: &Step) {
        let lasts_ms = match *step {
            Step::Weather { lasts_ms, .. }
            | Step::Partition { lasts_ms, .. }
            | Step::Pause { lasts_ms, .. }
            | Step::PauseAll { lasts_ms } => lasts_ms,
            _ => return,
        };
        let until_ms = now_ms + u64::from(lasts_ms);
        self.repairs_delayed_until_ms = self.repairs_delayed_until_ms.max(until_ms);
        for loss in self.losses.iter_mut().filter(|loss| loss.until_ms > now_ms) {
            loss.until_ms = loss.until_ms.max(until_ms + REPAIR_MS);
        }
    }

    fn add(&mut self, now_ms: u64, service: usize, host: usize, died: bool) {
        let until_ms = now_ms.max(self.repairs_delayed_until_ms) + REPAIR_MS;
        self.losses.retain(|loss| loss.until_ms > now_ms);
        self.losses.push(Loss { service, host, died, until_ms });
    }

    /// Hosts of a service with an unrepaired loss, deaths only or all.
    fn hosts(&self, service: usize, deaths_only: bool) -> Vec<usize> {
        let counts = |loss: &&Loss| loss.service == service && (loss.died || !deaths_only);
        let mut hosts: Vec<usize> =
            self.losses.iter().filter(counts).map(|loss| loss.host).collect();
        hosts.sort_unstable();
        hosts.dedup();
        hosts
    }
}

impl World {
    /// An agent has lost its memory, by dying or by an orderly restart.
    pub(super) fn record_loss(&mut self, host: usize, died: bool) {
        let Some((service, _)) = self.hosts[host].occupant else { return };
        self.losses.add(self.now_ms, service, host, died);
        let dead = self.losses.hosts(service, true);
        let lost = self.losses.hosts(service, false);
        let listed = self.fleet.listed(service).iter();
        let all = listed
            .filter(|listed| listed.state != UpstreamState::Retired)
            .all(|listed| lost.contains(&listed.host));
        if all {
            self.excuse(&lost);
        } else if dead.len() > SURVIVED_DEATHS {
            self.excuse(&dead);
        }
    }

    fn excuse(&mut self, hosts: &[usize]) {
        for host in hosts {
            let Some(upstream) = &self.hosts[*host].upstream else { continue };
            let requests: Vec<_> = upstream.connections.iter().map(|known| known.request).collect();
            for request in requests {
                self.observe(Observation::Forgotten { request });
            }
        }
    }
}
