//! Store of the settings in force, shared by all threads of the process.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use decision::keys::Version;
use decision::view::View;
use settings::{ActiveSettings, Outcome, codes};
use telemetry::timeline::{Fields, Timeline, Value};

use crate::boottime;

/// The accounts whose settings a process keeps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All accounts, in a balancer.
    All,
    /// A single account, in an agent.
    Account(Arc<str>),
}

/// The source of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform's configuration service.
    Platform,
    /// Another instance.
    Peer,
}

/// The settings in force. Threads on the packet path only read [`Store::generation`], until it
/// changes.
#[derive(Debug)]
pub struct Store {
    scope: Scope,
    timeline: Arc<Timeline>,
    active: Mutex<ActiveSettings>,
    /// Built in advance if only one account is kept, so that an agent's data thread never waits for
    /// a build or for the parsing of a document.
    view: Mutex<Arc<View>>,
    /// The subtree of each account that was replaced by the one in force, sorted by account. Serves
    /// to send only the lines that differ to peers that are one version behind.
    replaced: Mutex<Vec<ReplacedSubtree>>,
    generation: AtomicU64,
    source_read: AtomicBool,
    /// When the configuration service last confirmed the settings in force, in milliseconds since
    /// boot.
    confirmed_at: AtomicU64,
    peers_asked: AtomicBool,
}

#[derive(Debug)]
struct ReplacedSubtree {
    account: Arc<str>,
    version: Version,
    yaml: Arc<str>,
}

impl Scope {
    /// Returns whether the account is in the scope.
    pub fn contains(&self, account: &str) -> bool {
        match self {
            Self::All => true,
            Self::Account(own) => **own == *account,
        }
    }
}

impl Source {
    fn label(self) -> &'static str {
        match self {
            Self::Platform => "platform",
            Self::Peer => "peer",
        }
    }
}

impl Store {
    /// Creates an empty store that records accepted and refused settings in `timeline`.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use shell::settings_sync::{Scope, Store};
    /// let timeline = Arc::new(telemetry::timeline::Timeline::new("bal-c1".into(), 8));
    /// let store = Store::new(Scope::All, timeline);
    /// assert_eq!(store.generation(), 0);
    /// ```
    pub fn new(scope: Scope, timeline: Arc<Timeline>) -> Self {
        Self {
            scope,
            timeline,
            active: Mutex::default(),
            view: Mutex::default(),
            replaced: Mutex::default(),
            generation: AtomicU64::new(0),
            source_read: AtomicBool::new(false),
            confirmed_at: AtomicU64::new(0),
            peers_asked: AtomicBool::new(false),
        }
    }

    /// Returns the accounts that this process keeps.
    pub fn scope(&self) -> &Scope {
        &self.scope
    }

    /// Returns a number that grows with each change of the view.
    pub fn generation(&self) -> u64 {
        self.generation.load(Ordering::Acquire)
    }

    /// Returns the view in force. If all accounts are kept, the first call after a change builds
    /// the view, which is slow with thousands of services.
    pub fn view(&self) -> Arc<View> {
        match self.scope {
            Scope::All => lock(&self.active).view(),
            Scope::Account(_) => lock(&self.view).clone(),
        }
    }

    /// Returns whether the settings count as current: a source that was itself current has been
    /// read completely, and peers have been queried once.
    ///
    /// The platform may serve an older tree to a starting instance than the fleet already uses.
    /// Flows opened with such a tree could go to upstreams and addresses that no longer exist.
    /// Therefore, peers are queried first. A peer that does not reply within its timeout is
    /// ignored.
    pub fn is_current(&self) -> bool {
        self.source_read.load(Ordering::Acquire) && self.peers_asked.load(Ordering::Acquire)
    }

    /// Records that a current source has been read completely. `age_ms` is the time since the
    /// configuration service confirmed the settings of that source.
    pub fn confirm(&self, age_ms: u64) {
        let at = boottime::now().0.saturating_sub(age_ms);
        self.confirmed_at.fetch_max(at, Ordering::AcqRel);
        self.source_read.store(true, Ordering::Release);
    }

