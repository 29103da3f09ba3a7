//! The processes and stand-ins of a run.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use anyhow::{Context as _, ensure};
use nix::sys::signal::Signal;
use platform_standins::caller::{Callers, Target};
use platform_standins::fabric::Fabric;
use platform_standins::ledger::Ledger;
use platform_standins::store::{Mode, Store};
use platform_standins::upstream::{Upstream, UpstreamConfig};
use serde_json::json;

use super::scenario::Action;
use super::verdict::Verdict;
use crate::process::Process;

const BALANCERS: usize = 3;
/// Services of the upstreams at the start.
const SERVICES: [&str; 7] = ["shelf", "shelf", "shelf", "shelf", "shelf", "manifest", "manifest"];
/// Availability zones; upstreams are spread over them in turn.
const ZONES: [&str; 3] = ["a", "b", "c"];
const REGIONS: [&str; 3] = ["north", "north", "south"];
/// The service that stays in one region, and that region.
const HOMED: (&str, &str) = ("manifest", "north");
/// The service whose cold upstreams are limited, and the openings a second that they bear.
const LIMITED: (&str, f64) = ("shelf", 20.0);
/// Time for which an upstream is cold that starts after the callers.
const COLD: Duration = Duration::from_secs(2);
const SLOTS: usize = 7;
const WORK: Duration = Duration::from_millis(20);
/// Ports, the same on all addresses.
const PACKETS: u16 = 18_172;
const READY: u16 = 18_167;
const OUTBOUND: u16 = 18_301;
const APP: u16 = 18_300;
const INTERNAL: u16 = 17_720;
const STORE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 0, 3, 1), 18_169);
const CALLERS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 0, 4, 1), PACKETS);

/// Everything that runs. Dropping it ends it.
pub(super) struct Fleet {
    programs: PathBuf,
    out: PathBuf,
    store: Store,
    ledger: Ledger,
    fabric: Fabric,
    callers: Option<Callers>,
    balancers: Vec<Option<Process>>,
    agents: Vec<Option<Process>>,
    upstreams: Vec<Option<Upstream>>,
    services: Vec<&'static str>,
    cold_until: Vec<Option<Instant>>,
    lives: u64,
    logs: u32,
}

