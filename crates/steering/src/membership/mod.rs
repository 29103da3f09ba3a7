//! The upstreams that exist, according to the published list. The list has many readers and is at
//! times incomplete.

mod hold;

use std::cmp::Reverse;
use std::hash::{Hash as _, Hasher as _};
use std::net::Ipv4Addr;
use std::sync::Arc;

use siphasher::sip::SipHasher13;

use crate::flow::Millis;
use crate::history::History;
use crate::revision::Revision;
use crate::view::{RouteTable, RoutesDelta, ServiceStamp, Standing, Upstream, View, ZoneStamp};
use hold::Departed;
pub use hold::{COPY_HOLD_MS, Held};

/// How long after an outage of the configuration service the list may lack upstreams that are
/// running. Entries that expired during the outage are published again within two seconds of its
/// end, and the notice takes some time to arrive here.
pub const OUTAGE_LINGER_MS: Millis = 2_500;
/// How long an upstream whose entry disappeared without notice is assumed to hold flows. Upstreams
/// write their entries every 1.2 to 2.7 s. An upstream that crashed and restarted under its name
/// loses the entry when the lease of its previous incarnation expires, and has it back with its
/// next write, at most three seconds later.
pub const LAPSED_LINGER_MS: Millis = 4_000;
/// How long an upstream whose entry disappeared while it was draining may still hold flows.
/// Upstreams keep serving for many seconds after the notice and remove their entry when they leave,
/// so this only covers delays.
pub const DRAINED_LINGER_MS: Millis = 5_000;

/// An entry of the published list.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct UpstreamRecord {
    /// Name of the upstream, which it may keep across restarts.
    pub id: Arc<str>,
    /// Start of this incarnation of the upstream by its own clock, in milliseconds; zero if the
    /// upstream does not state it. Serves only to distinguish incarnations of one name.
    pub born_ms: u64,
    /// Address of its instance.
    pub address: Ipv4Addr,
    /// The service that it runs.
    pub service: ServiceStamp,
    /// Its availability zone.
    pub zone: ZoneStamp,
    /// Whether it is draining.
    pub draining: bool,
    /// Remaining time for which it is slow after its start.
    pub warmup_left_ms: Millis,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
}

/// A change of the published list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An entry was added or has changed.
    Listed(UpstreamRecord),
    /// The entry of this name was removed.
    Gone(Arc<str>),
    /// The availability zone accepts no new flows from now on.
    ZoneClosed(ZoneStamp),
    /// The availability zone accepts new flows again.
    ZoneOpened(ZoneStamp),
}

/// What a change refers to. A later change to the same subject replaces an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject<'a> {
    /// The entry of this name.
    Entry(&'a str),
    /// An availability zone.
    Zone(ZoneStamp),
}

impl Change {
    /// What the change refers to.
    pub fn subject(&self) -> Subject<'_> {
        match self {
            Self::Listed(record) => Subject::Entry(&record.id),
            Self::Gone(id) => Subject::Entry(id),
            Self::ZoneClosed(zone) | Self::ZoneOpened(zone) => Subject::Zone(*zone),
        }
    }
}

/// Changes after a revision. Each entry and zone occurs at most once, so the order of the changes
/// has no meaning.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// The delta brings contents of this revision or a later one up to date.
    pub from_revision: Revision,
    /// The changes.
    pub changes: Vec<Change>,
    /// Changes to the routes, if there are any.
    pub routes: Option<RoutesDelta>,
}

impl Delta {
    /// Collects the changes after a revision. Of several changes to one entry or zone, the last one
    /// is kept.
    ///
    /// ```
    /// use steering::membership::{Change, Delta};
    /// use steering::revision::Revision;
    /// let gone = |id: &str| Change::Gone(id.into());
    /// let delta = Delta::new(Revision::default(), vec![gone("a"), gone("b"), gone("a")]);
    /// assert_eq!(delta.changes, [gone("a"), gone("b")]);
    /// ```
    pub fn new(from_revision: Revision, mut changes: Vec<Change>) -> Self {
        changes.reverse();
        changes.sort_by(|one, other| one.subject().cmp(&other.subject()));
        changes.dedup_by(|later, kept| later.subject() == kept.subject());
        Self { from_revision, changes, routes: None }
    }
}

#[derive(Clone, Debug)]
struct Member {
    id: Arc<str>,
    upstream: Upstream,
    /// Position in the order in which entries arrived.
    arrival: u64,
    /// Whether it is not in the list of the current era, and only held.
    held: bool,
    /// Whether it is known to drain although the list of the current era says that it is ready.
    held_draining: bool,
}

impl Member {
    fn is_listed(&self) -> bool {
        !self.held && matches!(self.upstream.standing, Standing::Ready | Standing::Draining)
    }

    fn has_drained(&self) -> bool {
        let standing = self.upstream.standing;
        matches!(standing, Standing::Draining | Standing::Missing { drained: true, .. })
    }

