//! Decides which balancers read the configuration service on behalf of all, and how the others keep
//! up.
//!
//! Every balancer starts as a reader. Four times a second and after each change, a reader sends a
//! beacon, a summary of what it knows, to all balancers that it knows of. A balancer that receives
//! beacons from enough readers of higher rank stops reading, and fetches what its view lacks from
//! them. When it no longer receives beacons, it reads again. There is neither election nor
//! consensus: two superfluous readers cost some calls, and one missing reader costs a second.

use std::hash::Hasher as _;
use std::net::Ipv4Addr;

use siphasher::sip::SipHasher13;

use crate::flow::Millis;
use crate::revision::Revision;

/// Readers that suffice for all balancers. One may be cut off or paused without a gap in updates.
pub const READERS: usize = 2;
/// Interval between two beacons of a reader.
pub const BEACON_MS: Millis = 250;
/// Interval between two hellos of a balancer that receives no beacons.
pub const HELLO_MS: Millis = 1_000;
/// Interval between two hellos of a balancer that recently received a beacon. Three hellos may get
/// lost before readers forget the sender.
const HELLO_STEADY_MS: Millis = 3_000;
/// Maximum number of balancers in the reply to one hello, so that it fits into a datagram. The next
/// reply contains others.
pub const PEERS_PER_REPLY_MAX: usize = 240;
/// Time after its start in which a balancer that has received no beacon sends hellos as often as
/// one without a view.
///
/// When all balancers start at once, the first hellos are lost. During an outage, when no balancer
/// acts as a reader, frequent hellos would load the configured instances.
const STARTUP_MS: Millis = 3_000;
/// Interval between two hellos of a balancer without a view: callers are waiting for it.
const HELLO_WITHOUT_VIEW_MS: Millis = 100;
/// A reader without a beacon for this long no longer counts; one beacon may get lost. A change must
/// be in force within three seconds, even if it is made right after the service began to hang for
/// all readers. Their calls fail after 1.5 s, they stop sending beacons, and other balancers start
/// to read 0.7 s later.
const READER_TIMEOUT_MS: Millis = 650;
/// A reader gets hellos for this long after its last beacon. All balancers were readers at their
/// start. If they got hellos for longer than they read, the number of hellos would grow with the
/// number of pairs of balancers.
const HELLO_TO_READER_MS: Millis = 2 * HELLO_MS;
/// A balancer from which no message was received for this long gets no more messages.
const PEER_TIMEOUT_MS: Millis = 10_000;
/// A primary reader that has not reached the configuration service for this long does not count as
/// a reader, even if no call has failed. This is twice the wait of its watch.
const PRIMARY_STORE_TIMEOUT_MS: Millis = 2_000;
/// The same for a secondary reader, whose watch waits for five seconds. It only counts beside a
/// primary: once that stops responding, the bound above applies, and a hanging secondary does not
/// keep other balancers from reading.
const SECONDARY_STORE_TIMEOUT_MS: Millis = 7_000;
/// Balancers that take over at the same moment from readers that stopped responding, highest rank
/// first. If all of them did, calls would grow with the size of the fleet, and beacons with its
/// square.
const TAKEOVERS_AT_ONCE: usize = 4;
/// Delay until the next group takes over. By then it has received beacons of the first group.
const TAKEOVER_STEP_MS: Millis = 300;
/// Maximum delay of a takeover relative to the first group.
const TAKEOVER_DELAY_MAX_MS: Millis = 600;
/// Maximum time for which a balancer that has started waits for others that read on its behalf.
/// Balancers of the highest ranks go on reading.
const INITIAL_READ_DELAY_MAX_MS: Millis = 500;
/// Interval between two exchanges with the same balancer of what else is known than a newer list:
/// fetches of its view for that reason alone, and messages that tell a reader what it lacks. The
/// other one may be unable to take them in, for instance because it runs an earlier release.
const EXCHANGE_MS: Millis = 1_000;
/// Balancers that are asked at a time for what a reader has no time to provide.
const FALLBACK_PEERS: usize = 3;
/// Calls a second to the configuration service that all balancers together make because of flows in
/// doubt: a twentieth of what the smallest service allows.
const WANTED_READS_PER_S: usize = 100;
/// Interval between two such calls of one balancer, however few there are. Each call answers for all
/// flows that are in doubt when it begins.
const WANTED_READ_MS: Millis = 200;
/// Maximum number of balancers remembered.
const PEERS_MAX: usize = 4_096;

