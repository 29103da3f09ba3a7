//! The processes of the deploy file, and the stand-ins around them: routers, servers and clients as
//! PROTOCOL.md describes them. One thread runs servers and clients; others run store and routers.

use std::collections::HashMap;
use std::fs;
use std::io::{Read as _, Write as _};
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context as _, ensure};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};

use crate::packet::{ACK, FIN, Packet, RST, SYN, bounce, decode, is_system_reset};
use crate::store::Store;

pub type Flow = (SocketAddrV4, SocketAddrV4);

/// Bounds and rates of the small deployments.
pub const HEARTBEAT_MS: u64 = 1_200;
pub const REUSE_AFTER: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct Ports {
    packets: u16,
    ready: u16,
    control: u16,
    outbound: u16,
    app: u16,
    internal: u16,
    store: u16,
}

struct Process {
    name: String,
    child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct ServerFlow {
    open: bool,
    isn: u32,
    next: u32,
    own: u32,
    /// The last answer, until it is acknowledged.
    answer: Option<Resend>,
    /// The request that the last answer belongs to.
    answered_seq: Option<u32>,
}

struct Resend {
    bytes: Vec<u8>,
    end: u32,
    due: Instant,
    pause: Duration,
    tries: u32,
}

struct Job {
    flow: Flow,
    request: Packet,
    due: Option<Instant>,
}

pub struct Server {
    pub id: String,
    pub service: String,
    pub ip: Ipv4Addr,
    socket: UdpSocket,
    flows: HashMap<Flow, ServerFlow>,
    jobs: Vec<Job>,
    draining: bool,
    slots: usize,
    work: Duration,
    /// Unix millisecond of its start by the clock of its machine, where the deployment has it.
    pub born: Option<u64>,
    /// Since when the store has acknowledged that it drains.
    draining_since: Option<Instant>,
    /// Until when it is slow after its start.
    cold_until: Option<Instant>,
}

fn left_ms(until: Instant) -> u64 {
    until.saturating_duration_since(Instant::now()).as_millis() as u64
}

/// Unix milliseconds now.
pub fn unix_ms() -> u64 {
    std::time::UNIX_EPOCH.elapsed().unwrap().as_millis() as u64
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Opening {
        copies: u32,
    },
    Idle,
    Waiting {
        due: Instant,
        pause: Duration,
    },
    /// Over: the system reset it, the server reset it, or it did not open in time.
    Reset,
    ServerReset,
    NotOpened,
}

pub struct Client {
    pub flow: Flow,
    pub phase: Phase,
    pub opened_at: Instant,
    pub answered: Vec<String>,
    seq: u32,
    ack: u32,
    request: Option<(String, Vec<u8>)>,
    queued: Option<String>,
}

#[derive(Clone, Copy)]
struct Node {
    packets: SocketAddrV4,
    ready: SocketAddrV4,
    misses: u32,
    /// Whether the machine belongs to the fleet.
    member: bool,
}

/// What happened, as servers and clients saw it.
#[derive(Default)]
pub struct Seen {
    /// Request id, service of the server that ran it, its id.
    pub ran: Vec<(String, String, String)>,
    /// Requests that clients sent: id and route.
    pub sent: Vec<(String, SocketAddrV4)>,
    /// Flows that were open at a live server when the client got a reset of the system's own.
    pub reset_open: Vec<(Flow, String)>,
    pub resets: u32,
    pub altered: u32,
    /// Openings that a cold server took, and when.
    pub cold_openings: Vec<Instant>,
    /// Openings that a draining server took, and how long after the store's ack.
    pub late_openings: Vec<(Flow, String, Duration)>,
    pub answered: u32,
}

pub struct World {
    pub start: Instant,
    root: PathBuf,
    folder: PathBuf,
    prefix: [u8; 2],
    ports: Ports,
    pub store: Store,
    nodes: Arc<Mutex<Vec<Node>>>,
    balancers: Vec<Option<Process>>,
    agents: HashMap<Ipv4Addr, Process>,
    pub servers: Vec<Server>,
    pub clients: Vec<Client>,
    client_socket: UdpSocket,
    pub seen: Seen,
    record: fs::File,
    first_start: bool,
    next_port: u16,
    next_isn: u32,
    commands: (String, String),
    seqs: HashMap<String, u64>,
    /// Whether servers state their start in their entries.
    pub states_born: bool,
    /// How long servers are cold after a start, and what they bear then.
    pub warmup: Option<(Duration, f64)>,
}

impl World {
    pub fn new(root: &Path, record: &Path, balancers: usize) -> anyhow::Result<Self> {
        let deploy = fs::read_to_string(root.join("deploy/system.toml"))?;
        let command = |role: &str| -> anyhow::Result<String> {
            let section = deploy.split("[roles.").find(|s| s.starts_with(role)).context("role")?;
            let line = section.lines().find(|l| l.starts_with("run = ")).context("run")?;
            Ok(line.trim_start_matches("run = ").trim_matches('"').to_owned())
        };
        let commands = (command("balancer]")?, command("agent]")?);
        for command in [&commands.0, &commands.1] {
            let program = command.split(' ').next().unwrap();
            ensure!(root.join(program).exists(), "{program} isn't built");
        }
        let (prefix, ports, store, client_socket) = Self::find_addresses()?;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let world = Self {
            start: Instant::now(),
            root: root.to_owned(),
            folder,
            prefix,
            ports,
            store,
            nodes: Arc::default(),
            balancers: (0..balancers).map(|_| None).collect(),
            agents: HashMap::new(),
            servers: Vec::new(),
            clients: Vec::new(),
            client_socket,
            seen: Seen::default(),
            record: fs::File::create(record)?,
            first_start: true,
            next_port: 40_001,
            next_isn: 0x1122_3344,
            commands,
            seqs: HashMap::new(),
            states_born: false,
            warmup: None,
        };
        let nodes = (0..balancers).map(|index| Node {
            packets: SocketAddrV4::new(world.balancer_ip(index), ports.packets),
            ready: SocketAddrV4::new(world.balancer_ip(index), ports.ready),
            misses: 2,
            member: true,
        });
        *world.nodes.lock().unwrap() = nodes.collect();
        world.start_probes();
        Ok(world)
    }

