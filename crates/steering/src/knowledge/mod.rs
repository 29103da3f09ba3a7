//! What a balancer knows of routes and upstreams, from answers of the configuration service and from
//! the views of other balancers.

use std::sync::Arc;

use crate::flow::Millis;
use crate::history::{History, HistoryContents};
use crate::membership::{Change, Delta, Membership, UpstreamRecord};
use crate::peers::Summary;
use crate::view::{RouteTable, RoutesDelta, ZoneStamp};

/// An answer of the configuration service: its whole contents, or the changes after a revision.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// The changes are those after this revision; `None` if the answer is the whole list.
    pub after: Option<u64>,
    /// Revision at which the answer was read.
    pub revision: u64,
    /// Changes to upstreams and availability zones, in the order in which they were made.
    pub changes: Vec<Change>,
    /// Routes that were written, in the order in which they were.
    pub routes: Vec<Arc<RouteTable>>,
}

/// Result of applying an answer that changed something.
#[derive(Clone, Debug)]
pub struct Update {
    /// The changes to the list, if they are complete and the revision before them is known.
    pub delta: Option<Delta>,
}

/// Complete state of a balancer, from which another one can start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewContents {
    /// Revision of the configuration service.
    pub revision: u64,
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
}

/// Routes, upstreams, and the revision at which they were published.
#[derive(Clone, Debug, Default)]
pub struct Knowledge {
    /// Revision of the configuration service; `None` until a list or view has been received.
    pub revision: Option<u64>,
    /// The published upstreams and closed availability zones.
    pub membership: Membership,
    /// Routes in force.
    pub routes: Arc<RouteTable>,
    /// Services that routes have left.
    pub history: Arc<History>,
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
        }
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
        })
    }

    /// Adopts a newer revision whose contents are the ones in force.
    pub fn confirm(&mut self, theirs: Summary) {
        self.revision = Some(theirs.revision);
        self.confirm_routes(theirs.routes_version);
    }

    fn confirm_routes(&mut self, version: u64) {
        if self.routes.version < version {
            self.routes = Arc::new(self.routes.with_version(version));
        }
    }

    /// Applies an answer of the configuration service. Returns what changed, if anything did.
    pub fn apply_listing(&mut self, now_ms: Millis, listing: Listing) -> Option<Update> {
        let Listing { after, revision, changes, routes } = listing;
        // This balancer may have received a newer revision from a peer during the call, and must
        // not go back to an older one.
        let known = self.revision.is_some_and(|ours| match after {
            Some(_) => revision <= ours,
            None => revision < ours,
        });
        if known {
            return None;
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
        let fits = self.revision.is_some_and(|ours| ours >= delta.from_revision)
            && self.apply_routes_delta(now_ms, theirs, delta.routes.as_ref());
        if !fits {
            return false;
        }
        let patched = self.membership.patch(now_ms, delta, theirs.upstreams_digest);
        if patched {
            self.confirm(theirs);
        }
        patched
    }

    /// Returns whether the routes in force are now the sender's.
    fn apply_routes_delta(
        &mut self,
        now_ms: Millis,
        theirs: Summary,
        delta: Option<&RoutesDelta>,
    ) -> bool {
        if self.routes.digest() == theirs.routes_digest {
            return true;
        }
        let patched = delta.and_then(|delta| self.routes.patched(theirs.routes_version, delta));
        let Some(routes) = patched.filter(|routes| routes.digest() == theirs.routes_digest) else {
            return false;
        };
        self.apply_routes(now_ms, Arc::new(routes));
        true
    }

    /// Merges the former services of another balancer's view; returns whether anything changed.
    pub fn merge_history(
        &mut self,
        now_ms: Millis,
        current_until_ms: Millis,
        reported: &HistoryContents,
    ) -> bool {
        let mut history = History::clone(&self.history);
        history.merge(now_ms, current_until_ms, &self.routes, reported);
        let changed = history != *self.history;
        if changed {
            self.history = Arc::new(history);
        }
        changed
    }

    /// Applies the view of another balancer if it is newer, except for its former services; returns
    /// whether it was.
    pub fn apply_newer_view(&mut self, now_ms: Millis, contents: ViewContents) -> bool {
        if self.revision.is_some_and(|ours| contents.revision <= ours) {
            return false;
        }
        self.revision = Some(contents.revision);
        self.membership.replace(now_ms, &contents.upstreams, contents.closed_zones);
        match contents.routes {
            Some(routes) => self.apply_routes(now_ms, routes),
            None => self.confirm_routes(contents.routes_version),
        }
        true
    }

    /// Replaces the routes if these are newer. A stale read must not restore an older version.
    fn apply_routes(&mut self, now_ms: Millis, routes: Arc<RouteTable>) {
        if routes.version > self.routes.version {
            Arc::make_mut(&mut self.history).on_routes(now_ms, &self.routes, &routes);
            self.routes = routes;
        }
    }
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
