//! Which agent is home of a bucket, and which agents may have been until a moment ago.

use super::Agent;
use super::limits;
use super::sorted::Sorted;
use crate::keys::{BucketIndex, UpstreamId};
use crate::rank;
use crate::time::Millis;

/// Agents that may have admitted openings in this agent's place, and until when they are asked.
///
/// Failure: a bucket moves, and a copy of an opening that the former home has admitted reaches the
/// new one. Symptom: two upstreams answer the SYN, and the flow breaks when its packets reach the
/// wrong one. Asking the former home is enough, because it records a claim before it admits, and
/// it names that record to whoever asks.
#[derive(Debug, Default)]
pub(super) struct Doubts {
    everywhere: Sorted<UpstreamId, Millis>,
    by_bucket: Sorted<(BucketIndex, UpstreamId), Millis>,
}

impl Doubts {
    /// `upstream` may have stood in for this agent in every bucket.
    pub(super) fn add(&mut self, now: Millis, upstream: UpstreamId) {
        self.everywhere.insert(upstream, now.after(limits::FORMER_HOME_MS));
    }

    /// `upstream` was home of `bucket` until now.
    pub(super) fn add_home(&mut self, now: Millis, bucket: BucketIndex, upstream: UpstreamId) {
        self.by_bucket.insert((bucket, upstream), now.after(limits::FORMER_HOME_MS));
    }

    pub(super) fn expire(&mut self, now: Millis) {
        self.everywhere.retain(|until| *until > now);
        self.by_bucket.retain(|until| *until > now);
    }

    fn about(&self, now: Millis, bucket: BucketIndex) -> impl Iterator<Item = UpstreamId> + '_ {
        let everywhere =
            self.everywhere.iter().filter(move |(_, until)| **until > now).map(|(id, _)| id);
        let here = self
            .by_bucket
            .iter()
            .filter(move |((known, _), until)| *known == bucket && **until > now)
            .map(|((_, id), _)| id);
        everywhere.chain(here)
    }
}

impl Agent {
    /// The home of a bucket as this agent sees it: the first rank that is up.
    pub(super) fn home(&self, bucket: BucketIndex) -> Option<UpstreamId> {
        let up = self.ranking(bucket).find(|id| self.is_up(*id));
        up.or_else(|| self.ranking(bucket).next())
    }

    /// Agents of a bucket from first to last rank.
    pub(super) fn ranking(&self, bucket: BucketIndex) -> impl Iterator<Item = UpstreamId> + '_ {
        let keys = self.service.map(|key| self.view.service(key).ranking(bucket));
        keys.unwrap_or_default().iter().map(|key| self.view.upstream(*key).id)
    }

    pub(super) fn is_up(&self, upstream: UpstreamId) -> bool {
        if upstream == self.config.upstream {
            return !self.leaving;
        }
        self.peers.get(upstream).is_some_and(|peer| peer.is_up())
    }

    /// Agents to ask before this one admits in a bucket: those that rank before it, and those that
    /// may have been home a moment ago. Empty in the steady state.
    ///
    /// An agent that hears from few of its peers may be the one that is cut off, with a stand-in
    /// beyond the cut. It asks everybody, since the cut may end before it hears of that.
    pub(super) fn former_homes(&self, now: Millis, bucket: BucketIndex) -> Vec<UpstreamId> {
        let me = self.config.upstream;
        let everybody = self.is_isolated();
        let cut_off = self.peers.iter().filter(|_| everybody).map(|(id, _)| id);
        let mut asked: Vec<UpstreamId> = self
            .ranking(bucket)
            .take_while(|id| *id != me)
            .chain(self.doubts.about(now, bucket))
            .chain(cut_off)
            .filter(|id| *id != me)
            .filter(|id| self.peers.get(*id).is_some_and(|peer| peer.may_hold_flows(now)))
            .collect();
        asked.sort_unstable();
        asked.dedup();
        asked
    }

    /// Whether most peers are silent.
    pub(super) fn is_isolated(&self) -> bool {
        let listed = || self.peers.iter().filter(|(_, peer)| peer.listed && !peer.retired);
        let suspected = listed().filter(|(_, peer)| peer.suspected).count();
        2 * suspected > listed().count()
    }

    /// Home of every bucket, to be compared before and after a change.
    pub(super) fn homes(&self) -> Vec<Option<UpstreamId>> {
        buckets().map(|bucket| self.home(bucket)).collect()
    }

    /// Remembers the homes that a change has replaced, and those that were only passed over.
    pub(super) fn doubt_former_homes(&mut self, now: Millis, before: &[Option<UpstreamId>]) {
        for (bucket, former) in buckets().zip(before) {
            let Some(former) = *former else { continue };
            if self.home(bucket) != Some(former) {
                self.doubts.add_home(now, bucket, former);
            }
        }
    }

    /// A pause that this agent has noticed: everybody may have stood in for it, and nobody's
    /// silence during it counts.
    pub(super) fn check_pause(&mut self, now: Millis) {
        if now.since(self.last_tick) < limits::PAUSE_MS {
            return;
        }
        self.last_tick = now;
        for (id, peer) in self.peers.iter_mut() {
            self.doubts.add(now, id);
            if !peer.suspected {
                peer.listed_at = now;
                peer.last_received_at = peer.last_received_at.map(|_| now);
            }
        }
    }
}

/// All buckets of a service.
pub(super) fn buckets() -> impl Iterator<Item = BucketIndex> {
    (0..rank::BUCKET_COUNT).map(BucketIndex)
}
