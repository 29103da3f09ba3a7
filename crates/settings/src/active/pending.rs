//! Deferred subtrees, which wait for a newer root.

use std::sync::Arc;

use decision::keys::Version;

/// Maximum number of accounts with a deferred subtree. A subtree may take a megabyte, so this
/// limits the memory that documents for unknown accounts can use. Further ones are refused and read
/// again later.
const MAX_PENDING_ACCOUNTS: usize = 64;

/// The newest deferred subtree of each account, sorted by name.
#[derive(Debug, Default)]
pub(super) struct Pending(Vec<Entry>);

#[derive(Debug)]
struct Entry {
    name: Arc<str>,
    version: Version,
    yaml: Arc<str>,
}

impl Pending {
    /// Keeps a subtree unless the same or a newer version is already deferred. Returns false if
    /// there is no room.
    pub(super) fn keep(&mut self, name: &str, version: Version, yaml: &str) -> bool {
        let entry = || Entry { name: name.into(), version, yaml: yaml.into() };
        match self.find(name) {
            Ok(index) if self.0[index].version < version => self.0[index] = entry(),
            Ok(_) => {}
            Err(_) if self.0.len() >= MAX_PENDING_ACCOUNTS => return false,
            Err(index) => self.0.insert(index, entry()),
        }
        true
    }

    /// Removes and returns all deferred subtrees with their accounts' names, to be checked again.
    pub(super) fn take(&mut self) -> Vec<(Arc<str>, Arc<str>)> {
        std::mem::take(&mut self.0).into_iter().map(|entry| (entry.name, entry.yaml)).collect()
    }

    /// Drops the deferred subtree of an account unless it is newer than `version`.
    pub(super) fn remove_superseded(&mut self, name: &str, version: Version) {
        if let Ok(index) = self.find(name)
            && self.0[index].version <= version
        {
            self.0.remove(index);
        }
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.0.binary_search_by(|entry| (*entry.name).cmp(name))
    }
}
