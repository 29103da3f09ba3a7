//! Publishing snapshots after each change of settings or liveness. The receiving threads go on with
//! the old one while a new one is built.

use std::sync::{Arc, mpsc};

use decision::keys::UpstreamId;
use decision::time::Millis;
use shell::settings_sync::Store;
use shell::settings_sync::instances::Instances;
use wire::sealed::KeyId;

use crate::liveness::Liveness;
use crate::notices::{LeavingAgent, LeavingAgents};
use crate::snapshot::{Published, Snapshot};

/// From where a publisher learns of changes.
pub struct Sources {
    /// Settings.
    pub store: Arc<Store>,
    /// The platform's list.
    pub instances: Arc<Instances>,
    /// What agents say about themselves.
    pub notices: mpsc::Receiver<LeavingAgent>,
}

/// Keeps the published snapshot up to date.
pub struct Publisher {
    sources: Sources,
    published: Arc<Published>,
    masters: Vec<(KeyId, [u8; 32])>,
    liveness: Liveness,
    leaving: LeavingAgents,
    /// Generations of settings and list at the last look.
    seen: Option<(u64, u64)>,
    /// Agents that the list no longer names.
    missing: Vec<UpstreamId>,
    /// Agents down in the snapshot in force: missing or leaving.
    down: Vec<UpstreamId>,
}

impl Publisher {
    /// A publisher that has published nothing yet.
    pub fn new(
        sources: Sources,
        published: Arc<Published>,
        masters: Vec<(KeyId, [u8; 32])>,
    ) -> Self {
        Self {
            sources,
            published,
            masters,
            liveness: Liveness::default(),
            leaving: LeavingAgents::default(),
            seen: None,
            missing: Vec::new(),
            down: Vec::new(),
        }
    }

    /// Publishes a snapshot if anything has changed since the last call.
    pub fn publish_if_changed(&mut self, now: Millis) {
        // Asked before the settings are read: what counts as current then is in the snapshot.
        let current = self.sources.store.is_current();
        let generations = (self.sources.store.generation(), self.sources.instances.generation());
        let view = self.sources.store.view();
        if self.seen != Some(generations) {
            self.missing = self.liveness.down(&view, &self.sources.instances.list());
        }
        for agent in self.sources.notices.try_iter() {
            self.leaving.add(now, &view, agent);
        }
        let mut down = self.leaving.at(now);
        down.extend(&self.missing);
        let settings_changed = self.seen.is_none_or(|(settings, _)| settings != generations.0);
        self.seen = Some(generations);
        if settings_changed || down != self.down {
            // The settings file lists one key at least, so there always is a snapshot.
            if let Some(snapshot) = Snapshot::build(&view, down.clone(), &self.masters) {
                self.published.publish(snapshot);
            }
            self.down = down;
        }
        if current {
            self.published.mark_current();
        }
    }
}