    /// Returns the milliseconds since the configuration service confirmed the settings in force,
    /// directly or through other instances, or since boot if it never did.
    pub fn confirmed_age_ms(&self) -> u64 {
        boottime::now().0.saturating_sub(self.confirmed_at.load(Ordering::Acquire))
    }

    /// Records that peers have been queried, whether they replied or not.
    pub fn mark_peers_asked(&self) {
        self.peers_asked.store(true, Ordering::Release);
    }

    /// Returns the versions in force, sorted by account.
    pub fn versions(&self) -> Vec<(Arc<str>, Version)> {
        lock(&self.active).versions()
    }

    /// Returns the version and text of the root in force.
    pub fn root(&self) -> Option<(Version, Arc<str>)> {
        lock(&self.active).root()
    }

    /// Returns the version and text of an account's subtree in force.
    pub fn subtree(&self, account: &str) -> Option<(Version, Arc<str>)> {
        lock(&self.active).subtree(account)
    }

    /// Offers a root to the settings in force. Subtrees that were deferred until this root may come
    /// into force with it.
    pub fn offer_root(&self, yaml: &str, source: Source) -> Outcome {
        let mut active = lock(&self.active);
        let before = active.versions();
        let outcome = active.accept_root(yaml);
        self.report("", &outcome, source);
        for (account, version) in active.versions() {
            if !before.contains(&(account.clone(), version)) {
                self.report(&account, &Outcome::Accepted(version), source);
            }
        }
        self.publish(&active, &outcome);
        outcome
    }

    /// Offers an account's subtree to the settings in force. Returns `None` if the account is
    /// outside the scope.
    pub fn offer_account(&self, account: &str, yaml: &str, source: Source) -> Option<Outcome> {
        if !self.scope.contains(account) {
            return None;
        }
        let mut active = lock(&self.active);
        let before = active.subtree(account);
        let outcome = active.accept_account(account, yaml);
        self.report(account, &outcome, source);
        if let (Outcome::Accepted(_), Some((version, yaml))) = (&outcome, before) {
            self.keep_replaced_subtree(ReplacedSubtree { account: account.into(), version, yaml });
        }
        self.publish(&active, &outcome);
        Some(outcome)
    }

    /// Returns the text of `version` if that is the version replaced last.
    pub fn replaced_subtree(&self, account: &str, version: Version) -> Option<Arc<str>> {
        let replaced = lock(&self.replaced);
        let index = replaced.binary_search_by(|entry| (*entry.account).cmp(account)).ok()?;
        Some(&replaced[index]).filter(|entry| entry.version == version).map(|e| e.yaml.clone())
    }

    fn keep_replaced_subtree(&self, entry: ReplacedSubtree) {
        let mut replaced = lock(&self.replaced);
        match replaced.binary_search_by(|known| known.account.cmp(&entry.account)) {
            Ok(index) => replaced[index] = entry,
            Err(index) => replaced.insert(index, entry),
        }
    }

    fn publish(&self, active: &ActiveSettings, outcome: &Outcome) {
        if !matches!(outcome, Outcome::Accepted(_)) {
            return;
        }
        if matches!(self.scope, Scope::Account(_)) {
            *lock(&self.view) = active.view();
        }
        self.generation.fetch_add(1, Ordering::Release);
    }

    fn report(&self, account: &str, outcome: &Outcome, source: Source) {
        match outcome {
            Outcome::Accepted(version) => {
                log::info!(account, version = version.0, source = source.label(); "settings accepted");
                let fields = Fields::default().with("version", Value::Number(version.0));
                let fields = fields.with("source", Value::Static(source.label()));
                self.timeline.record(account, "settings_accepted", fields);
            }
            Outcome::Refused(faults) => {
                let first = faults.first().map(ToString::to_string).unwrap_or_default();
                let code = codes::SETTINGS_REJECTED;
                log::warn!(account, code = code.0, source = source.label(); "settings refused: {first}");
                let fields = Fields::default().with("fault", Value::Text(first.into()));
                self.timeline.record(account, "settings_refused", fields);
            }
            Outcome::Older(_) | Outcome::Unchanged(_) | Outcome::Deferred(_) => {}
        }
    }
}

/// Locks a mutex, even if poisoned: a thread that panics under a lock leaves consistent values.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
