//! State of the processes in a run: balancers, upstreams with their agents, settings versions.

use std::net::SocketAddr;

use standins::fabric::Faults;

use super::scenario::Target;
use super::topology::{ACCOUNTS, AccountPlan, BALANCERS_PER_ACCOUNT, Endpoints, Net, ServicePlan};
use crate::process::Process;

/// All balancers, agents and upstreams of a run, and the state of platform and fabric.
pub(super) struct Fleet {
    pub(super) balancers: Vec<Balancer>,
    pub(super) upstreams: Vec<Upstream>,
    /// Version of each account's subtree.
    pub(super) versions: [u64; ACCOUNTS.len()],
    pub(super) root_version: u64,
    /// Faults that the fabric currently injects.
    pub(super) faults: Faults,
}

/// State of an instance in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Listed {
    Absent,
    Live,
    Leaving,
}

/// A process slot. A restart puts a new process into the same slot.
pub(super) struct Daemon {
    pub(super) name: String,
    pub(super) endpoints: Endpoints,
    /// Number of processes started in this slot so far.
    pub(super) start_count: u32,
    pub(super) process: Option<Process>,
    pub(super) listed: Listed,
    /// True once `/readyz` succeeded, until the lab sends SIGTERM or SIGKILL.
    pub(super) is_ready: bool,
}

pub(super) struct Balancer {
    pub(super) account: usize,
    pub(super) number: u32,
    pub(super) zone: &'static str,
    pub(super) daemon: Daemon,
    /// Whether the fabric sends packets to it.
    pub(super) in_rotation: bool,
}

/// State of an upstream in the published settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Published {
    Absent,
    Active,
    Draining,
    Retired,
}

pub(super) struct Upstream {
    pub(super) account: usize,
    pub(super) service: usize,
    pub(super) number: u32,
    pub(super) zone: &'static str,
    pub(super) weight: u32,
    pub(super) published: Published,
    pub(super) since_version: u64,
    pub(super) retired_version: u64,
    pub(super) agent: Daemon,
    pub(super) upstream: Daemon,
}

/// Version of each account that first lists its upstreams. The version before lists none, so that
/// the first agents can start before they are listed.
pub(super) const FIRST_LISTING: u64 = 2;

/// Initial weight of an upstream.
pub(super) const WEIGHT: u32 = 100;

impl Fleet {
    /// The initial fleet, with no process running yet.
    pub(super) fn new(net: Net) -> Self {
        let mut fleet = Self {
            balancers: Vec::new(),
            upstreams: Vec::new(),
            versions: [FIRST_LISTING; ACCOUNTS.len()],
            root_version: 1,
            faults: Faults::default(),
        };
        for (account, plan) in ACCOUNTS.iter().enumerate() {
            fleet
                .balancers
                .extend((1..=BALANCERS_PER_ACCOUNT).map(|number| balancer(net, account, number)));
            for (service, service_plan) in plan.services.iter().enumerate() {
                for number in 1..=service_plan.upstreams {
                    fleet.add_upstream(net, account, service, Published::Active);
                    debug_assert_eq!(fleet.upstreams.last().map(|last| last.number), Some(number));
                }
            }
        }
        fleet
    }

    /// Adds the next upstream of a service and returns its index.
    pub(super) fn add_upstream(
        &mut self,
        net: Net,
        account: usize,
        service: usize,
        published: Published,
    ) -> usize {
        let plan = &ACCOUNTS[account];
        let peers = |row: &&Upstream| (row.account, row.service) == (account, service);
        let number = self.upstreams.iter().filter(peers).count() as u32 + 1;
        let zone = plan.zones[number as usize % plan.zones.len()];
        let name = format!("{}-{number}", plan.services[service].name);
        self.upstreams.push(Upstream {
            account,
            service,
            number,
            zone,
            weight: WEIGHT,
            published,
            since_version: self.versions[account],
            retired_version: 0,
            agent: daemon(format!("agent-{name}"), net.agent(account, service, number)),
            upstream: daemon(name, net.upstream(account, service, number)),
        });
        self.upstreams.len() - 1
    }

    /// Index of the upstream to which a target maps for a seed.
    pub(super) fn resolve(&self, target: Target, seed: u64) -> usize {
        let is_service = |row: &Upstream| row.service_plan().name == target.service;
        let count = self
            .upstreams
            .iter()
            .filter(|row| is_service(row) && row.since_version == FIRST_LISTING)
            .count();
        let number = (u64::from(target.slot) + seed) % count as u64 + 1;
        let is_target = |row: &Upstream| is_service(row) && u64::from(row.number) == number;
        // Scenarios name only services of the topology.
        self.upstreams.iter().position(is_target).expect("a target is part of the topology")
    }

    /// Indexes of the balancers in a slot, one for each account.
    pub(super) fn balancers_in_slot(&self, slot: u32, seed: u64) -> Vec<usize> {
        let number = (u64::from(slot) + seed) % u64::from(BALANCERS_PER_ACCOUNT) + 1;
        let rows = self.balancers.iter().enumerate();
        rows.filter(|(_, row)| u64::from(row.number) == number).map(|(index, _)| index).collect()
    }

    /// Every balancer and agent.
    pub(super) fn daemons(&self) -> impl Iterator<Item = &Daemon> {
        let balancers = self.balancers.iter().map(|row| &row.daemon);
        balancers.chain(self.upstreams.iter().map(|row| &row.agent))
    }

    /// Control addresses of all balancers, which new processes get as their initial peers.
    pub(super) fn balancer_controls(&self) -> Vec<SocketAddr> {
        self.balancers.iter().map(|row| row.daemon.endpoints.control).collect()
    }
}

impl Upstream {
    pub(super) fn account_plan(&self) -> &'static AccountPlan {
        &ACCOUNTS[self.account]
    }

    pub(super) fn service_plan(&self) -> &'static ServicePlan {
        &ACCOUNTS[self.account].services[self.service]
    }
}

fn balancer(net: Net, account: usize, number: u32) -> Balancer {
    let plan = &ACCOUNTS[account];
    Balancer {
        account,
        number,
        zone: plan.zones[(number as usize - 1) % plan.zones.len()],
        daemon: daemon(format!("bal-{}-{number}", plan.name), net.balancer(account, number)),
        in_rotation: true,
    }
}

fn daemon(name: String, endpoints: Endpoints) -> Daemon {
    Daemon {
        name,
        endpoints,
        start_count: 0,
        process: None,
        listed: Listed::Absent,
        is_ready: false,
    }
}
