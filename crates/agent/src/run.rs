//! Process life cycle: load the newest settings, serve, hand over to the peers, exit.

use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, mpsc};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use decision::agent::{Agent, AgentConfig, Event, UpstreamReport};
use decision::keys::{AccountId, Incarnation, ServiceId, UpstreamId, Version};
use decision::spread::FALLBACK_READ_MS;
use settings::codes;
use settings::process::agent::AgentSettings;
use shell::fault::StartFault;
use shell::settings_sync::instances::Instances;
use shell::settings_sync::peers::PeerReader;
use shell::settings_sync::platform::PlatformReader;
use shell::settings_sync::{Keyrings, Scope, Store};
use shell::signals::Shutdown;
use shell::status::StatusSource;
use shell::{boottime, http};
use telemetry::clock;
use telemetry::metrics::Metrics;
use telemetry::timeline::{Fields, Timeline};
use wire::sealed::{AccountKeyring, KeyId};

use crate::counters::Counters;
use crate::gate::Identity;
use crate::listing::{self, Listing};
use crate::plane::{self, Addresses, DataPlane, DataPlaneConfig, Request};
use crate::status::StatusReader;

/// Capacity of the time line: about a minute of openings at current rates.
const TIMELINE_EVENTS: usize = 16_384;
/// Peers queried when a datagram shows that newer settings exist.
const PEERS_PER_FETCH: usize = 3;
/// Interval at which start-up checks for settings, and shutdown for the completed hand-over.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

struct Process {
    settings: AgentSettings,
    store: Arc<Store>,
    timeline: Arc<Timeline>,
    metrics: Arc<Metrics>,
    counters: Counters,
    shutdown: Shutdown,
    /// True while the data thread is running and the agent votes on claims.
    serving: Arc<AtomicBool>,
}

/// Runs an agent until shutdown is requested.
///
/// Errors: a [`StartFault`] if an address is in use, a key is missing or a thread cannot be
/// started. The agent has not served any packet in that case.
pub fn run(settings: AgentSettings) -> Result<(), StartFault> {
    telemetry::log::start(&settings.instance);
    let metrics = Arc::new(Metrics::default());
    let timeline = Arc::new(Timeline::new(settings.instance.clone(), TIMELINE_EVENTS));
    let scope = Scope::Account(settings.account.clone());
    let process = Process {
        store: Arc::new(Store::new(scope, timeline.clone())),
        counters: Counters::new(&metrics),
        shutdown: Shutdown::on_signal().map_err(|e| StartFault::thread(&e))?,
        serving: Arc::default(),
        timeline,
        metrics,
        settings,
    };
    let address = process.settings.data_address;
    let socket = plane::bind(address).map_err(|e| StartFault::bind(address, &e))?;
    let (requests, inbox) = mpsc::channel();
    let keyrings = process.keyrings()?;
    let routes = crate::http::routes(&process.status_source(), &keyrings, requests.clone());
    http::start(process.settings.control_address, routes)?;
    process.serve(socket, &requests, inbox)
}

impl Process {
    fn serve(
        &self,
        socket: UdpSocket,
        requests: &mpsc::Sender<Request>,
        inbox: mpsc::Receiver<Request>,
    ) -> Result<(), StartFault> {
        let keyring = self.keyring()?;
        let status = StatusReader::new(self.settings.upstream_status_address);
        let (fetch, fetch_requests) = mpsc::channel();
        self.start_readers(fetch_requests)?;
        let Some(listing) = self.wait_for_settings() else { return Ok(()) };
        let (stop, handed_over) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
        let config = DataPlaneConfig {
            socket,
            addresses: Addresses {
                upstream: self.settings.upstream_address,
                gateway: self.settings.gateway_address,
            },
            identity: self.identity(),
            account: self.settings.account.clone(),
            keyring,
            store: self.store.clone(),
            timeline: self.timeline.clone(),
            counters: self.counters.clone(),
            fetch,
            handed_over: handed_over.clone(),
            ready: self.serving.clone(),
            stop: stop.clone(),
        };
        let data = self.start_data_plane(config, inbox, status.read(), listing)?;
        self.start_status(status, requests.clone())?;
        self.wait_for_shutdown();
        self.hand_over(requests, &handed_over);
        stop.store(true, Ordering::Relaxed);
        // A panic of the data thread has already been printed; shutdown continues regardless.
        let _ = data.join();
        log::info!("stopped");
        Ok(())
    }

