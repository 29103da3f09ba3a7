//! How each step of a scenario is carried out.

use nix::sys::signal::Signal;
use standins::fabric::Faults;
use standins::platform::Mode;
use standins::shell::lock;
use standins::upstream::{Lie, Stats, Switches};

use super::Lab;
use super::actions::Pick;
use super::fleet::{Listed, Published, WEIGHT};
use super::scenario::{Step, Target};
use super::topology::ACCOUNTS;

/// An upstream that leaves must get no opening after this long.
pub(super) const LEAVING_GRACE_MS: u64 = 3_000;
/// Time for openings after that, which would be counted.
const WATCH_LEAVING_MS: u64 = 1_500;
/// Feeds of a replaced upstream end within this time.
const FEEDS_END_TIMEOUT_MS: u64 = 10_000;
/// Time for which a leaving balancer is listed before it is told to end.
const LEAVING_NOTICE_MS: u64 = 100;

/// What a rough fabric does: rare enough that TCP lives with it, frequent enough to matter.
const ROUGH: Faults =
    Faults { loss_ppm: 3_000, duplicate_ppm: 20_000, reorder_ppm: 50_000, reorder_us: 20_000 };

impl Lab {
    /// Carries out one step and returns once it is over.
    pub(super) fn perform(&self, step: Step) -> anyhow::Result<()> {
        if !matches!(step, Step::Wait(_)) {
            self.log_progress(&format!("  {}", describe(step, |target| self.name(target))));
        }
        match step {
            Step::Wait(ms) => self.sleep(ms),
            Step::Publish(account) => self.publish_weight(account),
            Step::RollBalancers(slot) => self.roll_balancers(slot),
            Step::RestartAgent(target) => self.restart_agent(target),
            Step::ReplaceUpstream(target) => self.replace_upstream(target),
            Step::DrainBySignal(target, ms) => self.drain_by_signal(target, ms),
            Step::Shed(target, ms) => {
                self.switch(target, Switches { shedding: true, ..Switches::default() }, ms)
            }
            Step::FreezeStatus(target, ms) => {
                self.switch(target, Switches { lie: Lie::Frozen, ..Switches::default() }, ms)
            }
            Step::KillBalancers(slot, ms) => self.kill_balancers(slot, ms),
            Step::PauseBalancers(slot, ms) => self.freeze(&self.balancers(slot), ms),
            Step::KillAgent(target, ms) => self.kill_agent(target, ms),
            Step::PauseAgent(target, ms) => self.freeze(&[Pick::Agent(self.index(target))], ms),
            Step::KillUpstream(target, ms) => self.kill_upstream(target, ms),
            Step::PlatformDown(ms) => self.platform(Mode { down: true, ..Mode::default() }, ms),
            Step::PlatformStale(ms) => self.platform(Mode { frozen: true, ..Mode::default() }, ms),
            Step::PlatformSkew(ms) => self.platform(Mode { skew_ms: ms, ..Mode::default() }, ms),
            Step::RoughFabric(ms) => self.rough_fabric(ms),
        }
    }

