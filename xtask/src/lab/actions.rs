//! What the lab can do to the machines: start them, publish, and tell platform and fabric.

use anyhow::ensure;
use nix::sys::signal::Signal;
use standins::clock;
use standins::fabric::{Balancer, Delay, Plan, Pool, Zone};
use standins::platform::{Instance, InstanceList};
use standins::shell::lock;

use super::fleet::{Daemon, Fleet, Listed, Upstream};
use super::journal::{Drain, Publication};
use super::topology::{self, ACCOUNTS, CLIENT_DELAY_US, Place};
use super::{Lab, documents};
use crate::process::Process;

/// The platform's list shows a change after this long.
const INSTANCE_LAG_MS: u64 = 1_000;
/// The fabric hands packets to a removed balancer for this long.
const FABRIC_LAG_MS: u64 = 500;
/// A fresh process answers within this time, on a busy machine too.
const START_TIMEOUT_MS: u64 = 15_000;
/// A process told to end does so within its grace of 3 s and some time for a busy machine.
const END_TIMEOUT_MS: u64 = 8_000;

impl Lab {
    /// Starts platform and fabric and waits for them.
    pub(super) fn start_platform_and_fabric(&self) -> anyhow::Result<()> {
        let listen = self.net.platform().to_string();
        self.start_standin("standin-platform", "platform", &["--listen", &listen])?;
        let (ingress, gateway) = (self.net.ingress().to_string(), self.net.gateway().to_string());
        let control = self.net.fabric_control().to_string();
        let seed = self.options.seed.to_string();
        self.start_standin(
            "standin-fabric",
            "fabric",
            &["--ingress", &ingress, "--gateway", &gateway, "--control", &control, "--seed", &seed],
        )?;
        self.await_answer("platform", self.net.platform(), "/admin/stats")?;
        self.await_answer("fabric", self.net.fabric_control(), "/admin/stats")
    }

    /// Starts the callers of each account; they have no work yet.
    pub(super) fn start_callers(&self) -> anyhow::Result<()> {
        for (account, plan) in ACCOUNTS.iter().enumerate() {
            let place = self.net.caller(account);
            let mut arguments = vec![
                "--listen".to_owned(),
                place.data.to_string(),
                "--control".to_owned(),
                place.control.to_string(),
                "--fabric".to_owned(),
                self.net.ingress().to_string(),
                "--number".to_owned(),
                (account + 1).to_string(),
                "--seed".to_owned(),
                (self.options.seed * 2 + account as u64).to_string(),
            ];
            for client in topology::clients(plan) {
                arguments.extend(["--client".to_owned(), client.to_string()]);
            }
            let name = format!("caller-{}", plan.name);
            let process = self.start("standin-caller", &name, &arguments)?;
            lock(&self.standins).push(process);
        }
        for account in 0..ACCOUNTS.len() {
            self.await_answer("caller", self.net.caller(account).control, "/admin/report")?;
        }
        Ok(())
    }

    /// Starts the upstream in a row; its ledger goes on in the same file.
    pub(super) fn start_upstream(&self, index: usize) -> anyhow::Result<()> {
        let mut fleet = lock(&self.fleet);
        let row = &mut fleet.upstreams[index];
        row.upstream.life += 1;
        let arguments = self.upstream_arguments(row);
        let log = format!("{}.{}", row.upstream.name, row.upstream.life);
        row.upstream.process = Some(self.start("standin-upstream", &log, &arguments)?);
        Ok(())
    }

    /// Starts the agent in a row; it is listed once it is ready.
    pub(super) fn start_agent(&self, index: usize) -> anyhow::Result<()> {
        let mut fleet = lock(&self.fleet);
        let settings = documents::agent(self.net, &fleet, &fleet.upstreams[index], &self.secrets);
        let daemon = &mut fleet.upstreams[index].agent;
        self.start_daemon("gooseberrysill-agent", daemon, &settings)
    }

    /// Starts the balancer in a row; it is listed once it is ready.
    pub(super) fn start_balancer(&self, index: usize) -> anyhow::Result<()> {
        let mut fleet = lock(&self.fleet);
        let row = &fleet.balancers[index];
        let settings = documents::balancer(self.net, &fleet, row, &self.secrets);
        let daemon = &mut fleet.balancers[index].daemon;
        self.start_daemon("gooseberrysill-balancer", daemon, &settings)
    }

    /// Waits until a daemon is ready and lists it.
    pub(super) fn await_ready(&self, daemon: Pick) -> anyhow::Result<()> {
        let (name, place) = self.with_daemon(daemon, |daemon| (daemon.name.clone(), daemon.place));
        self.await_answer(&name, place.control, "/readyz")?;
        self.with_daemon(daemon, |daemon| {
            daemon.is_ready = true;
            daemon.listed = Listed::Live;
        });
        self.push_instances()
    }

