//! Which balancers read the configuration service for all, and how the others keep up.
//!
//! Every balancer starts as a reader. A reader tells all balancers it has current of, four times a
//! second and at each change, what it knows (a beacon). A balancer that hears enough readers of
//! better rank stops reading, and fetches from them what its own view lacks. One that no longer
//! hears them reads again. Nobody is elected and nothing is agreed upon: two readers more than
//! needed cost some calls, one fewer costs a second.

use std::hash::Hasher as _;
use std::net::Ipv4Addr;

use siphasher::sip::SipHasher13;

use crate::flow::Millis;

/// Readers that are enough for all balancers: one may be cut off or paused without a gap.
pub const READERS: usize = 2;
/// Pause between two beacons of a reader.
pub const BEACON_MS: Millis = 250;
/// Pause between two hellos of a balancer that hears no reader.
pub const HELLO_MS: Millis = 1_000;
/// The same in calm: a reader was current recent. Three of them may get lost before readers forget
/// the sender.
const HELLO_STEADY_MS: Millis = 3_000;
/// Balancers named in the answer to one hello, so that it fits into a datagram; the next one names
/// others.
pub const PEERS_PER_REPLY_MAX: usize = 240;
/// Time after its start in which a balancer that has current no reader greets as often as one that
/// knows nothing.
///
/// Where all start at once, first hellos are lost; in an outage, when nobody reads, frequent ones
/// would load the given instances.
const STARTUP_MS: Millis = 3_000;
/// Pause between two hellos of a balancer that knows nothing yet: callers wait for it.
const HELLO_WITHOUT_VIEW_MS: Millis = 100;
/// A reader that was not current for this long counts no more: one beacon may get lost. A change must be
/// in force within three seconds, also if it is made right after the service began to hang for all
/// readers: their calls fail after 1.5 s, they fall silent, and others read 0.7 s later.
const READER_TIMEOUT_MS: Millis = 650;
/// A reader that was current within this time gets hellos. All balancers were readers once, at their
/// start: greeted for longer than they read, they would get as many hellos as there are pairs of
/// balancers.
const HELLO_TO_READER_MS: Millis = 2 * HELLO_MS;
/// A balancer that was not current of for this long is told nothing more.
const PEER_TIMEOUT_MS: Millis = 10_000;
/// A first reader that has not reached the configuration service for this long doesn't count as one,
/// also if no call has failed: twice the time for which its watch waits.
const PRIMARY_STORE_TIMEOUT_MS: Millis = 2_000;
/// The same for a second reader, whose watch waits for five seconds. It counts only beside a first one:
/// once that is silent, the bound above holds, and a hanging second reader keeps nobody from reading.
const SECONDARY_STORE_TIMEOUT_MS: Millis = 7_000;
/// Balancers that step in at the same moment for readers that have fallen silent, the best ones first. Where
/// all did, calls and beacons would grow with the fleet, and with its square.
const TAKEOVERS_AT_ONCE: usize = 4;
/// Time after which the next ones step in: they hear of the first by then.
const TAKEOVER_STEP_MS: Millis = 300;
/// Longest time that a balancer waits longer than the first.
const TAKEOVER_DELAY_MAX_MS: Millis = 600;
/// Longest time for which a balancer that has started waits for others that read for it. Those of the best
/// ranks go on reading.
const INITIAL_READ_DELAY_MAX_MS: Millis = 500;
/// Balancers that are asked at a time for what a reader has no time to give.
const FALLBACK_PEERS: usize = 3;
/// Most balancers that are remembered.
const PEERS_MAX: usize = 4_096;

/// What a balancer does about the configuration service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderRole {
    /// It watches closely, and notices soon when an answer is missing.
    Primary,
    /// It hears of changes at once too, but makes a call in some seconds only. It is there so that
    /// a first reader that is paused or cut off leaves no gap.
    Secondary,
    /// Others read.
    Follower,
}

