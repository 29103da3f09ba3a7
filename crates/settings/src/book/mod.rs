//! The settings in force.
//!
//! Versions only grow: of each document the highest version wins, in whatever order documents arrive
//! from the platform and from peers. Documents are taken whole or not at all: one with a fault leaves
//! the older version in force.

mod pending;

use std::sync::{Arc, OnceLock};

use decision::keys::Version;
use decision::view::{self, AccountSpec, View};

use crate::account;
use crate::codes;
use crate::document;
use crate::fault::Fault;
use crate::root::{self, Ownership, Root};
use pending::Pending;

/// What became of a published document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is in force now.
    Accepted(Version),
    /// The same document is in force already.
    Unchanged(Version),
    /// A newer version, given here, is in force and stays.
    Older(Version),
    /// The root in force does not allow it; a newer one may. The older version stays in force and
    /// the document is tried again with the next root.
    Deferred(Vec<Fault>),
    /// It is refused whole; the older version stays in force.
    Refused(Vec<Fault>),
}

/// All accounts in force in this process.
///
/// ```
/// use settings::{ActiveSettings, Outcome};
/// let mut active = ActiveSettings::default();
/// active.accept_root("version: 1\naccounts: [{name: cascadia, prefixes: []}]\n");
/// let yaml = "account: cascadia\nversion: 7\nservices: []\n";
/// assert!(matches!(active.accept_account("cascadia", yaml), Outcome::Accepted(_)));
/// assert_eq!(active.versions().len(), 1);
/// assert_eq!(active.view().accounts().len(), 1);
/// ```
#[derive(Debug, Default)]
pub struct ActiveSettings {
    root: Option<Installed<Root>>,
    /// Sorted by name.
    accounts: Vec<Installed<AccountSpec>>,
    pending: Pending,
    /// Built on demand, since a start brings in hundreds of subtrees at once.
    view: OnceLock<Arc<View>>,
}

/// A document in force with the text that it came from.
#[derive(Clone, Debug)]
struct Installed<T> {
    spec: T,
    yaml: Arc<str>,
}

impl ActiveSettings {
    /// Takes in a root document.
    ///
    /// Subtrees that waited for it come into force with it. Addresses that it takes from an account
    /// leave the view at once, though the account's subtree stays in force: the address may be
    /// somebody else's by now, and serving it would hand one account's packets to another. The
    /// account's other addresses are served as before, and a later root may give this one back.
    pub fn accept_root(&mut self, yaml: &str) -> Outcome {
        let installed = self.root.as_ref();
        if installed.is_some_and(|installed| *installed.yaml == *yaml) {
            return Outcome::Unchanged(self.root_version());
        }
        let parsed = match installed {
            Some(installed) => root::parse_next(yaml, &installed.spec),
            None => root::parse(yaml),
        };
        match parsed {
            Ok(root) if root.version == self.root_version() => Outcome::Unchanged(root.version),
            Ok(root) => self.install_root(root, yaml),
            Err(faults) => refusal(faults, yaml, self.root_version()),
        }
    }

    /// Takes in the subtree that was published for the account called `name`.
    pub fn accept_account(&mut self, name: &str, yaml: &str) -> Outcome {
        let in_force = self.find(name).map(|index| &self.accounts[index]);
        if let Some(installed) = in_force.filter(|installed| *installed.yaml == *yaml) {
            return Outcome::Unchanged(installed.spec.version);
        }
        let version = in_force.map_or(Version(0), |installed| installed.spec.version);
        let Some(root) = self.root.as_ref().map(|installed| &installed.spec) else {
            return self.defer(name, yaml, Vec::new());
        };
        let parsed = match in_force {
            Some(installed) => account::parse_next(yaml, Some(root), name, &installed.spec),
            None => account::parse(yaml, root, name),
        };
        match parsed {
            Ok(spec) if spec.version == version => Outcome::Unchanged(version),
            Ok(spec) => self.install_account(spec, yaml),
            Err(faults) => match refusal(faults, yaml, version) {
                Outcome::Refused(faults) if faults.iter().all(depends_on_root) => {
                    self.defer(name, yaml, faults)
                }
                outcome => outcome,
            },
        }
    }