/// What a balancer does with regard to the configuration service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderRole {
    /// Watches closely, and soon notices a missing answer.
    Primary,
    /// Learns of changes at once too, but makes only one call every few seconds. It bridges the gap
    /// when the primary is paused or cut off.
    Secondary,
    /// Relies on other readers.
    Follower,
}

/// Summary of what a balancer knows. Equal digests mean equal contents.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Revision of the configuration service.
    pub revision: Revision,
    /// Version of the routes.
    pub routes_version: u64,
    /// Digest of the routes.
    pub routes_digest: u64,
    /// Digest of the list of upstreams.
    pub upstreams_digest: u64,
    /// Digest of what is held besides the list; zero if nothing is.
    pub held_digest: u64,
}

/// Result of comparing a received summary with the balancer's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// The sender has nothing newer.
    NotNewer,
    /// The sender is ahead, but has the same contents.
    Same,
    /// The sender is ahead, and its view should be fetched.
    Fetch,
}

#[derive(Clone, Copy, Debug)]
struct Contact {
    address: Ipv4Addr,
    at_ms: Millis,
}

/// The other balancers, as seen by one of them.
#[derive(Clone, Debug)]
pub struct Peers {
    own: Ipv4Addr,
    known: Vec<Contact>,
    readers: Vec<Contact>,
    store_answered_ms: Option<Millis>,
    started_ms: Option<Millis>,
    last_hello_ms: Millis,
    last_beacon_ms: Millis,
    /// Readers that were told recently what they lack.
    corrected: Vec<Contact>,
    /// Balancers whose view was fetched recently although its list was not newer.
    extra_fetched: Vec<Contact>,
    /// Index into the known balancers at which the reply to the next hello starts.
    next_in_reply: usize,
    /// Index into the known balancers at which the next fallback peers start.
    next_fallback: usize,
}

impl Peers {
    /// Creates the state of a balancer at `own` that knows no others.
    pub fn new(own: Ipv4Addr) -> Self {
        let (known, readers) = (Vec::new(), Vec::new());
        Self {
            own,
            known,
            readers,
            store_answered_ms: None,
            started_ms: None,
            last_hello_ms: 0,
            last_beacon_ms: 0,
            corrected: Vec::new(),
            extra_fetched: Vec::new(),
            next_in_reply: 0,
            // Start at another position for each balancer.
            next_fallback: rank(own) as usize,
        }
    }

    /// Handles a hello, and returns balancers that its sender should know: all, or as many as fit,
    /// in rotation.
    pub fn on_hello(&mut self, now_ms: Millis, from: Ipv4Addr) -> Vec<Ipv4Addr> {
        self.note(now_ms, from);
        let others = self.alive(now_ms).filter(|address| *address != from).collect();
        round_robin(others, &mut self.next_in_reply, PEERS_PER_REPLY_MAX)
    }

    /// Handles a list of balancers that another balancer knows.
    pub fn on_peers(&mut self, now_ms: Millis, from: Ipv4Addr, peers: &[Ipv4Addr]) {
        self.note(now_ms, from);
        peers.iter().for_each(|peer| self.note(now_ms, *peer));
    }

    /// Handles a beacon, and compares its summary with what this balancer knows. A sender in an
    /// earlier era is no reader to rely on: it has not heard that the service came back.
    pub fn on_beacon(
        &mut self,
        now_ms: Millis,
        from: Ipv4Addr,
        theirs: Summary,
        ours: Summary,
    ) -> Comparison {
        if theirs.revision.era >= ours.revision.era {
            record_contact(&mut self.readers, now_ms, from);
        }
        self.compare(now_ms, from, theirs, ours)
    }

    /// Compares the summary of another balancer, reader or not, with what this balancer knows.
    pub fn compare(
        &mut self,
        now_ms: Millis,
        from: Ipv4Addr,
        theirs: Summary,
        ours: Summary,
    ) -> Comparison {
        self.note(now_ms, from);
        compare(theirs, ours)
    }

    /// Notes that the configuration service has answered.
    pub fn on_store_answer(&mut self, now_ms: Millis) {
        self.store_answered_ms = Some(now_ms);
    }

    /// Notes that a call to the configuration service has failed. Until the next answer, this
    /// balancer does not act as a reader.
    pub fn on_store_failure(&mut self) {
        self.store_answered_ms = None;
    }

    /// Whether this balancer has to read the configuration service itself.
    pub fn must_read(&self, now_ms: Millis) -> bool {
        self.reader_role(now_ms) != ReaderRole::Follower
    }

