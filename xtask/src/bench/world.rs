//! The processes and sinks that run during a bench.

use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use anyhow::{Context as _, ensure};
use decision::keys::AccountId;
use decision::view::AccountSpec;
use loadgen::traffic::{Flood, Opening, balancer_frames, bind_sink, flood, sealed_frames};
use loadgen::world::{TARGET_SIZE, account_yaml};
use wire::sealed::AccountKeyring;

use super::documents::{
    self, AGENT_ADDRESS, BALANCER_ADDRESS, PLATFORM_ADDRESS, RELAY_ADDRESS, UPSTREAM_ADDRESS,
};
use super::process::Process;
use super::release_folder;
use super::subject::{Kind, Subject};

/// Number of flows in the load on each subject, and of open flows at the agent.
pub(super) const FLOWS: usize = 50_000;
/// Number of accounts whose services receive the balancer's load. Each of their upstreams has a
/// sink.
const LOADED_ACCOUNTS: usize = 10;
/// Openings sent per second while the agent's flows are opened.
const OPENINGS_PER_S: u64 = 25_000;
/// Attempts to open all flows. More than one is needed because openings may be lost in a burst.
const OPEN_ATTEMPTS: usize = 8;

/// Running processes and sinks.
pub(super) struct World {
    /// Subjects, in the order of their turns.
    pub(super) subjects: Vec<Subject>,
    _platform: Process,
    _sinks: Vec<UdpSocket>,
}

impl World {
    /// Starts all processes, publishes settings of target size and opens the agent's flows. Binds a
    /// sink to each upstream's address except those in `receivers`, which the experiment binds.
    pub(super) fn start(receivers: &[SocketAddr]) -> anyhow::Result<Self> {
        let folder = PathBuf::from("target/bench");
        std::fs::create_dir_all(&folder)?;
        let accounts = TARGET_SIZE.accounts();
        let loaded = &accounts[..LOADED_ACCOUNTS];
        let agents: Vec<SocketAddr> = upstream_addresses(loaded);
        let without_receiver =
            agents.iter().chain([&UPSTREAM_ADDRESS]).filter(|address| !receivers.contains(address));
        let sinks =
            without_receiver.map(|address| bind_sink(*address)).collect::<anyhow::Result<_>>()?;
        let platform = start_platform(&folder, &accounts)?;
        let subjects = vec![relay(&agents)?, balancer(&folder, loaded)?, agent(&folder)?];
        Ok(Self { subjects, _platform: platform, _sinks: sinks })
    }
}

fn upstream_addresses(accounts: &[AccountSpec]) -> Vec<SocketAddr> {
    let services = accounts.iter().flat_map(|account| &account.services);
    services.flat_map(|service| &service.upstreams).map(|upstream| upstream.agent_address).collect()
}

fn start_platform(folder: &Path, accounts: &[AccountSpec]) -> anyhow::Result<Process> {
    let listen = PLATFORM_ADDRESS.to_string();
    let arguments = ["--listen", &listen];
    let program = release_folder().join("standin-platform");
    let platform = Process::daemon(&program, &arguments, &folder.join("platform.log"))?;
    put_with_retries("/admin/root", &documents::root())?;
    for account in accounts.iter().chain([&documents::account()]) {
        put(&format!("/admin/accounts/{}", account.name), &account_yaml(account))?;
    }
    put("/admin/instances", &TARGET_SIZE.instances_json())?;
    Ok(platform)
}

