//! Performs the steps of a scenario.

use nix::sys::signal::Signal;
use standins::fabric::Faults;
use standins::platform::Mode;
use standins::shell::lock;
use standins::upstream::{Lie, Stats, Switches};

use super::Lab;
use super::actions::DaemonId;
use super::fleet::{Listed, Published, WEIGHT};
use super::scenario::{Step, Target};
use super::topology::ACCOUNTS;

/// A leaving upstream must receive no openings after this time.
pub(super) const LEAVING_GRACE_MS: u64 = 3_000;
/// Time after the grace period in which late openings are still watched for.
const LATE_OPENING_WATCH_MS: u64 = 1_500;
/// Maximum time for the feeds of a replaced upstream to end.
const FEEDS_END_TIMEOUT_MS: u64 = 10_000;
/// Time for which a balancer is listed as leaving before it receives SIGTERM.
const LEAVING_NOTICE_MS: u64 = 100;

/// Faults of `Step::RoughFabric`: rare enough for TCP to cope with, frequent enough to matter.
const IMPAIRMENTS: Faults =
    Faults { loss_ppm: 3_000, duplicate_ppm: 20_000, reorder_ppm: 50_000, reorder_us: 20_000 };

impl Lab {
    /// Performs one step and returns when it is complete.
    pub(super) fn perform(&self, step: Step) -> anyhow::Result<()> {
        if !matches!(step, Step::Wait(_)) {
            self.log_progress(&format!(
                "  {}",
                describe(step, |target| self.upstream_name(target))
            ));
        }
        match step {
            Step::Wait(ms) => self.sleep(ms),
            Step::Publish(account) => self.publish_weight(account),
            Step::RollBalancers(slot) => self.roll_balancers(slot),
            Step::RestartAgent(target) => self.restart_agent(target),
            Step::ReplaceUpstream(target) => self.replace_upstream(target),
            Step::DrainBySignal(target, ms) => self.drain_by_signal(target, ms),
            Step::Shed(target, ms) => {
                self.apply_switches(target, Switches { shedding: true, ..Switches::default() }, ms)
            }
            Step::FreezeStatus(target, ms) => self.apply_switches(
                target,
                Switches { lie: Lie::Frozen, ..Switches::default() },
                ms,
            ),
            Step::KillBalancers(slot, ms) => self.kill_balancers(slot, ms),
            Step::PauseBalancers(slot, ms) => {
                self.pause_processes(&self.balancers_in_slot(slot), ms)
            }
            Step::KillAgent(target, ms) => self.kill_agent(target, ms),
            Step::PauseAgent(target, ms) => {
                self.pause_processes(&[DaemonId::Agent(self.upstream_index(target))], ms)
            }
            Step::KillUpstream(target, ms) => self.kill_upstream(target, ms),
            Step::PlatformDown(ms) => {
                self.set_platform_mode(Mode { down: true, ..Mode::default() }, ms)
            }
            Step::PlatformStale(ms) => {
                self.set_platform_mode(Mode { frozen: true, ..Mode::default() }, ms)
            }
            Step::PlatformSkew(ms) => {
                self.set_platform_mode(Mode { skew_ms: ms, ..Mode::default() }, ms)
            }
            Step::RoughFabric(ms) => self.impair_fabric(ms),
        }
    }

    /// Changes the weight of one upstream slightly, which moves some buckets.
    fn publish_weight(&self, account: &str) -> anyhow::Result<()> {
        let Some(account) = ACCOUNTS.iter().position(|plan| plan.name == account) else {
            return Ok(());
        };
        self.publish(account, |fleet, version| {
            let is_active = |row: &&mut super::fleet::Upstream| {
                row.account == account && row.published == Published::Active
            };
            let mut rows: Vec<_> = fleet.upstreams.iter_mut().filter(is_active).collect();
            let chosen = version as usize % rows.len();
            rows[chosen].weight = if rows[chosen].weight == WEIGHT { WEIGHT - 20 } else { WEIGHT };
        })
    }

    fn roll_balancers(&self, slot: u32) -> anyhow::Result<()> {
        let ids = self.balancers_in_slot(slot);
        for id in &ids {
            self.set_in_rotation(*id, false);
            self.with_daemon(*id, |daemon| daemon.listed = Listed::Leaving);
        }
        self.push_instances()?;
        self.sleep(LEAVING_NOTICE_MS)?;
        ids.iter().for_each(|id| self.signal(*id, Signal::SIGTERM));
        self.push_plan()?;
        ids.iter().try_for_each(|id| self.await_exit(*id))?;
        self.bring_up_balancers(&ids)
    }

