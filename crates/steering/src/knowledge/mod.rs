//! What a balancer knows of routes and upstreams, from answers of the configuration service and from
//! the views of other balancers.
//!
//! What is newer is decided by [`Revision`] alone: the era, then the number. When the service has
//! come back from an older copy, the list and closed zones that were known are held for a while; see
//! [`Membership`]. Routes have versions of their own and never fall back.

use std::cmp::Ordering;
use std::sync::Arc;

use crate::flow::Millis;
use crate::history::{History, HistoryContents};
use crate::membership::{COPY_HOLD_MS, Change, Delta, Held, Membership, UpstreamRecord};
use crate::peers::Summary;
use crate::revision::Revision;
use crate::view::{RouteTable, RoutesDelta, ZoneStamp};

/// Balancers hear of a return within this time of each other, so their holds end that far apart.
const HELD_MARGIN_MS: Millis = 1_000;

/// An answer of the configuration service: its whole contents, or the changes after a revision.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// The changes are those after this revision; `None` if the answer is the whole list.
    pub after: Option<Revision>,
    /// The service had just refused to continue from this revision, and gave the whole list instead.
    pub replaces: Option<Revision>,
    /// Revision at which the answer was read.
    pub revision: Revision,
    /// When the call began; `None` if the answer may be older than that.
    pub called_ms: Option<Millis>,
    /// Changes to upstreams and availability zones, in the order in which they were made.
    pub changes: Vec<Change>,
    /// Routes that were written, in the order in which they were.
    pub routes: Vec<Arc<RouteTable>>,
}

/// Result of applying an answer of the configuration service.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The state is that of the answer or newer. Contains what changed, if anything did.
    Taken(Option<Update>),
    /// The changes do not continue from what is known, because the service has come back from a copy
    /// in between. The whole list is needed.
    ListNeeded,
    /// The answer is of an earlier era than what is known, and changed nothing.
    Outdated,
}

/// What an answer of the configuration service changed.
#[derive(Clone, Debug)]
pub struct Update {
    /// The changes to the list, if they are complete and the revision before them is known.
    pub delta: Option<Delta>,
}

/// Complete state of a balancer, from which another one can start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewContents {
    /// Revision of the configuration service.
    pub revision: Revision,
    /// For how much longer the list may lack upstreams that are running.
    pub whole_in_ms: Millis,
    /// Routes in force; `None` if the receiver already has them.
    pub routes: Option<Arc<RouteTable>>,
    /// Version of the routes.
    pub routes_version: u64,
    /// The listed upstreams.
    pub upstreams: Vec<UpstreamRecord>,
    /// Availability zones that take no new flows.
    pub closed_zones: Vec<ZoneStamp>,
    /// Former services of routes, at which flows may still be open.
    pub history: HistoryContents,
    /// What is in force besides, because the configuration service has come back from a copy which
    /// lacks it.
    pub held: Held,
}

/// Routes, upstreams, and the revision at which they were published.
#[derive(Clone, Debug, Default)]
pub struct Knowledge {
    /// Revision of the configuration service; `None` until a list or view has been received.
    pub revision: Option<Revision>,
    /// The published upstreams and closed availability zones.
    pub membership: Membership,
    /// Routes in force.
    pub routes: Arc<RouteTable>,
    /// Services that routes have left.
    pub history: Arc<History>,
    /// When the current era became known here.
    era_since_ms: Millis,
    /// Until when the list may lack running upstreams because of a return from a copy.
    incomplete_until_ms: Millis,
    /// See [`Self::current_at_ms`].
    current_at_ms: Millis,
}

impl Knowledge {
    /// Creates the state of a balancer before it has received a list or view.
    pub fn new(history: History) -> Self {
        Self { history: Arc::new(history), ..Self::default() }
    }

    /// Summary of the state, for comparison with other balancers.
    pub fn summary(&self) -> Summary {
        Summary {
            revision: self.revision.unwrap_or_default(),
            routes_version: self.routes.version,
            routes_digest: self.routes.digest(),
            upstreams_digest: self.membership.digest(),
            held_digest: self.membership.held_digest(),
        }
    }

