//! Reading of other witnesses' records, by which an agent settles earlier memberships.
//!
//! An agent of an earlier membership may be gone, and then no majority of that membership can ever
//! vote. Its votes are not needed once nobody can win a claim under it and this agent knows all
//! claims that have won. Both follow from the records of half of its members if each of them was
//! read while it ran later settings or after it had ended: such a witness records no claim under
//! that membership any more, and without it there is no majority.
//!
//! A silent witness proves nothing: it may serve callers beyond a partition. A witness that shuts
//! down therefore states that it records no more claims, and its peers read it before it is gone.

use super::limits;
use super::mutant::mutated;
use super::quorum::Membership;
use super::relearn::awaits_page;
use super::sorted::SortedMap;
use super::{Action, Agent};
use crate::keys::{Incarnation, UpstreamId, Version};
use crate::message::{ClaimRecord, Message, RecordCompleteness, RecordsExtent};
use crate::time::Millis;
use crate::view::WhenInDoubt;

/// Progress of reading other witnesses, and of being read at the shutdown.
#[derive(Debug, Default)]
pub(super) struct Reading {
    readers: SortedMap<UpstreamId, Reader>,
    /// Whether this agent shuts down and records no claim any more.
    sealed: bool,
    /// Peers that read this agent's records since it is sealed, and whether they have read all.
    served: SortedMap<UpstreamId, bool>,
}

/// Progress of reading one witness.
#[derive(Debug, Default)]
struct Reader {
    from: u64,
    asked_at: Option<Millis>,
    /// What all pages read so far have in common.
    extent: Option<RecordsExtent>,
    /// Extent of the records that were read last from the first to the last page.
    finished: Option<RecordsExtent>,
    /// When to begin again with the first page.
    next_try_at: Option<Millis>,
}

/// A page of records, as received.
#[derive(Clone, Debug)]
pub(super) struct Page {
    pub(super) incarnation: Incarnation,
    pub(super) from: u64,
    pub(super) records: Vec<ClaimRecord>,
    pub(super) next: Option<u64>,
    pub(super) extent: RecordsExtent,
}

impl Reader {
    /// Starts again with the first page, at a later time.
    fn restart(&mut self, next_try_at: Millis) {
        let finished = self.finished.take();
        *self = Self { finished, next_try_at: Some(next_try_at), ..Self::default() };
    }

    /// Goes on with the page from `next` on.
    fn go_on(&mut self, next: u64, extent: RecordsExtent) {
        let finished = self.finished.take();
        *self = Self { from: next, extent: Some(extent), finished, ..Self::default() };
    }

    fn may_ask(&self, now: Millis) -> bool {
        !awaits_page(now, self.asked_at) && self.next_try_at.is_none_or(|at| at <= now)
    }
}

/// What two pages of one incarnation have in common.
fn common_extent(known: &RecordsExtent, page: &RecordsExtent) -> RecordsExtent {
    let mut settled = known.settled.clone();
    settled.retain(|membership| page.settled.contains(membership));
    RecordsExtent {
        incarnation: page.incarnation,
        version: known.version.min(page.version),
        complete: known.complete && page.complete,
        ended: known.ended && page.ended,
        // What is settled depends on the settings of the sender.
        settled: if known.version == page.version { settled } else { Vec::new() },
    }
}

impl Agent {
    /// Whether this agent shuts down and records no claim any more.
    pub(super) fn is_sealed(&self) -> bool {
        self.reading.sealed && !mutated!(self, RecordsNotSealed)
    }

    /// Stops recording claims once this agent shuts down and none of its own is pending.
    ///
    /// Claims are granted no more from the moment at which a peer can read that the records are
    /// final, whether that reply arrives or not.
    pub(super) fn seal_records(&mut self) {
        self.reading.sealed |= self.leaving && self.pending.len() == 0;
    }

    /// Whether no peer is in the middle of reading this agent's final records.
    pub(super) fn is_read(&self) -> bool {
        let is_up = |id| self.peers.get(id).is_some_and(|peer| !peer.suspected);
        self.reading.served.iter().all(|(id, finished)| *finished || !is_up(id))
    }

    /// Asks for the next pages of all witnesses whose records are needed.
    pub(super) fn read_witnesses(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.leaving || self.settings.when_in_doubt != WhenInDoubt::Refuse {
            return;
        }
        for id in self.witnesses_to_read(now) {
            self.request_claims(now, id, out);
        }
        // Needed if this agent's own records suffice.
        self.settle_memberships(now, out);
    }

