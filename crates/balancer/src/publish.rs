//! Publishes a snapshot after each change of settings or liveness. The receiving threads continue
//! with the old snapshot while the new one is built.

use std::sync::{Arc, mpsc};

use decision::keys::UpstreamId;
use decision::spread::Member;
use decision::time::Millis;
use decision::view::View;
use shell::settings_sync::Store;
use shell::settings_sync::instances::Instances;
use wire::notice::Notice;
use wire::sealed::KeyId;

use crate::liveness::Liveness;
use crate::notices::{AgentNotice, LeavingAgents};
use crate::snapshot::{PublishedSnapshot, Snapshot};
use crate::spreading::SpreadingStatus;

/// Inputs of a publisher, and the channel to which it passes agents' reports on their peers.
pub struct Sources {
    /// Settings in force.
    pub store: Arc<Store>,
    /// The platform's list of instances.
    pub instances: Arc<Instances>,
    /// Membership as known from gossip.
    pub spreading_status: Arc<SpreadingStatus>,
    /// Notices in which agents report on themselves and their peers.
    pub notices: mpsc::Receiver<AgentNotice>,
    /// Passes agents' reports on their peers to the gossip thread.
    pub members: mpsc::Sender<Member>,
    /// Passes agents' notices about outdated memberships to the gossip thread.
    pub outdated: mpsc::Sender<AgentNotice>,
}

/// Keeps the published snapshot up to date.
pub struct Publisher {
    sources: Sources,
    published: Arc<PublishedSnapshot>,
    master_keys: Vec<(KeyId, [u8; 32])>,
    liveness: Liveness,
    leaving: LeavingAgents,
    /// Generations of settings, instance list and membership at the last check; `None` before the
    /// first.
    seen_generations: Option<[u64; 3]>,
    /// Agents that the instance list no longer names or that their peers report as failed.
    missing: Vec<UpstreamId>,
    /// Agents that count as down in the published snapshot: missing or leaving.
    down: Vec<UpstreamId>,
}

impl Publisher {
    /// A publisher that has published nothing yet.
    pub fn new(
        sources: Sources,
        published: Arc<PublishedSnapshot>,
        master_keys: Vec<(KeyId, [u8; 32])>,
    ) -> Self {
        Self {
            sources,
            published,
            master_keys,
            liveness: Liveness::default(),
            leaving: LeavingAgents::default(),
            seen_generations: None,
            missing: Vec::new(),
            down: Vec::new(),
        }
    }

    /// Publishes a snapshot if anything has changed since the last call.
    pub fn publish_if_changed(&mut self, now: Millis) {
        // Read before the settings: if they are current by now, the snapshot contains current
        // settings.
        let current = self.sources.store.is_current();
        let generations = self.sources.generations();
        let view = self.sources.store.view();
        if self.seen_generations != Some(generations) {
            self.missing = self.liveness.down(&view, &self.sources.instances.list());
            self.missing.extend(self.sources.spreading_status.down());
        }
        self.apply_notices(now, &view);
        let mut down = self.leaving.unexpired(now);
        down.extend(&self.missing);
        let settings_changed = self.seen_generations.is_none_or(|seen| seen[0] != generations[0]);
        self.seen_generations = Some(generations);
        if settings_changed || down != self.down {
            // The settings file lists at least one key, so building never fails here.
            if let Some(snapshot) = Snapshot::build(&view, down.clone(), &self.master_keys) {
                self.published.publish(snapshot);
            }
            self.down = down;
        }
        if current {
            self.published.mark_current();
        }
    }

    fn apply_notices(&mut self, now: Millis, view: &View) {
        for received in self.sources.notices.try_iter() {
            match received.notice {
                Notice::Leaving if received.is_authorized_for(view, received.sender) => {
                    self.leaving.add(now, received.sender);
                }
                Notice::Peer { upstream, beat, up }
                    if received.is_authorized_for(view, UpstreamId(upstream)) =>
                {
                    let member = Member { upstream: UpstreamId(upstream), beat, up };
                    // Fails only during a shutdown, after the gossip thread has ended.
                    let _ = self.sources.members.send(member);
                }
                Notice::Outdated { .. } | Notice::AskOutdated
                    if received.is_authorized_for(view, received.sender) =>
                {
                    let _ = self.sources.outdated.send(received);
                }
                // The agent is not one of the sealing account, or the notice is not meant for a
                // balancer.
                Notice::Leaving
                | Notice::Peer { .. }
                | Notice::Outdated { .. }
                | Notice::AskOutdated
                | Notice::Settings { .. } => {}
            }
        }
    }
}

impl Sources {
    fn generations(&self) -> [u64; 3] {
        [self.store.generation(), self.instances.generation(), self.spreading_status.generation()]
    }
}