    fn keyring(&self) -> Result<AccountKeyring, StartFault> {
        let keys: Vec<(KeyId, [u8; 32])> =
            self.settings.keys.iter().map(|key| (KeyId(key.id), key.secret)).collect();
        let missing = || StartFault::new(codes::KEY_MISSING, "no key in the settings file");
        AccountKeyring::new(&keys).ok_or_else(missing)
    }

    fn keyrings(&self) -> Result<Keyrings, StartFault> {
        let (ring, own) = (self.keyring()?, self.settings.account.clone());
        Ok(Arc::new(move |account| (*account == *own).then_some(ring)))
    }

    fn start_readers(&self, requests: mpsc::Receiver<Version>) -> Result<(), StartFault> {
        let platform = self.settings.platform_address;
        let instances: Arc<Instances> = Arc::default();
        let reader = PlatformReader::new(platform, self.store.clone(), instances);
        let peers = PeerReader::new(self.store.clone(), self.candidates(), self.keyrings()?);
        let (fetcher, fetch_peers) = (reader.clone(), peers.clone());
        let (shutdown, peer_shutdown) = (self.shutdown.clone(), self.shutdown.clone());
        let confirmed = self.store.clone();
        // Random per agent, so that not all of them query the platform at the same time.
        let fallback_ms = FALLBACK_READ_MS + rand::random_range(0..FALLBACK_READ_MS);
        let must_read =
            move || !confirmed.is_current() || confirmed.confirmed_age_ms() > fallback_ms;
        spawn("platform", move || reader.run(&shutdown, must_read))?;
        spawn("peers", move || peers.run(&peer_shutdown))?;
        let (store, account) = (self.store.clone(), self.settings.account.clone());
        spawn("fetch", move || serve_fetches(&requests, &store, &account, &fetcher, &fetch_peers))?;
        Ok(())
    }

    /// Peers to query: those of the settings file and the other agents of this service.
    fn candidates(&self) -> Arc<dyn Fn() -> Vec<SocketAddr> + Send + Sync> {
        let (store, service) = (self.store.clone(), self.identity().service);
        let (configured, own) = (self.settings.peers.clone(), self.settings.control_address);
        Arc::new(move || {
            let view = store.view();
            let mut peers = configured.clone();
            if let Some(key) = view.find_service(service) {
                let keys = view.service(key).upstream_keys();
                peers.extend(keys.map(|key| view.upstream(key).spec.control_address));
            }
            peers.retain(|peer| *peer != own);
            peers
        })
    }

    /// Waits until the settings are current and list this upstream. Returns `None` if shutdown is
    /// requested first.
    fn wait_for_settings(&self) -> Option<Listing> {
        let started_at = boottime::now();
        let mut warned = false;
        let mut listing = Listing::BeforeStart;
        while !self.shutdown.is_requested() {
            // Read before the settings: what has been confirmed by then is in these settings.
            let confirmed_age_ms = self.store.confirmed_age_ms();
            let known = self.is_in_settings();
            if known && self.store.is_current() {
                return Some(listing);
            }
            if self.store.is_current() && !warned {
                let code = codes::NOT_IN_SETTINGS;
                log::warn!(code = code.0; "{code}: the published settings do not list this upstream");
                warned = true;
            }
            let up_ms = boottime::now().since(started_at);
            let seen = !known && listing::was_unlisted_at_start(up_ms, confirmed_age_ms);
            if seen && listing == Listing::BeforeStart {
                listing = Listing::AfterStart;
                log::info!("may be listed now");
                let account = self.settings.account.clone();
                self.timeline.record(account, "may_be_listed", Fields::default());
            }
            thread::sleep(POLL_INTERVAL);
        }
        None
    }

    fn is_in_settings(&self) -> bool {
        let view = self.store.view();
        let service = view.find_service(self.identity().service);
        service.is_some_and(|key| view.find_upstream(key, self.upstream()).is_some())
    }

