//! The processes and stand-ins of a run: starts and stops them, and applies changes and faults.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use anyhow::{Context as _, ensure};
use nix::sys::signal::Signal;
use platform_standins::caller::{Callers, Target};
use platform_standins::fabric::Fabric;
use platform_standins::ledger::Ledger;
use platform_standins::store::{Copy, Mode, Store};
use platform_standins::upstream::{Upstream, UpstreamConfig};
use serde_json::json;

use super::scenario::Action;
use super::verdict::Verdict;
use crate::process::Process;

const BALANCERS: usize = 3;
/// Service of each upstream at the start.
const SERVICES: [&str; 7] = ["shelf", "shelf", "shelf", "shelf", "shelf", "manifest", "manifest"];
/// Availability zones. Upstreams are assigned to them round-robin.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Region of each availability zone.
const REGIONS: [&str; 3] = ["north", "north", "south"];
/// The service that is restricted to one region, and that region.
const REGION_BOUND: (&str, &str) = ("manifest", "north");
/// The service whose upstreams are rate-limited while they warm up, and the limit in openings per
/// second.
const WARMUP_LIMITED: (&str, f64) = ("shelf", 20.0);
/// Warm-up time of an upstream that starts after the callers.
const WARMUP: Duration = Duration::from_secs(2);
/// Number of requests that an upstream runs at the same time.
const UPSTREAM_SLOTS: usize = 7;
/// Time that a request takes at an upstream.
const WORK_DURATION: Duration = Duration::from_millis(20);
// Ports, the same on all addresses.
const DATAGRAM_PORT: u16 = 18_172;
const READY_PORT: u16 = 18_167;
const OUTBOUND_PORT: u16 = 18_301;
const APP_PORT: u16 = 18_300;
const INTERNAL_PORT: u16 = 17_720;
const STORE_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 0, 3, 1), 18_169);
const CALLERS_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 0, 4, 1), DATAGRAM_PORT);

/// All processes and stand-ins of a run. Dropping it ends them.
pub(super) struct Fleet {
    programs: PathBuf,
    out: PathBuf,
    store: Store,
    /// The last copy of the store, or what the store held before it came back from it.
    copy: Option<Copy>,
    ledger: Ledger,
    fabric: Fabric,
    callers: Option<Callers>,
    balancers: Vec<Option<Process>>,
    agents: Vec<Option<Process>>,
    upstreams: Vec<Option<Upstream>>,
    services: Vec<&'static str>,
    warmup_ends: Vec<Option<Instant>>,
    /// Number of the upstream incarnation that was started last.
    last_incarnation: u64,
    log_count: u32,
}

impl Fleet {
    /// Starts all processes and stand-ins except the callers.
    pub(super) fn start(programs: &Path, out: &Path) -> anyhow::Result<Self> {
        let store = Store::default();
        store.serve(STORE_ADDRESS).context("is another lab running?")?;
        store.put("op/config", &configuration());
        let ready = |index| SocketAddrV4::new(balancer_ip(index), READY_PORT);
        let packets = |index| SocketAddrV4::new(balancer_ip(index), DATAGRAM_PORT);
        let endpoints: Vec<_> =
            (0..BALANCERS).map(|index| (packets(index), ready(index))).collect();
        let mut fleet = Self {
            programs: programs.to_owned(),
            out: out.to_owned(),
            store,
            copy: None,
            ledger: Ledger::default(),
            fabric: Fabric::start(&endpoints)?,
            callers: None,
            balancers: (0..BALANCERS).map(|_| None).collect(),
            agents: SERVICES.iter().map(|_| None).collect(),
            upstreams: SERVICES.iter().map(|_| None).collect(),
            services: SERVICES.to_vec(),
            warmup_ends: vec![None; SERVICES.len()],
            last_incarnation: 0,
            log_count: 0,
        };
        for index in 0..SERVICES.len() {
            fleet.start_upstream(index)?;
            fleet.start_agent(index)?;
        }
        (0..BALANCERS).try_for_each(|index| fleet.start_balancer(index))?;
        Ok(fleet)
    }

