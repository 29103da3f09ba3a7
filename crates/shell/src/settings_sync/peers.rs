//! Settings synchronization with other instances.
//!
//! At regular intervals, a process requests the digest (the version of each account) of a random
//! peer and fetches what is newer there. A change thus reaches all instances within a few rounds,
//! without the platform.

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

/// Mean pause between two comparisons of an agent whose settings are current.
pub const AGENT_INTERVAL: Duration = Duration::from_millis(2_000);
/// Mean pause between two comparisons of a balancer whose settings are current. Balancers learn of
/// changes by gossip, so the comparison only has to find changes that gossip missed.
pub const BALANCER_INTERVAL: Duration = Duration::from_millis(30_000);
/// Mean pause while the settings are not current. The process cannot serve until they are.
const INITIAL_INTERVAL: Duration = Duration::from_millis(200);
/// Time limit of a request to a peer, which may be paused.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Number of peers to compare with before the settings count as current. A change spreads through
/// the fleet within seconds, so it is very unlikely that eight peers all missed one that is older.
const INITIAL_PEERS: usize = 8;

/// Returns the peers that may be queried now.
pub type Candidates = Arc<dyn Fn() -> Vec<SocketAddr> + Send + Sync>;

/// Compares the settings of this process with those of its peers.
#[derive(Clone)]
pub struct PeerReader {
    client: Client,
    store: Arc<Store>,
    candidates: Candidates,
    keyrings: Keyrings,
    interval: Duration,
}

/// The reason why a comparison failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// The peer sent no response, or one with an error status.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// The response does not conform to the protocol.
    #[error(transparent)]
    Decode(#[from] ExchangeError),
    /// This process has no key for the account.
    #[error("no key for the account")]
    NoKey,
}

impl PeerReader {
    /// Creates a reader that updates `store` from the peers that `candidates` returns.
    pub fn new(store: Arc<Store>, candidates: Candidates, keyrings: Keyrings) -> Self {
        let interval = match store.scope() {
            Scope::All => BALANCER_INTERVAL,
            Scope::Account(_) => AGENT_INTERVAL,
        };
        Self { client: Client::new(REQUEST_TIMEOUT), store, candidates, keyrings, interval }
    }

    /// Compares with several peers first, then with one random peer at a time until the shutdown.
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

    /// Compares with up to `count` random peers in parallel, each in its own thread, and waits for
    /// all of them.
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

    /// Fetches what is newer at `peer`. If the peer's settings are current, those of this process
    /// are confirmed as current too.
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

    /// Fetches one account's subtree from `peer`, as a delta to the one in force where possible.
    pub fn fetch(&self, peer: SocketAddr, account: &str) -> Result<(), PeerError> {
        let have = self.version(account).0.to_string();
        let update: Update = self.request_with_have(peer, Kind::Subtree, account, &have)?;
        if self.offer(account, &update) {
            return Ok(());
        }
        // The subtree in force was replaced during the request, so the delta does not apply. Fetch
        // the whole document.
        let whole: Update = self.request(peer, Kind::Subtree, account)?;
        self.offer(account, &whole).then_some(()).ok_or(ExchangeError.into())
    }

    /// Fetches the subtrees of several accounts from `peer`, many of them per request, so that a
    /// burst of changes does not cost a request each. Only a balancer may request arbitrary
    /// accounts.
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

    /// Returns the version in force in this process, zero if there is none.
    fn version(&self, account: &str) -> Version {
        self.store.subtree(account).map_or(Version(0), |(version, _)| version)
    }

    /// Offers an update to the store. Returns false if it is a delta that does not apply to the
    /// subtree in force.
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