/// What a balancer knows, in short: equal digests are equal contents.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Revision of the configuration service.
    pub revision: u64,
    /// Version of the routes.
    pub routes_version: u64,
    /// Digest of the routes.
    pub routes_digest: u64,
    /// Digest of the list of upstreams.
    pub upstreams_digest: u64,
}

/// What follows from a beacon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// The sender knows nothing newer.
    NotNewer,
    /// The sender is ahead, and its contents are ours.
    Same,
    /// The sender is ahead, and its view should be fetched.
    Fetch,
}

#[derive(Clone, Copy, Debug)]
struct Contact {
    address: Ipv4Addr,
    at_ms: Millis,
}

/// Other balancers, as one of them knows them.
#[derive(Clone, Debug)]
pub struct Peers {
    own: Ipv4Addr,
    known: Vec<Contact>,
    readers: Vec<Contact>,
    store_answered_ms: Option<Millis>,
    started_ms: Option<Millis>,
    last_hello_ms: Millis,
    last_beacon_ms: Millis,
    /// Where among the known balancers the answer to the next hello begins.
    next_in_reply: usize,
    /// Where among the known balancers the next ones begin that are asked beside a reader.
    next_fallback: usize,
}

impl Peers {
    /// A balancer at `own` that knows nobody.
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
            next_in_reply: 0,
            // Others elsewhere for each balancer.
            next_fallback: rank(own) as usize,
        }
    }

    /// Takes a hello, and returns balancers that its sender should know: all, or in turn as many as
    /// fit.
    pub fn on_hello(&mut self, now_ms: Millis, from: Ipv4Addr) -> Vec<Ipv4Addr> {
        self.note(now_ms, from);
        let others = self.alive(now_ms).filter(|address| *address != from).collect();
        round_robin(others, &mut self.next_in_reply, PEERS_PER_REPLY_MAX)
    }

    /// Takes the list of balancers that another one knows.
    pub fn on_peers(&mut self, now_ms: Millis, from: Ipv4Addr, peers: &[Ipv4Addr]) {
        self.note(now_ms, from);
        peers.iter().for_each(|peer| self.note(now_ms, *peer));
    }

    /// Takes a beacon, and compares what its sender knows with what this balancer knows.
    pub fn on_beacon(
        &mut self,
        now_ms: Millis,
        from: Ipv4Addr,
        theirs: Summary,
        ours: Summary,
    ) -> Comparison {
        record_contact(&mut self.readers, now_ms, from);
        self.compare(now_ms, from, theirs, ours)
    }

    /// Compares what another balancer knows, reader or not, with what this balancer knows.
    pub fn compare(
        &mut self,
        now_ms: Millis,
        from: Ipv4Addr,
        theirs: Summary,
        ours: Summary,
    ) -> Comparison {
        self.note(now_ms, from);
        // An older version in force there must not come back here, whatever the revision says.
        if theirs.revision <= ours.revision || theirs.routes_version < ours.routes_version {
            return Comparison::NotNewer;
        }
        let same = theirs.routes_digest == ours.routes_digest
            && theirs.upstreams_digest == ours.upstreams_digest;
        if same { Comparison::Same } else { Comparison::Fetch }
    }

    /// Notes that the configuration service has answered.
    pub fn on_store_answer(&mut self, now_ms: Millis) {
        self.store_answered_ms = Some(now_ms);
    }

    /// Notes that a call to the configuration service has failed: until the next answer, this balancer
    /// does not pose as a reader.
    pub fn on_store_failure(&mut self) {
        self.store_answered_ms = None;
    }

    /// Whether this balancer has to read the configuration service itself.
    pub fn must_read(&self, now_ms: Millis) -> bool {
        self.reader_role(now_ms) != ReaderRole::Follower
    }

    /// What this balancer has to do about the configuration service.
    pub fn reader_role(&self, now_ms: Millis) -> ReaderRole {
        let current = self.higher_ranked_readers(now_ms, READER_TIMEOUT_MS);
        let recent = self.higher_ranked_readers(now_ms, READER_TIMEOUT_MS + TAKEOVER_DELAY_MAX_MS);
        // Where no reader has just fallen silent, it does not matter whose turn it is.
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

    /// Number of readers of better rank that were current within this time.
    fn higher_ranked_readers(&self, now_ms: Millis, within_ms: Millis) -> usize {
        let own = rank(self.own);
        let current = |reader: &&Contact| now_ms.saturating_sub(reader.at_ms) < within_ms;
        self.readers.iter().filter(current).filter(|reader| rank(reader.address) < own).count()
    }

    /// How much longer than the best ones this balancer waits before it takes a silent reader's place.
    fn takeover_delay_ms(&self, now_ms: Millis) -> Millis {
        let own = rank(self.own);
        let better = self.alive(now_ms).filter(|address| rank(*address) < own).count();
        let turn = (better / TAKEOVERS_AT_ONCE) as Millis;
        (turn * TAKEOVER_STEP_MS).min(TAKEOVER_DELAY_MAX_MS)
    }

    /// How long this balancer waits after it has started and read for the first time, before it reads on:
    /// nothing when it is of the best rank, longest when it is of the worst.
    pub fn initial_read_delay_ms(&self) -> Millis {
        let share = rank(self.own) >> 32;
        (share * INITIAL_READ_DELAY_MAX_MS) >> 32
    }

    /// Whom to send a hello now, if it is time: the given instances, and the readers. A balancer that
    /// is `has_no_view` knows nothing yet.
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
        let pause_ms = match targets.len() {
            _ if has_no_view || (is_starting && self.readers.is_empty()) => HELLO_WITHOUT_VIEW_MS,
            0 => HELLO_MS,
            _ if is_starting => HELLO_MS,
            _ => HELLO_STEADY_MS,
        };
        if self.last_hello_ms > 0 && now_ms.saturating_sub(self.last_hello_ms) < pause_ms {
            return Vec::new();
        }
        self.last_hello_ms = now_ms.max(1);
        targets.extend(seeds);
        targets.sort_unstable();
        targets.dedup();
        targets.retain(|target| *target != self.own);
        targets
    }

    /// A few other balancers, others each time, that may have what a reader has no time to give.
    pub fn fallback_peers(&mut self, now_ms: Millis) -> Vec<Ipv4Addr> {
        let others = self.alive(now_ms).collect();
        round_robin(others, &mut self.next_fallback, FALLBACK_PEERS)
    }

    /// Whom to send a beacon now, if it is time or something has changed.
    pub fn beacons_due(&mut self, now_ms: Millis, changed: bool) -> Vec<Ipv4Addr> {
        let due = changed || now_ms.saturating_sub(self.last_beacon_ms) >= BEACON_MS;
        if !due || !self.acts_as_reader(now_ms) {
            return Vec::new();
        }
        self.last_beacon_ms = now_ms;
        self.forget(now_ms);
        self.alive(now_ms).collect()
    }

    /// Whether others may rely on this balancer: it reads, and the configuration service answers it.
    pub fn acts_as_reader(&self, now_ms: Millis) -> bool {
        let timeout_ms = match self.reader_role(now_ms) {
            ReaderRole::Primary => PRIMARY_STORE_TIMEOUT_MS,
            ReaderRole::Secondary => SECONDARY_STORE_TIMEOUT_MS,
            ReaderRole::Follower => return false,
        };
        self.store_answered_ms.is_some_and(|at| now_ms.saturating_sub(at) < timeout_ms)
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

/// As many of them as may be, beginning where the last ones ended.
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

/// Order in which balancers read; hashed, so that readers are not all in the zone numbered first.
fn rank(address: Ipv4Addr) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u32(address.to_bits());
    hasher.finish()
}