    fn record(&self, now_ms: Millis) -> UpstreamRecord {
        UpstreamRecord {
            id: Arc::clone(&self.id),
            address: self.upstream.address,
            service: self.upstream.service,
            zone: self.upstream.zone,
            draining: self.upstream.standing == Standing::Draining,
            warmup_left_ms: self.upstream.warm_at_ms.saturating_sub(now_ms),
            slots: self.upstream.slots,
            born_ms: self.upstream.born_ms,
        }
    }
}

/// The list as this process knows it, including entries that disappeared recently.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    members: Vec<Member>,
    arrivals: u64,
    /// Availability zones that are published as closed to new flows, sorted.
    closed_zones: Vec<ZoneStamp>,
    /// Availability zones that are only held closed, sorted.
    held_zones: Vec<ZoneStamp>,
    /// Until when entries and closed zones are held.
    held_until_ms: Option<Millis>,
    /// Upstreams that have drained and left, by name.
    departed: Vec<Departed>,
}

impl Membership {
    /// Replaces the whole list. Entries that are not in `records` count as removed now unless they
    /// are held, and all availability zones except for `closed_zones` and held ones as open.
    pub fn replace(
        &mut self,
        now_ms: Millis,
        records: &[UpstreamRecord],
        closed_zones: impl IntoIterator<Item = ZoneStamp>,
    ) {
        let mut listed: Vec<&Arc<str>> = records.iter().map(|record| &record.id).collect();
        listed.sort_unstable();
        let known = self.members.iter().filter(|member| !member.held).map(|member| &member.id);
        let gone: Vec<Arc<str>> =
            known.filter(|id| listed.binary_search(id).is_err()).map(Arc::clone).collect();
        gone.iter().for_each(|id| self.remove(now_ms, id));
        records.iter().for_each(|record| self.insert(now_ms, record));
        self.closed_zones = closed_zones.into_iter().collect();
        self.closed_zones.sort_unstable();
        self.closed_zones.dedup();
        self.drop_published_from_held_zones();
    }

    /// Availability zones that are published as closed to new flows, sorted. Others may be held
    /// closed.
    pub fn closed_zones(&self) -> &[ZoneStamp] {
        &self.closed_zones
    }

    fn close_zone(&mut self, zone: ZoneStamp) {
        if let Err(index) = self.closed_zones.binary_search(&zone) {
            self.closed_zones.insert(index, zone);
        }
        self.drop_published_from_held_zones();
    }

    fn open_zone(&mut self, zone: ZoneStamp) {
        if let Ok(index) = self.closed_zones.binary_search(&zone) {
            self.closed_zones.remove(index);
        }
        self.held_zones.retain(|held| *held != zone);
    }

    /// Adds or updates an entry. An entry of an earlier incarnation than the known one is outdated
    /// and is ignored. During a hold, an incarnation that has drained does not become ready again.
    pub fn insert(&mut self, now_ms: Millis, record: &UpstreamRecord) {
        let held_draining = !record.draining && self.is_known_to_drain(record);
        let drained = record.draining || held_draining;
        self.arrivals += 1;
        let member = Member {
            id: Arc::clone(&record.id),
            upstream: Upstream {
                address: record.address,
                service: record.service,
                zone: record.zone,
                standing: if drained { Standing::Draining } else { Standing::Ready },
                warm_at_ms: now_ms + record.warmup_left_ms,
                slots: record.slots,
                born_ms: record.born_ms,
                listed_ms: self.listed_ms(record).unwrap_or(now_ms),
            },
            arrival: self.arrivals,
            held: false,
            held_draining,
        };
        match self.position(&record.id) {
            Ok(index) if record.born_ms < self.members[index].upstream.born_ms => {}
            Ok(index) => self.members[index] = member,
            Err(index) => self.members.insert(index, member),
        }
    }

    /// When this incarnation appeared in the list, if it is known.
    fn listed_ms(&self, record: &UpstreamRecord) -> Option<Millis> {
        let known = &self.members[self.position(&record.id).ok()?].upstream;
        let is_same = known.born_ms == record.born_ms && known.address == record.address;
        is_same.then_some(known.listed_ms)
    }

    fn position(&self, id: &str) -> Result<usize, usize> {
        self.members.binary_search_by(|member| (*member.id).cmp(id))
    }

    /// Applies a change.
    pub fn apply(&mut self, now_ms: Millis, change: &Change) {
        match change {
            Change::Listed(record) => self.insert(now_ms, record),
            Change::Gone(id) => self.remove(now_ms, id),
            Change::ZoneClosed(zone) => self.close_zone(*zone),
            Change::ZoneOpened(zone) => self.open_zone(*zone),
        }
    }

    /// Applies changes that should lead to a list with this digest, and returns whether they did.
    ///
    /// If a message was lost they do not, and the sender's whole list is needed.
    pub fn patch(&mut self, now_ms: Millis, delta: &Delta, digest: u64) -> bool {
        delta.changes.iter().for_each(|change| self.apply(now_ms, change));
        self.digest() == digest
    }

