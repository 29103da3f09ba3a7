//! Fetches the settings versions that this balancer lacks according to gossip.

use std::net::SocketAddr;
use std::sync::{Arc, mpsc};

use decision::keys::AccountId;
use decision::spread::ROOT;
use settings::codes;
use shell::settings_sync::Store;
use shell::settings_sync::peers::{PeerError, PeerReader};
use shell::settings_sync::platform::PlatformReader;

/// A request to fetch settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Fetch {
    /// Accounts that a peer has in a newer version.
    FromPeer {
        /// Control address of the peer.
        peer: SocketAddr,
        /// The accounts.
        accounts: Vec<AccountId>,
    },
    /// An account whose newer version no peer has delivered, or [`ROOT`] for all settings. They
    /// are read from the configuration service.
    FromPlatform(AccountId),
}

/// Thread that fetches settings.
pub(crate) struct Fetcher {
    pub(crate) store: Arc<Store>,
    pub(crate) peers: PeerReader,
    pub(crate) platform: PlatformReader,
    pub(crate) inbox: mpsc::Receiver<Fetch>,
}

impl Fetcher {
    /// Serves requests until the sending side of the channel is closed.
    pub(crate) fn run(self) {
        while let Ok(fetch) = self.inbox.recv() {
            match fetch {
                Fetch::FromPeer { peer, accounts } => self.fetch_from_peer(peer, &accounts),
                Fetch::FromPlatform(account) => self.fetch_from_platform(account),
            }
        }
    }

    fn fetch_from_peer(&self, peer: SocketAddr, accounts: &[AccountId]) {
        if let Err(error) = self.try_fetch_from_peer(peer, accounts) {
            let code = codes::PEER_UNREACHABLE;
            log::debug!(code = code.0; "{code}: peer {peer}: {error}");
        }
    }

    /// Fetches the accounts by name. If one has no name here yet or is the root, compares all
    /// settings with the peer instead.
    fn try_fetch_from_peer(
        &self,
        peer: SocketAddr,
        accounts: &[AccountId],
    ) -> Result<(), PeerError> {
        let names: Option<Vec<Arc<str>>> =
            accounts.iter().map(|id| self.account_name(*id)).collect();
        let Some(names) = names else { return self.peers.compare(peer) };
        self.peers.fetch_all(peer, &names)
    }

    fn fetch_from_platform(&self, account: AccountId) {
        match self.account_name(account) {
            Some(name) => self.platform.fetch(&name),
            None => self.platform.read_all(),
        }
    }

    fn account_name(&self, account: AccountId) -> Option<Arc<str>> {
        if account == ROOT {
            return None;
        }
        let versions = self.store.versions();
        versions.into_iter().map(|(name, _)| name).find(|name| AccountId::of(name) == account)
    }
}
