//! Runs the process: starts the threads, publishes snapshots and shuts down gracefully.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, mpsc};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use decision::keys::AccountId;
use decision::spread::{Member, NodeId, Peer};
use settings::codes;
use settings::process::balancer::BalancerSettings;
use shell::fault::StartFault;
use shell::settings_sync::instances::{Instances, Kind};
use shell::settings_sync::peers::PeerReader;
use shell::settings_sync::platform::PlatformReader;
use shell::settings_sync::{Keyrings, Scope, Store};
use shell::signals::Shutdown;
use shell::status::StatusSource;
use shell::{boottime, http};
use telemetry::metrics::Metrics;
use telemetry::timeline::{Fields, Timeline};
use wire::exchange::FLEET;
use wire::sealed::{AccountKeyring, KeyId, SenderId};

use crate::counters::Counters;
use crate::forward::Identity;
use crate::notices::AgentNotice;
use crate::publish::{Publisher, Sources};
use crate::snapshot::PublishedSnapshot;
use crate::spreading::link::Link;
use crate::spreading::{
    AgentNotifier, Fetch, Fetcher, Spreading, SpreadingConfig, SpreadingStatus,
};
use crate::worker::{self, Worker};

/// Capacity of the time line, in events.
const TIMELINE_EVENTS: usize = 4_096;
/// Interval between checks for changes of settings and liveness. It adds to the time until new
/// settings are in force, which may take seconds.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(25);
/// If the fabric sends nothing for this long during a shutdown, it has taken the balancer out of
/// rotation.
const DRAIN_IDLE_TIMEOUT: Duration = Duration::from_millis(500);

struct Balancer {
    settings: BalancerSettings,
    store: Arc<Store>,
    instances: Arc<Instances>,
    timeline: Arc<Timeline>,
    counters: Counters,
    published: Arc<PublishedSnapshot>,
    shutdown: Shutdown,
    spreading_status: Arc<SpreadingStatus>,
}

/// Runs a balancer until a signal shuts it down.
///
/// Errors: a [`StartFault`] if an address is in use, a thread cannot be started or the settings
/// file holds no key. The balancer has not been ready by then, so the fabric has sent it nothing.
pub fn run(settings: BalancerSettings) -> Result<(), StartFault> {
    telemetry::log::start(&settings.instance);
    let metrics = Arc::new(Metrics::default());
    let timeline = Arc::new(Timeline::new(settings.instance.clone(), TIMELINE_EVENTS));
    let balancer = Balancer {
        store: Arc::new(Store::new(Scope::All, timeline.clone())),
        instances: Arc::default(),
        counters: Counters::new(&metrics),
        published: Arc::default(),
        spreading_status: Arc::default(),
        shutdown: Shutdown::on_signal().map_err(|e| StartFault::thread(&e))?,
        timeline,
        settings,
    };
    let stop = Arc::new(AtomicBool::new(false));
    let (notices, inbox) = mpsc::channel();
    let workers = balancer.start_workers(&stop, &notices)?;
    let published = balancer.published.clone();
    let routes =
        crate::http::routes(&balancer.status_source(metrics), &balancer.keyrings(), published);
    http::start(balancer.settings.control_address, routes)?;
    let (members, observed_members) = mpsc::channel();
    let (outdated, outdated_notices) = mpsc::channel();
    let fetches = balancer.start_readers()?;
    balancer.start_spreading(observed_members, outdated_notices, fetches)?;
    balancer.timeline.record("", "started", Fields::default());
    log::info!("started");
    let publisher = balancer.publisher(inbox, members, outdated);
    balancer.forward_until_drained(publisher);
    stop.store(true, Ordering::Relaxed);
    for worker in workers {
        // The panic of a worker has been printed already; the shutdown continues.
        let _ = worker.join();
    }
    log::info!("stopped");
    Ok(())
}

impl Balancer {
    fn start_workers(
        &self,
        stop: &Arc<AtomicBool>,
        notices: &mpsc::Sender<AgentNotice>,
    ) -> Result<Vec<JoinHandle<()>>, StartFault> {
        let address = self.settings.data_address;
        let sockets = worker::bind(address, self.settings.receive_threads)
            .map_err(|error| StartFault::bind(address, &error))?;
        let identity = Identity::new(self.settings.flow_key, &self.settings.instance);
        let mut workers = Vec::new();
        for (index, socket) in sockets.into_iter().enumerate() {
            let worker = Worker {
                socket,
                identity,
                published: self.published.clone(),
                counters: self.counters.clone(),
                notices: notices.clone(),
                stop: stop.clone(),
            };
            workers.push(spawn(&format!("receive-{index}"), move || worker.run())?);
        }
        Ok(workers)
    }

