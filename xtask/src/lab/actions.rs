//! Operations on the processes of a run: starts and signals them, publishes settings, and
//! configures the platform and the fabric.

use anyhow::ensure;
use nix::sys::signal::Signal;
use standins::clock;
use standins::fabric::{Balancer, Delay, Plan, Pool, Zone};
use standins::platform::{Instance, InstanceList};
use standins::shell::lock;

use super::fleet::{Daemon, FIRST_LISTING, Fleet, Listed, Upstream};
use super::journal::{Drain, Publication};
use super::topology::{self, ACCOUNTS, CLIENT_DELAY_US, Endpoints};
use super::{Lab, documents};
use crate::process::Process;

/// Delay until the platform's instance list shows a change.
const INSTANCE_LAG_MS: u64 = 1_000;
/// Time for which the fabric still sends packets to a removed balancer.
const FABRIC_LAG_MS: u64 = 500;
/// Maximum time for a new process to respond, also on a busy machine.
const START_TIMEOUT_MS: u64 = 15_000;
/// Maximum time from SIGTERM to the exit: the grace of 3 s and a margin for a busy machine.
const EXIT_TIMEOUT_MS: u64 = 8_000;

impl Lab {
    /// Starts the platform and the fabric and waits until they respond.
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
        self.await_http_ok("platform", self.net.platform(), "/admin/stats")?;
        self.await_http_ok("fabric", self.net.fabric_control(), "/admin/stats")
    }

    /// Starts the callers of each account, which have no workload yet.
    pub(super) fn start_callers(&self) -> anyhow::Result<()> {
        for (account, plan) in ACCOUNTS.iter().enumerate() {
            let endpoints = self.net.caller(account);
            let mut arguments = vec![
                "--listen".to_owned(),
                endpoints.data.to_string(),
                "--control".to_owned(),
                endpoints.control.to_string(),
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
            self.await_http_ok("caller", self.net.caller(account).control, "/admin/report")?;
        }
        Ok(())
    }

    /// Starts the upstream at this index. After a restart it appends to the same ledger.
    pub(super) fn start_upstream(&self, index: usize) -> anyhow::Result<()> {
        let mut fleet = lock(&self.fleet);
        let row = &mut fleet.upstreams[index];
        row.upstream.start_count += 1;
        let arguments = self.upstream_arguments(row);
        let log = format!("{}.{}", row.upstream.name, row.upstream.start_count);
        row.upstream.process = Some(self.start("standin-upstream", &log, &arguments)?);
        Ok(())
    }

    /// Starts the agent of the upstream at this index. `await_ready` adds it to the instance list.
    pub(super) fn start_agent(&self, index: usize) -> anyhow::Result<()> {
        let mut fleet = lock(&self.fleet);
        let settings = documents::agent(self.net, &fleet, &fleet.upstreams[index], &self.secrets);
        let daemon = &mut fleet.upstreams[index].agent;
        self.start_daemon("gooseberrysill-agent", daemon, &settings)
    }

    /// Starts the balancer at this index. `await_ready` adds it to the instance list.
    pub(super) fn start_balancer(&self, index: usize) -> anyhow::Result<()> {
        let mut fleet = lock(&self.fleet);
        let row = &fleet.balancers[index];
        let settings = documents::balancer(self.net, &fleet, row, &self.secrets);
        let daemon = &mut fleet.balancers[index].daemon;
        self.start_daemon("gooseberrysill-balancer", daemon, &settings)
    }

    /// Waits until a daemon is ready and adds it to the platform's instance list.
    pub(super) fn await_ready(&self, id: DaemonId) -> anyhow::Result<()> {
        let (name, endpoints) =
            self.with_daemon(id, |daemon| (daemon.name.clone(), daemon.endpoints));
        self.await_http_ok(&name, endpoints.control, "/readyz")?;
        self.with_daemon(id, |daemon| {
            daemon.is_ready = true;
            daemon.listed = Listed::Live;
        });
        self.push_instances()
    }

    /// Waits until a daemon that received SIGTERM has exited, and records an unclean exit.
    pub(super) fn await_exit(&self, id: DaemonId) -> anyhow::Result<()> {
        let exited = || {
            self.with_daemon(id, |daemon| match &mut daemon.process {
                Some(process) => process.exit_status(),
                None => None,
            })
        };
        let in_time = self.wait_until(EXIT_TIMEOUT_MS, || exited().is_some())?;
        let status = exited();
        let name = self.with_daemon(id, |daemon| {
            daemon.process = None;
            daemon.name.clone()
        });
        if !in_time || !status.is_some_and(|status| status.success()) {
            let how = status.map_or("did not exit in time".to_owned(), |status| status.to_string());
            self.record(|journal, _| journal.unclean_exits.push(format!("{name}: {how}")));
        }
        Ok(())
    }

    /// Sends a signal to a daemon and records that the lab disturbed it.
    pub(super) fn signal(&self, id: DaemonId, signal: Signal) {
        let name = self.with_daemon(id, |daemon| {
            if matches!(signal, Signal::SIGTERM | Signal::SIGKILL) {
                daemon.is_ready = false;
            }
            if let Some(process) = &daemon.process {
                process.signal(signal);
            }
            daemon.name.clone()
        });
        self.record(|journal, now_ms| journal.disturbed.push((name, now_ms)));
    }

    /// Calls `apply` with one daemon of the fleet.
    pub(super) fn with_daemon<T>(&self, id: DaemonId, apply: impl FnOnce(&mut Daemon) -> T) -> T {
        let mut fleet = lock(&self.fleet);
        apply(match id {
            DaemonId::Balancer(index) => &mut fleet.balancers[index].daemon,
            DaemonId::Agent(index) => &mut fleet.upstreams[index].agent,
            DaemonId::Upstream(index) => &mut fleet.upstreams[index].upstream,
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

    /// Publishes the root document, and account subtrees that list no service yet.
    pub(super) fn publish_without_upstreams(&self) -> anyhow::Result<()> {
        let fleet = lock(&self.fleet);
        self.http.put_text(self.net.platform(), "/admin/root", &documents::root(&fleet))?;
        ACCOUNTS.iter().try_for_each(|account| {
            let path = format!("/admin/accounts/{}", account.name);
            let yaml = documents::account_without_services(account.name, FIRST_LISTING - 1);
            self.http.put_text(self.net.platform(), &path, &yaml)
        })
    }

    /// Waits until an agent is certain that it started before its upstream is listed.
    pub(super) fn await_listable(&self, index: usize) -> anyhow::Result<()> {
        let (name, endpoints) = self
            .with_daemon(DaemonId::Agent(index), |daemon| (daemon.name.clone(), daemon.endpoints));
        let is_listable = || {
            let timeline = self.http.get_text(endpoints.control, "/timeline?after=0");
            timeline.is_ok_and(|text| text.contains("may_be_listed"))
        };
        let in_time = self.wait_until(START_TIMEOUT_MS, is_listable)?;
        ensure!(in_time, "{name}: not certain to have started before its listing");
        Ok(())
    }

    /// Publishes account subtrees that list all upstreams.
    pub(super) fn publish_all(&self) -> anyhow::Result<()> {
        let fleet = lock(&self.fleet);
        (0..ACCOUNTS.len()).try_for_each(|account| self.put_account(&fleet, account))
    }

    fn put_account(&self, fleet: &Fleet, account: usize) -> anyhow::Result<()> {
        let name = ACCOUNTS[account].name;
        let path = format!("/admin/accounts/{name}");
        self.http.put_text(self.net.platform(), &path, &documents::account(fleet, account))?;
        let version = fleet.versions[account];
        self.record(|journal, at_ms| {
            journal.publications.push(Publication { account: name, version, at_ms });
        });
        Ok(())
    }

    /// Records that an upstream is draining from now on.
    pub(super) fn record_drain(&self, index: usize) {
        let upstream = lock(&self.fleet).upstreams[index].upstream.name.clone();
        self.record(|journal, from_ms| {
            journal.drains.push(Drain { upstream, from_ms, until_ms: None });
        });
    }

    /// Sends the instance list to the platform; readers see it after `INSTANCE_LAG_MS`.
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
            instances.extend(listed.map(|listed| with_upstream_identity(listed, row)));
        }
        let list = InstanceList { instances, lag_ms: INSTANCE_LAG_MS };
        let body = ListBody { instances: &list.instances, lag_ms: list.lag_ms };
        self.http.put(self.net.platform(), "/admin/instances", &body)
    }

    /// Sends the fabric its plan: balancers, zones, delays and faults.
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
            let entries: Vec<_> = rows.filter(|row| row.in_rotation).collect();
            for row in &entries {
                let addresses = vec![row.daemon.endpoints.data.ip()];
                plan.zones.push(Zone { name: row.zone.into(), addresses });
                // The hop from balancer to agent, which may cross zones, does not pass through the
                // fabric. Its delay is added to the path from the clients to the balancer.
                let zones = [clients.as_str().into(), row.zone.into()];
                let delay_us = CLIENT_DELAY_US + account.zone_delay_us;
                plan.delays.push(Delay { zones, delay_us });
            }
            if self.options.scenario.with_product {
                let balancer = |address| Balancer { address, leaves_at_us: None };
                let balancers = entries.iter().map(|row| balancer(row.daemon.endpoints.data));
                let addresses = topology::service_addresses(account);
                plan.pools.push(Pool { addresses, balancers: balancers.collect() });
            }
        }
        if !self.options.scenario.with_product {
            plan.pools = pools_without_product(fleet);
        }
        plan
    }

    fn upstream_arguments(&self, row: &Upstream) -> Vec<String> {
        let service = row.service_plan();
        let Endpoints { data, control } = row.upstream.endpoints;
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
            (self.options.seed + u64::from(row.upstream.start_count) * 1_000).to_string(),
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
        daemon.start_count += 1;
        daemon.is_ready = false;
        let log = format!("{}.{}", daemon.name, daemon.start_count);
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
        Process::start(name, &self.bin_dir.join(program), arguments, variable, &log)
    }

    pub(super) fn await_http_ok(
        &self,
        name: &str,
        address: std::net::SocketAddr,
        path: &str,
    ) -> anyhow::Result<()> {
        let begun = clock::now();
        let is_up = || self.http.is_ok(address, path);
        let in_time = self.wait_until(START_TIMEOUT_MS, is_up)?;
        let waited_ms = clock::now().since(begun);
        ensure!(in_time, "{name}: no success from http://{address}{path} in {waited_ms} ms");
        Ok(())
    }
}

/// Identifies a process slot of the fleet by its kind and index.
#[derive(Clone, Copy)]
pub(super) enum DaemonId {
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
        data_address: daemon.endpoints.data,
        control_address: daemon.endpoints.control,
        zone: zone.into(),
        region: region.into(),
        state: state.into(),
    })
}

fn with_upstream_identity(instance: Instance, row: &Upstream) -> Instance {
    Instance {
        account: Some(row.account_plan().name.into()),
        service: Some(row.service_plan().name.into()),
        upstream: Some(row.upstream.name.as_str().into()),
        ..instance
    }
}

/// Without the product, the fabric sends the packets of a service to its first upstream.
fn pools_without_product(fleet: &Fleet) -> Vec<Pool> {
    let first = fleet.upstreams.iter().filter(|row| row.number == 1);
    let pool = |row: &Upstream| {
        let address = row.service_plan().address.parse::<std::net::SocketAddr>().ok()?;
        let balancer = Balancer { address: row.upstream.endpoints.data, leaves_at_us: None };
        Some(Pool { addresses: vec![address.ip()], balancers: vec![balancer] })
    };
    first.filter_map(pool).collect()
}
