//! What the receiving threads work with: router and keys, replaced whole.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use decision::keys::{AccountKey, UpstreamId};
use decision::router::Router;
use decision::view::View;
use wire::sealed::{AccountKeyring, KeyId};

/// Router and keys at one moment.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// Routes packets.
    pub router: Router,
    /// Keyring of each account of the router's view, in the view's order.
    keyrings: Vec<AccountKeyring>,
}

/// The newest snapshot. A thread compares [`Published::generation`] with its own once per batch and
/// takes the lock only after a change.
#[derive(Debug, Default)]
pub struct Published {
    generation: AtomicU64,
    snapshot: Mutex<Arc<Snapshot>>,
}

/// One thread's hold on the newest snapshot.
#[derive(Debug)]
pub struct Subscription {
    published: Arc<Published>,
    generation: u64,
    snapshot: Arc<Snapshot>,
}

impl Snapshot {
    /// Builds a snapshot; derives the key of every account from the master keys.
    ///
    /// ```
    /// use balancer::snapshot::Snapshot;
    /// use wire::sealed::KeyId;
    /// let snapshot = Snapshot::build(Default::default(), vec![], &[(KeyId(1), [0; 32])]);
    /// assert!(snapshot.router.view().services().is_empty());
    /// ```
    pub fn build(view: Arc<View>, down: Vec<UpstreamId>, masters: &[(KeyId, [u8; 32])]) -> Self {
        let derive =
            |account: &decision::view::Account| AccountKeyring::derive(masters, account.id);
        let keyrings = view.accounts().iter().filter_map(derive).collect();
        Self { router: Router::new(view, down), keyrings }
    }

    /// The keyring of an account; `None` only if there are no master keys.
    pub fn keyring(&self, account: AccountKey) -> Option<&AccountKeyring> {
        self.keyrings.get(account.0 as usize)
    }
}

impl Published {
    /// Replaces the snapshot.
    pub fn publish(&self, snapshot: Snapshot) {
        *self.snapshot.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(snapshot);
        self.generation.fetch_add(1, Ordering::Release);
    }

    fn newest(&self) -> Arc<Snapshot> {
        self.snapshot.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Subscription {
    /// A subscription at the newest snapshot.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use balancer::snapshot::{Published, Snapshot, Subscription};
    /// let published = Arc::new(Published::default());
    /// let mut subscription = Subscription::new(published.clone());
    /// published.publish(Snapshot::default());
    /// assert!(subscription.refresh());
    /// assert!(!subscription.refresh());
    /// ```
    pub fn new(published: Arc<Published>) -> Self {
        let generation = published.generation.load(Ordering::Acquire);
        let snapshot = published.newest();
        Self { published, generation, snapshot }
    }

    /// Takes the newest snapshot if there is a newer one; says whether there was.
    pub fn refresh(&mut self) -> bool {
        let generation = self.published.generation.load(Ordering::Acquire);
        if generation == self.generation {
            return false;
        }
        self.generation = generation;
        self.snapshot = self.published.newest();
        true
    }

    /// The snapshot as of the last [`Subscription::refresh`].
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }
}