    /// Changes the weight of one upstream a little: a change that moves some buckets.
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
        let picks = self.balancers(slot);
        for pick in &picks {
            self.set_sprayed(*pick, false);
            self.with_daemon(*pick, |daemon| daemon.listed = Listed::Leaving);
        }
        self.push_instances()?;
        self.sleep(LEAVING_NOTICE_MS)?;
        picks.iter().for_each(|pick| self.signal(*pick, Signal::SIGTERM));
        self.push_plan()?;
        picks.iter().try_for_each(|pick| self.await_end(*pick))?;
        self.bring_up_balancers(&picks)
    }

    fn bring_up_balancers(&self, picks: &[Pick]) -> anyhow::Result<()> {
        for pick in picks {
            if let Pick::Balancer(index) = *pick {
                self.start_balancer(index)?;
            }
        }
        for pick in picks {
            self.await_ready(*pick)?;
            self.set_sprayed(*pick, true);
        }
        self.push_plan()
    }

    fn restart_agent(&self, target: Target) -> anyhow::Result<()> {
        let index = self.index(target);
        let agent = Pick::Agent(index);
        self.with_daemon(agent, |daemon| daemon.listed = Listed::Leaving);
        self.push_instances()?;
        self.signal(agent, Signal::SIGTERM);
        self.await_end(agent)?;
        self.start_agent(index)?;
        self.await_ready(agent)
    }

    fn replace_upstream(&self, target: Target) -> anyhow::Result<()> {
        let old = self.index(target);
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
            fleet.upstreams[new].since = version;
        })?;
        self.start_agent(new)?;
        self.await_ready(Pick::Agent(new))?;
        self.publish(account, |fleet, _| fleet.upstreams[old].published = Published::Draining)?;
        self.record_drain(old);
        self.sleep(LEAVING_GRACE_MS + WATCH_LEAVING_MS)?;
        self.end_feeds(account, old)?;
        self.with_daemon(Pick::Agent(old), |daemon| daemon.listed = Listed::Leaving);
        self.push_instances()?;
        self.signal(Pick::Agent(old), Signal::SIGTERM);
        self.await_end(Pick::Agent(old))?;
        self.with_daemon(Pick::Agent(old), |daemon| daemon.listed = Listed::Absent);
        self.publish(account, |fleet, version| {
            fleet.upstreams[old].published = Published::Retired;
            fleet.upstreams[old].retired = version;
        })?;
        self.push_instances()?;
        self.signal(Pick::Upstream(old), Signal::SIGTERM);
        self.await_end(Pick::Upstream(old))
    }

    /// Lets the clients end their feeds at an upstream and waits until it has no connection.
    fn end_feeds(&self, account: usize, index: usize) -> anyhow::Result<()> {
        let (name, control) = self.with_daemon(Pick::Upstream(index), |daemon| {
            (daemon.name.clone(), daemon.place.control)
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
            self.log_progress(&format!("  {name} still has connections: {:?}", open().ok()));
        }
        Ok(())
    }

    fn drain_by_signal(&self, target: Target, ms: u64) -> anyhow::Result<()> {
        let index = self.index(target);
        self.record_drain(index);
        self.switch(target, Switches { draining: true, ..Switches::default() }, ms)?;
        let name = self.name(target);
        self.record(|journal, now_ms| journal.end_drain(&name, now_ms));
        Ok(())
    }

    fn switch(&self, target: Target, switches: Switches, ms: u64) -> anyhow::Result<()> {
        let upstream = Pick::Upstream(self.index(target));
        let control = self.with_daemon(upstream, |daemon| daemon.place.control);
        self.http.put(control, "/admin/switches", &switches)?;
        self.sleep(ms)?;
        self.http.put(control, "/admin/switches", &Switches::default())
    }

    /// The fabric notices a dead balancer only after its lag, as for any other.
    fn kill_balancers(&self, slot: u32, ms: u64) -> anyhow::Result<()> {
        let picks = self.balancers(slot);
        for pick in &picks {
            self.kill(*pick);
            self.set_sprayed(*pick, false);
        }
        self.push_plan()?;
        self.sleep(ms)?;
        self.bring_up_balancers(&picks)
    }

    fn kill_agent(&self, target: Target, ms: u64) -> anyhow::Result<()> {
        let index = self.index(target);
        self.kill(Pick::Agent(index));
        self.sleep(ms)?;
        self.start_agent(index)?;
        self.await_ready(Pick::Agent(index))
    }

    fn kill_upstream(&self, target: Target, ms: u64) -> anyhow::Result<()> {
        let index = self.index(target);
        let name = self.name(target);
        self.record(|journal, now_ms| journal.killed.push((name, now_ms)));
        self.kill(Pick::Upstream(index));
        self.sleep(ms)?;
        self.start_upstream(index)
    }

    fn kill(&self, pick: Pick) {
        self.signal(pick, Signal::SIGKILL);
        self.with_daemon(pick, |daemon| daemon.process = None);
    }

    /// Stops processes without ending them, and lets them wake up with an old view of the world.
    fn freeze(&self, picks: &[Pick], ms: u64) -> anyhow::Result<()> {
        picks.iter().for_each(|pick| self.signal(*pick, Signal::SIGSTOP));
        let slept = self.sleep(ms);
        picks.iter().for_each(|pick| self.signal(*pick, Signal::SIGCONT));
        slept
    }

    fn platform(&self, mode: Mode, ms: u64) -> anyhow::Result<()> {
        self.http.put(self.net.platform(), "/admin/mode", &mode)?;
        self.sleep(ms)?;
        self.http.put(self.net.platform(), "/admin/mode", &Mode::default())
    }

    fn rough_fabric(&self, ms: u64) -> anyhow::Result<()> {
        lock(&self.fleet).faults = ROUGH;
        self.push_plan()?;
        self.sleep(ms)?;
        lock(&self.fleet).faults = Faults::default();
        self.push_plan()
    }

    fn index(&self, target: Target) -> usize {
        lock(&self.fleet).resolve(target, self.options.seed)
    }

    fn name(&self, target: Target) -> String {
        let fleet = lock(&self.fleet);
        fleet.upstreams[fleet.resolve(target, self.options.seed)].upstream.name.clone()
    }

    fn balancers(&self, slot: u32) -> Vec<Pick> {
        let indexes = lock(&self.fleet).balancers_in(slot, self.options.seed);
        indexes.into_iter().map(Pick::Balancer).collect()
    }

    fn set_sprayed(&self, pick: Pick, is_sprayed: bool) {
        if let Pick::Balancer(index) = pick {
            lock(&self.fleet).balancers[index].is_sprayed = is_sprayed;
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
        Step::DrainBySignal(target, ms) => format!("{} asks to be drained, {ms} ms", name(target)),
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
        Step::RoughFabric(ms) => format!("fabric loses, doubles and reorders, {ms} ms"),
    }
}