    /// The role of this balancer with regard to the configuration service.
    pub fn reader_role(&self, now_ms: Millis) -> ReaderRole {
        let current = self.higher_ranked_readers(now_ms, READER_TIMEOUT_MS);
        let recent = self.higher_ranked_readers(now_ms, READER_TIMEOUT_MS + TAKEOVER_DELAY_MAX_MS);
        // Unless a reader has just stopped responding, the order of takeovers does not matter.
        let better = if current == recent {
            current
        } else {
            self.higher_ranked_readers(now_ms, READER_TIMEOUT_MS + self.takeover_delay_ms(now_ms))
        };
        match better {
            0 => ReaderRole::Primary,
            count if count < READERS => ReaderRole::Secondary,
            _ => ReaderRole::Follower,
        }
    }

    /// Number of readers of higher rank that sent a beacon within this time.
    fn higher_ranked_readers(&self, now_ms: Millis, within_ms: Millis) -> usize {
        let own = rank(self.own);
        let current = |reader: &&Contact| now_ms.saturating_sub(reader.at_ms) < within_ms;
        self.readers.iter().filter(current).filter(|reader| rank(reader.address) < own).count()
    }

    /// How much longer than the highest ranks this balancer waits before it replaces an
    /// unresponsive reader.
    fn takeover_delay_ms(&self, now_ms: Millis) -> Millis {
        let own = rank(self.own);
        let better = self.alive(now_ms).filter(|address| rank(*address) < own).count();
        let turn = (better / TAKEOVERS_AT_ONCE) as Millis;
        (turn * TAKEOVER_STEP_MS).min(TAKEOVER_DELAY_MAX_MS)
    }

    /// How long this balancer pauses between its first read after the start and further reads: zero
    /// for the highest rank, longest for the lowest.
    pub fn initial_read_delay_ms(&self) -> Millis {
        let share = rank(self.own) >> 32;
        (share * INITIAL_READ_DELAY_MAX_MS) >> 32
    }

    /// Returns the balancers to send a hello to if one is due: the configured instances and the
    /// readers. `has_no_view` states that this balancer knows nothing yet.
    pub fn hellos_due(
        &mut self,
        now_ms: Millis,
        seeds: &[Ipv4Addr],
        has_no_view: bool,
    ) -> Vec<Ipv4Addr> {
        let started_ms = *self.started_ms.get_or_insert(now_ms);
        let is_starting = now_ms.saturating_sub(started_ms) < STARTUP_MS;
        let recent = |reader: &&Contact| now_ms.saturating_sub(reader.at_ms) < HELLO_TO_READER_MS;
        let readers = self.readers.iter().filter(recent).map(|reader| reader.address);
        let mut targets: Vec<Ipv4Addr> = readers.collect();
        let interval_ms = match targets.len() {
            _ if has_no_view || (is_starting && self.readers.is_empty()) => HELLO_WITHOUT_VIEW_MS,
            0 => HELLO_MS,
            _ if is_starting => HELLO_MS,
            _ => HELLO_STEADY_MS,
        };
        if self.last_hello_ms > 0 && now_ms.saturating_sub(self.last_hello_ms) < interval_ms {
            return Vec::new();
        }
        self.last_hello_ms = now_ms.max(1);
        targets.extend(seeds);
        targets.sort_unstable();
        targets.dedup();
        targets.retain(|target| *target != self.own);
        targets
    }

    /// Returns a few other balancers, different ones each time, that may have what a reader has no
    /// time to provide.
    pub fn fallback_peers(&mut self, now_ms: Millis) -> Vec<Ipv4Addr> {
        let others = self.alive(now_ms).collect();
        round_robin(others, &mut self.next_fallback, FALLBACK_PEERS)
    }

    /// Returns the balancers to send a beacon to, if one is due or something has changed.
    pub fn beacons_due(&mut self, now_ms: Millis, changed: bool) -> Vec<Ipv4Addr> {
        let due = changed || now_ms.saturating_sub(self.last_beacon_ms) >= BEACON_MS;
        if !due || !self.acts_as_reader(now_ms) {
            return Vec::new();
        }
        self.last_beacon_ms = now_ms;
        self.forget(now_ms);
        self.alive(now_ms).collect()
    }

    /// Whether to tell a reader now what it lacks. Counts the message if so.
    pub fn correction_due(&mut self, now_ms: Millis, reader: Ipv4Addr, lacks: bool) -> bool {
        lacks && exchange_due(&mut self.corrected, now_ms, reader)
    }

    /// Whether to fetch the view of another balancer now, although its list is not newer, for what it
    /// knows besides and this one lacks. Counts the fetch if so.
    pub fn extra_fetch_due(&mut self, now_ms: Millis, from: Ipv4Addr, lacks: bool) -> bool {
        lacks && exchange_due(&mut self.extra_fetched, now_ms, from)
    }

