//! Gossip of settings versions and membership changes among the balancers.
//!
//! Two mechanisms share one table of facts. *Notices* push each change to a few random peers, which
//! push it on, so it reaches all nodes within a logarithmic number of rounds. *Digests*
//! periodically compare the whole table with that of one random peer and thereby repair what
//! notices missed. Contents of settings are not carried here: a notice names a version, and a node
//! that lacks it fetches it.
//!
//! There is no leader election. Which nodes watch the configuration service follows from the
//! instance list by rendezvous hashing. If the lists of two nodes differ, there are a few readers
//! too many or too few for a while, and digests compensate for both.

mod facts;
mod peers;
#[cfg(test)]
mod tests;

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;

pub use facts::{Digest, Facts, Member, Notice, ROOT, SHARES};
pub use peers::{NodeId, Peer, Peers, READERS_PER_ZONE};

use crate::keys::{AccountId, UpstreamId, Version};
use crate::time::Millis;

/// Time between two rounds. Ten rounds suffice for 1,600 nodes and take 2 s of the 7 s allowed.
pub const ROUND_INTERVAL_MS: u64 = 200;
/// Notices in one message. Keeps a node's traffic below 10 KB/s while the failure of a whole zone
/// is reported; see `docs/CAPACITY.md` for the peak.
pub const NOTICES_PER_MESSAGE: usize = 16;
/// Notices in the reply to a comparison, so that it fits a datagram and the byte budget. The next
/// comparison starts at another offset and finds the remaining differences.
pub const DIFFERENCES_MAX: usize = 40;
/// Time between two digest comparisons that a node starts.
pub const DIGEST_INTERVAL_MS: u64 = 2_000;
/// Time until the next comparison after one that found a difference. Comparisons in quick
/// succession resolve a burst of changes without raising the traffic of an idle fleet.
pub const UNEQUAL_DIGEST_INTERVAL_MS: u64 = 400;
/// Time without confirmation of its versions after which a node reads the configuration service
/// itself, even if it is no reader. If all 11,600 nodes do so, that is 97 reads a second of the
/// 2,000 allowed.
pub const FALLBACK_READ_MS: u64 = 120_000;
/// Time for a peer to deliver a version before it is fetched from the configuration service.
pub const PEER_FETCH_TIMEOUT_MS: u64 = 1_000;

/// Messages between the nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SpreadMessage {
    /// Changes that the receiver may not know.
    Notices(Vec<Notice>),
    /// Starts a comparison.
    Compare(Digest),
    /// Reply to a comparison, or to such a reply: the sender's facts in the shares that differ.
    Differences {
        /// Facts of the shares that differ.
        notices: Vec<Notice>,
        /// Digest of the replying node; set if it asks for the receiver's facts in turn.
        digest: Option<Digest>,
    },
}

/// How widely and how often notices are pushed; see `docs/measurements.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// Peers that get each notice in a round.
    pub fanout: usize,
    /// Rounds in which a node pushes a notice after it has learned it.
    pub rounds: u8,
}

impl Default for Tuning {
    fn default() -> Self {
        Self { fanout: 3, rounds: 2 }
    }
}

/// A version that a peer has and this node lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MissingVersion {
    /// Account, or [`ROOT`].
    pub account: AccountId,
    /// Lowest version to fetch.
    pub version: Version,
}

/// Input of a node.
#[derive(Clone, Debug)]
pub enum SpreadEvent {
    /// The platform's instance list has changed.
    Peers(Vec<Peer>),
    /// A version has come into force on this node, whatever its source.
    Installed {
        /// Account, or [`ROOT`].
        account: AccountId,
        /// Version now in force.
        version: Version,
    },
    /// The configuration service has confirmed the versions in force on this node.
    Confirmed {
        /// Milliseconds since the confirmation.
        age_ms: u64,
    },
    /// An agent was observed to fail or to recover.
    Observed(Member),
    /// A peer's message.
    Message {
        /// Sender.
        from: NodeId,
        /// The message.
        message: SpreadMessage,
    },
    /// Time has passed; due at least every [`ROUND_INTERVAL_MS`].
    Tick,
}

/// Action that the caller must perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SpreadAction {
    /// Send a message to a peer.
    Send {
        /// Receiver.
        to: NodeId,
        /// The message.
        message: SpreadMessage,
    },
    /// Fetch versions from a peer that has them, in one exchange.
    FetchFromPeer {
        /// Peer that has the versions.
        from: NodeId,
        /// Versions that this node lacks.
        missing: Vec<MissingVersion>,
    },
    /// Fetch the newest version of an account from the configuration service.
    FetchFromService {
        /// Account, or [`ROOT`].
        account: AccountId,
    },
    /// The set of agents believed down has changed.
    MembersChanged,
}

/// A version that was requested from a peer and has not yet come into force.
#[derive(Clone, Copy, Debug)]
struct PendingFetch {
    missing: MissingVersion,
    asked_at: Millis,
}