    /// The witnesses that are about to end, and those whose records settle a membership. If these
    /// are too few, a few other peers as well: they may have settled it themselves.
    fn witnesses_to_read(&self, now: Millis) -> Vec<UpstreamId> {
        let memberships = &self.settings.memberships;
        let is_up = |id: &UpstreamId| self.peers.get(*id).is_some_and(|peer| !peer.suspected);
        let ids = self.peers.iter().map(|(id, _)| id).filter(is_up);
        let mut wanted: Vec<UpstreamId> = ids.filter(|id| self.awaits_final_records(*id)).collect();
        for (membership, next) in memberships.unsettled(now) {
            let needed = membership.members.len().div_ceil(2);
            let missing = needed.saturating_sub(self.closed_members(now, membership, next).0);
            let candidates = membership.members.iter().copied().filter(is_up).filter(|id| {
                self.peers.get(*id).is_some_and(|peer| peer.view >= next)
                    && !self.has_read_since(*id, next)
            });
            let before = wanted.len();
            wanted.extend(candidates.take(missing));
            if wanted.len() - before < missing {
                wanted.extend(self.peers_to_probe(now));
            }
        }
        wanted.sort_unstable();
        wanted.dedup();
        wanted
    }

    /// A few peers that run the same settings, others at each probe.
    fn peers_to_probe(&self, now: Millis) -> impl Iterator<Item = UpstreamId> + '_ {
        let same = self.peers.iter().filter(|(_, peer)| {
            !peer.suspected && peer.view == self.settings.version && !peer.retired
        });
        let same: Vec<UpstreamId> = same.map(|(id, _)| id).collect();
        let first = now.0 / limits::PROBE_INTERVAL_MS * limits::PEERS_PER_PROBE as u64;
        let first = first.checked_rem(same.len() as u64).unwrap_or_default() as usize;
        same.into_iter().cycle().skip(first).take(limits::PEERS_PER_PROBE)
    }

    /// Whether a peer is about to end, and its final records have not been read.
    fn awaits_final_records(&self, id: UpstreamId) -> bool {
        let leaving = self.peers.get(id).is_some_and(|peer| peer.is_leaving());
        leaving && !self.finished_reading(id).is_some_and(|extent| extent.ended)
    }

    /// Extent of the records read from a witness's present incarnation, as far as known.
    fn finished_reading(&self, id: UpstreamId) -> Option<&RecordsExtent> {
        let extent = self.reading.readers.get(id)?.finished.as_ref()?;
        let present = self.peers.get(id).and_then(|peer| peer.incarnation);
        extent_is_of(extent, present).then_some(extent)
    }

    fn has_read_since(&self, id: UpstreamId, next: Version) -> bool {
        let read = self.finished_reading(id);
        read.is_some_and(|extent| extent.version >= next || mutated!(self, StaleRecordsCounted))
    }

    fn request_claims(&mut self, now: Millis, to: UpstreamId, out: &mut Vec<Action>) {
        let reader = self.reading.readers.get_or_default(to);
        if !reader.may_ask(now) {
            return;
        }
        reader.asked_at = Some(now);
        let incarnation = self.config.incarnation;
        out.push(Action::Send {
            to,
            message: Message::ReadClaims { incarnation, from: reader.from },
        });
    }

    /// Answers a peer with one page of records.
    pub(super) fn claims_requested(
        &mut self,
        now: Millis,
        from: UpstreamId,
        incarnation: Incarnation,
        first: u64,
        out: &mut Vec<Action>,
    ) {
        if !self.observe_incarnation(now, from, incarnation) {
            return;
        }
        let (records, next) = self.claims.page(now, first, limits::CLAIMS_PER_PAGE);
        let mut settled = self.settings.memberships.settled();
        // A dispute hides one of two claims from the page.
        if self.recall.has_disputes() {
            settled.clear();
        }
        settled.truncate(limits::SETTLED_PER_PAGE);
        let extent = RecordsExtent {
            incarnation: self.config.incarnation,
            version: self.settings.version,
            complete: self.record_completeness(now) == RecordCompleteness::Complete,
            ended: self.reading.sealed,
            settled,
        };
        // Records that are not complete are not read on.
        if extent.ended && extent.complete {
            self.reading.served.insert(from, next.is_none());
        }
        let message = Message::ClaimsPage { incarnation, from: first, records, next, extent };
        out.push(Action::Send { to: from, message });
    }

    pub(super) fn claims_page_received(
        &mut self,
        now: Millis,
        from: UpstreamId,
        page: Page,
        out: &mut Vec<Action>,
    ) {
        if page.incarnation != self.config.incarnation {
            return;
        }
        let leaving = self.awaits_final_records(from);
        let Some(reader) = self.reading.readers.get_mut(from) else { return };
        if reader.asked_at.is_none() || reader.from != page.from {
            return;
        }
        let wait_ms = if leaving { limits::RELEARN_RETRY_MS } else { limits::PROBE_INTERVAL_MS };
        let next_try_at = now.after(wait_ms);
        let known = reader.extent.take();
        let same = known.as_ref().is_none_or(|it| it.incarnation == page.extent.incarnation);
        let extent = known.map_or(page.extent.clone(), |it| common_extent(&it, &page.extent));
        let complete = extent.complete || mutated!(self, IncompleteRecordsCounted);
        let worth_reading = same && complete && self.is_worth_reading(now, from, &extent);
        let Some(reader) = self.reading.readers.get_mut(from) else { return };
        if !worth_reading {
            reader.restart(next_try_at);
            return;
        }
        match page.next {
            Some(next) => reader.go_on(next, extent),
            None => {
                reader.restart(next_try_at);
                reader.finished = Some(extent);
            }
        }
        page.records.iter().for_each(|record| self.learn_record(now, *record));
        self.read_witnesses(now, out);
    }

    /// Whether records of this extent are final or help to settle a membership.
    fn is_worth_reading(&self, now: Millis, id: UpstreamId, extent: &RecordsExtent) -> bool {
        let closes = |(membership, next): (&Membership, Version)| {
            membership.members.contains(&id) && extent.version >= next
        };
        let mut unsettled = self.settings.memberships.unsettled(now);
        extent.ended
            || unsettled.any(|known| closes(known) || self.is_settled_by(extent, known.0, known.1))
    }

    /// Whether a peer with the same settings has settled the membership. All that it knew of it is
    /// among its records.
    fn is_settled_by(
        &self,
        extent: &RecordsExtent,
        membership: &Membership,
        next: Version,
    ) -> bool {
        extent.version == self.settings.version && extent.settled.contains(&(membership.from, next))
    }

    /// Settles the memberships of which enough records have been read.
    pub(super) fn settle_memberships(&mut self, now: Millis, out: &mut Vec<Action>) {
        let memberships = &self.settings.memberships;
        let settled: Vec<Version> = memberships
            .unsettled(now)
            .filter(|(membership, next)| self.can_settle(now, membership, *next))
            .map(|(membership, _)| membership.from)
            .collect();
        if settled.is_empty() {
            return;
        }
        settled.into_iter().for_each(|from| self.settings.memberships.settle(from));
        self.update_recall_complete();
        self.recount_pending_claims(now, out);
    }

    fn can_settle(&self, now: Millis, membership: &Membership, next: Version) -> bool {
        let size = membership.members.len();
        let (later, ended) = self.closed_members(now, membership, next);
        let mut readers = self.reading.readers.iter().filter_map(|(id, _)| {
            self.finished_reading(id).filter(|extent| self.is_settled_by(extent, membership, next))
        });
        // One that has ended may be started again under the old settings. Each reader of its
        // records is then needed to keep it from voting, so that they have to be a majority.
        let tie = 2 * (later + ended) == size && mutated!(self, TieCountsAsClosed);
        2 * later >= size || 2 * (later + ended) > size || tie || readers.next().is_some()
    }

    /// Number of members whose records are known here and that run later settings, and number of
    /// the others whose records are known and that have ended.
    fn closed_members(
        &self,
        now: Millis,
        membership: &Membership,
        next: Version,
    ) -> (usize, usize) {
        let me = self.config.upstream;
        let is_complete = self.record_completeness(now) == RecordCompleteness::Complete;
        let runs_later = |id: UpstreamId| match id == me {
            true => is_complete,
            false => self.has_read_since(id, next),
        };
        let (later, others): (Vec<UpstreamId>, Vec<UpstreamId>) =
            membership.members.iter().partition(|id| runs_later(**id));
        let has_ended = |id: &&UpstreamId| {
            **id != me && self.finished_reading(**id).is_some_and(|extent| extent.ended)
        };
        (later.len(), others.iter().filter(has_ended).count())
    }
}

/// Whether the records are those of the present incarnation, or of the only one that is known.
fn extent_is_of(extent: &RecordsExtent, present: Option<Incarnation>) -> bool {
    present.is_none_or(|incarnation| incarnation == extent.incarnation)
}