    /// Starts the threads that read settings and instances from the platform and from peers. The
    /// returned channel takes requests for further fetches.
    fn start_readers(&self) -> Result<mpsc::Sender<Fetch>, StartFault> {
        let platform = self.settings.platform_address;
        let reader = PlatformReader::new(platform, self.store.clone(), self.instances.clone());
        let list_reader = reader.clone();
        let (configured, own) = (self.settings.peers.clone(), self.settings.control_address);
        let instances = self.instances.clone();
        let candidates = move || {
            let mut peers = instances.control_addresses(Kind::Balancer);
            peers.extend(&configured);
            peers.retain(|peer| *peer != own);
            peers
        };
        let peers = PeerReader::new(self.store.clone(), Arc::new(candidates), self.keyrings());
        let (fetches, inbox) = mpsc::channel();
        let (platform, fetch_peers) = (reader.clone(), peers.clone());
        let fetcher = Fetcher { store: self.store.clone(), peers: fetch_peers, platform, inbox };
        let (shutdown, spreading_status, store) =
            (self.shutdown.clone(), self.spreading_status.clone(), self.store.clone());
        let should_read = move || spreading_status.is_reader() || !store.is_current();
        spawn("platform", move || reader.run(&shutdown, should_read))?;
        let shutdown = self.shutdown.clone();
        spawn("instances", move || list_reader.run_instance_list(&shutdown))?;
        let shutdown = self.shutdown.clone();
        spawn("peers", move || peers.run(&shutdown))?;
        spawn("fetch", move || fetcher.run())?;
        Ok(fetches)
    }

    fn start_spreading(
        &self,
        observed_members: mpsc::Receiver<Member>,
        outdated_notices: mpsc::Receiver<AgentNotice>,
        fetches: mpsc::Sender<Fetch>,
    ) -> Result<(), StartFault> {
        let address = self.settings.control_address;
        let bind_fault = |error: io::Error| StartFault::bind(address, &error);
        let own = NodeId::of(&self.settings.instance);
        let keyring = (self.keyrings())(FLEET)
            .ok_or_else(|| StartFault::new(codes::KEY_MISSING, "no key in the settings file"))?;
        let from = SocketAddr::new(address.ip(), 0);
        let agent_notifier = AgentNotifier {
            socket: UdpSocket::bind(from).map_err(bind_fault)?,
            master_keys: self.master_keys(),
            sender: SenderId(own.0),
        };
        let spreading = Spreading::new(SpreadingConfig {
            own: Peer { id: own, zone: self.settings.zone.clone() },
            link: Link::bind(address, keyring, own).map_err(bind_fault)?,
            agent_notifier,
            store: self.store.clone(),
            instances: self.instances.clone(),
            observed_members,
            outdated_notices,
            fetches,
            status: self.spreading_status.clone(),
        });
        let shutdown = self.shutdown.clone();
        spawn("spread", move || spreading.run(&shutdown)).map(|_| ())
    }

    fn status_source(&self, metrics: Arc<Metrics>) -> StatusSource {
        let (published, shutdown) = (self.published.clone(), self.shutdown.clone());
        let counters = self.counters.clone();
        StatusSource {
            instance: self.settings.instance.clone(),
            kind: "balancer",
            store: self.store.clone(),
            metrics,
            timeline: self.timeline.clone(),
            is_ready: Arc::new(move || published.is_current() && !shutdown.is_requested()),
            counters: Arc::new(move || counters.list()),
        }
    }

    /// Publishes snapshots of the newest settings until a shutdown is requested, and from then on
    /// until the fabric has stopped sending or the grace period is over.
    fn forward_until_drained(&self, mut publisher: Publisher) {
        while !self.shutdown.is_requested() {
            publisher.publish_if_changed(boottime::now());
            thread::sleep(PUBLISH_INTERVAL);
        }
        self.timeline.record("", "leaving", Fields::default());
        log::info!("shutting down");
        let started = Instant::now();
        let grace = Duration::from_millis(self.settings.shutdown_grace_ms);
        let (mut received, mut idle_since) = (self.counters.received(), started);
        while started.elapsed() < grace && idle_since.elapsed() < DRAIN_IDLE_TIMEOUT {
            publisher.publish_if_changed(boottime::now());
            thread::sleep(PUBLISH_INTERVAL);
            let now_received = self.counters.received();
            if now_received != received {
                (received, idle_since) = (now_received, Instant::now());
            }
        }
    }

    fn master_keys(&self) -> Vec<(KeyId, [u8; 32])> {
        self.settings.keys.iter().map(|key| (KeyId(key.id), key.secret)).collect()
    }

    fn keyrings(&self) -> Keyrings {
        let master_keys = self.master_keys();
        Arc::new(move |account| AccountKeyring::derive(&master_keys, AccountId::of(account)))
    }

    fn publisher(
        &self,
        notices: mpsc::Receiver<AgentNotice>,
        members: mpsc::Sender<Member>,
        outdated: mpsc::Sender<AgentNotice>,
    ) -> Publisher {
        let sources = Sources {
            store: self.store.clone(),
            instances: self.instances.clone(),
            spreading_status: self.spreading_status.clone(),
            notices,
            members,
            outdated,
        };
        Publisher::new(sources, self.published.clone(), self.master_keys())
    }
}

fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>, StartFault> {
    thread::Builder::new().name(name.into()).spawn(body).map_err(|e| StartFault::thread(&e))
}
