//! Names for the ids of upstreams in events.

use decision::keys::UpstreamId;

use crate::fleet::{ServedUpstream, Target};

/// Fields that hold the id of an upstream.
const UPSTREAM_FIELDS: [&str; 2] = ["to", "peer"];

/// Names by id, sorted by id.
#[derive(Clone, Debug, Default)]
pub(super) struct Names {
    names: Vec<(String, String)>,
}

impl Names {
    /// Takes in the agents of the platform's list.
    pub(super) fn add_listed(&mut self, targets: &[Target]) {
        targets.iter().filter_map(Target::served_upstream).for_each(|served| self.add(served));
    }

    /// Takes in one upstream.
    pub(super) fn add(&mut self, served: &ServedUpstream) {
        let id = UpstreamId::of(&served.account, &served.service, &served.upstream);
        let id = format!("{:016x}", id.0);
        if let Err(index) = self.names.binary_search_by(|(known, _)| known.cmp(&id)) {
            self.names.insert(index, (id, served.upstream.clone()));
        }
    }

    /// A field's value for people: an upstream's name if the field is an id and the name is known.
    pub(super) fn show(&self, field: &str, value: String) -> String {
        if !UPSTREAM_FIELDS.contains(&field) {
            return value;
        }
        let found = self.names.binary_search_by(|(known, _)| known.cmp(&value));
        found.map_or(value, |index| self.names[index].1.clone())
    }
}
