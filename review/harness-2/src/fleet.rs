//! The project's programs as processes, with a store, routers and servers around them.

use std::collections::BTreeMap;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::{Context as _, bail, ensure};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use platform_standins::fabric::Fabric;
use serde_json::{Value, json};

use crate::record::Record;
use crate::server::Server;
use crate::store::Store;

pub const ZONES: [&str; 4] = ["pnw-a", "pnw-b", "pnw-c", "pnw-d"];
pub const EDGES: u8 = 3;
pub const UNSAFE_PORT: u16 = 8080;
pub const SAFE_PORT: u16 = 443;
pub const PLATFORM_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 90, 8, 1);
const SERVICE: &str = "shelf";
/// Routes that see no traffic, as many as the site has.
pub const IDLE_ROUTES: u32 = 110;

#[derive(Clone, Copy)]
struct Ports {
    datagram: u16,
    ready: u16,
    outbound: u16,
    app: u16,
    internal: u16,
    store: u16,
}

pub struct Fleet {
    root: PathBuf,
    folder: PathBuf,
    ports: Ports,
    pub store: Store,
    pub fabric: Fabric,
    pub record: Record,
    edges: Vec<Child>,
    agents: BTreeMap<usize, Child>,
    servers: BTreeMap<usize, Server>,
    entries: Entries,
    boots: u32,
    starts: u32,
    work: Duration,
}

pub fn edge_ip(index: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 90, 1, 1 + index)
}

fn side_ip(index: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 90, 2, 1 + index as u8)
}

const STORE_IP: Ipv4Addr = Ipv4Addr::new(127, 90, 3, 1);
const CLIENTS_IP: Ipv4Addr = Ipv4Addr::new(127, 90, 4, 1);

/// How often a server writes its entry, and how long it is slow after its start.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const COLD: Duration = Duration::from_secs(2);

/// What a server says of itself in the store.
struct Entry {
    address: SocketAddrV4,
    zone: &'static str,
    state: &'static str,
    /// The Unix millisecond of its start, by the clock of its machine.
    born: i64,
    cold_until: Instant,
    seq: u64,
    next: Instant,
    written: Value,
}

type Entries = Arc<Mutex<BTreeMap<usize, Entry>>>;

fn lock(entries: &Entries) -> MutexGuard<'_, BTreeMap<usize, Entry>> {
    entries.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Writes the entries that are due.
fn write_due(entries: &Entries, store: &Store) {
    for (index, entry) in lock(entries).iter_mut() {
        if entry.next <= Instant::now() {
            entry.next += HEARTBEAT;
            entry.write(*index, store);
        }
    }
}

impl Entry {
    /// The entry changes when more than `seq` changes.
    fn write(&mut self, index: usize, store: &Store) {
        self.seq += 1;
        let left = self.cold_until.saturating_duration_since(Instant::now()).as_millis() as u64;
        let mut value = json!({
            "service": SERVICE, "address": self.address.to_string(), "zone": self.zone,
            "version": "v1", "capacity": 7, "state": self.state, "warmupLeftMs": left,
            "born": self.born,
        });
        if value != self.written {
            self.written = value.clone();
            value["seq"] = self.seq.into();
            store.put(&format!("servers/u{index}"), &value);
        }
    }
}

impl Ports {
    /// Six ports that are free on all addresses of the fleet.
    fn free(servers: usize, more: &[Ipv4Addr]) -> anyhow::Result<Self> {
        let edges = (0..EDGES).map(edge_ip).chain(more.iter().copied());
        let ips = edges.chain((0..servers).map(side_ip));
        let ips: Vec<Ipv4Addr> = ips.chain([STORE_IP, CLIENTS_IP]).collect();
        let is_free = |port| {
            ips.iter().all(|ip| {
                UdpSocket::bind((*ip, port)).is_ok() && TcpListener::bind((*ip, port)).is_ok()
            })
        };
        let first = 20_000 + (std::process::id() % 900) as u16 * 8;
        let bases = (first..28_000).step_by(8).chain((20_000..first).step_by(8));
        for base in bases {
            if (base..base + 6).all(is_free) {
                return Ok(Self {
                    datagram: base,
                    ready: base + 1,
                    outbound: base + 2,
                    app: base + 3,
                    internal: base + 4,
                    store: base + 5,
                });
            }
        }
        bail!("no free ports")
    }
}