    /// Until when the list may lack upstreams that are running, because the configuration service
    /// has come back from a copy; nobody need have noticed an outage.
    pub fn incomplete_until_ms(&self) -> Millis {
        self.incomplete_until_ms
    }

    /// A time at which the list was current: it contains all that the configuration service had
    /// acknowledged by then.
    ///
    /// Only an own call shows this, for the time at which it began, as its answer may be on its way
    /// for long. What other balancers tell shows no time.
    pub fn current_at_ms(&self) -> Millis {
        self.current_at_ms
    }

    /// Whether a reader with this state shows that nothing newer is published than what is known.
    pub fn is_confirmed_by(&self, theirs: Summary) -> bool {
        self.revision.is_some_and(|ours| {
            ours.era == theirs.revision.era && ours.number >= theirs.revision.number
        })
    }

    /// Whether the view of a balancer with this state may contain anything from before a return of
    /// the configuration service that is unknown here: it has not heard of the return, or it holds
    /// something else.
    pub fn lacks_held_of(&self, now_ms: Millis, theirs: Summary) -> bool {
        let Some(ours) = self.revision else { return false };
        let lacks = match theirs.revision.era.cmp(&ours.era) {
            Ordering::Less => true,
            Ordering::Equal => holds_else(theirs.held_digest, self.membership.held_digest()),
            Ordering::Greater => false,
        };
        lacks && self.remembers_for_ms(now_ms) > 0
    }

    /// Whether a reader with this state may lack something that is in force here, because it has
    /// started after a return of the configuration service and knows only the copy. Other balancers
    /// do not end their holds at the same moment, which shows nothing.
    pub fn exceeds(&self, now_ms: Millis, theirs: Summary) -> bool {
        let Some(ours) = self.revision else { return false };
        let holds_more = ours.era == theirs.revision.era
            && holds_else(self.membership.held_digest(), theirs.held_digest)
            && self.remembers_for_ms(now_ms) > HELD_MARGIN_MS;
        let has_newer_routes =
            theirs.revision >= ours && self.routes.version > theirs.routes_version;
        holds_more || has_newer_routes
    }

    /// For how much longer knowledge of earlier eras is held here.
    fn remembers_for_ms(&self, now_ms: Millis) -> Millis {
        (self.era_since_ms + COPY_HOLD_MS).saturating_sub(now_ms)
    }

    /// The view for another balancer, if there is one. Routes are left out if the receiver has the
    /// same ones: most changes concern upstreams only, and routes are the larger part of a view.
    pub fn contents(
        &self,
        now_ms: Millis,
        whole_in_ms: Millis,
        known_routes_digest: u64,
    ) -> Option<ViewContents> {
        Some(ViewContents {
            revision: self.revision?,
            whole_in_ms,
            routes: (self.routes.digest() != known_routes_digest).then(|| Arc::clone(&self.routes)),
            routes_version: self.routes.version,
            upstreams: self.membership.records(now_ms),
            closed_zones: self.membership.closed_zones().to_vec(),
            history: self.history.contents(now_ms, self.routes.version),
            held: self.membership.held(now_ms),
        })
    }

    /// Adopts a newer revision whose contents are the ones in force.
    pub fn confirm(&mut self, now_ms: Millis, theirs: Summary) {
        if self.is_later_era(theirs.revision) {
            self.note_return(now_ms);
        }
        self.revision = Some(theirs.revision);
        self.confirm_routes(theirs.routes_version);
    }

    fn confirm_routes(&mut self, version: u64) {
        if self.routes.version < version {
            self.routes = Arc::new(self.routes.with_version(version));
        }
    }

    fn is_later_era(&self, revision: Revision) -> bool {
        self.revision.is_some_and(|ours| revision.era > ours.era)
    }

