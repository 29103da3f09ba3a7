//! The table of facts that the gossip protocol replicates to all nodes, and its digest.

use std::hash::Hasher as _;

use siphasher::sip::SipHasher13;

use crate::keys::{AccountId, UpstreamId, Version};

/// Account id under which the version of the root document is kept.
pub const ROOT: AccountId = AccountId(0);
/// Shares into which the facts are hashed for a comparison. One change makes one share differ, so
/// only about 1/16 of the table is sent.
pub const SHARES: usize = 16;

/// Whether an agent is up, as observed by its peers after one of its heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// The agent, named by its upstream.
    pub upstream: UpstreamId,
    /// Number of the last heartbeat that the observer received from the agent. It grows across all
    /// incarnations of the agent, so any node that has received heartbeat 8 refutes *down since 7*.
    pub beat: u64,
    /// False if no further heartbeat arrived.
    pub up: bool,
}

/// One fact of the replicated table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// A settings version is in force at the sender.
    Settings {
        /// Account, or [`ROOT`].
        account: AccountId,
        /// Version.
        version: Version,
    },
    /// An agent failed or came back.
    Member(Member),
}

impl Notice {
    /// Whether the two concern the same account or agent, so that one replaces the other.
    pub fn same_subject(&self, other: &Notice) -> bool {
        match (self, other) {
            (Notice::Settings { account: a, .. }, Notice::Settings { account: b, .. }) => a == b,
            (Notice::Member(a), Notice::Member(b)) => a.upstream == b.upstream,
            _ => false,
        }
    }
}

/// Hashes of the shares of a node's facts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Digest {
    /// One hash for each share.
    pub shares: [u64; SHARES],
    /// Milliseconds since the configuration service confirmed the sender's versions.
    pub confirmed_age_ms: u64,
}

/// Versions in force, and agents that have been down at least once, each sorted by id.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    versions: Vec<(AccountId, Version)>,
    members: Vec<Member>,
}

impl Facts {
    /// Merges a fact; returns whether it changed the table.
    pub(super) fn learn(&mut self, notice: Notice) -> bool {
        match notice {
            Notice::Settings { account, version } => self.learn_version(account, version),
            Notice::Member(member) => self.learn_member(member),
        }
    }

    /// The version of an account in force on this node.
    pub fn version(&self, account: AccountId) -> Option<Version> {
        let index = self.versions.binary_search_by_key(&account, |entry| entry.0).ok()?;
        Some(self.versions[index].1)
    }

    /// Sorted ids of the agents that are down.
    pub fn down(&self) -> Vec<UpstreamId> {
        self.members.iter().filter(|member| !member.up).map(|member| member.upstream).collect()
    }

    pub(super) fn retain_members(&mut self, listed: impl Fn(UpstreamId) -> bool) {
        self.members.retain(|member| listed(member.upstream));
    }

    /// The hash of each share.
    pub(super) fn digest(&self, confirmed_age_ms: u64) -> Digest {
        let mut shares = [0u64; SHARES];
        for notice in self.notices() {
            // Addition is commutative, so the digest does not depend on the order of the facts.
            let share = &mut shares[share_of(&notice)];
            *share = share.wrapping_add(hash_of(&notice));
        }
        Digest { shares, confirmed_age_ms }
    }

    /// Up to `limit` facts in the shares that differ from `other`, beginning at `offset` and
    /// wrapping around at the end.
    pub(super) fn differences(&self, other: &Digest, offset: usize, limit: usize) -> Vec<Notice> {
        let own = self.digest(0);
        let differs = |notice: &Notice| {
            let share = share_of(notice);
            own.shares[share] != other.shares[share]
        };
        let mut notices: Vec<Notice> = self.notices().filter(differs).collect();
        if notices.len() > limit {
            let offset = offset % notices.len();
            notices.rotate_left(offset);
            notices.truncate(limit);
        }
        notices
    }

    fn notices(&self) -> impl Iterator<Item = Notice> + '_ {
        let settings =
            self.versions.iter().map(|&(account, version)| Notice::Settings { account, version });
        settings.chain(self.members.iter().copied().map(Notice::Member))
    }

    fn learn_version(&mut self, account: AccountId, version: Version) -> bool {
        match self.versions.binary_search_by_key(&account, |entry| entry.0) {
            Ok(index) if self.versions[index].1 >= version => return false,
            Ok(index) => self.versions[index].1 = version,
            Err(index) => self.versions.insert(index, (account, version)),
        }
        true
    }

    /// The later heartbeat wins. At the same heartbeat *down* wins, since it is reported after the
    /// heartbeat.
    fn learn_member(&mut self, member: Member) -> bool {
        let order = |member: &Member| (member.beat, !member.up);
        match self.members.binary_search_by_key(&member.upstream, |known| known.upstream) {
            Ok(index) if order(&self.members[index]) >= order(&member) => return false,
            Ok(index) => self.members[index] = member,
            // An agent that was never reported down needs no entry.
            Err(_) if member.up => return false,
            Err(index) => self.members.insert(index, member),
        }
        true
    }
}

fn share_of(notice: &Notice) -> usize {
    let id = match notice {
        Notice::Settings { account, .. } => account.0,
        Notice::Member(member) => member.upstream.0,
    };
    id as usize % SHARES
}

fn hash_of(notice: &Notice) -> u64 {
    let mut hasher = SipHasher13::new();
    match notice {
        Notice::Settings { account, version } => {
            hasher.write_u64(account.0);
            hasher.write_u64(version.0);
        }
        Notice::Member(member) => {
            hasher.write_u64(member.upstream.0);
            hasher.write_u64(member.beat);
            hasher.write_u8(u8::from(member.up));
        }
    }
    hasher.finish()
}