    /// Waits until a daemon that was told to end is gone, and notes how it went.
    pub(super) fn await_end(&self, daemon: Pick) -> anyhow::Result<()> {
        let exited = || {
            self.with_daemon(daemon, |daemon| match &mut daemon.process {
                Some(process) => process.exit_status(),
                None => None,
            })
        };
        let in_time = self.wait_until(END_TIMEOUT_MS, || exited().is_some())?;
        let status = exited();
        let name = self.with_daemon(daemon, |daemon| {
            daemon.process = None;
            daemon.name.clone()
        });
        if !in_time || !status.is_some_and(|status| status.success()) {
            let how = status.map_or("not in time".to_owned(), |status| status.to_string());
            self.note(|journal, _| journal.unclean_exits.push(format!("{name}: {how}")));
        }
        Ok(())
    }

    /// Sends a signal to a daemon and notes that the lab did.
    pub(super) fn signal(&self, daemon: Pick, signal: Signal) {
        let name = self.with_daemon(daemon, |daemon| {
            if matches!(signal, Signal::SIGTERM | Signal::SIGKILL) {
                daemon.is_ready = false;
            }
            if let Some(process) = &daemon.process {
                process.signal(signal);
            }
            daemon.name.clone()
        });
        self.note(|journal, now_ms| journal.disturbed.push((name, now_ms)));
    }

    /// Calls `apply` with one daemon of the fleet.
    pub(super) fn with_daemon<T>(&self, pick: Pick, apply: impl FnOnce(&mut Daemon) -> T) -> T {
        let mut fleet = lock(&self.fleet);
        apply(match pick {
            Pick::Balancer(index) => &mut fleet.balancers[index].daemon,
            Pick::Agent(index) => &mut fleet.upstreams[index].agent,
            Pick::Upstream(index) => &mut fleet.upstreams[index].upstream,
        })
    }

    /// Changes the fleet's tables and publishes the account's next version.
    pub(super) fn publish(
        &self,
        account: usize,
        change: impl FnOnce(&mut Fleet, u64),
    ) -> anyhow::Result<()> {
        let mut fleet = lock(&self.fleet);
        fleet.versions[account] += 1;
        let version = fleet.versions[account];
        change(&mut fleet, version);
        self.put_account(&fleet, account)
    }

    /// Publishes root and subtrees as they are at the start.
    pub(super) fn publish_all(&self) -> anyhow::Result<()> {
        let fleet = lock(&self.fleet);
        self.http.put_text(self.net.platform(), "/admin/root", &documents::root(&fleet))?;
        (0..ACCOUNTS.len()).try_for_each(|account| self.put_account(&fleet, account))
    }

    fn put_account(&self, fleet: &Fleet, account: usize) -> anyhow::Result<()> {
        let name = ACCOUNTS[account].name;
        let path = format!("/admin/accounts/{name}");
        self.http.put_text(self.net.platform(), &path, &documents::account(fleet, account))?;
        let version = fleet.versions[account];
        self.note(|journal, at_ms| {
            journal.publications.push(Publication { account: name, version, at_ms });
        });
        Ok(())
    }

    /// Notes that an upstream leaves from now on.
    pub(super) fn note_drain(&self, index: usize) {
        let upstream = lock(&self.fleet).upstreams[index].upstream.name.clone();
        self.note(|journal, from_ms| {
            journal.drains.push(Drain { upstream, from_ms, until_ms: None });
        });
    }

    /// Gives the platform the list of instances; readers see it after its lag.
    pub(super) fn push_instances(&self) -> anyhow::Result<()> {
        let fleet = lock(&self.fleet);
        let mut instances = Vec::new();
        for row in &fleet.balancers {
            let region = ACCOUNTS[row.account].region;
            instances.extend(instance("balancer", &row.daemon, row.zone, region));
        }
        for row in &fleet.upstreams {
            let region = row.account_plan().region;
            let listed = instance("agent", &row.agent, row.zone, region);
            instances.extend(listed.map(|listed| with_names(listed, row)));
        }
        let list = InstanceList { instances, lag_ms: INSTANCE_LAG_MS };
        let body = ListBody { instances: &list.instances, lag_ms: list.lag_ms };
        self.http.put(self.net.platform(), "/admin/instances", &body)
    }

    /// Gives the fabric its plan: balancers, zones, delays and faults.
    pub(super) fn push_plan(&self) -> anyhow::Result<()> {
        let plan = self.plan(&lock(&self.fleet));
        self.http.put(self.net.fabric_control(), "/admin/plan", &plan)
    }

    fn plan(&self, fleet: &Fleet) -> Plan {
        let mut plan = Plan {
            delay_us: CLIENT_DELAY_US,
            faults: fleet.faults,
            remove_lag_ms: FABRIC_LAG_MS,
            ..Plan::default()
        };
        for (index, account) in ACCOUNTS.iter().enumerate() {
            let clients = format!("clients-{}", account.name);
            let addresses = topology::clients(account);
            plan.zones.push(Zone { name: clients.as_str().into(), addresses });
            let rows = fleet.balancers.iter().filter(|row| row.account == index);
            let entries: Vec<_> = rows.filter(|row| row.is_sprayed).collect();
            for row in &entries {
                let addresses = vec![row.daemon.place.data.ip()];
                plan.zones.push(Zone { name: row.zone.into(), addresses });
                // The hop between zones, from balancer to agent, doesn't pass the fabric, so its
                // delay is added to the way in.
                let zones = [clients.as_str().into(), row.zone.into()];
                let delay_us = CLIENT_DELAY_US + account.zone_delay_us;
                plan.delays.push(Delay { zones, delay_us });
            }
            if self.options.scenario.with_product {
                let balancer = |address| Balancer { address, leaves_at_us: None };
                let balancers = entries.iter().map(|row| balancer(row.daemon.place.data));
                let addresses = topology::service_addresses(account);
                plan.pools.push(Pool { addresses, balancers: balancers.collect() });
            }
        }
        if !self.options.scenario.with_product {
            plan.pools = direct_pools(fleet);
        }
        plan
    }

