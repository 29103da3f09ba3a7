//! Comparing settings with other instances.
//!
//! Every few seconds a process asks a random peer for its digest (account and version) and fetches
//! what is newer there. A change thus reaches everybody in a few rounds without the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use decision::keys::Version;
use serde::de::DeserializeOwned;
use settings::codes;
use wire::exchange::{
    Digest, Document, ExchangeError, FLEET, Kind, Question, SUBTREES_MAX, Update, Updates,
    format_wanted,
};

use super::{Keyrings, Scope, Source, Store};
use crate::http::client::{Client, ClientError};
use crate::signals::Shutdown;

/// Mean pause of an agent between two comparisons once its settings are current.
pub const AGENT_INTERVAL: Duration = Duration::from_millis(2_000);
/// Mean pause of a balancer, which hears of changes by spreading; for what that may miss.
pub const BALANCER_INTERVAL: Duration = Duration::from_millis(30_000);
/// Pause while they are not: the process cannot serve before.
const INITIAL_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait for a peer, which may be paused.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Peers heard before settings count as current. Eight that all missed a change of some seconds ago
/// are as good as none in a fleet where it spreads within that time.
const INITIAL_PEERS: usize = 8;

/// Gives the peers that may be asked now.
pub type Candidates = Arc<dyn Fn() -> Vec<SocketAddr> + Send + Sync>;

/// Compares settings with peers for one process.
#[derive(Clone)]
pub struct PeerReader {
    client: Client,
    store: Arc<Store>,
    candidates: Candidates,
    keyrings: Keyrings,
    interval: Duration,
}

/// Why a comparison was not completed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// No answer, or not the one asked for.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// An answer that is not what the interface says.
    #[error(transparent)]
    Decode(#[from] ExchangeError),
    /// This process has no key for the account.
    #[error("no key for the account")]
    NoKey,
}

impl PeerReader {
    /// A reader that feeds `store` from the peers that `candidates` names.
    pub fn new(store: Arc<Store>, candidates: Candidates, keyrings: Keyrings) -> Self {
        let interval = match store.scope() {
            Scope::All => BALANCER_INTERVAL,
            Scope::Account(_) => AGENT_INTERVAL,
        };
        Self { client: Client::new(REQUEST_TIMEOUT), store, candidates, keyrings, interval }
    }

    /// Compares with some peers, then with one random peer at a time until the shutdown.
    pub fn run(&self, shutdown: &Shutdown) {
        self.compare_with_random_peers(INITIAL_PEERS);
        self.store.mark_peers_asked();
        while !shutdown.is_requested() {
            let peers = (self.candidates)();
            if !peers.is_empty() {
                let peer = peers[rand::random_range(0..peers.len())];
                self.compare_or_log(peer);
            }
            let interval = if self.store.is_current() { self.interval } else { INITIAL_INTERVAL };
            thread::sleep(interval.mul_f64(rand::random_range(0.5..1.5)));
        }
    }

    /// Compares with up to `count` random peers at once, each in a thread, and waits for all.
    pub fn compare_with_random_peers(&self, count: usize) {
        let mut peers = (self.candidates)();
        thread::scope(|scope| {
            for _ in 0..count.min(peers.len()) {
                let peer = peers.swap_remove(rand::random_range(0..peers.len()));
                scope.spawn(move || self.compare_or_log(peer));
            }
        });
    }

    fn compare_or_log(&self, peer: SocketAddr) {
        if let Err(error) = self.compare(peer) {
            let code = codes::PEER_UNREACHABLE;
            log::debug!(code = code.0; "{code}: peer {peer}: {error}");
        }
    }

    /// Fetches what is newer at `peer`. If the peer's own settings are current, ours are then.
    pub fn compare(&self, peer: SocketAddr) -> Result<(), PeerError> {
        let own_name = match self.store.scope() {
            Scope::All => FLEET,
            Scope::Account(account) => account,
        };
        let digest: Digest = self.request(peer, Kind::Digest, own_name)?;
        let own_root = self.store.root().map_or(0, |(version, _)| version.0);
        if digest.root_version > own_root {
            let document: Document = self.request(peer, Kind::Root, own_name)?;
            self.store.offer_root(&document.yaml, Source::Peer);
        }
        let own = self.store.versions();
        for entry in &digest.accounts {
            let found = own.binary_search_by(|(name, _)| (**name).cmp(&entry.account));
            let own_version = found.map_or(0, |index| own[index].1.0);
            if entry.version > own_version && self.store.scope().contains(&entry.account) {
                self.fetch(peer, &entry.account)?;
            }
        }
        if digest.current {
            self.store.confirm(digest.confirmed_age_ms);
        }
        Ok(())
    }

    /// Fetches one account's subtree from `peer`, as a change to our own where that fits.
    pub fn fetch(&self, peer: SocketAddr, account: &str) -> Result<(), PeerError> {
        let have = self.version(account).0.to_string();
        let update: Update = self.request_with_have(peer, Kind::Subtree, account, &have)?;
        if self.offer(account, &update) {
            return Ok(());
        }
        // Ours was replaced while we asked, so the change does not fit: take the whole.
        let whole: Update = self.request(peer, Kind::Subtree, account)?;
        self.offer(account, &whole).then_some(()).ok_or(ExchangeError.into())
    }

    /// Fetches several accounts' subtrees from `peer`, many in one exchange: a storm of changes would
    /// otherwise cost an exchange each. Only a balancer may ask for accounts of its choice.
    pub fn fetch_all(&self, peer: SocketAddr, accounts: &[Arc<str>]) -> Result<(), PeerError> {
        for chunk in accounts.chunks(SUBTREES_MAX) {
            let wanted: Vec<_> =
                chunk.iter().map(|name| (name.clone(), self.version(name))).collect();
            let have = format_wanted(&wanted);
            let Updates(updates) = self.request_with_have(peer, Kind::Subtrees, FLEET, &have)?;
            for (name, update) in &updates {
                if !self.offer(name, update) {
                    self.fetch(peer, name)?;
                }
            }
        }
        Ok(())
    }

    /// Version in force here, zero if there is none.
    fn version(&self, account: &str) -> Version {
        self.store.subtree(account).map_or(Version(0), |(version, _)| version)
    }

    /// Offers an update to the store; false if it is a change that does not fit what is in force.
    fn offer(&self, account: &str, update: &Update) -> bool {
        let own = self.store.subtree(account);
        let own_text = own.as_ref().map(|(version, yaml)| (*version, &**yaml));
        let Some(yaml) = update.text(own_text) else { return false };
        self.store.offer_account(account, &yaml, Source::Peer);
        true
    }

    fn request<T: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        kind: Kind,
        account: &str,
    ) -> Result<T, PeerError> {
        self.request_with_have(peer, kind, account, "")
    }

    fn request_with_have<T: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        kind: Kind,
        account: &str,
        have: &str,
    ) -> Result<T, PeerError> {
        let question = Question { kind, account: account.into(), nonce: rand::random() };
        let ring = (self.keyrings)(account).ok_or(PeerError::NoKey)?;
        let mut path = question.signed_path(&ring).ok_or(PeerError::NoKey)?;
        if !have.is_empty() {
            path.push_str("&have=");
            path.push_str(have);
        }
        Ok(question.open_answer(&ring, &self.client.get(peer, &path)?)?)
    }
}
