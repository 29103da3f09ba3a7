//! The nodes that spread, and who among them watches the configuration service.

use std::hash::Hasher as _;
use std::sync::Arc;

use rand::RngExt as _;
use rand_pcg::Pcg64;
use siphasher::sip::SipHasher13;

use crate::keys::UpstreamId;

/// Readers of the configuration service in each availability zone: one may fail unnoticed until the
/// instance list catches up. 17 zones with two readers wait in 34 watches, and a change costs 34
/// reads of the 2,000 a second allowed.
pub const READERS_PER_ZONE: usize = 2;

/// Nodes that tell an agent of newer settings; one of them may be down.
const NOTIFIERS_PER_AGENT: usize = 2;

/// Identifies a spreading node: a hash of its instance name.
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
    /// Its id.
    pub id: NodeId,
    /// Its availability zone.
    pub zone: Arc<str>,
}

/// The instance list as seen by one node, itself left out, sorted by id.
#[derive(Clone, Debug)]
pub struct Peers {
    own: Peer,
    others: Vec<Peer>,
}

impl Peers {
    /// A list with nobody else on it.
    pub(super) fn new(own: Peer) -> Self {
        Self { own, others: Vec::new() }
    }

    /// Takes over a newer list.
    pub(super) fn replace(&mut self, mut list: Vec<Peer>) {
        list.retain(|peer| peer.id != self.own.id);
        list.sort_by_key(|peer| peer.id);
        list.dedup_by_key(|peer| peer.id);
        self.others = list;
    }

    /// True if fewer than [`READERS_PER_ZONE`] nodes of the own zone score higher.
    pub(super) fn is_reader(&self) -> bool {
        let score = |peer: &Peer| score(peer.id, peer.zone.as_bytes());
        let own_score = score(&self.own);
        let ahead = self.others.iter().filter(|peer| peer.zone == self.own.zone);
        ahead.filter(|peer| score(peer) > own_score).count() < READERS_PER_ZONE
    }

    /// True if fewer than [`NOTIFIERS_PER_AGENT`] nodes score higher for the agent.
    pub(super) fn is_notifier(&self, agent: UpstreamId) -> bool {
        let score = |peer: &Peer| score(peer.id, &agent.0.to_be_bytes());
        let own_score = score(&self.own);
        let ahead = self.others.iter().filter(|peer| score(peer) > own_score);
        ahead.take(NOTIFIERS_PER_AGENT).count() < NOTIFIERS_PER_AGENT
    }

    /// Up to `count` different random nodes.
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
