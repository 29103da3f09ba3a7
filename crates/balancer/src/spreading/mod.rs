//! Gossip of settings versions and membership among the balancers: sockets, threads and time around
//! the pure core [`decision::spread`].
//!
//! One thread owns the core's state. Its inputs are messages of other balancers, agents' reports
//! and the settings that the store has put in force. Fetches run in a second thread, so that a slow
//! peer never delays the gossip.

mod fetch;
pub mod link;
mod notify;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, mpsc};

use decision::keys::{AccountId, UpstreamId, Version};
use decision::outdated::OutdatedTable;
use decision::spread::{
    Member, NodeId, Peer, ROOT, Spread, SpreadAction, SpreadEvent, SpreadMessage,
};
use decision::time::Millis;
use decision::view::View;
use shell::boottime;
use shell::settings_sync::Store;
use shell::settings_sync::instances::{Instances, Kind};
use shell::signals::Shutdown;

use crate::notices::AgentNotice;
pub(crate) use fetch::{Fetch, Fetcher};
use link::Link;
pub(crate) use notify::AgentNotifier;

/// State of the gossip thread that other threads read.
#[derive(Debug)]
pub struct SpreadingStatus {
    is_reader: AtomicBool,
    generation: AtomicU64,
    down: Mutex<Vec<UpstreamId>>,
}

/// Configuration and channels of the gossip thread.
pub(crate) struct SpreadingConfig {
    pub(crate) own: Peer,
    pub(crate) link: Link,
    pub(crate) agent_notifier: AgentNotifier,
    pub(crate) store: Arc<Store>,
    pub(crate) instances: Arc<Instances>,
    pub(crate) observed_members: mpsc::Receiver<Member>,
    pub(crate) outdated_notices: mpsc::Receiver<AgentNotice>,
    pub(crate) fetches: mpsc::Sender<Fetch>,
    pub(crate) status: Arc<SpreadingStatus>,
}

/// The gossip thread's state.
pub(crate) struct Spreading {
    config: SpreadingConfig,
    spread: Spread,
    /// What agents have reported about earlier memberships of their services.
    outdated: OutdatedTable,
    /// Control addresses of the other balancers, sorted by node.
    addresses: Vec<(NodeId, SocketAddr)>,
    /// Generations of settings and instance list at the last check; `None` before the first.
    seen_generations: (Option<u64>, Option<u64>),
    actions: Vec<SpreadAction>,
}

impl Default for SpreadingStatus {
    /// Until the first instance list arrives, every balancer reads the configuration service: too
    /// many readers are better than none.
    fn default() -> Self {
        let (is_reader, generation) = (AtomicBool::new(true), AtomicU64::new(0));
        Self { is_reader, generation, down: Mutex::default() }
    }
}

impl SpreadingStatus {
    /// Whether this instance watches the configuration service for its availability zone.
    pub fn is_reader(&self) -> bool {
        self.is_reader.load(Ordering::Relaxed)
    }

    /// Number that grows with each change of [`SpreadingStatus::down`].
    pub fn generation(&self) -> u64 {
        self.generation.load(Ordering::Acquire)
    }

    /// Sorted ids of the agents presumed down.
    pub fn down(&self) -> Vec<UpstreamId> {
        self.down.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn set_down(&self, down: Vec<UpstreamId>) {
        *self.down.lock().unwrap_or_else(PoisonError::into_inner) = down;
        self.generation.fetch_add(1, Ordering::Release);
    }
}

impl Spreading {
    pub(crate) fn new(config: SpreadingConfig) -> Self {
        let spread = Spread::new(config.own.clone(), rand::random(), boottime::now());
        let (addresses, actions) = (Vec::new(), Vec::new());
        let outdated = OutdatedTable::default();
        Self { config, spread, outdated, addresses, seen_generations: (None, None), actions }
    }

    /// Exchanges gossip with the other balancers until the shutdown.
    pub(crate) fn run(mut self, shutdown: &Shutdown) {
        while !shutdown.is_requested() {
            let received = self.config.link.receive();
            let now = boottime::now();
            if let Some((from, message)) = received {
                self.handle(now, SpreadEvent::Message { from, message });
            }
            self.apply_instance_list(now);
            self.apply_settings(now);
            for member in self.config.observed_members.try_iter().collect::<Vec<_>>() {
                self.handle(now, SpreadEvent::Observed(member));
            }
            self.handle_outdated_notices(now);
            self.handle(now, SpreadEvent::Tick);
            self.config.status.is_reader.store(self.spread.is_reader(), Ordering::Relaxed);
        }
    }