    fn upstream_arguments(&self, row: &Upstream) -> Vec<String> {
        let service = row.service_plan();
        let Place { data, control } = row.upstream.place;
        let ledger = self.out.join(format!("{}.ledger", row.upstream.name));
        let mut arguments = vec![
            "--service".to_owned(),
            service.name.to_owned(),
            "--name".to_owned(),
            row.upstream.name.clone(),
            "--listen".to_owned(),
            data.to_string(),
            "--control".to_owned(),
            control.to_string(),
            "--gateway".to_owned(),
            self.net.gateway().to_string(),
            "--ledger".to_owned(),
            ledger.display().to_string(),
            "--seed".to_owned(),
            (self.options.seed + u64::from(row.upstream.life) * 1_000).to_string(),
        ];
        for endpoint in std::iter::once(service.address).chain(service.datagram_address) {
            arguments.extend(["--endpoint".to_owned(), endpoint.to_owned()]);
        }
        arguments
    }

    fn start_daemon(
        &self,
        program: &str,
        daemon: &mut Daemon,
        settings: &str,
    ) -> anyhow::Result<()> {
        daemon.life += 1;
        daemon.is_ready = false;
        let log = format!("{}.{}", daemon.name, daemon.life);
        let file = self.out.join(format!("{log}.yaml"));
        std::fs::write(&file, settings)?;
        let arguments = ["--settings".to_owned(), file.display().to_string()];
        daemon.process = Some(self.start(program, &log, &arguments)?);
        Ok(())
    }

    fn start_standin(&self, program: &str, name: &str, arguments: &[&str]) -> anyhow::Result<()> {
        let arguments: Vec<_> = arguments.iter().map(|argument| (*argument).to_owned()).collect();
        let process = self.start(program, name, &arguments)?;
        lock(&self.standins).push(process);
        Ok(())
    }

    fn start(&self, program: &str, name: &str, arguments: &[String]) -> anyhow::Result<Process> {
        let log = self.out.join(format!("{name}.log"));
        let mutant = self.options.mutant.as_deref();
        let variable = mutant.map(|mutant| ("GOOSEBERRYSILL_MUTANT", mutant));
        Process::start(name, &self.programs.join(program), arguments, variable, &log)
    }

    pub(super) fn await_answer(
        &self,
        name: &str,
        address: std::net::SocketAddr,
        path: &str,
    ) -> anyhow::Result<()> {
        let begun = clock::now();
        let is_up = || self.http.is_ok(address, path);
        let in_time = self.wait_until(START_TIMEOUT_MS, is_up)?;
        let waited_ms = clock::now().since(begun);
        ensure!(in_time, "{name}: no good answer from http://{address}{path} in {waited_ms} ms");
        Ok(())
    }
}

/// One process slot of the fleet.
#[derive(Clone, Copy)]
pub(super) enum Pick {
    Balancer(usize),
    Agent(usize),
    Upstream(usize),
}

#[derive(serde::Serialize)]
struct ListBody<'a> {
    instances: &'a [Instance],
    lag_ms: u64,
}

fn instance(kind: &str, daemon: &Daemon, zone: &str, region: &str) -> Option<Instance> {
    let state = match daemon.listed {
        Listed::Absent => return None,
        Listed::Live => "live",
        Listed::Leaving => "leaving",
    };
    Some(Instance {
        name: daemon.name.as_str().into(),
        kind: kind.into(),
        account: None,
        service: None,
        upstream: None,
        data_address: daemon.place.data,
        control_address: daemon.place.control,
        zone: zone.into(),
        region: region.into(),
        state: state.into(),
    })
}

fn with_names(instance: Instance, row: &Upstream) -> Instance {
    Instance {
        account: Some(row.account_plan().name.into()),
        service: Some(row.service_plan().name.into()),
        upstream: Some(row.upstream.name.as_str().into()),
        ..instance
    }
}

/// Without the product, each service's first upstream stands where its balancers would.
fn direct_pools(fleet: &Fleet) -> Vec<Pool> {
    let first = fleet.upstreams.iter().filter(|row| row.number == 1);
    let pool = |row: &Upstream| {
        let address = row.service_plan().address.parse::<std::net::SocketAddr>().ok()?;
        let balancer = Balancer { address: row.upstream.place.data, leaves_at_us: None };
        Some(Pool { addresses: vec![address.ip()], balancers: vec![balancer] })
    };
    first.filter_map(pool).collect()
}