    fn bring_up_balancers(&self, ids: &[DaemonId]) -> anyhow::Result<()> {
        for id in ids {
            if let DaemonId::Balancer(index) = *id {
                self.start_balancer(index)?;
            }
        }
        for id in ids {
            self.await_ready(*id)?;
            self.set_in_rotation(*id, true);
        }
        self.push_plan()
    }

    fn restart_agent(&self, target: Target) -> anyhow::Result<()> {
        let index = self.upstream_index(target);
        let agent = DaemonId::Agent(index);
        self.with_daemon(agent, |daemon| daemon.listed = Listed::Leaving);
        self.push_instances()?;
        self.signal(agent, Signal::SIGTERM);
        self.await_exit(agent)?;
        self.start_agent(index)?;
        self.await_ready(agent)
    }

    fn replace_upstream(&self, target: Target) -> anyhow::Result<()> {
        let old = self.upstream_index(target);
        let (account, service) = {
            let fleet = lock(&self.fleet);
            (fleet.upstreams[old].account, fleet.upstreams[old].service)
        };
        let new = {
            let mut fleet = lock(&self.fleet);
            fleet.add_upstream(self.net, account, service, Published::Absent)
        };
        self.start_upstream(new)?;
        self.publish(account, |fleet, version| {
            fleet.upstreams[new].published = Published::Active;
            fleet.upstreams[new].since_version = version;
        })?;
        self.start_agent(new)?;
        self.await_ready(DaemonId::Agent(new))?;
        self.publish(account, |fleet, _| fleet.upstreams[old].published = Published::Draining)?;
        self.record_drain(old);
        self.sleep(LEAVING_GRACE_MS + LATE_OPENING_WATCH_MS)?;
        self.end_feeds(account, old)?;
        self.with_daemon(DaemonId::Agent(old), |daemon| daemon.listed = Listed::Leaving);
        self.push_instances()?;
        self.signal(DaemonId::Agent(old), Signal::SIGTERM);
        self.await_exit(DaemonId::Agent(old))?;
        self.with_daemon(DaemonId::Agent(old), |daemon| daemon.listed = Listed::Absent);
        self.publish(account, |fleet, version| {
            fleet.upstreams[old].published = Published::Retired;
            fleet.upstreams[old].retired_version = version;
        })?;
        self.push_instances()?;
        self.signal(DaemonId::Upstream(old), Signal::SIGTERM);
        self.await_exit(DaemonId::Upstream(old))
    }

    /// Makes the callers end their feeds at an upstream and waits until it has no open connections.
    fn end_feeds(&self, account: usize, index: usize) -> anyhow::Result<()> {
        let (name, control) = self.with_daemon(DaemonId::Upstream(index), |daemon| {
            (daemon.name.clone(), daemon.endpoints.control)
        });
        let path = format!("/admin/end-feeds?upstream={name}");
        self.http.post(self.net.caller(account).control, &path)?;
        let open = || {
            let stats = self.http.get::<Stats>(control, "/admin/stats");
            stats.map(|stats| stats.open_connections)
        };
        let is_empty =
            self.wait_until(FEEDS_END_TIMEOUT_MS, || open().is_ok_and(|open| open == 0))?;
        if !is_empty {
            self.log_progress(&format!("  {name} still has open connections: {:?}", open().ok()));
        }
        Ok(())
    }

    fn drain_by_signal(&self, target: Target, ms: u64) -> anyhow::Result<()> {
        let index = self.upstream_index(target);
        self.record_drain(index);
        self.apply_switches(target, Switches { draining: true, ..Switches::default() }, ms)?;
        let name = self.upstream_name(target);
        self.record(|journal, now_ms| journal.end_drain(&name, now_ms));
        Ok(())
    }

    fn apply_switches(&self, target: Target, switches: Switches, ms: u64) -> anyhow::Result<()> {
        let upstream = DaemonId::Upstream(self.upstream_index(target));
        let control = self.with_daemon(upstream, |daemon| daemon.endpoints.control);
        self.http.put(control, "/admin/switches", &switches)?;
        self.sleep(ms)?;
        self.http.put(control, "/admin/switches", &Switches::default())
    }

    /// The fabric removes a killed balancer only after its lag, as it does any other.
    fn kill_balancers(&self, slot: u32, ms: u64) -> anyhow::Result<()> {
        let ids = self.balancers_in_slot(slot);
        for id in &ids {
            self.kill(*id);
            self.set_in_rotation(*id, false);
        }
        self.push_plan()?;
        self.sleep(ms)?;
        self.bring_up_balancers(&ids)
    }