/// A fact that is still to be pushed to peers.
#[derive(Clone, Copy, Debug)]
struct QueuedNotice {
    notice: Notice,
    rounds_left: u8,
}

/// State of a node.
#[derive(Debug)]
pub struct Spread {
    peers: Peers,
    facts: Facts,
    queued: Vec<QueuedNotice>,
    pending_fetches: Vec<PendingFetch>,
    tuning: Tuning,
    /// False until the facts have once been equal to a peer's or to those of the configuration
    /// service. Versions that a node installs before that are known to its peers, so it does not
    /// push them.
    synchronized: bool,
    confirmed_at: Millis,
    next_round: Millis,
    next_digest: Millis,
    random: Pcg64,
}

impl Spread {
    /// Creates a node without facts or peers.
    ///
    /// ```
    /// use decision::{spread::{NodeId, Peer, Spread}, time::Millis};
    /// let me = Peer { id: NodeId::of("bal-1"), zone: "pnw-a".into() };
    /// assert!(Spread::new(me, 7, Millis(0)).down().is_empty());
    /// ```
    pub fn new(own: Peer, seed: u64, now: Millis) -> Self {
        Self {
            peers: Peers::new(own),
            facts: Facts::default(),
            queued: Vec::new(),
            pending_fetches: Vec::new(),
            tuning: Tuning::default(),
            synchronized: false,
            confirmed_at: now,
            next_round: now,
            next_digest: now,
            random: Pcg64::seed_from_u64(seed),
        }
    }

    /// Replaces the default tuning. Used by experiments.
    pub fn set_tuning(&mut self, tuning: Tuning) {
        self.tuning = tuning;
    }