    /// A free loopback network and free ports.
    fn find_addresses() -> anyhow::Result<([u8; 2], Ports, Store, UdpSocket)> {
        for attempt in 0..50u32 {
            let draw = std::process::id().wrapping_mul(2_654_435_761).wrapping_add(attempt * 977);
            let prefix = [64 + (draw >> 8) as u8 % 128, (draw >> 16) as u8];
            let base = 18_000 + (draw % 9_000) as u16;
            let ports = Ports {
                packets: base,
                ready: base + 1,
                control: base + 2,
                outbound: base + 3,
                app: base + 4,
                internal: base + 10,
                store: base + 5,
            };
            let ip = |kind: u8, n: u8| Ipv4Addr::new(127, prefix[0], prefix[1], kind + n);
            let store = Store::default();
            if store.serve(SocketAddrV4::new(ip(200, 0), ports.store)).is_err() {
                continue;
            }
            if let Ok(socket) = UdpSocket::bind((ip(210, 0), ports.packets)) {
                socket.set_nonblocking(true)?;
                return Ok((prefix, ports, store, socket));
            }
        }
        anyhow::bail!("no free loopback addresses")
    }

    fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.prefix[0], self.prefix[1], last)
    }

    pub fn balancer_ip(&self, index: usize) -> Ipv4Addr {
        self.ip(1 + index as u8)
    }

    pub fn server_ip(&self, index: usize) -> Ipv4Addr {
        self.ip(50 + index as u8)
    }

    /// Address of a route; it stands in packets only.
    pub fn host(&self, index: usize) -> Ipv4Addr {
        self.ip(220 + index as u8)
    }

    pub fn endpoint(&self, index: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.host(index), 443)
    }

    pub fn log(&mut self, text: impl AsRef<str>) {
        let ms = self.start.elapsed().as_millis();
        let line = format!("{:>7.3} s  {}\n", ms as f64 / 1e3, text.as_ref());
        let _ = self.record.write_all(line.as_bytes());
        eprint!("{line}");
    }

    fn settings(&self, name: &str, ip: Ipv4Addr, side: Option<&str>) -> Value {
        let at = |port| format!("{ip}:{port}");
        let seeds: Vec<String> = (0..self.balancers.len().min(3))
            .map(|index| format!("{}:{}", self.balancer_ip(index), self.ports.control))
            .collect();
        let mut value = json!({
            "nodeName": name, "role": if side.is_some() { "agent" } else { "balancer" },
            "machineClass": if side.is_some() { "side" } else { "edge" },
            "serves": if side.is_some() { json!(["side"]) } else { json!(["edge", "control"]) },
            "ip": ip.to_string(), "zone": "pnw-a", "region": "pnw",
            "zones": {"pnw-a": "pnw"},
            "listen": {"datagramAddr": at(self.ports.packets), "ready": at(self.ports.ready)},
            "internalPorts": [self.ports.internal, self.ports.internal + 15],
            "seeds": seeds, "bootstrap": self.first_start, "countLoss": false,
            "limits": {"cpuShare": 0.25, "cpuCores": 1, "memoryMb": 260, "maxFds": 4100,
                "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": null, "discovery": "platform", "entryKind": "announce",
            "heartbeatMs": HEARTBEAT_MS,
            "policies": ["base", "drain", "config", "cost", "recover", "flows", "platform"],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 5000,
                "syncS": 4, "drainTimeoutMs": 3000, "graceS": 6, "lossSlackMs": 200,
                "applyMs": 3000, "rollbackSlackMs": 250, "maxStretchMs": 12000, "recoveryS": 12,
                "flowMs": 2000, "flowTtlS": 60},
            "hashMode": "mod", "proxyMode": "agent",
            "platform": {"address": format!("{}:{}", self.ip(200), self.ports.store),
                "proxyMode": "read", "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
                "maxValueBytes": 1048576, "minTtlMs": 1000},
        });
        match side {
            Some(service) => {
                value["listen"]["outbound"] = at(self.ports.outbound).into();
                value["app"] = at(self.ports.app).into();
                value["service"] = service.into();
            }
            None => value["listen"]["control"] = at(self.ports.control).into(),
        }
        value
    }

    fn launch(&self, name: &str, command: &str, settings: &Value) -> anyhow::Result<Process> {
        // JSON is YAML.
        let path = self.folder.join(format!("{name}.yaml"));
        fs::write(&path, settings.to_string())?;
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))?;
        let mut words = command.split(' ');
        let child = Command::new(self.root.join(words.next().unwrap()))
            .args(words)
            .current_dir(&self.root)
            .env_clear()
            .env("GOOSEBERRYSILL_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Process { name: name.to_owned(), child })
    }

    pub fn start_balancer(&mut self, index: usize) -> anyhow::Result<()> {
        let name = format!("edge-{index}");
        let settings = self.settings(&name, self.balancer_ip(index), None);
        let process = self.launch(&name, &self.commands.0.clone(), &settings)?;
        self.balancers[index] = Some(process);
        self.log(format!("{name} starts"));
        Ok(())
    }

    /// From now on, processes start in a system that has run before.
    pub fn first_start_is_over(&mut self) {
        self.first_start = false;
    }

    pub fn kill_balancer(&mut self, index: usize) {
        self.balancers[index] = None;
        self.log(format!("edge-{index} is killed (SIGKILL)"));
    }

    pub fn signal_balancer(&mut self, index: usize, signal: Signal) {
        if let Some(process) = &self.balancers[index] {
            let _ = kill(Pid::from_raw(process.child.id() as i32), signal);
        }
        self.log(format!("edge-{index} gets {signal}"));
    }

    /// Adds a machine to the fleet, or takes one away.
    pub fn set_member(&mut self, index: usize, member: bool) {
        self.nodes.lock().unwrap()[index].member = member;
    }

    /// Stops a balancer (SIGTERM) and waits until it has ended.
    pub fn stop_balancer(&mut self, index: usize) {
        let Some(mut process) = self.balancers[index].take() else { return };
        let _ = kill(Pid::from_raw(process.child.id() as i32), Signal::SIGTERM);
        self.log(format!("edge-{index} gets SIGTERM"));
        let limit = Instant::now() + Duration::from_secs(6);
        self.run_until(limit, |_| process.child.try_wait().is_ok_and(|status| status.is_some()));
        self.log(format!("edge-{index} has ended"));
    }

    pub fn ready(&self) -> usize {
        self.nodes.lock().unwrap().iter().filter(|node| node.misses < 2).count()
    }

    /// Starts a machine with its agent and a server of a service, and registers the server.
    pub fn start_server(&mut self, id: &str, index: usize, service: &str) -> anyhow::Result<()> {
        let ip = self.server_ip(index);
        let name = format!("side-{index}-{id}");
        let settings = self.settings(&name, ip, Some(service));
        let agent = self.launch(&name, &self.commands.1.clone(), &settings)?;
        self.agents.insert(ip, agent);
        let socket = UdpSocket::bind((ip, self.ports.app))?;
        socket.set_nonblocking(true)?;
        self.servers.push(Server {
            id: id.into(),
            service: service.into(),
            ip,
            socket,
            flows: HashMap::new(),
            jobs: Vec::new(),
            draining: false,
            slots: 7,
            work: Duration::from_millis(20),
            born: self.states_born.then(unix_ms),
            draining_since: None,
            cold_until: None,
        });
        self.log(format!("server {id} of {service} starts at {ip}, with its agent"));
        self.publish(id);
        Ok(())
    }

    /// A server crashes and is back after a while, under the id that it had; its agent and its
    /// machine stay. `born` is the time of the new start by the clock of its machine.
    pub fn flap_server(
        &mut self,
        id: &str,
        down: Duration,
        born: impl FnOnce() -> u64,
    ) -> anyhow::Result<()> {
        self.flap_server_under(id, down, born, |_| false)
    }

    /// The same, while callers go on.
    pub fn flap_server_under(
        &mut self,
        id: &str,
        down: Duration,
        born: impl FnOnce() -> u64,
        meanwhile: impl FnMut(&mut Self) -> bool,
    ) -> anyhow::Result<()> {
        let index = self.servers.iter().position(|server| server.id == id).context("server")?;
        let server = self.servers.remove(index);
        let (ip, service) = (server.ip, server.service.clone());
        drop(server);
        self.log(format!("server {id} crashes"));
        self.run_until(Instant::now() + down, meanwhile);
        let socket = UdpSocket::bind((ip, self.ports.app))?;
        socket.set_nonblocking(true)?;
        self.servers.push(Server {
            id: id.into(),
            service,
            ip,
            socket,
            flows: HashMap::new(),
            jobs: Vec::new(),
            draining: false,
            slots: 7,
            work: Duration::from_millis(20),
            born: self.states_born.then(born),
            draining_since: None,
            cold_until: self.warmup.map(|(time, _)| Instant::now() + time),
        });
        self.seqs.remove(id);
        self.log(format!("server {id} starts again under its id"));
        self.publish(id);
        Ok(())
    }

    /// A server reports that it drains.
    pub fn drain(&mut self, id: &str) {
        let server = self.servers.iter_mut().find(|server| server.id == id).unwrap();
        server.draining = true;
        self.publish(id);
        let server = self.servers.iter_mut().find(|server| server.id == id).unwrap();
        server.draining_since = Some(Instant::now());
    }

    /// Stops the agent beside a server (SIGTERM), and starts it again after a short delay.
    pub fn restart_agent(
        &mut self,
        id: &str,
        delay: Duration,
        mut meanwhile: impl FnMut(&mut Self),
    ) -> anyhow::Result<()> {
        let server = self.servers.iter().find(|server| server.id == id).context("server")?;
        let (ip, service) = (server.ip, server.service.clone());
        let mut process = self.agents.remove(&ip).context("agent")?;
        let _ = kill(Pid::from_raw(process.child.id() as i32), Signal::SIGTERM);
        self.log(format!("the agent beside server {id} gets SIGTERM"));
        let limit = Instant::now() + Duration::from_secs(6);
        self.run_until(limit, |_| process.child.try_wait().is_ok_and(|status| status.is_some()));
        let name = process.name.clone();
        drop(process);
        let limit = Instant::now() + delay;
        self.run_until(limit, |world| {
            meanwhile(world);
            false
        });
        let settings = self.settings(&name, ip, Some(&service));
        let agent = self.launch(&name, &self.commands.1.clone(), &settings)?;
        self.agents.insert(ip, agent);
        self.log(format!("the agent beside server {id} starts again"));
        Ok(())
    }

    pub fn publish(&mut self, id: &str) {
        let server = self.servers.iter().find(|server| server.id == id).unwrap();
        let seq = self.seqs.entry(id.to_owned()).or_default();
        *seq += 1;
        let entry = json!({"service": server.service,
            "address": format!("{}:{}", server.ip, self.ports.app), "zone": "pnw-a",
            "version": "v1", "capacity": server.slots,
            "state": if server.draining { "draining" } else { "ready" }, "warmupLeftMs": server.cold_until.map_or(0, left_ms), "seq": *seq});
        let mut entry = entry;
        if let Some(born) = server.born {
            entry["born"] = born.into();
        }
        let rev = self.store.put(&format!("servers/{id}"), &entry);
        self.log(format!("store: rev {rev}: servers/{id} = {entry}"));
    }

    pub fn configure(&mut self, version: u64, routes: &[(usize, &str, &str)], services: &[&str]) {
        let routes: Vec<Value> = routes
            .iter()
            .map(|(host, service, kind)| {
                json!({"name": format!("r-{host}"), "host": self.host(*host).to_string(),
                    "prefix": "/443/", "type": kind, "timeoutMs": 2500, "sloMs": 250,
                    "priority": 2, "service": service, "attempts": 2})
            })
            .collect();
        let services: Vec<Value> = services
            .iter()
            .map(|name| {
                let mut service = json!({"name": name, "healthPath": "/health", "maxConns": 2000,
                    "protocol": "h1", "tls": false});
                if let Some((time, per_s)) = self.warmup {
                    service["warmupS"] = time.as_secs_f64().into();
                    service["warmupPerS"] = per_s.into();
                }
                service
            })
            .collect();
        let config = json!({"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000}});
        let rev = self.store.put("op/config", &config);
        let shown: Vec<String> = config["routes"]
            .as_array()
            .unwrap()
            .iter()
            .map(|r| format!("{}:443 -> {}", r["host"].as_str().unwrap(), r["service"]))
            .collect();
        self.log(format!("store: rev {rev}: op/config version {version}: {}", shown.join(", ")));
    }

    /// A server and its machine are gone at once; nothing is written.
    pub fn crash_server(&mut self, id: &str) {
        let index = self.servers.iter().position(|server| server.id == id).unwrap();
        let server = self.servers.remove(index);
        self.agents.remove(&server.ip);
        self.log(format!("server {id} of {} at {} crashes for good", server.service, server.ip));
    }

    /// Its entry lapses.
    pub fn lapse(&mut self, id: &str) {
        self.store.remove(&format!("servers/{id}"));
        self.log(format!("store: servers/{id} is removed"));
    }

    fn start_probes(&self) {
        let nodes = Arc::clone(&self.nodes);
        let count = nodes.lock().unwrap().len();
        for index in 0..count {
            let nodes = Arc::clone(&nodes);
            thread::spawn(move || {
                loop {
                    let at = nodes.lock().unwrap()[index].ready;
                    let begun = Instant::now();
                    let ready = probe(at);
                    let mut guard = nodes.lock().unwrap();
                    let misses = &mut guard[index].misses;
                    *misses = if ready { 0 } else { (*misses + 1).min(2) };
                    drop(guard);
                    thread::sleep(Duration::from_millis(500).saturating_sub(begun.elapsed()));
                }
            });
        }
    }

    /// The router's choice: a hash of the four addresses and ports over the nodes in rotation, or
    /// over all if fewer than half are.
    pub fn route(&self, flow: Flow) -> SocketAddrV4 {
        let nodes = self.nodes.lock().unwrap();
        let ready: Vec<&Node> =
            nodes.iter().filter(|node| node.member && node.misses < 2).collect();
        let all: Vec<&Node> = nodes.iter().filter(|node| node.member).collect();
        let among = if 2 * ready.len() < all.len() { all } else { ready };
        let mut hash = u64::from(flow.0.port()) | u64::from(flow.1.port()) << 16;
        hash ^= u64::from(flow.0.ip().to_bits()) << 32 ^ u64::from(flow.1.ip().to_bits());
        hash = (hash ^ hash >> 29).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
        among[(hash % among.len() as u64) as usize].packets
    }

    /// Opens a flow to a route, and sends a request on it once it is open.
    pub fn open(&mut self, endpoint: SocketAddrV4, request: &str) -> usize {
        let port = self.next_port;
        self.next_port += 1;
        self.next_isn = self.next_isn.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        let flow = (SocketAddrV4::new(self.ip(210), port), endpoint);
        let client = Client {
            flow,
            phase: Phase::Opening { copies: 0 },
            opened_at: Instant::now(),
            answered: Vec::new(),
            seq: self.next_isn,
            ack: 0,
            request: None,
            queued: Some(request.into()),
        };
        self.clients.push(client);
        self.log(format!("client :{port} opens a flow to {endpoint} for request {request}"));
        let index = self.clients.len() - 1;
        self.send_opening(index, 0);
        index
    }

    /// Sends a further request on an open flow.
    pub fn request(&mut self, index: usize, request: &str) {
        self.clients[index].queued = Some(request.into());
        self.send_queued(index);
    }

    fn send_opening(&mut self, index: usize, copy: u32) {
        let client = &self.clients[index];
        let (src, dst) = client.flow;
        let packet = Packet { src, dst, flags: SYN, seq: client.seq, ack: copy, data: Vec::new() };
        self.send_client(index, &packet.encode());
    }

    fn send_queued(&mut self, index: usize) {
        let client = &mut self.clients[index];
        if client.phase != Phase::Idle {
            return;
        }
        let Some(id) = client.queued.take() else { return };
        let body = "x".repeat(40);
        let text = format!(
            "POST /orders HTTP/1.1\r\nHost: a\r\nGooseberrysill-Request-Id: {id}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        client.request = Some((id.clone(), text.into_bytes()));
        let pause = Duration::from_millis(200);
        client.phase = Phase::Waiting { due: Instant::now() + pause, pause };
        let (flow, endpoint) = (client.flow.0.port(), client.flow.1);
        self.seen.sent.push((id.clone(), endpoint));
        self.log(format!("client :{flow} sends request {id} to {endpoint}"));
        self.send_request(index);
    }

    fn send_request(&mut self, index: usize) {
        let client = &self.clients[index];
        let data = client.request.as_ref().unwrap().1.clone();
        let (src, dst) = client.flow;
        let packet = Packet { src, dst, flags: ACK, seq: client.seq, ack: client.ack, data };
        self.send_client(index, &packet.encode());
    }

    fn send_client(&self, index: usize, bytes: &[u8]) {
        let _ = self.client_socket.send_to(bytes, self.route(self.clients[index].flow));
    }

    /// Runs servers and clients for a time.
    pub fn run_for(&mut self, time: Duration) {
        let end = Instant::now() + time;
        self.run_until(end, |_| false);
    }

    /// Runs servers and clients until a time, or until a condition holds; returns whether it did.
    pub fn run_until(&mut self, end: Instant, mut done: impl FnMut(&mut Self) -> bool) -> bool {
        while Instant::now() < end {
            if done(self) {
                return true;
            }
            let busy = self.step();
            if !busy {
                thread::sleep(Duration::from_micros(300));
            }
        }
        false
    }

    fn step(&mut self) -> bool {
        let mut busy = false;
        let mut buffer = [0; 2_048];
        for index in 0..self.servers.len() {
            while let Ok((length, _)) = self.servers[index].socket.recv_from(&mut buffer) {
                busy = true;
                self.on_server_packet(index, &mut buffer[..length]);
            }
            self.work(index);
        }
        while let Ok((length, _)) = self.client_socket.recv_from(&mut buffer) {
            busy = true;
            self.on_client_packet(&buffer[..length]);
        }
        self.client_timers();
        busy
    }

    fn on_server_packet(&mut self, index: usize, bytes: &mut [u8]) {
        let outbound = (self.servers[index].ip, self.ports.outbound);
        let Some((packet, true)) = decode(bytes) else {
            self.seen.altered += 1;
            self.log("a server gets a packet that its sender didn't write so");
            return;
        };
        if packet.flags & (SYN | ACK) == SYN | ACK {
            self.seen.altered += 1;
            return;
        }
        let flow = (packet.src, packet.dst);
        let server = &mut self.servers[index];
        if packet.has(SYN) {
            self.next_isn = self.next_isn.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            let isn = self.next_isn;
            let is_cold = server.cold_until.is_some_and(|until| Instant::now() < until);
            if is_cold && !server.flows.contains_key(&flow) {
                self.seen.cold_openings.push(Instant::now());
            }
            if let (Some(since), false) = (server.draining_since, server.flows.contains_key(&flow))
            {
                self.seen.late_openings.push((flow, server.id.clone(), since.elapsed()));
            }
            let state = server.flows.entry(flow).or_insert(ServerFlow {
                open: false,
                isn,
                next: packet.seq.wrapping_add(1),
                own: isn.wrapping_add(1),
                answer: None,
                answered_seq: None,
            });
            let reply = Packet {
                src: flow.1,
                dst: flow.0,
                flags: SYN | ACK,
                seq: state.isn,
                ack: state.next,
                data: Vec::new(),
            };
            let _ = server.socket.send_to(&reply.encode(), outbound);
            return;
        }
        let Some(state) = server.flows.get_mut(&flow) else {
            bounce(bytes);
            let _ = server.socket.send_to(bytes, outbound);
            return;
        };
        if packet.has(RST) {
            server.flows.remove(&flow);
            server.jobs.retain(|job| job.flow != flow);
            return;
        }
        let (id, service) = (server.id.clone(), server.service.clone());
        let mut opened = false;
        if !state.open {
            if packet.ack != state.isn.wrapping_add(1) {
                return;
            }
            state.open = true;
            opened = true;
        }
        if state.answer.as_ref().is_some_and(|a| (packet.ack.wrapping_sub(a.end) as i32) >= 0) {
            state.answer = None;
        }
        if packet.has(FIN) {
            let reply = Packet {
                src: flow.1,
                dst: flow.0,
                flags: ACK | FIN,
                seq: state.own,
                ack: packet.seq.wrapping_add(1),
                data: Vec::new(),
            };
            let _ = server.socket.send_to(&reply.encode(), outbound);
            server.flows.remove(&flow);
            server.jobs.retain(|job| job.flow != flow);
        } else if !packet.data.is_empty() {
            if state.answered_seq == Some(packet.seq) {
                if let Some(answer) = &state.answer {
                    let _ = server.socket.send_to(&answer.bytes, outbound);
                }
            } else if state.next == packet.seq && server.jobs.iter().all(|job| job.flow != flow) {
                server.jobs.push(Job { flow, request: packet, due: None });
            }
        }
        if opened {
            self.log(format!(
                "flow :{} to {} is open at server {id} of {service}",
                flow.0.port(),
                flow.1
            ));
        }
    }

    fn work(&mut self, index: usize) {
        let now = Instant::now();
        let outbound = (self.servers[index].ip, self.ports.outbound);
        let mut lines = Vec::new();
        let server = &mut self.servers[index];
        for job in server.jobs.iter_mut().take(server.slots).filter(|job| job.due.is_none()) {
            job.due = Some(now + server.work);
            let id = request_id(&job.request.data);
            let (flow, service) = (job.flow, &server.service);
            lines.push(format!(
                "server {} of {service} runs request {id} (flow :{} to {})",
                server.id,
                flow.0.port(),
                flow.1
            ));
            self.seen.ran.push((id, service.clone(), server.id.clone()));
        }
        while let Some(at) = server.jobs.iter().position(|j| j.due.is_some_and(|due| due <= now)) {
            let job = server.jobs.remove(at);
            let Some(state) = server.flows.get_mut(&job.flow) else { continue };
            let body = format!("{} by {}", request_id(&job.request.data), server.id);
            let text = format!(
                "HTTP/1.1 200 OK\r\nGooseberrysill-Instance-Id: {}\r\n\
                 Gooseberrysill-Response-Signature: {:x}\r\nContent-Length: {}\r\n\r\n{body}",
                server.id,
                body.len() * 7_919,
                body.len()
            );
            let data = text.into_bytes();
            state.next = job.request.seq.wrapping_add(job.request.data.len() as u32);
            let flags = if server.draining { ACK | FIN } else { ACK };
            let end = state.own.wrapping_add(data.len() as u32);
            let reply = Packet {
                src: job.flow.1,
                dst: job.flow.0,
                flags,
                seq: state.own,
                ack: state.next,
                data,
            };
            state.own = end;
            state.answered_seq = Some(job.request.seq);
            let bytes = reply.encode();
            let _ = server.socket.send_to(&bytes, outbound);
            let pause = Duration::from_millis(200);
            state.answer = Some(Resend { bytes, end, due: now + pause, pause, tries: 0 });
        }
        for state in server.flows.values_mut() {
            let Some(answer) = &mut state.answer else { continue };
            if now >= answer.due && answer.tries < 8 {
                answer.tries += 1;
                answer.pause = (answer.pause * 2).min(Duration::from_millis(1_600));
                answer.due = now + answer.pause;
                let _ = server.socket.send_to(&answer.bytes, outbound);
            }
        }
        lines.into_iter().for_each(|line| self.log(line));
    }

    fn on_client_packet(&mut self, bytes: &[u8]) {
        let Some((packet, sum_ok)) = decode(bytes) else {
            self.seen.altered += 1;
            return;
        };
        let flow = (packet.dst, packet.src);
        let Some(index) = self.clients.iter().position(|client| client.flow == flow) else {
            return;
        };
        if is_system_reset(bytes) {
            return self.on_system_reset(index);
        }
        if !sum_ok {
            self.seen.altered += 1;
            self.log("a client gets a packet that its sender didn't write so");
            return;
        }
        let client = &mut self.clients[index];
        match client.phase {
            Phase::Opening { .. } if packet.has(SYN) => {
                client.seq = client.seq.wrapping_add(1);
                client.ack = packet.seq.wrapping_add(1);
                client.phase = Phase::Idle;
                self.send_queued(index);
            }
            Phase::Waiting { .. } if packet.has(RST) => {
                client.phase = Phase::ServerReset;
                self.log(format!("client :{}: the server resets the flow", flow.0.port()));
            }
            Phase::Waiting { .. } if packet.seq == client.ack && !packet.data.is_empty() => {
                let (id, request) = client.request.take().unwrap();
                client.seq = client.seq.wrapping_add(request.len() as u32);
                client.ack = client.ack.wrapping_add(packet.data.len() as u32);
                let text = String::from_utf8_lossy(&packet.data).into_owned();
                let body = text.rsplit("\r\n").next().unwrap_or_default().to_owned();
                client.answered.push(body.clone());
                client.phase = Phase::Idle;
                let (src, dst, seq, ack) = (flow.0, flow.1, client.seq, client.ack);
                self.seen.answered += 1;
                self.log(format!("client :{} gets the answer to {id}: 200 \"{body}\"", src.port()));
                let reply = Packet { src, dst, flags: ACK, seq, ack, data: Vec::new() };
                self.send_client(index, &reply.encode());
                self.send_queued(index);
            }
            _ => {}
        }
    }

    fn on_system_reset(&mut self, index: usize) {
        let client = &mut self.clients[index];
        let (flow, phase) = (client.flow, client.phase);
        if matches!(phase, Phase::Reset | Phase::NotOpened) {
            return;
        }
        client.phase = Phase::Reset;
        let waiting = client.request.as_ref().map(|(id, _)| id.clone()).unwrap_or_default();
        self.seen.resets += 1;
        let holder = self
            .servers
            .iter()
            .find(|server| server.flows.get(&flow).is_some_and(|state| state.open));
        let port = flow.0.port();
        match holder.map(|server| (server.id.clone(), server.service.clone())) {
            Some((id, service)) => {
                self.log(format!(
                    "client :{port}: the system resets the flow (request {waiting}), \
                     which is open at the live server {id} of {service}"
                ));
                self.seen.reset_open.push((flow, id));
            }
            None => self.log(format!(
                "client :{port}: the system resets the flow (request {waiting}); no server has it open"
            )),
        }
    }

    fn client_timers(&mut self) {
        let now = Instant::now();
        for index in 0..self.clients.len() {
            let client = &mut self.clients[index];
            match client.phase {
                Phase::Opening { .. } if now >= client.opened_at + Duration::from_millis(1_400) => {
                    client.phase = Phase::NotOpened;
                    let port = client.flow.0.port();
                    self.log(format!("client :{port}: the flow did not open"));
                }
                Phase::Opening { copies }
                    if copies < 2
                        && now
                            >= client.opened_at
                                + Duration::from_millis([200, 600][copies as usize]) =>
                {
                    client.phase = Phase::Opening { copies: copies + 1 };
                    self.send_opening(index, copies + 1);
                }
                Phase::Waiting { due, pause } if now >= due => {
                    let pause = (pause * 2).min(Duration::from_millis(1_600));
                    client.phase = Phase::Waiting { due: now + pause, pause };
                    self.send_request(index);
                }
                _ => {}
            }
        }
    }

    /// Ends all processes. Keeps their output only if asked for.
    pub fn end(mut self) {
        for process in self.balancers.iter_mut().flatten() {
            let _ = process.child.kill();
        }
        self.balancers.clear();
        self.agents.clear();
        if std::env::var_os("KEEP_LOGS").is_some() {
            eprintln!("logs are kept in the temporary folder");
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn probe(at: SocketAddrV4) -> bool {
    let timeout = Duration::from_millis(400);
    let Ok(mut stream) = TcpStream::connect_timeout(&at.into(), timeout) else { return false };
    let _ = stream.set_read_timeout(Some(timeout));
    let request = format!("GET /-/ready HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\n\r\n");
    if stream.write_all(request.as_bytes()).is_err() {
        return false;
    }
    let mut answer = [0; 64];
    let length = stream.read(&mut answer).unwrap_or(0);
    String::from_utf8_lossy(&answer[..length]).starts_with("HTTP/1.1 200")
}

fn request_id(data: &[u8]) -> String {
    let text = String::from_utf8_lossy(data);
    let line = text.lines().find_map(|line| line.strip_prefix("Gooseberrysill-Request-Id: "));
    line.unwrap_or_default().trim().to_owned()
}
