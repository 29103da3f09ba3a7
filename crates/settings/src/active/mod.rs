//! The settings in force.
//!
//! The version in force of a document never decreases: the highest version wins, in whatever order
//! documents arrive from the platform and from peers. A document is accepted as a whole or not at
//! all: if it has a fault, the older version stays in force.

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

/// Result of offering a published document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The document is now in force, with this version.
    Accepted(Version),
    /// The same document was already in force.
    Unchanged(Version),
    /// The document is outdated: this newer version stays in force.
    Older(Version),
    /// The root in force does not allow the document, but a newer root may. The older version stays
    /// in force, and the document is checked again with the next root.
    Deferred(Vec<Fault>),
    /// The document is refused as a whole; the older version stays in force.
    Refused(Vec<Fault>),
}

/// The root and the accounts' subtrees that are in force in this process.
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
    /// Built on demand: at a start, hundreds of subtrees arrive in a row, and building a view for
    /// each would be wasted.
    view: OnceLock<Arc<View>>,
}

/// A document in force with the text that it came from.
#[derive(Clone, Debug)]
struct Installed<T> {
    spec: T,
    yaml: Arc<str>,
}

impl ActiveSettings {
    /// Offers a root document.
    ///
    /// If it is accepted, the deferred subtrees are checked again. Addresses that the root removes
    /// from an account leave the view at once, although the account's subtree stays in force:
    /// another account may own such an address by now, and serving it would deliver one account's
    /// packets to another. The account's other addresses are served as before, and a later root may
    /// return the removed ones.
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

    /// Offers the subtree that was published for the account called `name`.
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

    /// The view of all settings in force, built on the first call after a change.
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

    /// Version and text of the root in force, for sending it to peers.
    pub fn root(&self) -> Option<(Version, Arc<str>)> {
        self.root.as_ref().map(|installed| (installed.spec.version, installed.yaml.clone()))
    }

    /// Version and text of the subtree in force of the account called `name`, for sending it to
    /// peers.
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

    /// The subtree without the addresses that its account does not own in the root in force.
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

/// The outcome for a document with faults. An outdated document comes from a stale read or peer and
/// not from its publisher, so it counts as [`Outcome::Older`] whatever its faults are.
fn refusal(faults: Vec<Fault>, yaml: &str, in_force: Version) -> Outcome {
    match document::stated_version(yaml) {
        Some(version) if version < in_force.0 => Outcome::Older(in_force),
        _ => Outcome::Refused(faults),
    }
}

/// Whether a newer root may resolve the fault. Updates may reach an instance out of order,
/// so a subtree may arrive before the root that allows it.
fn depends_on_root(fault: &Fault) -> bool {
    [codes::UNKNOWN_ACCOUNT, codes::FOREIGN_ADDRESS, codes::QUARANTINED_ADDRESS]
        .contains(&fault.code)
}
