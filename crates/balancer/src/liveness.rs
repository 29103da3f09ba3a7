//! Finds the agents that are presumably down, from changes of the platform's list of instances.

use std::sync::Arc;

use decision::keys::UpstreamId;
use decision::view::View;
use shell::settings_sync::instances::{Instance, Kind};

/// Tracks the platform's list of instances.
#[derive(Debug, Default)]
pub struct Liveness {
    /// Agents that any list so far has named, sorted.
    ever_listed: Vec<UpstreamId>,
}

impl Liveness {
    /// Agents of `view` that an earlier list named and this one does not.
    ///
    /// The list lags. An agent that no list has named yet therefore counts as up: it may have
    /// just started, and as long as all balancers send it the packets of its buckets, they agree on
    /// the home. An empty list is ignored, since a platform that has lost its list must not take
    /// down the fleet.
    ///
    /// ```
    /// use balancer::liveness::Liveness;
    /// assert!(Liveness::default().down(&Default::default(), &[]).is_empty());
    /// ```
    pub fn down(&mut self, view: &View, list: &[Instance]) -> Vec<UpstreamId> {
        let mut listed: Vec<UpstreamId> = list.iter().filter_map(upstream_of).collect();
        if listed.is_empty() {
            return Vec::new();
        }
        listed.sort_unstable();
        let known = |id: UpstreamId| {
            let service = |key| view.find_upstream(key, id).is_some();
            (0..view.services().len() as u32).map(decision::keys::ServiceKey).any(service)
        };
        let missing = |id: &UpstreamId| listed.binary_search(id).is_err();
        let down =
            self.ever_listed.iter().copied().filter(|id| missing(id) && known(*id)).collect();
        self.ever_listed.extend(listed.iter().copied());
        self.ever_listed.sort_unstable();
        self.ever_listed.dedup();
        down
    }
}

fn upstream_of(instance: &Instance) -> Option<UpstreamId> {
    if instance.kind != Kind::Agent {
        return None;
    }
    let name = |name: &Option<Arc<str>>| name.clone();
    let (account, service) = (name(&instance.account)?, name(&instance.service)?);
    Some(UpstreamId::of(&account, &service, &name(&instance.upstream)?))
}
