//! Which agent is the home of a bucket, and which agents may have been until recently.

use super::Agent;
use super::limits;
use super::sorted::SortedMap;
use crate::keys::{BucketIndex, UpstreamId};
use crate::rank;
use crate::time::Millis;

/// Agents that may have admitted openings in place of this agent, and until when they are asked.
///
/// When a bucket moves, a copy of an opening that the former home has admitted may reach the new
/// home. Without a question to the former home, two upstreams would answer the SYN, and the flow
/// would break once its packets reach the wrong one. It suffices to ask the former home because it
/// records a claim before it admits an opening, and reports this claim when asked.
#[derive(Debug, Default)]
pub(super) struct FormerHomes {
    everywhere: SortedMap<UpstreamId, Millis>,
    by_bucket: SortedMap<(BucketIndex, UpstreamId), Millis>,
}

impl FormerHomes {
    /// Records that `upstream` may have replaced this agent as home of any bucket.
    pub(super) fn add_everywhere(&mut self, now: Millis, upstream: UpstreamId) {
        self.everywhere.insert(upstream, now.after(limits::FORMER_HOME_TTL_MS));
    }

    /// Records that `upstream` was home of `bucket` until now.
    pub(super) fn add_for_bucket(
        &mut self,
        now: Millis,
        bucket: BucketIndex,
        upstream: UpstreamId,
    ) {
        self.by_bucket.insert((bucket, upstream), now.after(limits::FORMER_HOME_TTL_MS));
    }

    pub(super) fn expire(&mut self, now: Millis) {
        self.everywhere.retain(|until| *until > now);
        self.by_bucket.retain(|until| *until > now);
    }

    fn for_bucket(
        &self,
        now: Millis,
        bucket: BucketIndex,
    ) -> impl Iterator<Item = UpstreamId> + '_ {
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
    /// Home of a bucket by the state of this agent: the first rank that is up, or the first rank if
    /// none is.
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

    /// Agents to ask before this agent admits an opening of a bucket: those that rank before it,
    /// and those that may have been home until recently. Empty in the steady state.
    ///
    /// An agent that suspects most of its peers may itself be partitioned, and another agent may
    /// act as home on the other side. It asks all peers, since the partition may end before it
    /// notices.
    pub(super) fn agents_to_consult(&self, now: Millis, bucket: BucketIndex) -> Vec<UpstreamId> {
        let self_id = self.config.upstream;
        let ask_all = self.is_isolated();
        let all_peers = self.peers.iter().filter(|_| ask_all).map(|(id, _)| id);
        let mut asked: Vec<UpstreamId> = self
            .ranking(bucket)
            .take_while(|id| *id != self_id)
            .chain(self.former_homes.for_bucket(now, bucket))
            .chain(all_peers)
            .filter(|id| *id != self_id)
            .filter(|id| self.peers.get(*id).is_some_and(|peer| peer.may_hold_flows(now)))
            .collect();
        asked.sort_unstable();
        asked.dedup();
        asked
    }

    /// Whether most peers are unresponsive.
    pub(super) fn is_isolated(&self) -> bool {
        let listed = || self.peers.iter().filter(|(_, peer)| peer.listed && !peer.retired);
        let suspected = listed().filter(|(_, peer)| peer.suspected).count();
        2 * suspected > listed().count()
    }

    /// Homes of all buckets, for a comparison before and after a change.
    pub(super) fn homes(&self) -> Vec<Option<UpstreamId>> {
        buckets().map(|bucket| self.home(bucket)).collect()
    }

    /// Records the homes that a change has replaced, including those that are only suspected.
    pub(super) fn record_former_homes(&mut self, now: Millis, before: &[Option<UpstreamId>]) {
        for (bucket, former) in buckets().zip(before) {
            let Some(former) = *former else { continue };
            if self.home(bucket) != Some(former) {
                self.former_homes.add_for_bucket(now, bucket, former);
            }
        }
    }

    /// Detects a pause of this process. Any peer may have replaced this agent as home meanwhile,
    /// and the lack of messages during the pause is no evidence against a peer.
    pub(super) fn detect_pause(&mut self, now: Millis) {
        if now.since(self.last_tick) < limits::PAUSE_THRESHOLD_MS {
            return;
        }
        self.last_tick = now;
        for (id, peer) in self.peers.iter_mut() {
            self.former_homes.add_everywhere(now, id);
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