    fn note_return(&mut self, now_ms: Millis) {
        self.era_since_ms = now_ms;
        self.incomplete_until_ms = now_ms + COPY_HOLD_MS;
        self.membership.prolong_hold(now_ms);
    }

    /// Prepares for a whole list at this revision: holds what is known if it is of an earlier era.
    fn enter(&mut self, now_ms: Millis, revision: Revision) {
        if self.revision.is_none() {
            self.era_since_ms = now_ms;
        }
        if self.is_later_era(revision) {
            self.note_return(now_ms);
            self.membership.hold_all(now_ms);
        }
        self.revision = Some(revision);
    }

    /// Applies an answer of the configuration service.
    pub fn apply_listing(&mut self, now_ms: Millis, listing: Listing) -> Outcome {
        let Listing { after, revision, .. } = listing;
        let continues = |after: Revision| {
            revision.era <= after.era && self.revision.is_some_and(|ours| ours >= after)
        };
        if !after.is_none_or(continues) {
            return Outcome::ListNeeded;
        }
        if self.revision.is_some_and(|ours| revision.era < ours.era) {
            return Outcome::Outdated;
        }
        self.drop_refused_revision(now_ms, &listing);
        let called_ms = listing.called_ms;
        let update = self.apply_current_listing(now_ms, listing);
        // What was acknowledged in the same millisecond as the call may be missing.
        let current_at_ms = called_ms.map_or(0, |called_ms| called_ms.saturating_sub(1));
        self.current_at_ms = self.current_at_ms.max(current_at_ms);
        Outcome::Taken(update)
    }

    /// Forgets the own revision if the service has refused to continue from it and is at a lower one
    /// of the same era. It was read from a store that lagged behind the return.
    fn drop_refused_revision(&mut self, now_ms: Millis, listing: &Listing) {
        let is_refuted = self.revision.is_some()
            && listing.replaces == self.revision
            && Some(listing.revision) < self.revision;
        if is_refuted {
            self.note_return(now_ms);
            self.membership.hold_all(now_ms);
            self.revision = None;
        }
    }

    fn apply_current_listing(&mut self, now_ms: Millis, listing: Listing) -> Option<Update> {
        let Listing { after, revision, changes, routes, .. } = listing;
        // This balancer may have received a newer revision from a peer during the call, and must
        // not go back to an older one.
        let known = self.revision.is_some_and(|ours| match after {
            Some(_) => revision <= ours,
            None => revision < ours,
        });
        if known {
            return None;
        }
        if after.is_none() {
            self.enter(now_ms, revision);
        }
        self.revision = Some(revision);
        let changed = !changes.is_empty() || !routes.is_empty();
        let (old_routes, old_history) = (Arc::clone(&self.routes), Arc::clone(&self.history));
        routes.into_iter().for_each(|routes| self.apply_routes(now_ms, routes));
        let newer = old_routes.version > 0 && self.routes.version > old_routes.version;
        if after.is_none() && newer {
            Arc::make_mut(&mut self.history).on_gap(now_ms);
        }
        match after {
            Some(_) => changes.iter().for_each(|change| self.membership.apply(now_ms, change)),
            None => self.membership.replace(now_ms, &listed(&changes), closed(&changes)),
        }
        // One delta for several versions would hide services that only those in between led to.
        let (routes, history) = (&self.routes, &self.history);
        let hides = old_history.misses_in_one_step(now_ms, &old_routes, routes, history);
        let is_same = routes.digest() == old_routes.digest();
        let routes = (!is_same).then(|| routes.delta_from(&old_routes));
        let delta = after.filter(|_| !hides);
        let delta = delta.map(|after| Delta { routes, ..Delta::new(after, changes) });
        changed.then_some(Update { delta })
    }