impl Fleet {
    pub fn start(
        root: &Path,
        folder: &Path,
        servers: usize,
        work: Duration,
    ) -> anyhow::Result<Self> {
        Self::start_with_spares(root, folder, servers, 0, &[], work)
    }

    /// The same with so many machines for further servers, and addresses for further balancers.
    pub fn start_with_spares(
        root: &Path,
        folder: &Path,
        servers: usize,
        spares: usize,
        more: &[Ipv4Addr],
        work: Duration,
    ) -> anyhow::Result<Self> {
        let ports = Ports::free(servers + spares, more)?;
        let store = Store::default();
        store.serve(SocketAddrV4::new(STORE_IP, ports.store))?;
        store.put("op/config", &configuration(3, &[], IDLE_ROUTES));
        let addresses = |index| {
            let at = |port| SocketAddrV4::new(edge_ip(index), port);
            (at(ports.datagram), at(ports.ready))
        };
        let fabric = Fabric::start(&(0..EDGES).map(addresses).collect::<Vec<_>>())?;
        let mut fleet = Self {
            root: root.to_owned(),
            folder: folder.to_owned(),
            ports,
            store,
            fabric,
            record: Record::new(),
            edges: Vec::new(),
            agents: BTreeMap::new(),
            servers: BTreeMap::new(),
            entries: Entries::default(),
            boots: 0,
            starts: 0,
            work,
        };
        let (entries, store) = (Arc::clone(&fleet.entries), fleet.store.clone());
        thread::spawn(move || {
            loop {
                write_due(&entries, &store);
                thread::sleep(Duration::from_millis(50));
            }
        });
        for index in 0..servers {
            fleet.start_server(index, 0)?;
            fleet.start_agent(index, true)?;
        }
        for index in 0..EDGES {
            let settings = fleet.settings(&format!("edge-{index}"), edge_ip(index), 0);
            let child = fleet.launch("edge", &format!("edge-{index}"), &settings)?;
            fleet.edges.push(child);
        }
        let limit = Instant::now() + Duration::from_secs(15);
        while fleet.fabric.ready() < usize::from(EDGES) {
            ensure!(Instant::now() < limit, "the balancers don't become ready");
            std::thread::sleep(Duration::from_millis(50));
        }
        fleet.record.note("all balancers are ready");
        Ok(fleet)
    }

