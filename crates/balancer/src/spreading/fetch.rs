//! Fetching the versions that spreading has shown to be lacking.

use std::net::SocketAddr;
use std::sync::{Arc, mpsc};

use decision::keys::AccountId;
use decision::spread::ROOT;
use settings::codes;
use shell::settings_sync::Store;
use shell::settings_sync::peers::{PeerError, PeerReader};
use shell::settings_sync::platform::Reader;

/// Something to fetch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Fetch {
    /// Accounts that a peer has in a newer version.
    FromPeer {
        /// Its control address.
        peer: SocketAddr,
        /// The accounts.
        accounts: Vec<AccountId>,
    },
    /// An account, or everything for [`ROOT`], of which no peer has delivered the newer version.
    FromPlatform(AccountId),
}

/// The fetching thread.
pub(crate) struct Fetcher {
    pub(crate) store: Arc<Store>,
    pub(crate) peers: PeerReader,
    pub(crate) platform: Reader,
    pub(crate) inbox: mpsc::Receiver<Fetch>,
}

impl Fetcher {
    /// Fetches until nobody can ask any more.
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

    /// An account without a name here, or the root, is found by comparing everything.
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
