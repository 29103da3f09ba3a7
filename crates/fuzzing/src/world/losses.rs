//! Tracks agents that have lost their state, and the flows that may break as a result.
//!
//! Agents keep their knowledge of flows in memory only. A flow can't be recovered once all agents
//! that may know it have crashed before the loss of the first was repaired. The core keeps each
//! flow at three agents: its holder and two others. Breaking a flow is therefore excused if its
//! holder is among more than two agents that crashed at a time, or if all agents of the service
//! lost their state, by crashes or orderly restarts. Nothing else excuses it.

use decision::view::UpstreamState;

use super::World;
use crate::oracle::Observation;
use crate::step::Step;

/// Number of concurrent crashes that an open flow must survive.
const SURVIVED_CRASHES: usize = 2;
/// Time within which peers send a restarted agent the flows that it and others hold.
const REPAIR_MS: u64 = 10_000;

#[derive(Clone, Copy, Debug)]
struct Loss {
    service: usize,
    host: usize,
    crashed: bool,
    until_ms: u64,
}

/// Losses of state that are not repaired yet.
#[derive(Clone, Debug, Default)]
pub(super) struct Losses {
    losses: Vec<Loss>,
    /// True time until which network faults or pauses may delay repairs.
    repairs_delayed_until_ms: u64,
}

impl Losses {
    /// Extends the repairs in progress if the step keeps processes from communicating.
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

    fn add(&mut self, now_ms: u64, service: usize, host: usize, crashed: bool) {
        let until_ms = now_ms.max(self.repairs_delayed_until_ms) + REPAIR_MS;
        self.losses.retain(|loss| loss.until_ms > now_ms);
        self.losses.push(Loss { service, host, crashed, until_ms });
    }

    /// Hosts of a service with an unrepaired loss: by crashes only, or by any cause.
    fn hosts(&self, service: usize, crashes_only: bool) -> Vec<usize> {
        let counts = |loss: &&Loss| loss.service == service && (loss.crashed || !crashes_only);
        let mut hosts: Vec<usize> =
            self.losses.iter().filter(counts).map(|loss| loss.host).collect();
        hosts.sort_unstable();
        hosts.dedup();
        hosts
    }
}

impl World {
    /// Records that an agent lost its state, by a crash (`crashed`) or by an orderly restart.
    pub(super) fn record_loss(&mut self, host: usize, crashed: bool) {
        let Some((service, _)) = self.hosts[host].occupant else { return };
        self.losses.add(self.now_ms, service, host, crashed);
        let crashed_hosts = self.losses.hosts(service, true);
        let lost_hosts = self.losses.hosts(service, false);
        let listed = self.fleet.listed(service).iter();
        let all = listed
            .filter(|listed| listed.state != UpstreamState::Retired)
            .all(|listed| lost_hosts.contains(&listed.host));
        if all {
            self.excuse(&lost_hosts);
        } else if crashed_hosts.len() > SURVIVED_CRASHES {
            self.excuse(&crashed_hosts);
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