    fn start_data_plane(
        &self,
        config: DataPlaneConfig,
        inbox: mpsc::Receiver<Request>,
        report: Option<UpstreamReport>,
        listing: Listing,
    ) -> Result<JoinHandle<()>, StartFault> {
        // Read before the view, so that a change in between is applied twice rather than missed.
        let generation = self.store.generation();
        let view = self.store.view();
        let agent_config = AgentConfig {
            upstream: config.identity.upstream,
            service: config.identity.service,
            incarnation: Incarnation(clock::wall_ms()),
            may_have_prior_flows: listing::may_have_prior_flows(report, listing),
            seed: rand::random(),
        };
        let mut agent = Agent::new(agent_config, view.clone(), boottime::now());
        if listing == Listing::AfterStart {
            agent.set_started_before_listing();
        }
        #[cfg(feature = "mutants")]
        let agent = crate::mutant::apply(agent);
        let plane = DataPlane::new(config, agent, view, generation, inbox);
        let handle = spawn("data", move || plane.run())?;
        self.timeline.record(self.settings.account.clone(), "started", Fields::default());
        log::info!("started");
        Ok(handle)
    }

    fn start_status(
        &self,
        status: StatusReader,
        requests: mpsc::Sender<Request>,
    ) -> Result<(), StartFault> {
        let shutdown = self.shutdown.clone();
        let report = move |report| {
            // Sending fails only if the data thread has ended, that is while the process exits.
            let _ = requests.send(Request::Event(Event::Upstream(report)));
        };
        spawn("upstream-status", move || status.run(&shutdown, report)).map(|_| ())
    }

    fn wait_for_shutdown(&self) {
        while !self.shutdown.is_requested() {
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Keeps serving until the hand-over to the peers is complete or the grace time has elapsed.
    fn hand_over(&self, requests: &mpsc::Sender<Request>, handed_over: &AtomicBool) {
        self.timeline.record(self.settings.account.clone(), "leaving", Fields::default());
        log::info!("shutting down");
        let _ = requests.send(Request::Event(Event::Leave));
        let started = Instant::now();
        let grace = Duration::from_millis(self.settings.shutdown_grace_ms);
        while started.elapsed() < grace && !handed_over.load(Ordering::Acquire) {
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn status_source(&self) -> StatusSource {
        let (serving, shutdown) = (self.serving.clone(), self.shutdown.clone());
        let (store, counters) = (self.store.clone(), self.counters.clone());
        let is_ready = move || {
            serving.load(Ordering::Acquire) && store.is_current() && !shutdown.is_requested()
        };
        StatusSource {
            instance: self.settings.instance.clone(),
            kind: "agent",
            store: self.store.clone(),
            metrics: self.metrics.clone(),
            timeline: self.timeline.clone(),
            is_ready: Arc::new(is_ready),
            counters: Arc::new(move || counters.list()),
        }
    }

    fn identity(&self) -> Identity {
        Identity {
            account: AccountId::of(&self.settings.account),
            service: ServiceId::of(&self.settings.account, &self.settings.service),
            upstream: self.upstream(),
        }
    }

    fn upstream(&self) -> UpstreamId {
        let settings = &self.settings;
        UpstreamId::of(&settings.account, &settings.service, &settings.upstream)
    }
}

/// Fetches settings of at least the requested versions, which received datagrams have shown to
/// exist. Queries peers first, because the platform may be down and its read capacity is limited.
fn serve_fetches(
    requests: &mpsc::Receiver<Version>,
    store: &Store,
    account: &str,
    platform: &PlatformReader,
    peers: &PeerReader,
) {
    let current_version = || {
        let versions = store.versions();
        let found = versions.iter().find(|(name, _)| **name == *account);
        found.map_or(Version(0), |(_, version)| *version)
    };
    while let Ok(at_least) = requests.recv() {
        if current_version() < at_least {
            peers.compare_with_random_peers(PEERS_PER_FETCH);
        }
        if current_version() < at_least {
            platform.fetch(account);
        }
    }
}

fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>, StartFault> {
    thread::Builder::new().name(name.into()).spawn(body).map_err(|e| StartFault::thread(&e))
}