    pub fn clients_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(CLIENTS_IP, self.ports.datagram)
    }

    /// Starts a new boot of the server on a machine whose time of day is off by so much. The server
    /// writes its entry, with the Unix millisecond of its start by that clock.
    pub fn start_server(&mut self, index: usize, clock_off_ms: i64) -> anyhow::Result<()> {
        self.boots += 1;
        let at = |port| SocketAddrV4::new(side_ip(index), port);
        let (app, outbound) = (at(self.ports.app), at(self.ports.outbound));
        let name = format!("u{index}");
        let cold_until = Instant::now() + COLD;
        let server = Server::start(
            self.boots,
            &name,
            app,
            outbound,
            self.work,
            cold_until,
            self.record.clone(),
        )?;
        self.servers.insert(index, server);
        let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis() as i64;
        let entry = Entry {
            address: app,
            zone: ZONES[index % ZONES.len()],
            state: "ready",
            born: unix_ms + clock_off_ms,
            cold_until,
            seq: 0,
            next: Instant::now() + HEARTBEAT,
            written: Value::Null,
        };
        self.record.note(format!(
            "server u{index} starts (boot {}), its machine's clock is off by {clock_off_ms} ms",
            self.boots
        ));
        lock(&self.entries).insert(index, entry);
        self.write_entry(index);
        Ok(())
    }

    fn write_entry(&self, index: usize) {
        if let Some(entry) = lock(&self.entries).get_mut(&index) {
            entry.write(index, &self.store);
            let Entry { state, born, .. } = entry;
            self.record.note(format!("store acks servers/u{index}: state {state}, born {born}"));
        }
    }

    /// The server ends at once, and writes nothing any more.
    pub fn end_server(&mut self, index: usize) {
        lock(&self.entries).remove(&index);
        self.servers.remove(&index);
    }

    pub fn remove_entry(&self, index: usize) {
        self.store.remove(&format!("servers/u{index}"));
        self.record.note(format!("store removes servers/u{index}"));
    }

    /// The server closes each flow after its next response, and the store acks that it drains.
    pub fn drain_server(&self, index: usize) {
        if let Some(server) = self.servers.get(&index) {
            server.drain();
        }
        if let Some(entry) = lock(&self.entries).get_mut(&index) {
            entry.state = "draining";
        }
        self.write_entry(index);
    }

    pub fn start_agent(&mut self, index: usize, bootstrap: bool) -> anyhow::Result<()> {
        let name = format!("side-{index}");
        let at = |port| SocketAddrV4::new(side_ip(index), port).to_string();
        let mut settings = self.settings(&name, side_ip(index), index);
        settings["machineClass"] = "side".into();
        settings["serves"] = json!(["side"]);
        settings["listen"]["outbound"] = at(self.ports.outbound).into();
        settings["app"] = at(self.ports.app).into();
        settings["service"] = SERVICE.into();
        settings["bootstrap"] = bootstrap.into();
        let child = self.launch("side", &name, &settings)?;
        self.record.note(format!("agent side-{index} started, process {}", child.id()));
        self.agents.insert(index, child);
        Ok(())
    }

    /// SIGTERM to an agent, and SIGKILL after `graceS` (6 s). Returns when it has ended.
    pub fn stop_agent(&mut self, index: usize) -> anyhow::Result<()> {
        let Some(mut child) = self.agents.remove(&index) else { return Ok(()) };
        self.record.note(format!("SIGTERM to agent side-{index}"));
        kill(Pid::from_raw(child.id() as i32), Signal::SIGTERM)?;
        let limit = Instant::now() + Duration::from_secs(6);
        while child.try_wait()?.is_none() {
            if Instant::now() >= limit {
                child.kill()?;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        self.record.note(format!("agent side-{index} has ended"));
        Ok(())
    }

    fn settings(&self, name: &str, ip: Ipv4Addr, zone: usize) -> Value {
        let at = |port| SocketAddrV4::new(ip, port).to_string();
        let seeds: Vec<String> = (0..EDGES)
            .map(|index| SocketAddrV4::new(edge_ip(index), self.ports.ready).to_string())
            .collect();
        json!({
            "nodeName": name,
            "role": name.split('-').next(),
            "machineClass": "edge",
            "serves": ["edge", "control"],
            "ip": ip.to_string(),
            "zone": ZONES[zone % ZONES.len()],
            "region": "pnw",
            "zones": { "pnw-a": "pnw", "pnw-b": "pnw", "pnw-c": "pnw", "pnw-d": "pnw" },
            "listen": { "datagramAddr": at(self.ports.datagram), "ready": at(self.ports.ready) },
            "internalPorts": [self.ports.internal, self.ports.internal],
            "seeds": seeds,
            "bootstrap": true,
            "countLoss": false,
            "limits": { "cpuShare": 0.25, "cpuCores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0 },
            "dataDir": null,
            "discovery": "platform",
            "entryKind": "advert",
            "heartbeatMs": 1200,
            "policies": ["base", "drain", "config", "cost", "recover", "flows", "platform"],
            "faultTolerance": { "machines": 2, "zones": 0, "regions": 0 },
            "bounds": {
                "seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 5000, "syncS": 4,
                "drainTimeoutMs": 3000, "graceS": 6, "lossSlackMs": 200, "applyMs": 3000,
                "rollbackSlackMs": 250, "maxStretchMs": 12000, "recoveryS": 12, "flowMs": 2000,
                "flowTtlS": 60,
            },
            "hashMode": "mod",
            "proxyMode": "agent",
            "platform": {
                "address": SocketAddrV4::new(STORE_IP, self.ports.store).to_string(),
                "proxyMode": "read", "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
                "maxValueBytes": 1048576, "minTtlMs": 1000,
            },
        })
    }

    /// Starts a program as the deploy file says: in the repository's root, without arguments, with
    /// a few variables only.
    fn launch(&mut self, program: &str, name: &str, settings: &Value) -> anyhow::Result<Child> {
        self.starts += 1;
        let path = self.folder.join(format!("{name}.yaml"));
        // JSON is YAML.
        std::fs::write(&path, serde_json::to_string_pretty(settings)?)?;
        let log = File::create(self.folder.join(format!("{name}.{}.log", self.starts)))?;
        let program = self.root.join("target/fleet").join(format!("gooseberrysill-{program}"));
        let mut command = Command::new(&program);
        command.current_dir(&self.root).env_clear();
        for variable in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(variable) {
                command.env(variable, value);
            }
        }
        let command = command.env("GOOSEBERRYSILL_CONFIG", &path).stdin(Stdio::null());
        let command = command.stdout(log.try_clone()?).stderr(log);
        command.spawn().with_context(|| format!("cannot start {}", program.display()))
    }

    /// Starts a further balancer, in the zone of the first one.
    pub fn add_edge(&mut self, ip: Ipv4Addr) -> anyhow::Result<()> {
        let name = format!("edge-{}", self.edges.len());
        let mut settings = self.settings(&name, ip, 0);
        settings["bootstrap"] = false.into();
        let child = self.launch("edge", &name, &settings)?;
        self.record.note(format!("balancer {name} ({ip}) starts"));
        self.edges.push(child);
        Ok(())
    }

    /// Where a balancer gets packets, and where it is asked whether it is ready.
    pub fn addresses_of(&self, ip: Ipv4Addr) -> (SocketAddrV4, SocketAddrV4) {
        (SocketAddrV4::new(ip, self.ports.datagram), SocketAddrV4::new(ip, self.ports.ready))
    }

    pub fn edge_address(&self, index: usize) -> SocketAddrV4 {
        SocketAddrV4::new(edge_ip(index as u8), self.ports.datagram)
    }

    pub fn signal_edge(&self, index: usize, signal: Signal) -> anyhow::Result<()> {
        self.record.note(format!("{signal} to balancer edge-{index}"));
        Ok(kill(Pid::from_raw(self.edges[index].id() as i32), signal)?)
    }

    /// Whether a program has ended by itself.
    pub fn ended_by_itself(&mut self) -> bool {
        let all = self.edges.iter_mut().chain(self.agents.values_mut());
        all.map(|child| child.try_wait()).any(|status| !matches!(status, Ok(None)))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.edges.iter_mut().chain(self.agents.values_mut()) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// A configuration with the two routes that see traffic, others to the same service, and so many
/// further routes that see none.
pub fn configuration(version: u64, ports: &[u16], further: u32) -> Value {
    let route = |host: Ipv4Addr, port: u16, kind: &str, slo: u32, timeout: u32, priority: u32| {
        json!({
            "name": format!("{host}-{port}"), "host": host.to_string(),
            "prefix": format!("/{port}/"), "service": SERVICE, "type": kind, "sloMs": slo,
            "timeoutMs": timeout, "priority": priority, "attempts": 1,
        })
    };
    let mut routes = vec![
        route(PLATFORM_ADDRESS, SAFE_PORT, "safe", 250, 2500, 2),
        route(PLATFORM_ADDRESS, UNSAFE_PORT, "unsafe", 300, 3000, 1),
    ];
    routes.extend(ports.iter().map(|port| route(PLATFORM_ADDRESS, *port, "unsafe", 300, 3000, 1)));
    for number in 0..further {
        let host = Ipv4Addr::from_bits(Ipv4Addr::new(127, 91, 0, 1).to_bits() + number / 4);
        routes.push(route(host, 8_000 + (number % 4) as u16, "safe", 250, 2500, 2));
    }
    json!({
        "version": version,
        "routes": routes,
        "services": [{ "name": SERVICE, "healthPath": "/health", "maxConns": 2000 }],
        "limits": { "idleTimeoutMs": 12000 },
    })
}