    /// Whether others may rely on this balancer: it reads, and the configuration service answers
    /// it.
    pub fn acts_as_reader(&self, now_ms: Millis) -> bool {
        let timeout_ms = match self.reader_role(now_ms) {
            ReaderRole::Primary => PRIMARY_STORE_TIMEOUT_MS,
            ReaderRole::Secondary => SECONDARY_STORE_TIMEOUT_MS,
            ReaderRole::Follower => return false,
        };
        self.store_answered_ms.is_some_and(|at| now_ms.saturating_sub(at) < timeout_ms)
    }

    /// How long this balancer pauses between two calls to the configuration service that flows in doubt
    /// require.
    ///
    /// ```
    /// use std::net::Ipv4Addr;
    /// use steering::peers::Peers;
    /// let peers = Peers::new(Ipv4Addr::new(10, 0, 0, 1));
    /// assert_eq!(peers.wanted_read_interval_ms(0), 200);
    /// ```
    pub fn wanted_read_interval_ms(&self, now_ms: Millis) -> Millis {
        let balancers = self.alive(now_ms).count() + 1;
        let share_ms = balancers * 1_000 / WANTED_READS_PER_S;
        WANTED_READ_MS.max(share_ms as Millis)
    }

    /// Number of other balancers known.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no other balancer is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn note(&mut self, now_ms: Millis, address: Ipv4Addr) {
        if address != self.own && self.known.len() < PEERS_MAX {
            record_contact(&mut self.known, now_ms, address);
        }
    }

    fn alive(&self, now_ms: Millis) -> impl Iterator<Item = Ipv4Addr> {
        let alive = move |peer: &&Contact| now_ms.saturating_sub(peer.at_ms) < PEER_TIMEOUT_MS;
        self.known.iter().filter(alive).map(|peer| peer.address)
    }

    fn forget(&mut self, now_ms: Millis) {
        let recent = |peer: &Contact| now_ms.saturating_sub(peer.at_ms) < PEER_TIMEOUT_MS;
        self.known.retain(recent);
        self.readers.retain(recent);
    }
}

/// Compares the summary of another balancer with the own one.
pub fn compare(theirs: Summary, ours: Summary) -> Comparison {
    if theirs.revision <= ours.revision {
        // Routes that the service lost when it came back from a copy may be in force elsewhere only.
        let newer_routes = theirs.routes_version > ours.routes_version;
        return if newer_routes { Comparison::Fetch } else { Comparison::NotNewer };
    }
    // Within an era, older routes show that the sender is not ahead, whatever its revision.
    let later_era = theirs.revision.era > ours.revision.era;
    if theirs.routes_version < ours.routes_version && !later_era {
        return Comparison::NotNewer;
    }
    // Routes may have led elsewhere in a version in between, which only the view tells.
    let skips_versions = theirs.routes_version > ours.routes_version + 1;
    let same = !skips_versions
        && theirs.routes_digest == ours.routes_digest
        && theirs.upstreams_digest == ours.upstreams_digest;
    if same { Comparison::Same } else { Comparison::Fetch }
}

/// Returns at most `most` of the balancers, starting where the previous call ended.
fn round_robin(mut others: Vec<Ipv4Addr>, next: &mut usize, most: usize) -> Vec<Ipv4Addr> {
    if others.len() > most {
        let first = *next % others.len();
        *next = first + most;
        others.rotate_left(first);
        others.truncate(most);
    }
    others
}

fn record_contact(list: &mut Vec<Contact>, now_ms: Millis, address: Ipv4Addr) {
    match list.binary_search_by_key(&address, |contact| contact.address) {
        Ok(index) => list[index].at_ms = now_ms,
        Err(index) => list.insert(index, Contact { address, at_ms: now_ms }),
    }
}

/// Whether the latest exchange with this balancer is long enough ago for another one, which is
/// recorded if so.
fn exchange_due(recent: &mut Vec<Contact>, now_ms: Millis, with: Ipv4Addr) -> bool {
    recent.retain(|contact| now_ms.saturating_sub(contact.at_ms) < EXCHANGE_MS);
    let is_due = recent.iter().all(|contact| contact.address != with);
    if is_due {
        record_contact(recent, now_ms, with);
    }
    is_due
}

/// Rank for reading; the smallest value ranks highest. It is a hash, so that readers are not all in
/// the zone with the lowest addresses.
fn rank(address: Ipv4Addr) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u32(address.to_bits());
    hasher.finish()
}