    pub(super) fn start_callers(&mut self, seed: u64) -> anyhow::Result<()> {
        let target = |port, service, callers, persistent| Target {
            endpoint: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port),
            service,
            callers,
            persistent,
            pause: Duration::from_millis(200),
        };
        let targets = [
            target(8443, "shelf", 30, true),
            target(443, "shelf", 20, false),
            target(80, "manifest", 10, false),
        ];
        let (fabric, ledger) = (self.fabric.clone(), self.ledger.clone());
        self.callers = Some(Callers::start(CALLERS_ADDRESS, &targets, fabric, ledger, seed)?);
        Ok(())
    }

    pub(super) fn balancer_count(&self) -> usize {
        BALANCERS
    }

    /// Number of balancers that the fabric considers ready.
    pub(super) fn ready_balancers(&self) -> usize {
        self.fabric.ready()
    }

    /// Starts balancers again that have exited.
    pub(super) fn restart_exited(&mut self) -> anyhow::Result<()> {
        for index in 0..BALANCERS {
            let Some(process) = &mut self.balancers[index] else { continue };
            if let Some(status) = process.exit_status() {
                ensure!(status.success(), "{} ended with {status}", process.name());
                self.start_balancer(index)?;
            }
        }
        Ok(())
    }

    /// Applies a change or fault.
    pub(super) fn apply(&mut self, action: Action) -> anyhow::Result<()> {
        match action {
            Action::RollBalancer(index) => self.signal(index, Signal::SIGTERM),
            Action::FreezeBalancer(index) => self.signal(index, Signal::SIGSTOP),
            Action::WakeBalancer(index) => self.signal(index, Signal::SIGCONT),
            Action::KillBalancer(index) => self.start_balancer(index)?,
            Action::KillAgent(index) => self.start_agent(index)?,
            Action::Drain(index) => {
                if let Some(upstream) = &self.upstreams[index] {
                    upstream.drain();
                }
                self.publish_entry(index, "draining");
            }
            Action::Retire(index) => {
                self.upstreams[index] = None;
                self.agents[index] = None;
                self.store.remove(&entry_key(index));
            }
            Action::Reuse(index) => {
                self.services[index] = "manifest";
                self.start_upstream(index)?;
                self.start_agent(index)?;
            }
            Action::Crash(index) => self.upstreams[index] = None,
            Action::Forget(index) => self.store.remove(&entry_key(index)),
            Action::Relist(index) => self.publish_entry(index, "ready"),
            Action::Restart(index) => self.start_upstream(index)?,
            Action::CloseZone(zone) => {
                self.store.put(&zone_key(zone), &json!({}));
                self.ledger.zone_closed(ZONES[zone], Instant::now());
            }
            Action::OpenZone(zone) => {
                self.ledger.zone_opened(ZONES[zone]);
                self.store.remove(&zone_key(zone));
            }
            Action::StoreSilent => self.store.set_mode(Mode::Silent),
            Action::StoreRefuses => self.store.set_mode(Mode::Refusing),
            Action::StoreWell => self.store.set_mode(Mode::Well),
            Action::CopyStore => self.copy = Some(self.store.copy()),
            Action::RestoreStore => {
                self.copy = self.copy.take().map(|copy| self.store.restore(copy));
            }
            Action::WriteAgain => {
                self.copy.iter().for_each(|before| self.store.write_again(before))
            }
            Action::KillAll => self.kill_all()?,
            Action::Calm => self.ledger.calm_started(),
            Action::Finish => self.callers.iter().for_each(Callers::stop_new_requests),
            Action::End => self.callers = None,
        }
        Ok(())
    }

    /// Ends the run and returns its verdict.
    pub(super) fn end(self) -> Verdict {
        Verdict::of(&self.ledger, self.store.calls())
    }

    fn kill_all(&mut self) -> anyhow::Result<()> {
        self.balancers.iter_mut().for_each(|process| *process = None);
        self.agents.iter_mut().for_each(|process| *process = None);
        (0..SERVICES.len()).try_for_each(|index| self.start_agent(index))?;
        (0..BALANCERS).try_for_each(|index| self.start_balancer(index))
    }

    fn signal(&self, index: usize, signal: Signal) {
        if let Some(process) = &self.balancers[index] {
            process.signal(signal);
        }
    }

    fn start_balancer(&mut self, index: usize) -> anyhow::Result<()> {
        self.balancers[index] = None;
        let name = format!("edge-{index}");
        let settings = settings(&name, balancer_ip(index), None);
        let process = self.launch(&name, "gooseberrysill-edge", &settings)?;
        self.balancers[index] = Some(process);
        Ok(())
    }

    fn start_agent(&mut self, index: usize) -> anyhow::Result<()> {
        self.agents[index] = None;
        let name = format!("side-{index}");
        let settings = settings(&name, upstream_ip(index), Some(self.services[index]));
        let process = self.launch(&name, "gooseberrysill-side", &settings)?;
        self.agents[index] = Some(process);
        Ok(())
    }

    fn launch(
        &mut self,
        name: &str,
        program: &str,
        settings: &serde_json::Value,
    ) -> anyhow::Result<Process> {
        self.log_count += 1;
        let path = self.out.join(format!("{name}.yaml"));
        std::fs::write(&path, serde_saphyr::to_string(settings)?)?;
        let log = self.out.join(format!("{name}.{}.log", self.log_count));
        let path = path.to_string_lossy();
        let variable = Some(("GOOSEBERRYSILL_CONFIG", path.as_ref()));
        Process::start(name, &self.programs.join(program), &[], variable, &log)
    }

    fn start_upstream(&mut self, index: usize) -> anyhow::Result<()> {
        self.upstreams[index] = None;
        self.last_incarnation += 1;
        let config = UpstreamConfig {
            service: self.services[index],
            incarnation: self.last_incarnation,
            app: SocketAddrV4::new(upstream_ip(index), APP_PORT),
            outbound: SocketAddrV4::new(upstream_ip(index), OUTBOUND_PORT),
            slots: UPSTREAM_SLOTS,
            work_duration: WORK_DURATION,
            zone: ZONES[zone_of(index)],
            region_allowed: is_region_allowed(self.services[index], index),
            cold_limit: self.begin_warmup(index),
        };
        self.upstreams[index] = Some(Upstream::start(config, self.ledger.clone())?);
        self.publish_entry(index, "ready");
        Ok(())
    }

    /// Sets the end of the warm-up of an upstream that starts now. Returns it with the limit in
    /// openings per second, if the upstream's service has one.
    fn begin_warmup(&mut self, index: usize) -> Option<(Instant, f64)> {
        let until = self.callers.as_ref().map(|_| Instant::now() + WARMUP);
        self.warmup_ends[index] = until;
        let (service, limit) = WARMUP_LIMITED;
        until.filter(|_| self.services[index] == service).map(|until| (until, limit))
    }

    fn publish_entry(&self, index: usize, state: &str) {
        let entry = json!({
            "service": self.services[index],
            "address": SocketAddrV4::new(upstream_ip(index), APP_PORT).to_string(),
            "zone": ZONES[zone_of(index)],
            "version": "v1",
            "capacity": UPSTREAM_SLOTS,
            "state": state,
            "warmupLeftMs": self.warmup_ends[index].map_or(0, warmup_left_ms),
            "seq": 1,
        });
        self.store.put(&entry_key(index), &entry);
    }
}

