//! The settings in force in this process, shared by all its threads.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use decision::keys::Version;
use decision::view::View;
use settings::{ActiveSettings, Outcome, codes};
use telemetry::timeline::{Fields, Timeline, Value};

use crate::boottime;

/// Which accounts a process keeps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All: a balancer.
    All,
    /// One: an agent.
    Account(Arc<str>),
}

/// Where a document came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform's configuration service.
    Platform,
    /// Another instance.
    Peer,
}

/// Settings in force. Readers on the packet path look at [`Store::generation`] only.
#[derive(Debug)]
pub struct Store {
    scope: Scope,
    timeline: Arc<Timeline>,
    active: Mutex<ActiveSettings>,
    /// Built ahead for a single account, so that an agent's data thread never waits for a build or
    /// for a document that is being parsed.
    view: Mutex<Arc<View>>,
    /// For each account the text that the one in force has replaced, sorted by account. Peers that
    /// are one version behind get the lines that differ.
    replaced: Mutex<Vec<ReplacedSubtree>>,
    generation: AtomicU64,
    source_read: AtomicBool,
    /// When the configuration service last confirmed what is in force, in milliseconds since boot.
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
    /// Whether an account is kept.
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
    /// An empty store that notes what it accepts in `timeline`.
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

    /// Accounts that this process keeps.
    pub fn scope(&self) -> &Scope {
        &self.scope
    }

    /// Number that grows with each change of the view.
    pub fn generation(&self) -> u64 {
        self.generation.load(Ordering::Acquire)
    }

    /// The view in force. Where all accounts are kept, the first call after a change builds it,
    /// which takes long with thousands of services.
    pub fn view(&self) -> Arc<View> {
        match self.scope {
            Scope::All => lock(&self.active).view(),
            Scope::Account(_) => lock(&self.view).clone(),
        }
    }

    /// Whether the settings are known to be current enough: a source that was itself current has
    /// been read completely, and peers have been asked once.
    ///
    /// The platform may serve an instance that starts an older tree than the fleet already runs.
    /// To open flows by it would bring back upstreams and addresses that are gone, so the peers are
    /// heard first; one that does not answer within its time-out is not waited for.
    pub fn is_current(&self) -> bool {
        self.source_read.load(Ordering::Acquire) && self.peers_asked.load(Ordering::Acquire)
    }

    /// Notes that a current source has been read completely, whose own confirmation by the
    /// configuration service is `age_ms` old.
    pub fn confirm(&self, age_ms: u64) {
        let at = boottime::now().0.saturating_sub(age_ms);
        self.confirmed_at.fetch_max(at, Ordering::AcqRel);
        self.source_read.store(true, Ordering::Release);
    }

    /// Milliseconds since the configuration service confirmed what is in force, directly or through
    /// other instances; since boot if it never did.
    pub fn confirmed_age_ms(&self) -> u64 {
        boottime::now().0.saturating_sub(self.confirmed_at.load(Ordering::Acquire))
    }

    /// Notes that peers have been asked, whether they answered or not.
    pub fn mark_peers_asked(&self) {
        self.peers_asked.store(true, Ordering::Release);
    }

    /// Versions in force, sorted by account.
    pub fn versions(&self) -> Vec<(Arc<str>, Version)> {
        lock(&self.active).versions()
    }

    /// Version and text of the root in force.
    pub fn root(&self) -> Option<(Version, Arc<str>)> {
        lock(&self.active).root()
    }

    /// Version and text of an account's subtree in force.
    pub fn subtree(&self, account: &str) -> Option<(Version, Arc<str>)> {
        lock(&self.active).subtree(account)
    }

    /// Takes in a root; subtrees that waited for it may come into force with it.
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

    /// Takes in an account's subtree; one outside the scope is ignored.
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

    /// The text of `version`, if it is the one that was last replaced.
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

/// A thread that panicked while it held a lock left whole values behind.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
