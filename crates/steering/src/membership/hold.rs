//! What is kept of the known list when the configuration service has come back from an older copy.
//!
//! The copy lacks the last seconds, and those who wrote then write again soon. Until that is over,
//! the copy is believed where it restricts more than what is known, and what is known where it does.

use std::hash::{Hash as _, Hasher as _};
use std::sync::Arc;

use siphasher::sip::SipHasher13;

use super::{Member, Membership, Millis, OUTAGE_LINGER_MS, Standing, UpstreamRecord, ZoneStamp};

/// How long entries and closed zones are held that a copy lacks: upstreams and operators write
/// again within two seconds, as after an outage.
pub const COPY_HOLD_MS: Millis = OUTAGE_LINGER_MS;
/// How long upstreams that have drained and left are remembered, because a copy may still list them
/// as ready. A copy is some seconds old.
const DEPARTED_MEMORY_MS: Millis = 60_000;

/// An upstream that has drained and left.
#[derive(Clone, Debug)]
pub(super) struct Departed {
    id: Arc<str>,
    born_ms: u64,
    until_ms: Millis,
}

/// What a balancer holds although the list of the current era lacks it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// For how much longer.
    pub for_ms: Millis,
    /// Entries of upstreams.
    pub upstreams: Vec<UpstreamRecord>,
    /// Availability zones that take no new flows.
    pub closed_zones: Vec<ZoneStamp>,
}

impl Membership {
    /// Holds everything that is known, because the next list comes from an older copy.
    pub(crate) fn hold_all(&mut self, now_ms: Millis) {
        self.members.iter_mut().filter(|member| member.is_listed()).for_each(|m| m.held = true);
        let closed = std::mem::take(&mut self.closed_zones);
        closed.into_iter().for_each(|zone| self.hold_zone(zone));
        self.held_until_ms = Some(now_ms + COPY_HOLD_MS);
    }

    /// Holds for longer what is held already, because the service has come back once more.
    pub(crate) fn prolong_hold(&mut self, now_ms: Millis) {
        self.held_until_ms = self.held_until_ms.map(|_| now_ms + COPY_HOLD_MS);
    }

    /// Holds what another balancer knows from before the service came back, as far as it is unknown
    /// here.
    pub(crate) fn hold(&mut self, now_ms: Millis, theirs: &Held) {
        if theirs.for_ms == 0 || (theirs.upstreams.is_empty() && theirs.closed_zones.is_empty()) {
            return;
        }
        theirs.upstreams.iter().for_each(|record| self.hold_entry(now_ms, record));
        let zones = theirs.closed_zones.iter().copied();
        zones.for_each(|zone| self.hold_zone(zone));
        self.drop_published_from_held_zones();
        let until_ms = now_ms + theirs.for_ms.min(COPY_HOLD_MS);
        self.held_until_ms = Some(self.held_until_ms.unwrap_or_default().max(until_ms));
    }

    fn hold_entry(&mut self, now_ms: Millis, record: &UpstreamRecord) {
        match self.position(&record.id) {
            Err(_) => {
                self.insert(now_ms, record);
                if let Ok(index) = self.position(&record.id) {
                    self.members[index].held = true;
                }
            }
            Ok(index) => {
                let member = &mut self.members[index];
                let same = member.upstream.born_ms == record.born_ms;
                if same && record.draining && member.upstream.standing == Standing::Ready {
                    member.upstream.standing = Standing::Draining;
                    member.held_draining = true;
                }
            }
        }
    }

    fn hold_zone(&mut self, zone: ZoneStamp) {
        if let Err(index) = self.held_zones.binary_search(&zone) {
            self.held_zones.insert(index, zone);
        }
    }

    pub(super) fn drop_published_from_held_zones(&mut self) {
        let closed = &self.closed_zones;
        self.held_zones.retain(|zone| closed.binary_search(zone).is_err());
    }

    /// Ends the hold if it is over: what is still held counts as removed now. Returns whether
    /// anything was.
    pub(super) fn release(&mut self, now_ms: Millis) -> bool {
        if self.held_until_ms.is_none_or(|until_ms| now_ms < until_ms) {
            return false;
        }
        self.held_until_ms = None;
        let held = self.members.iter().filter(|member| member.held);
        let ids: Vec<Arc<str>> = held.map(|member| Arc::clone(&member.id)).collect();
        ids.iter().for_each(|id| self.remove(now_ms, id));
        let zones = std::mem::take(&mut self.held_zones);
        !ids.is_empty() || !zones.is_empty()
    }

    /// Whether a hold is over and [`expire`](Self::expire) would end it.
    pub fn is_release_due(&self, now_ms: Millis) -> bool {
        self.held_until_ms.is_some_and(|until_ms| now_ms >= until_ms)
    }

    /// What is held, for another balancer.
    pub fn held(&self, now_ms: Millis) -> Held {
        let for_ms = self.held_until_ms.unwrap_or_default().saturating_sub(now_ms);
        Held {
            for_ms,
            upstreams: self.held_members().map(|member| member.record(now_ms)).collect(),
            closed_zones: self.held_zones.clone(),
        }
    }

    /// Members of which more is known than the list states.
    fn held_members(&self) -> impl Iterator<Item = &Member> {
        let is_holding = self.held_until_ms.is_some();
        self.members.iter().filter(move |member| {
            is_holding && (member.held || member.held_draining && member.has_drained())
        })
    }

    /// Number of entries and closed zones that are held.
    pub fn held_count(&self) -> usize {
        self.held_members().count() + self.held_zones.len()
    }

    /// Digest of what is held; zero if nothing is.
    pub fn held_digest(&self) -> u64 {
        if self.held_count() == 0 {
            return 0;
        }
        let mut hasher = SipHasher13::new();
        for member in self.held_members() {
            member.record(Millis::MAX).hash(&mut hasher);
        }
        self.held_zones.hash(&mut hasher);
        hasher.finish().max(1)
    }

    /// Whether this incarnation has drained before the service came back, whatever the entry says. An
    /// upstream that is still running writes that again before the hold ends.
    pub(super) fn is_known_to_drain(&self, record: &UpstreamRecord) -> bool {
        if self.held_until_ms.is_none() {
            return false;
        }
        if let Ok(index) = self.position(&record.id) {
            let known = &self.members[index];
            return known.upstream.born_ms == record.born_ms && known.has_drained();
        }
        let index = self.departed.binary_search_by(|departed| departed.id.cmp(&record.id));
        index.is_ok_and(|index| self.departed[index].born_ms == record.born_ms)
    }

    /// Remembers an upstream that has drained and is dropped now.
    pub(super) fn remember_departed(&mut self, now_ms: Millis, member: &Member) {
        self.departed.retain(|departed| departed.until_ms > now_ms);
        if !member.has_drained() {
            return;
        }
        let (id, born_ms) = (Arc::clone(&member.id), member.upstream.born_ms);
        let departed = Departed { id, born_ms, until_ms: now_ms + DEPARTED_MEMORY_MS };
        match self.departed.binary_search_by(|known| known.id.cmp(&departed.id)) {
            Ok(index) => self.departed[index] = departed,
            Err(index) => self.departed.insert(index, departed),
        }
    }
}