fn balancer_ip(index: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 1, 1 + index as u8)
}

fn upstream_ip(index: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 2, 1 + index as u8)
}

fn zone_of(index: usize) -> usize {
    index % ZONES.len()
}

fn is_region_allowed(service: &str, index: usize) -> bool {
    let (region_bound, region) = REGION_BOUND;
    service != region_bound || REGIONS[zone_of(index)] == region
}

fn warmup_left_ms(until: Instant) -> u64 {
    until.saturating_duration_since(Instant::now()).as_millis() as u64
}

fn zone_key(zone: usize) -> String {
    format!("op/evacuate/{}", ZONES[zone])
}

fn entry_key(index: usize) -> String {
    format!("servers/u{index}")
}

fn configuration() -> serde_json::Value {
    let route = |prefix: &str, service: &str| json!({"name": prefix, "host": "198.18.0.1", "prefix": prefix, "service": service});
    let mut region_bound = route("/80/", REGION_BOUND.0);
    region_bound["allowedRegions"] = json!([REGION_BOUND.1]);
    let routes = [route("/8443/", "shelf"), route("/443/", "shelf"), region_bound];
    let (name, limit) = WARMUP_LIMITED;
    let limited = json!({"name": name, "warmupS": WARMUP.as_secs_f64(), "warmupPerS": limit});
    json!({"version": 1, "routes": routes, "services": [limited], "limits": {}})
}

fn settings(name: &str, ip: Ipv4Addr, service: Option<&str>) -> serde_json::Value {
    let address = |port| SocketAddrV4::new(ip, port).to_string();
    let seeds: Vec<String> = (0..BALANCERS)
        .map(|index| SocketAddrV4::new(balancer_ip(index), READY_PORT).to_string())
        .collect();
    let zones: serde_json::Map<String, serde_json::Value> = ZONES
        .iter()
        .zip(REGIONS)
        .map(|(zone, region)| ((*zone).to_owned(), region.into()))
        .collect();
    let mut settings = json!({
        "nodeName": name,
        "zones": zones,
        "ip": ip.to_string(),
        "listen": {"datagramAddr": address(DATAGRAM_PORT), "ready": address(READY_PORT)},
        "internalPorts": [INTERNAL_PORT, INTERNAL_PORT + 15],
        "seeds": seeds,
        "platform": {"address": STORE_ADDRESS.to_string()},
    });
    if let Some(service) = service {
        settings["listen"]["outbound"] = address(OUTBOUND_PORT).into();
        settings["app"] = address(APP_PORT).into();
        settings["service"] = service.into();
    }
    settings
}