    /// The view of everything in force. It is built on the first call after a change.
    pub fn view(&self) -> Arc<View> {
        let build = || {
            let specs: Vec<AccountSpec> = self
                .accounts
                .iter()
                .map(|installed| self.without_foreign_addresses(&installed.spec))
                .collect();
            Arc::new(view::build(&specs))
        };
        self.view.get_or_init(build).clone()
    }

    /// Names and versions of the accounts in force, sorted by name.
    pub fn versions(&self) -> Vec<(Arc<str>, Version)> {
        self.accounts
            .iter()
            .map(|installed| (installed.spec.name.clone(), installed.spec.version))
            .collect()
    }

    /// The root in force with its text, to be passed on to peers.
    pub fn root(&self) -> Option<(Version, Arc<str>)> {
        self.root.as_ref().map(|installed| (installed.spec.version, installed.yaml.clone()))
    }

    /// The subtree in force of the account called `name` with its text, to be passed on to peers.
    pub fn subtree(&self, name: &str) -> Option<(Version, Arc<str>)> {
        let installed = &self.accounts[self.find(name)?];
        Some((installed.spec.version, installed.yaml.clone()))
    }

    fn root_version(&self) -> Version {
        self.root.as_ref().map_or(Version(0), |installed| installed.spec.version)
    }

    fn find(&self, name: &str) -> Option<usize> {
        self.accounts.binary_search_by(|installed| (*installed.spec.name).cmp(name)).ok()
    }

    fn install_root(&mut self, root: Root, yaml: &str) -> Outcome {
        let version = root.version;
        self.root = Some(Installed { spec: root, yaml: yaml.into() });
        self.view = OnceLock::new();
        for (name, yaml) in self.pending.take() {
            self.accept_account(&name, &yaml);
        }
        Outcome::Accepted(version)
    }

    fn install_account(&mut self, spec: AccountSpec, yaml: &str) -> Outcome {
        let version = spec.version;
        self.pending.remove_superseded(&spec.name, version);
        let installed = Installed { spec, yaml: yaml.into() };
        match self.accounts.binary_search_by(|known| known.spec.name.cmp(&installed.spec.name)) {
            Ok(index) => self.accounts[index] = installed,
            Err(index) => self.accounts.insert(index, installed),
        }
        self.view = OnceLock::new();
        Outcome::Accepted(version)
    }

    fn defer(&mut self, name: &str, yaml: &str, faults: Vec<Fault>) -> Outcome {
        let version = document::stated_version(yaml).unwrap_or_default();
        if self.pending.keep(name, Version(version), yaml) {
            Outcome::Deferred(faults)
        } else {
            Outcome::Refused(faults)
        }
    }

    /// The subtree without the addresses that the root in force does not give to its account.
    fn without_foreign_addresses(&self, spec: &AccountSpec) -> AccountSpec {
        let mut filtered = spec.clone();
        let Some(root) = &self.root else { return filtered };
        for service in &mut filtered.services {
            service.endpoints.retain(|endpoint| {
                root.spec.ownership(&spec.name, endpoint.address) == Ownership::Owned
            });
        }
        filtered
    }
}

/// An older document is no fault of its publisher, whatever else is wrong with it: a stale reader
/// or peer sent it.
fn refusal(faults: Vec<Fault>, yaml: &str, in_force: Version) -> Outcome {
    match document::stated_version(yaml) {
        Some(version) if version < in_force.0 => Outcome::Older(in_force),
        _ => Outcome::Refused(faults),
    }
}

/// Whether a fault may go away with a newer root. Updates reach instances unevenly, so a subtree
/// may arrive before the root that allows it.
fn depends_on_root(fault: &Fault) -> bool {
    [codes::UNKNOWN_ACCOUNT, codes::FOREIGN_ADDRESS, codes::QUARANTINED_ADDRESS]
        .contains(&fault.code)
}
