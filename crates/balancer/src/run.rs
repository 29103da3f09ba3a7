//! Life of the process: start, publish snapshots, shut down gracefully.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, mpsc};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use decision::keys::{AccountId, UpstreamId};
use settings::process::balancer::BalancerSettings;
use shell::fault::StartFault;
use shell::settings_sync::instances::{Instances, Kind};
use shell::settings_sync::peers::PeerReader;
use shell::settings_sync::platform::Reader;
use shell::settings_sync::{Keyrings, Scope, Store};
use shell::signals::Shutdown;
use shell::status::Shown;
use shell::{boottime, http};
use telemetry::metrics::Metrics;
use telemetry::timeline::{Fields, Timeline};
use wire::sealed::{AccountKeyring, KeyId};

use crate::counters::Counters;
use crate::forward::Identity;
use crate::liveness::Liveness;
use crate::notices::{LeavingAgent, LeavingAgents};
use crate::snapshot::{Published, Snapshot};
use crate::worker::{self, Worker};

/// Events kept for the time line.
const TIMELINE_EVENTS: usize = 4_096;
/// How often changes of settings and liveness are looked for. Adds to the time until settings are
/// in force, of which seconds are allowed.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(25);
/// A fabric that has sent nothing for this long has taken the balancer out.
const QUIET: Duration = Duration::from_millis(500);

struct Balancer {
    settings: BalancerSettings,
    store: Arc<Store>,
    instances: Arc<Instances>,
    timeline: Arc<Timeline>,
    counters: Counters,
    published: Arc<Published>,
    shutdown: Shutdown,
}

/// Runs a balancer until it is told to shut down.
///
/// Errors: a [`StartFault`] if an address is taken or a thread cannot be started; nothing has been
/// served then.
pub fn run(settings: BalancerSettings) -> Result<(), StartFault> {
    telemetry::log::start(&settings.instance);
    let metrics = Arc::new(Metrics::default());
    let timeline = Arc::new(Timeline::new(settings.instance.clone(), TIMELINE_EVENTS));
    let balancer = Balancer {
        store: Arc::new(Store::new(Scope::All, timeline.clone())),
        instances: Arc::default(),
        counters: Counters::new(&metrics),
        published: Arc::default(),
        shutdown: Shutdown::on_signal().map_err(|e| StartFault::thread(&e))?,
        timeline,
        settings,
    };
    let end = Arc::new(AtomicBool::new(false));
    let (notices, inbox) = mpsc::channel();
    let workers = balancer.start_workers(&end, &notices)?;
    let routes = crate::http::routes(&balancer.shown(metrics), &balancer.keyrings());
    http::start(balancer.settings.control_address, routes)?;
    balancer.start_readers()?;
    balancer.timeline.record("", "started", Fields::default());
    log::info!("started");
    balancer.forward_until_drained(inbox);
    end.store(true, Ordering::Relaxed);
    for worker in workers {
        // A worker that panicked has already said so; the shutdown goes on.
        let _ = worker.join();
    }
    log::info!("stopped");
    Ok(())
}