    /// Applies a delta; returns whether it could be applied. A delta does not apply to contents
    /// older than the revision that it starts from, nor to routes other than the sender's.
    pub fn apply_delta(&mut self, now_ms: Millis, theirs: Summary, delta: &Delta) -> bool {
        let from = delta.from_revision;
        let fits = from.era == theirs.revision.era
            && self.revision.is_none_or(|ours| ours < theirs.revision)
            && self.revision.is_some_and(|ours| ours.era == from.era && ours >= from)
            && self.apply_routes_delta(now_ms, theirs, delta.routes.as_ref());
        if !fits {
            return false;
        }
        let patched = self.membership.patch(now_ms, delta, theirs.upstreams_digest);
        if patched {
            self.confirm(now_ms, theirs);
        }
        patched
    }

    /// Returns whether the routes in force are now the sender's, or newer ones.
    fn apply_routes_delta(
        &mut self,
        now_ms: Millis,
        theirs: Summary,
        delta: Option<&RoutesDelta>,
    ) -> bool {
        let is_newer = self.routes.version > theirs.routes_version;
        if is_newer || self.routes.digest() == theirs.routes_digest {
            return true;
        }
        let patched = delta.and_then(|delta| self.routes.patched(theirs.routes_version, delta));
        let Some(routes) = patched.filter(|routes| routes.digest() == theirs.routes_digest) else {
            return false;
        };
        self.apply_routes(now_ms, Arc::new(routes));
        true
    }

    /// Merges the former services of another balancer's view, which has been applied before; returns
    /// whether anything changed. Until then, routes of `previous_version` were in force here.
    pub fn merge_history(
        &mut self,
        now_ms: Millis,
        previous_version: u64,
        reported: &HistoryContents,
    ) -> bool {
        let is_same_version = previous_version == self.routes.version;
        let current_until_ms = if is_same_version { now_ms } else { self.current_at_ms };
        let mut history = History::clone(&self.history);
        history.merge(now_ms, current_until_ms, &self.routes, reported);
        let changed = history != *self.history;
        if changed {
            self.history = Arc::new(history);
        }
        changed
    }

    /// Applies the view of another balancer, except for its former services: newer routes, the list
    /// if it is newer, and what it holds. Returns whether the list was newer.
    pub fn apply_view(&mut self, now_ms: Millis, contents: ViewContents) -> bool {
        let ViewContents {
            revision, routes, routes_version, upstreams, closed_zones, held, ..
        } = contents;
        let ours = self.revision;
        let is_newer = ours.is_none_or(|ours| revision > ours);
        if is_newer {
            self.enter(now_ms, revision);
            self.membership.replace(now_ms, &upstreams, closed_zones);
        } else if ours.is_some_and(|ours| revision.era < ours.era) {
            let for_ms = self.remembers_for_ms(now_ms);
            self.membership.hold(now_ms, &Held { for_ms, upstreams, closed_zones });
        }
        if self.revision.is_some_and(|ours| ours.era == revision.era) {
            self.membership.hold(now_ms, &held);
        }
        match routes {
            Some(routes) => self.apply_routes(now_ms, routes),
            None => self.confirm_routes(routes_version),
        }
        is_newer
    }

    /// Replaces the routes if these are newer. A stale read must not restore an older version.
    fn apply_routes(&mut self, now_ms: Millis, routes: Arc<RouteTable>) {
        if routes.version > self.routes.version {
            Arc::make_mut(&mut self.history).on_routes(now_ms, &self.routes, &routes);
            self.routes = routes;
        }
    }
}

/// Whether one balancer holds something, and not the same as another. Neither need hold more: an item
/// that one of them holds may have been removed at the other.
fn holds_else(one_digest: u64, other_digest: u64) -> bool {
    one_digest != 0 && one_digest != other_digest
}

/// The entries among the changes.
fn listed(changes: &[Change]) -> Vec<UpstreamRecord> {
    let record = |change: &Change| match change {
        Change::Listed(record) => Some(record.clone()),
        _ => None,
    };
    changes.iter().filter_map(record).collect()
}

/// The closed availability zones among the changes.
fn closed(changes: &[Change]) -> Vec<ZoneStamp> {
    let zone = |change: &Change| match change {
        Change::ZoneClosed(zone) => Some(*zone),
        _ => None,
    };
    changes.iter().filter_map(zone).collect()
}
