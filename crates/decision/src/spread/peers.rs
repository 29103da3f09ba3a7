//! The nodes that exchange gossip, and the choice of those that watch the configuration service.

use std::hash::Hasher as _;
use std::sync::Arc;

use rand::RngExt as _;
use rand_pcg::Pcg64;
use siphasher::sip::SipHasher13;

use crate::keys::UpstreamId;

/// Readers of the configuration service in each availability zone. With two, one may fail before
/// the instance list shows it. 17 zones have 34 readers with one watch each, so a change costs 34
/// reads of the 2,000 a second allowed.
pub const READERS_PER_ZONE: usize = 2;

/// Nodes that notify an agent of newer settings. With two, one of them may be down.
const NOTIFIERS_PER_AGENT: usize = 2;

/// Identifies a node: a hash of its instance name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub u64);

impl NodeId {
    /// Derives the id of the instance called `name`.
    ///
    /// ```
    /// use decision::spread::NodeId;
    /// assert_ne!(NodeId::of("bal-1"), NodeId::of("bal-2"));
    /// ```
    pub fn of(name: &str) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write(name.as_bytes());
        Self(hasher.finish())
    }
}

/// A node of the instance list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Id of the node.
    pub id: NodeId,
    /// Availability zone of the node.
    pub zone: Arc<str>,
}

/// The instance list as known to one node, without the node itself and sorted by id.
#[derive(Clone, Debug)]
pub struct Peers {
    own: Peer,
    others: Vec<Peer>,
}

impl Peers {
    /// Creates a list without other nodes.
    pub(super) fn new(own: Peer) -> Self {
        Self { own, others: Vec::new() }
    }

    /// Replaces the list by a newer one.
    pub(super) fn replace(&mut self, mut list: Vec<Peer>) {
        list.retain(|peer| peer.id != self.own.id);
        list.sort_by_key(|peer| peer.id);
        list.dedup_by_key(|peer| peer.id);
        self.others = list;
    }

    /// Whether fewer than [`READERS_PER_ZONE`] nodes of the own zone have a higher score.
    pub(super) fn is_reader(&self) -> bool {
        let score = |peer: &Peer| score(peer.id, peer.zone.as_bytes());
        let own_score = score(&self.own);
        let ahead = self.others.iter().filter(|peer| peer.zone == self.own.zone);
        ahead.filter(|peer| score(peer) > own_score).count() < READERS_PER_ZONE
    }

    /// Whether fewer than [`NOTIFIERS_PER_AGENT`] nodes have a higher score for the agent.
    pub(super) fn is_notifier(&self, agent: UpstreamId) -> bool {
        let score = |peer: &Peer| score(peer.id, &agent.0.to_be_bytes());
        let own_score = score(&self.own);
        let ahead = self.others.iter().filter(|peer| score(peer) > own_score);
        ahead.take(NOTIFIERS_PER_AGENT).count() < NOTIFIERS_PER_AGENT
    }

    /// Draws up to `count` different nodes at random.
    pub(super) fn sample(&self, count: usize, random: &mut Pcg64) -> Vec<NodeId> {
        let mut chosen: Vec<NodeId> = Vec::with_capacity(count);
        let wanted = count.min(self.others.len());
        while chosen.len() < wanted {
            let id = self.others[random.random_range(0..self.others.len())].id;
            if !chosen.contains(&id) {
                chosen.push(id);
            }
        }
        chosen
    }
}

/// Rendezvous score of a node for a subject.
fn score(id: NodeId, subject: &[u8]) -> (u64, NodeId) {
    let mut hasher = SipHasher13::new();
    hasher.write(subject);
    hasher.write_u64(id.0);
    (hasher.finish(), id)
}