fn put_with_retries(path: &str, body: &str) -> anyhow::Result<()> {
    let start = Instant::now();
    while let Err(error) = put(path, body) {
        ensure!(start.elapsed() < Duration::from_secs(5), "platform: {error:#}");
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

fn put(path: &str, body: &str) -> anyhow::Result<()> {
    ureq::put(format!("http://{PLATFORM_ADDRESS}{path}")).send(body).context(path.to_owned())?;
    Ok(())
}

fn relay(receivers: &[SocketAddr]) -> anyhow::Result<Subject> {
    let addresses = [RELAY_ADDRESS].iter().chain(receivers).map(SocketAddr::to_string);
    let arguments: Vec<String> = ["relay".to_owned()].into_iter().chain(addresses).collect();
    // The relay receives frames of the same kind as the balancer.
    let frames = balancer_frames(&[documents::SERVICE_ADDRESS], FLOWS, Opening::No)?;
    let process = Process::interactive(&release_folder().join("gooseberrysill-load"), &arguments)?;
    Ok(Subject { kind: Kind::Relay, process, data: RELAY_ADDRESS, control: RELAY_ADDRESS, frames })
}

fn balancer(folder: &Path, loaded: &[AccountSpec]) -> anyhow::Result<Subject> {
    let services: Vec<SocketAddrV4> = loaded
        .iter()
        .flat_map(|account| &account.services)
        .flat_map(|service| &service.endpoints)
        .filter_map(|endpoint| match endpoint.address {
            std::net::IpAddr::V4(address) => Some(SocketAddrV4::new(address, endpoint.port)),
            std::net::IpAddr::V6(_) => None,
        })
        .collect();
    let frames = balancer_frames(&services, FLOWS, Opening::No)?;
    let process = daemon(folder, "balancer", &documents::balancer())?;
    let control = documents::control_address(BALANCER_ADDRESS);
    let subject =
        Subject { kind: Kind::Balancer, process, data: BALANCER_ADDRESS, control, frames };
    let accounts = TARGET_SIZE.accounts + 1;
    subject
        .wait_until_ready(|status| status["settings"].as_array().map(Vec::len) == Some(accounts))?;
    Ok(subject)
}

fn agent(folder: &Path) -> anyhow::Result<Subject> {
    let keys = [(documents::KEY_ID, documents::MASTER_KEY)];
    let account = AccountId::of(documents::ACCOUNT);
    let keyring = AccountKeyring::derive(&keys, account).context("no key")?;
    let frames = |opening| {
        let names = (documents::ACCOUNT, documents::SERVICE);
        let service = (documents::SERVICE_ADDRESS, &documents::FLOW_KEY);
        sealed_frames(&keyring, names, service, FLOWS, opening)
    };
    let process = daemon(folder, "agent", &documents::agent())?;
    let control = documents::control_address(AGENT_ADDRESS);
    let mid_flow_frames = frames(Opening::No)?;
    let subject = Subject {
        kind: Kind::Agent,
        process,
        data: AGENT_ADDRESS,
        control,
        frames: mid_flow_frames,
    };
    subject.wait_until_ready(|_| true)?;
    open_flows(&subject, &frames(Opening::Yes)?)?;
    Ok(subject)
}

/// Opens all flows at the agent.
fn open_flows(agent: &Subject, openings: &loadgen::traffic::Frames) -> anyhow::Result<()> {
    for _ in 0..OPEN_ATTEMPTS {
        let run = Flood {
            to: AGENT_ADDRESS,
            duration: Duration::from_secs(5),
            rate: Some(OPENINGS_PER_S),
            packets: FLOWS as u64,
        };
        flood(openings, run)?;
        std::thread::sleep(Duration::from_millis(300));
        if agent.counter("flows_open")? >= FLOWS as u64 {
            return Ok(());
        }
    }
    anyhow::bail!("only {} flows are open", agent.counter("flows_open")?)
}

fn daemon(folder: &Path, name: &str, settings: &str) -> anyhow::Result<Process> {
    let file = folder.join(format!("{name}.yaml"));
    std::fs::write(&file, settings)?;
    let program = release_folder().join(format!("gooseberrysill-{name}"));
    let arguments = ["--settings", &file.display().to_string()];
    Process::daemon(&program, &arguments, &folder.join(format!("{name}.log")))
}