    fn kill_agent(&self, target: Target, ms: u64) -> anyhow::Result<()> {
        let index = self.upstream_index(target);
        self.kill(DaemonId::Agent(index));
        self.sleep(ms)?;
        self.start_agent(index)?;
        self.await_ready(DaemonId::Agent(index))
    }

    fn kill_upstream(&self, target: Target, ms: u64) -> anyhow::Result<()> {
        let index = self.upstream_index(target);
        let name = self.upstream_name(target);
        self.record(|journal, now_ms| journal.killed.push((name, now_ms)));
        self.kill(DaemonId::Upstream(index));
        self.sleep(ms)?;
        self.start_upstream(index)
    }

    fn kill(&self, id: DaemonId) {
        self.signal(id, Signal::SIGKILL);
        self.with_daemon(id, |daemon| daemon.process = None);
    }

    /// Suspends processes and resumes them, so that they continue with outdated state.
    fn pause_processes(&self, ids: &[DaemonId], ms: u64) -> anyhow::Result<()> {
        ids.iter().for_each(|id| self.signal(*id, Signal::SIGSTOP));
        let slept = self.sleep(ms);
        ids.iter().for_each(|id| self.signal(*id, Signal::SIGCONT));
        slept
    }

    fn set_platform_mode(&self, mode: Mode, ms: u64) -> anyhow::Result<()> {
        self.http.put(self.net.platform(), "/admin/mode", &mode)?;
        self.sleep(ms)?;
        self.http.put(self.net.platform(), "/admin/mode", &Mode::default())
    }

    fn impair_fabric(&self, ms: u64) -> anyhow::Result<()> {
        lock(&self.fleet).faults = IMPAIRMENTS;
        self.push_plan()?;
        self.sleep(ms)?;
        lock(&self.fleet).faults = Faults::default();
        self.push_plan()
    }

    fn upstream_index(&self, target: Target) -> usize {
        lock(&self.fleet).resolve(target, self.options.seed)
    }

    fn upstream_name(&self, target: Target) -> String {
        let fleet = lock(&self.fleet);
        fleet.upstreams[fleet.resolve(target, self.options.seed)].upstream.name.clone()
    }

    fn balancers_in_slot(&self, slot: u32) -> Vec<DaemonId> {
        let indexes = lock(&self.fleet).balancers_in_slot(slot, self.options.seed);
        indexes.into_iter().map(DaemonId::Balancer).collect()
    }

    fn set_in_rotation(&self, id: DaemonId, in_rotation: bool) {
        if let DaemonId::Balancer(index) = id {
            lock(&self.fleet).balancers[index].in_rotation = in_rotation;
        }
    }
}

fn describe(step: Step, name: impl Fn(Target) -> String) -> String {
    match step {
        Step::Wait(ms) => format!("wait {ms} ms"),
        Step::Publish(account) => format!("publish settings of {account}"),
        Step::RollBalancers(slot) => format!("roll balancers in slot {slot}"),
        Step::RestartAgent(target) => format!("restart agent of {}", name(target)),
        Step::ReplaceUpstream(target) => format!("replace upstream {}", name(target)),
        Step::DrainBySignal(target, ms) => {
            format!("{} requests to be drained, {ms} ms", name(target))
        }
        Step::Shed(target, ms) => format!("{} sheds load, {ms} ms", name(target)),
        Step::FreezeStatus(target, ms) => format!("status of {} frozen, {ms} ms", name(target)),
        Step::KillBalancers(slot, ms) => format!("kill balancers in slot {slot}, back in {ms} ms"),
        Step::PauseBalancers(slot, ms) => format!("pause balancers in slot {slot}, {ms} ms"),
        Step::KillAgent(target, ms) => format!("kill agent of {}, back in {ms} ms", name(target)),
        Step::PauseAgent(target, ms) => format!("pause agent of {}, {ms} ms", name(target)),
        Step::KillUpstream(target, ms) => format!("kill {}, back in {ms} ms", name(target)),
        Step::PlatformDown(ms) => format!("configuration service down, {ms} ms"),
        Step::PlatformStale(ms) => format!("configuration service stale, {ms} ms"),
        Step::PlatformSkew(ms) => format!("half of the readers {ms} ms behind"),
        Step::RoughFabric(ms) => format!("fabric drops, duplicates and reorders packets, {ms} ms"),
    }
}