    /// Processes an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Millis, event: SpreadEvent, out: &mut Vec<SpreadAction>) {
        match event {
            SpreadEvent::Peers(list) => self.peers.replace(list),
            SpreadEvent::Installed { account, version } => self.installed(account, version),
            SpreadEvent::Confirmed { age_ms } => self.confirm(now, age_ms),
            SpreadEvent::Observed(member) => self.learn_member(member, out),
            SpreadEvent::Message { from, message } => self.message(now, from, message, out),
            SpreadEvent::Tick => self.tick(now, out),
        }
    }

    /// Whether this node must watch the configuration service.
    pub fn is_reader(&self) -> bool {
        self.peers.is_reader()
    }

    /// Whether this node is one of the two that notify an agent of newer settings.
    pub fn is_notifier(&self, agent: UpstreamId) -> bool {
        self.peers.is_notifier(agent)
    }

    /// Removes agents that the settings no longer list. All nodes do so on the same versions, so
    /// their digests stay equal.
    pub fn retain_members(&mut self, listed: impl Fn(UpstreamId) -> bool) {
        self.facts.retain_members(listed);
    }

    /// Sorted ids of the agents believed down.
    pub fn down(&self) -> Vec<UpstreamId> {
        self.facts.down()
    }

    /// Milliseconds since the versions in force on this node were confirmed, by the configuration
    /// service or by a peer that had asked it.
    pub fn confirmed_age_ms(&self, now: Millis) -> u64 {
        now.since(self.confirmed_at)
    }

    /// Version of an account in force on this node.
    pub fn version(&self, account: AccountId) -> Option<Version> {
        self.facts.version(account)
    }

    fn installed(&mut self, account: AccountId, version: Version) {
        let notice = Notice::Settings { account, version };
        if !self.facts.learn(notice) {
            return;
        }
        self.pending_fetches
            .retain(|known| known.missing.account != account || known.missing.version > version);
        if self.synchronized {
            self.enqueue(notice);
        }
    }

    fn message(
        &mut self,
        now: Millis,
        from: NodeId,
        message: SpreadMessage,
        out: &mut Vec<SpreadAction>,
    ) {
        match message {
            SpreadMessage::Notices(notices) => self.learn_all(now, from, &notices, out),
            SpreadMessage::Compare(digest) => self.compare(now, from, &digest, out),
            SpreadMessage::Differences { notices, digest } => {
                self.learn_all(now, from, &notices, out);
                self.next_digest = self.next_digest.min(now.after(UNEQUAL_DIGEST_INTERVAL_MS));
                if let Some(digest) = digest {
                    let notices = self.differences(&digest);
                    let reply = SpreadMessage::Differences { notices, digest: None };
                    out.push(SpreadAction::Send { to: from, message: reply });
                }
            }
        }
    }

    /// Merges a peer's notices. A settings version enters the table only once it is in force on
    /// this node, so a notice of one starts a fetch. A membership change takes effect at once.
    fn learn_all(
        &mut self,
        now: Millis,
        from: NodeId,
        notices: &[Notice],
        out: &mut Vec<SpreadAction>,
    ) {
        let mut missing = Vec::new();
        for notice in notices {
            match *notice {
                Notice::Settings { account, version } => {
                    missing.extend(self.start_fetch(now, MissingVersion { account, version }));
                }
                Notice::Member(member) => self.learn_member(member, out),
            }
        }
        if !missing.is_empty() {
            out.push(SpreadAction::FetchFromPeer { from, missing });
        }
    }

    fn learn_member(&mut self, member: Member, out: &mut Vec<SpreadAction>) {
        let notice = Notice::Member(member);
        if self.facts.learn(notice) {
            self.enqueue(notice);
            out.push(SpreadAction::MembersChanged);
        }
    }

    /// Records a fetch of `missing` and returns it, unless that version or a later one is in force
    /// or was requested already.
    fn start_fetch(&mut self, now: Millis, missing: MissingVersion) -> Option<MissingVersion> {
        if self.facts.version(missing.account).is_some_and(|known| known >= missing.version) {
            return None;
        }
        let fetch = PendingFetch { missing, asked_at: now };
        match self.pending_fetches.iter_mut().find(|known| known.missing.account == missing.account)
        {
            Some(known) if known.missing.version >= missing.version => return None,
            Some(known) => *known = fetch,
            None => self.pending_fetches.push(fetch),
        }
        Some(missing)
    }

    fn compare(&mut self, now: Millis, from: NodeId, digest: &Digest, out: &mut Vec<SpreadAction>) {
        let own = self.facts.digest(self.confirmed_age_ms(now));
        if own.shares == digest.shares {
            self.confirm(now, digest.confirmed_age_ms);
            return;
        }
        let notices = self.differences(digest);
        let message = SpreadMessage::Differences { notices, digest: Some(own) };
        out.push(SpreadAction::Send { to: from, message });
    }

    fn differences(&mut self, digest: &Digest) -> Vec<Notice> {
        let offset = self.random.random_range(0..usize::from(u16::MAX));
        self.facts.differences(digest, offset, DIFFERENCES_MAX)
    }

    /// Takes over the confirmation of a peer with the same facts, or of the configuration service,
    /// if it is more recent than the one known. `age_ms` is the time since the service confirmed.
    fn confirm(&mut self, now: Millis, age_ms: u64) {
        self.confirmed_at = self.confirmed_at.max(Millis(now.0.saturating_sub(age_ms)));
        self.synchronized = true;
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<SpreadAction>) {
        if now >= self.next_round {
            self.next_round = now.after(ROUND_INTERVAL_MS);
            self.round(out);
        }
        if now >= self.next_digest {
            // A random delay of 0.5 to 1.5 periods desynchronizes nodes that started together.
            let period_ms =
                self.random.random_range(DIGEST_INTERVAL_MS / 2..DIGEST_INTERVAL_MS * 3 / 2);
            self.next_digest = now.after(period_ms);
            self.start_comparison(now, out);
        }
        self.escalate_fetches(now, out);
        self.fall_back(now, out);
    }

    fn round(&mut self, out: &mut Vec<SpreadAction>) {
        if self.queued.is_empty() {
            return;
        }
        let count = self.queued.len().min(NOTICES_PER_MESSAGE);
        let notices: Vec<Notice> = self.queued[..count].iter().map(|entry| entry.notice).collect();
        for to in self.peers.sample(self.tuning.fanout, &mut self.random) {
            let message = SpreadMessage::Notices(notices.clone());
            out.push(SpreadAction::Send { to, message });
        }
        self.age_queued(count);
    }

    /// Moves the notices that were just sent to the back of the queue, so that none starves, and
    /// drops those that have been sent in all their rounds.
    fn age_queued(&mut self, count: usize) {
        for entry in &mut self.queued[..count] {
            entry.rounds_left -= 1;
        }
        self.queued.rotate_left(count);
        self.queued.retain(|entry| entry.rounds_left > 0);
    }

    fn enqueue(&mut self, notice: Notice) {
        self.queued.retain(|entry| !entry.notice.same_subject(&notice));
        self.queued.push(QueuedNotice { notice, rounds_left: self.tuning.rounds });
    }

    fn start_comparison(&mut self, now: Millis, out: &mut Vec<SpreadAction>) {
        let digest = self.facts.digest(self.confirmed_age_ms(now));
        for to in self.peers.sample(1, &mut self.random) {
            let message = SpreadMessage::Compare(digest.clone());
            out.push(SpreadAction::Send { to, message });
        }
    }

    /// Fetches from the configuration service what a peer has not delivered in time. A peer may
    /// fail between its notice and the fetch, so no version depends on a single peer.
    fn escalate_fetches(&mut self, now: Millis, out: &mut Vec<SpreadAction>) {
        for pending in &mut self.pending_fetches {
            if now.since(pending.asked_at) >= PEER_FETCH_TIMEOUT_MS {
                pending.asked_at = now;
                out.push(SpreadAction::FetchFromService { account: pending.missing.account });
            }
        }
    }

    fn fall_back(&mut self, now: Millis, out: &mut Vec<SpreadAction>) {
        if self.confirmed_age_ms(now) < FALLBACK_READ_MS {
            return;
        }
        // Treated as a confirmation, so that an unavailable service gets one read per period.
        self.confirmed_at = now;
        out.push(SpreadAction::FetchFromService { account: ROOT });
    }
}