impl Balancer {
    fn start_workers(
        &self,
        end: &Arc<AtomicBool>,
        notices: &mpsc::Sender<LeavingAgent>,
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
                end: end.clone(),
            };
            workers.push(spawn(&format!("receive-{index}"), move || worker.run())?);
        }
        Ok(workers)
    }

    fn start_readers(&self) -> Result<(), StartFault> {
        let platform = self.settings.platform_address;
        let reader = Reader::new(platform, self.store.clone(), self.instances.clone());
        let lister = reader.clone();
        let (configured, own) = (self.settings.peers.clone(), self.settings.control_address);
        let instances = self.instances.clone();
        let candidates = move || {
            let mut peers = instances.control_addresses(Kind::Balancer);
            peers.extend(&configured);
            peers.retain(|peer| *peer != own);
            peers
        };
        let peers = PeerReader::new(self.store.clone(), Arc::new(candidates), self.keyrings());
        let shutdown = self.shutdown.clone();
        spawn("platform", move || reader.run(&shutdown))?;
        let shutdown = self.shutdown.clone();
        spawn("instances", move || lister.run_list(&shutdown))?;
        let shutdown = self.shutdown.clone();
        spawn("peers", move || peers.run(&shutdown))?;
        Ok(())
    }

    fn shown(&self, metrics: Arc<Metrics>) -> Shown {
        let (store, shutdown) = (self.store.clone(), self.shutdown.clone());
        let counters = self.counters.clone();
        Shown {
            instance: self.settings.instance.clone(),
            kind: "balancer",
            store: self.store.clone(),
            metrics,
            timeline: self.timeline.clone(),
            is_ready: Arc::new(move || store.is_current() && !shutdown.is_requested()),
            counters: Arc::new(move || counters.list()),
        }
    }

    /// Keeps forwarding by the newest settings until told to shut down and, after that, until the
    /// fabric has stopped sending or the grace time is over.
    fn forward_until_drained(&self, notices: mpsc::Receiver<LeavingAgent>) {
        let mut publisher = self.publisher(notices);
        while !self.shutdown.is_requested() {
            publisher.publish_if_changed();
            thread::sleep(PUBLISH_INTERVAL);
        }
        self.timeline.record("", "leaving", Fields::default());
        log::info!("shutting down");
        let started = Instant::now();
        let grace = Duration::from_millis(self.settings.shutdown_grace_ms);
        let (mut received, mut quiet_since) = (self.counters.received(), started);
        while started.elapsed() < grace && quiet_since.elapsed() < QUIET {
            publisher.publish_if_changed();
            thread::sleep(PUBLISH_INTERVAL);
            let now_received = self.counters.received();
            if now_received != received {
                (received, quiet_since) = (now_received, Instant::now());
            }
        }
    }

    fn masters(&self) -> Vec<(KeyId, [u8; 32])> {
        self.settings.keys.iter().map(|key| (KeyId(key.id), key.secret)).collect()
    }

    fn keyrings(&self) -> Keyrings {
        let masters = self.masters();
        Arc::new(move |account| AccountKeyring::derive(&masters, AccountId::of(account)))
    }

    fn publisher(&self, notices: mpsc::Receiver<LeavingAgent>) -> Publisher {
        Publisher {
            store: self.store.clone(),
            instances: self.instances.clone(),
            published: self.published.clone(),
            masters: self.masters(),
            liveness: Liveness::default(),
            notices,
            leaving: LeavingAgents::default(),
            seen: None,
            missing: Vec::new(),
            down: Vec::new(),
        }
    }
}

/// Publishes snapshots. The receiving threads go on with the old one while a new one is built.
struct Publisher {
    store: Arc<Store>,
    instances: Arc<Instances>,
    published: Arc<Published>,
    masters: Vec<(KeyId, [u8; 32])>,
    liveness: Liveness,
    notices: mpsc::Receiver<LeavingAgent>,
    leaving: LeavingAgents,
    /// Generations of settings and list at the last look.
    seen: Option<(u64, u64)>,
    /// Agents that the list no longer names.
    missing: Vec<UpstreamId>,
    /// Agents down in the snapshot in force: missing or leaving.
    down: Vec<UpstreamId>,
}

impl Publisher {
    fn publish_if_changed(&mut self) {
        let now = boottime::now();
        let generations = (self.store.generation(), self.instances.generation());
        let view = self.store.view();
        if self.seen != Some(generations) {
            self.missing = self.liveness.down(&view, &self.instances.list());
        }
        for agent in self.notices.try_iter() {
            self.leaving.add(now, &view, agent);
        }
        let mut down = self.leaving.at(now);
        down.extend(&self.missing);
        let settings_changed = self.seen.is_none_or(|(settings, _)| settings != generations.0);
        self.seen = Some(generations);
        if !settings_changed && down == self.down {
            return;
        }
        // The settings file lists one key at least, so there always is a snapshot.
        if let Some(snapshot) = Snapshot::build(&view, down.clone(), &self.masters) {
            self.published.publish(snapshot);
        }
        self.down = down;
    }
}

fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>, StartFault> {
    thread::Builder::new().name(name.into()).spawn(body).map_err(|e| StartFault::thread(&e))
}