impl Fleet {
    /// Starts everything but the callers.
    pub(super) fn start(programs: &Path, out: &Path) -> anyhow::Result<Self> {
        let store = Store::default();
        store.serve(STORE).context("is another lab at work?")?;
        store.put("op/config", &configuration());
        let ready = |index| SocketAddrV4::new(balancer_ip(index), READY);
        let packets = |index| SocketAddrV4::new(balancer_ip(index), PACKETS);
        let looked: Vec<_> = (0..BALANCERS).map(|index| (packets(index), ready(index))).collect();
        let mut fleet = Self {
            programs: programs.to_owned(),
            out: out.to_owned(),
            store,
            ledger: Ledger::default(),
            fabric: Fabric::start(&looked)?,
            callers: None,
            balancers: (0..BALANCERS).map(|_| None).collect(),
            agents: SERVICES.iter().map(|_| None).collect(),
            upstreams: SERVICES.iter().map(|_| None).collect(),
            services: SERVICES.to_vec(),
            cold_until: vec![None; SERVICES.len()],
            lives: 0,
            logs: 0,
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
        self.callers = Some(Callers::start(CALLERS, &targets, fabric, ledger, seed)?);
        Ok(())
    }

    pub(super) fn balancers(&self) -> usize {
        BALANCERS
    }

    /// Balancers in rotation.
    pub(super) fn ready(&self) -> usize {
        self.fabric.ready()
    }

    /// Starts balancers again that have ended.
    pub(super) fn tend(&mut self) -> anyhow::Result<()> {
        for index in 0..BALANCERS {
            let Some(process) = &mut self.balancers[index] else { continue };
            if let Some(status) = process.exited() {
                ensure!(status.success(), "{} ended with {status}", process.name());
                self.start_balancer(index)?;
            }
        }
        Ok(())
    }

    /// Does what a step says.
    pub(super) fn act(&mut self, action: Action) -> anyhow::Result<()> {
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
                self.list(index, "draining");
            }
            Action::Retire(index) => {
                self.upstreams[index] = None;
                self.agents[index] = None;
                self.store.remove(&key(index));
            }
            Action::Reuse(index) => {
                self.services[index] = "manifest";
                self.start_upstream(index)?;
                self.start_agent(index)?;
            }
            Action::Crash(index) => self.upstreams[index] = None,
            Action::Forget(index) => self.store.remove(&key(index)),
            Action::Relist(index) => self.list(index, "ready"),
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
            Action::KillAll => self.kill_all()?,
            Action::Calm => self.ledger.calm_started(),
            Action::Finish => self.callers.iter().for_each(Callers::stop_new_requests),
            Action::End => self.callers = None,
        }
        Ok(())
    }

    /// Ends the run and says how it went.
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
        self.logs += 1;
        let path = self.out.join(format!("{name}.yaml"));
        std::fs::write(&path, serde_saphyr::to_string(settings)?)?;
        let log = self.out.join(format!("{name}.{}.log", self.logs));
        let path = path.to_string_lossy();
        let variable = Some(("GOOSEBERRYSILL_CONFIG", path.as_ref()));
        Process::start(name, &self.programs.join(program), &[], variable, &log)
    }

    fn start_upstream(&mut self, index: usize) -> anyhow::Result<()> {
        self.upstreams[index] = None;
        self.lives += 1;
        let config = UpstreamConfig {
            service: self.services[index],
            incarnation: self.lives,
            app: SocketAddrV4::new(upstream_ip(index), APP),
            outbound: SocketAddrV4::new(upstream_ip(index), OUTBOUND),
            slots: SLOTS,
            work: WORK,
            zone: ZONES[zone_of(index)],
            allowed: is_allowed(self.services[index], index),
            cold: self.cold(index),
        };
        self.upstreams[index] = Some(Upstream::start(config, self.ledger.clone())?);
        self.list(index, "ready");
        Ok(())
    }

    /// Until when an upstream that starts now is cold, and what it bears if that is limited.
    fn cold(&mut self, index: usize) -> Option<(Instant, f64)> {
        let until = self.callers.as_ref().map(|_| Instant::now() + COLD);
        self.cold_until[index] = until;
        let (service, limit) = LIMITED;
        until.filter(|_| self.services[index] == service).map(|until| (until, limit))
    }

    fn list(&self, index: usize, state: &str) {
        let entry = json!({
            "service": self.services[index],
            "address": SocketAddrV4::new(upstream_ip(index), APP).to_string(),
            "zone": ZONES[zone_of(index)],
            "version": "v1",
            "capacity": SLOTS,
            "state": state,
            "warmupLeftMs": self.cold_until[index].map_or(0, cold_for_ms),
            "seq": 1,
        });
        self.store.put(&key(index), &entry);
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

fn is_allowed(service: &str, index: usize) -> bool {
    let (homed, region) = HOMED;
    service != homed || REGIONS[zone_of(index)] == region
}

fn cold_for_ms(until: Instant) -> u64 {
    until.saturating_duration_since(Instant::now()).as_millis() as u64
}

fn zone_key(zone: usize) -> String {
    format!("op/evacuate/{}", ZONES[zone])
}

fn key(index: usize) -> String {
    format!("servers/u{index}")
}

fn configuration() -> serde_json::Value {
    let route = |prefix: &str, service: &str| json!({"name": prefix, "host": "198.18.0.1", "prefix": prefix, "service": service});
    let mut homed = route("/80/", HOMED.0);
    homed["allowedRegions"] = json!([HOMED.1]);
    let routes = [route("/8443/", "shelf"), route("/443/", "shelf"), homed];
    let (name, limit) = LIMITED;
    let limited = json!({"name": name, "warmupS": COLD.as_secs_f64(), "warmupPerS": limit});
    json!({"version": 1, "routes": routes, "services": [limited], "limits": {}})
}

fn settings(name: &str, ip: Ipv4Addr, service: Option<&str>) -> serde_json::Value {
    let address = |port| SocketAddrV4::new(ip, port).to_string();
    let seeds: Vec<String> = (0..BALANCERS)
        .map(|index| SocketAddrV4::new(balancer_ip(index), READY).to_string())
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
        "listen": {"datagramAddr": address(PACKETS), "ready": address(READY)},
        "internalPorts": [INTERNAL, INTERNAL + 15],
        "seeds": seeds,
        "platform": {"address": STORE.to_string()},
    });
    if let Some(service) = service {
        settings["listen"]["outbound"] = address(OUTBOUND).into();
        settings["app"] = address(APP).into();
        settings["service"] = service.into();
    }
    settings
}