    /// Marks an entry as removed.
    pub fn remove(&mut self, now_ms: Millis, id: &str) {
        let Ok(index) = self.position(id) else { return };
        self.members[index].held = false;
        let standing = &mut self.members[index].upstream.standing;
        let drained = match standing {
            Standing::Missing { .. } => return,
            Standing::Draining => true,
            Standing::Ready => false,
        };
        *standing = Standing::Missing { since_ms: now_ms, drained };
    }

    /// Drops the entries that disappeared long enough ago, and ends a hold that is over. Returns
    /// whether anything changed.
    pub fn expire(&mut self, now_ms: Millis) -> bool {
        let released = self.release(now_ms);
        let gone = |member: &mut Member| is_gone(member.upstream.standing, now_ms);
        let gone: Vec<Member> = self.members.extract_if(.., gone).collect();
        gone.iter().for_each(|member| self.remember_departed(now_ms, member));
        released || !gone.is_empty()
    }

    /// A view of the upstreams with routes that have never pointed to other services.
    pub fn view(&self, routes: Arc<RouteTable>) -> View {
        self.view_since(routes, Arc::default())
    }

    /// A view of the upstreams with these routes and the services that routes previously pointed
    /// to.
    ///
    /// An address belongs to one upstream at a time: the one that started last, otherwise one that
    /// is listed, otherwise the one that arrived last. An entry of a service that the configuration
    /// does not contain may come from another writer. It must not hide the upstream that has the
    /// address.
    pub fn view_since(&self, routes: Arc<RouteTable>, history: Arc<History>) -> View {
        let belongs_to_service = |member: &&Member| {
            let service = member.upstream.service;
            routes.contains_service(service) || history.contains_service(service)
        };
        let (mut users, mut others): (Vec<&Member>, Vec<&Member>) =
            self.members.iter().partition(belongs_to_service);
        let order = |member: &&Member| {
            let Upstream { address, born_ms, standing, .. } = member.upstream;
            let is_missing = matches!(standing, Standing::Missing { .. });
            (address, Reverse(born_ms), is_missing, Reverse(member.arrival))
        };
        for members in [&mut users, &mut others] {
            members.sort_by_key(order);
            members.dedup_by_key(|member| member.upstream.address);
        }
        let upstreams = users.into_iter().map(|member| member.upstream).collect();
        let unconfigured = others.into_iter().map(|member| member.upstream).collect();
        let closed = self.closed_zones.iter().chain(&self.held_zones).copied();
        View::new(routes, upstreams)
            .with_unconfigured(unconfigured)
            .with_closed_zones(closed.collect())
            .with_history(history)
    }

    /// The entries that are listed now, as the list states them, with the remaining time for which
    /// their upstreams are slow.
    pub fn records(&self, now_ms: Millis) -> Vec<UpstreamRecord> {
        let listed = self.members.iter().filter(|member| member.is_listed());
        let as_listed = |member: &Member| {
            let record = member.record(now_ms);
            UpstreamRecord { draining: record.draining && !member.held_draining, ..record }
        };
        listed.map(as_listed).collect()
    }

    /// Digest of the listed entries and closed zones. Held ones and remaining warm-up times are
    /// excluded.
    pub fn digest(&self) -> u64 {
        let mut hasher = SipHasher13::new();
        for record in self.records(Millis::MAX) {
            record.hash(&mut hasher);
        }
        self.closed_zones.hash(&mut hasher);
        hasher.finish()
    }

    /// Number of entries, including those that disappeared recently.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}

/// Whether an upstream has been missing for so long that it holds no flow.
pub fn is_gone(standing: Standing, now_ms: Millis) -> bool {
    match standing {
        Standing::Ready | Standing::Draining => false,
        Standing::Missing { since_ms, drained } => {
            let linger_ms = if drained { DRAINED_LINGER_MS } else { LAPSED_LINGER_MS };
            now_ms.saturating_sub(since_ms) >= linger_ms
        }
    }
}

/// How much longer the list may lack upstreams that are running, as reported to other balancers:
/// until `complete_from_ms`, or, while the configuration service is unreachable, for as long as
/// entries take to come back.
///
/// The time counts from the end of the outage, because a balancer that starts then has not seen the
/// outage.
///
/// ```
/// use steering::membership::{OUTAGE_LINGER_MS, whole_in_ms};
/// assert_eq!(whole_in_ms(7_000, 8_000, false), 1_000);
/// assert_eq!(whole_in_ms(7_000, 0, true), OUTAGE_LINGER_MS);
/// ```
pub fn whole_in_ms(now_ms: Millis, complete_from_ms: Millis, store_unreachable: bool) -> Millis {
    let remaining_ms = complete_from_ms.saturating_sub(now_ms);
    if store_unreachable { remaining_ms.max(OUTAGE_LINGER_MS) } else { remaining_ms }
}