    /// Remembers agents' reports of outdated memberships and answers their questions.
    fn handle_outdated_notices(&mut self, now: Millis) {
        for received in self.config.outdated_notices.try_iter() {
            match received.notice.outdated() {
                Some(report) => self.outdated.learn(now, received.service, report),
                None => {
                    let known = self.outdated.of_service(now, received.service);
                    let view = self.config.store.view();
                    self.config.agent_notifier.answer(&view, received, &known);
                }
            }
        }
    }

    fn apply_instance_list(&mut self, now: Millis) {
        let generation = self.config.instances.generation();
        if generation == 0 || self.seen_generations.1 == Some(generation) {
            return;
        }
        self.seen_generations.1 = Some(generation);
        let list = self.config.instances.list();
        let balancers = || list.iter().filter(|entry| entry.kind == Kind::Balancer);
        self.addresses = balancers()
            .map(|entry| (NodeId::of(&entry.name), entry.control_address))
            .filter(|(id, _)| *id != self.config.own.id)
            .collect();
        self.addresses.sort_unstable_by_key(|(id, _)| *id);
        let peers = balancers()
            .map(|entry| Peer { id: NodeId::of(&entry.name), zone: entry.zone.clone() })
            .collect();
        self.handle(now, SpreadEvent::Peers(peers));
    }

    /// Reports to the core the versions that the store has put in force since the last check, and
    /// notifies the agents for which this balancer is responsible.
    fn apply_settings(&mut self, now: Millis) {
        if self.config.store.is_current() {
            let age_ms = self.config.store.confirmed_age_ms();
            if age_ms < self.spread.confirmed_age_ms(now) {
                self.handle(now, SpreadEvent::Confirmed { age_ms });
            }
        }
        let generation = self.config.store.generation();
        if self.seen_generations.0 == Some(generation) {
            return;
        }
        let is_first = self.seen_generations.0.replace(generation).is_none();
        let view = self.config.store.view();
        self.spread.retain_members(|agent| has_agent(&view, agent));
        self.outdated.retain_services(|service| view.find_service(service).is_some());
        if let Some((version, _)) = self.config.store.root() {
            self.handle(now, SpreadEvent::Installed { account: ROOT, version });
        }
        for (name, version) in self.config.store.versions() {
            let account = AccountId::of(&name);
            if self.spread.version(account) == Some(version) {
                continue;
            }
            self.handle(now, SpreadEvent::Installed { account, version });
            // Versions already in force when a balancer starts are not new to the agents.
            if !is_first {
                self.notify_agents(&view, account, version);
            }
        }
    }

    fn notify_agents(&self, view: &View, account: AccountId, version: Version) {
        let is_notifier = |agent| self.spread.is_notifier(agent);
        self.config.agent_notifier.notify(view, account, version, is_notifier);
    }

    fn handle(&mut self, now: Millis, event: SpreadEvent) {
        let mut actions = std::mem::take(&mut self.actions);
        self.spread.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.act(action);
        }
        self.actions = actions;
    }

    fn act(&self, action: SpreadAction) {
        match action {
            SpreadAction::Send { to, message } => self.send(to, &message),
            SpreadAction::FetchFromPeer { from, missing } => {
                let Some(peer) = self.address(from) else { return };
                let accounts = missing.iter().map(|version| version.account).collect();
                self.fetch(Fetch::FromPeer { peer, accounts });
            }
            SpreadAction::FetchFromService { account } => self.fetch(Fetch::FromPlatform(account)),
            SpreadAction::MembersChanged => self.config.status.set_down(self.spread.down()),
        }
    }

    fn send(&self, to: NodeId, message: &SpreadMessage) {
        if let Some(address) = self.address(to) {
            self.config.link.send(address, message);
        }
    }

    fn fetch(&self, fetch: Fetch) {
        // The fetching thread runs until this sender is dropped.
        let _ = self.config.fetches.send(fetch);
    }

    fn address(&self, node: NodeId) -> Option<SocketAddr> {
        let index = self.addresses.binary_search_by_key(&node, |(id, _)| *id).ok()?;
        Some(self.addresses[index].1)
    }
}

fn has_agent(view: &View, agent: UpstreamId) -> bool {
    let keys = (0..view.services().len() as u32).map(decision::keys::ServiceKey);
    keys.into_iter().any(|service| view.find_upstream(service, agent).is_some())
}
