//! The settings in force.

use std::sync::Arc;

use decision::keys::Version;
use decision::view::{self, AccountSpec, View};

use crate::account;
use crate::fault::Fault;
use crate::root::{self, Root};

/// What became of a published document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is in force now.
    Accepted(Version),
    /// The same document is in force already.
    Unchanged(Version),
    /// A newer version, given here, is in force and stays.
    Older(Version),
    /// It waits for a newer root, which may make it valid; the older version stays in force.
    Deferred(Vec<Fault>),
    /// It is refused whole; the older version stays in force.
    Refused(Vec<Fault>),
}

/// All accounts in force in this process: the highest version heard of wins.
#[derive(Debug, Default)]
pub struct Book {
    root: Option<Held<Root>>,
    /// Sorted by name.
    accounts: Vec<Held<AccountSpec>>,
    view: Arc<View>,
}

/// A document in force with the text that it came from.
#[derive(Debug)]
struct Held<T> {
    spec: T,
    yaml: Arc<str>,
}

impl Book {
    /// Takes in a root.
    pub fn accept_root(&mut self, yaml: &str) -> Outcome {
        let root = match root::parse(yaml) {
            Ok(root) => root,
            Err(faults) => return Outcome::Refused(faults),
        };
        if let Some(held) = &self.root
            && root.version <= held.spec.version
        {
            return Outcome::Older(held.spec.version);
        }
        let version = root.version;
        self.root = Some(Held { spec: root, yaml: yaml.into() });
        Outcome::Accepted(version)
    }

    /// Takes in the subtree of an account.
    pub fn accept_account(&mut self, name: &str, yaml: &str) -> Outcome {
        let Some(root) = &self.root else { return Outcome::Deferred(Vec::new()) };
        let spec = match account::parse(yaml, &root.spec, name) {
            Ok(spec) => spec,
            Err(faults) => return Outcome::Refused(faults),
        };
        let version = spec.version;
        let held = Held { spec, yaml: yaml.into() };
        match self.accounts.binary_search_by(|held| (*held.spec.name).cmp(name)) {
            Ok(index) if self.accounts[index].spec.version >= version => {
                return Outcome::Older(self.accounts[index].spec.version);
            }
            Ok(index) => self.accounts[index] = held,
            Err(index) => self.accounts.insert(index, held),
        }
        let specs: Vec<AccountSpec> = self.accounts.iter().map(|held| held.spec.clone()).collect();
        self.view = Arc::new(view::build(&specs));
        Outcome::Accepted(version)
    }

    /// The view of everything in force.
    pub fn view(&self) -> Arc<View> {
        self.view.clone()
    }

    /// Names and versions of the accounts in force, sorted by name.
    pub fn versions(&self) -> Vec<(Arc<str>, Version)> {
        self.accounts.iter().map(|held| (held.spec.name.clone(), held.spec.version)).collect()
    }

    /// The root in force with its text.
    pub fn root(&self) -> Option<(Version, Arc<str>)> {
        self.root.as_ref().map(|held| (held.spec.version, held.yaml.clone()))
    }

    /// The subtree in force of the account called `name`, to be passed on to peers.
    pub fn subtree(&self, name: &str) -> Option<(Version, Arc<str>)> {
        let index = self.accounts.binary_search_by(|held| (*held.spec.name).cmp(name)).ok()?;
        let held = &self.accounts[index];
        Some((held.spec.version, held.yaml.clone()))
    }
}
