//! Translates the ids of upstreams in events to names.

use decision::keys::UpstreamId;

use crate::fleet::{ServedUpstream, Target};

/// Fields that hold the id of an upstream.
const UPSTREAM_FIELDS: [&str; 2] = ["to", "peer"];

/// Pairs of id and name, sorted by id.
#[derive(Clone, Debug, Default)]
pub(super) struct Names {
    names: Vec<(String, String)>,
}

impl Names {
    /// Adds the upstreams of the agents on the platform's list.
    pub(super) fn add_listed(&mut self, targets: &[Target]) {
        targets.iter().filter_map(Target::served_upstream).for_each(|served| self.add(served));
    }

    /// Adds one upstream.
    pub(super) fn add(&mut self, served: &ServedUpstream) {
        let id = UpstreamId::of(&served.account, &served.service, &served.upstream);
        let id = format!("{:016x}", id.0);
        if let Err(index) = self.names.binary_search_by(|(known, _)| known.cmp(&id)) {
            self.names.insert(index, (id, served.upstream.clone()));
        }
    }

    /// The value of a field as it is printed: the upstream's name if the field is an upstream's id
    /// and its name is known, else the value itself.
    pub(super) fn show(&self, field: &str, value: String) -> String {
        if !UPSTREAM_FIELDS.contains(&field) {
            return value;
        }
        let found = self.names.binary_search_by(|(known, _)| known.cmp(&value));
        found.map_or(value, |index| self.names[index].1.clone())
    }
}
