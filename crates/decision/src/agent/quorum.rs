//! Votes on a claim, and whether they are a majority of every membership that may be in force.
//!
//! Two claimants may have different settings in force, and so count different members. Each
//! therefore needs a majority in every membership that its settings still list. Any two claimants
//! have such a membership in common, and two majorities of it share a witness, which votes only
//! once. `docs/decisions/at-most-once.md` gives the full argument.
//!
//! An earlier membership is *settled* once the agent knows every claim that may have won under it.
//! The agent then needs no votes of its members: it only must not contradict what it knows.

use std::hash::Hasher as _;

use siphasher::sip::SipHasher13;

use super::limits;
use crate::keys::{UpstreamId, Version};
use crate::message::{Claim, Outdated, OutdatedReport};
use crate::time::Millis;
use crate::view::{Service, Upstream, View};

/// One witness's vote on a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Vote {
    /// It has recorded the claim.
    Granted,
    /// It has recorded another claim for the opening.
    Other(Claim),
    /// It does not vote, for example because it may have lost its record for the opening.
    Abstained,
}

/// One membership of a service: the witnesses listed from one version until the next change.
#[derive(Clone, Debug)]
pub(super) struct Membership {
    pub(super) from: Version,
    /// First version with other members; `None` for the present membership.
    pub(super) next: Option<Version>,
    pub(super) members: Vec<UpstreamId>,
    /// When this agent learned of it, or of the membership after it.
    known_since: Millis,
    /// Whether this agent's records contain every claim that may have won under it.
    settled: bool,
    /// Since when so many members have `next` or a later version that the others are no majority.
    outdated_since: Option<Millis>,
    /// When a majority of it will no longer be needed, as reported by a peer.
    reported_until: Option<Millis>,
}

/// The memberships of a service that may still be in force somewhere.
#[derive(Clone, Debug, Default)]
pub(super) struct Memberships {
    memberships: Vec<Membership>,
    /// Memberships of which no majority is needed any more: the first version of each, the first
    /// version of the membership after it, and the digest of its members.
    dropped: Vec<(Version, Version, u64)>,
}

/// State of the count of votes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Tally {
    /// The claim has a majority in every membership.
    Won,
    /// A refusal by another claimant has a majority in every membership.
    Refused,
    /// The claim can still win.
    Open,
    /// The claim cannot win any more. Contains the rival claim to yield to, if there is one.
    Lost(Option<Claim>),
}

impl Memberships {
    /// The memberships that the settings of `service` still list, without those that `before` has
    /// dropped.
    pub(super) fn of(
        now: Millis,
        view: &View,
        service: &Service,
        current: Version,
        before: &Memberships,
    ) -> Self {
        let upstreams: Vec<_> = service.upstream_keys().map(|key| view.upstream(key)).collect();
        let members = |version: Version| {
            let listed = upstreams.iter().filter(|upstream| {
                let spec = &upstream.spec;
                spec.since <= version && spec.retired.is_none_or(|retired| version < retired)
            });
            listed.map(|upstream| upstream.id).collect::<Vec<_>>()
        };
        let mut memberships: Vec<Membership> = Vec::new();
        for from in change_versions(&upstreams, current) {
            let members = members(from);
            if memberships.last().is_some_and(|last| last.members == members) {
                continue;
            }
            if let Some(last) = memberships.last_mut() {
                last.next = Some(from);
            }
            memberships.push(Membership {
                from,
                next: None,
                members,
                known_since: now,
                settled: false,
                outdated_since: None,
                reported_until: None,
            });
        }
        let mut dropped = before.dropped.clone();
        dropped.retain(|(from, ..)| memberships.iter().any(|membership| membership.from == *from));
        memberships.retain(|membership| !membership.members.is_empty());
        let is_dropped =
            |membership: &Membership| dropped.iter().any(|(from, ..)| *from == membership.from);
        memberships.retain(|membership| membership.next.is_none() || !is_dropped(membership));
        for membership in &mut memberships {
            let known = before.memberships.iter().find(|known| known.is_same(membership));
            membership.outdated_since = known.and_then(|known| known.outdated_since);
            membership.reported_until = known.and_then(|known| known.reported_until);
            membership.settled = known.is_some_and(|known| known.settled);
            membership.known_since = known.map_or(now, |known| known.known_since);
        }
        Self { memberships, dropped }
    }

    /// Drops memberships that can grant nothing any more. `runs` tells whether a member is known to
    /// have the given version or a later one in force.
    ///
    /// Upstreams that were replaced long ago are gone, so no majority of their membership can ever
    /// answer, and no claim could be resolved while that membership counts. Dropping it is safe
    /// once at least half of its members answer claimants under it with `StaleView`, and the claims
    /// that they granted before have expired.
    pub(super) fn drop_outdated(
        &mut self,
        now: Millis,
        runs: impl Fn(UpstreamId, Version) -> bool,
    ) {
        for membership in &mut self.memberships {
            let Some(next) = membership.next else { continue };
            let old = membership.members.iter().filter(|member| !runs(**member, next)).count();
            let outdated = 2 * old <= membership.members.len();
            membership.outdated_since = outdated.then(|| membership.outdated_since.unwrap_or(now));
        }
        let is_dropped =
            |membership: &Membership| membership.outdated_until().is_some_and(|until| until <= now);
        let dropped = self.memberships.iter().filter(|membership| is_dropped(membership));
        self.dropped.extend(dropped.filter_map(|membership| {
            Some((membership.from, membership.next?, membership.digest()))
        }));
        self.dropped.sort_unstable();
        self.dropped.dedup();
        self.memberships.retain(|membership| !is_dropped(membership));
    }

    /// The outdated membership to report to peers next, in rotation over those that the settings
    /// still list.
    pub(super) fn outdated(&self, now: Millis, turn: u64) -> Option<Outdated> {
        let reports = self.outdated_reports(now);
        let turn = turn.checked_rem(reports.len() as u64)?;
        Some(reports[turn as usize].outdated)
    }

    /// Processes a peer's report that a membership is outdated.
    ///
    /// If one agent knows that no agent can win a claim under a membership any more, this holds for
    /// all, and a report that arrives late only makes the wait longer.
    pub(super) fn learn_outdated(&mut self, now: Millis, outdated: Outdated) {
        let until = now.after(outdated.expires_in_ms.into());
        let (from, next) = (outdated.from, Some(outdated.next));
        let known = self
            .memberships
            .iter_mut()
            .find(|membership| (membership.from, membership.next) == (from, next));
        let Some(membership) = known else { return };
        membership.reported_until =
            Some(membership.reported_until.map_or(until, |known| known.min(until)));
    }

    /// Earlier memberships under which a claim may have won that this agent does not know, each
    /// with the first version of the next one. One that has just become an earlier one is left out
    /// until the claims in flight are decided, since it would seem that two of them may have won.
    pub(super) fn unsettled(&self, now: Millis) -> impl Iterator<Item = (&Membership, Version)> {
        let unsettled = self.memberships.iter().filter(move |membership| {
            !membership.settled && now.since(membership.known_since) >= limits::RECALL_DELAY_MS
        });
        unsettled.filter_map(|membership| Some((membership, membership.next?)))
    }

    /// The settled memberships: the first version of each, and the first version of the next one.
    pub(super) fn settled(&self) -> Vec<(Version, Version)> {
        let settled = self.memberships.iter().filter(|membership| membership.settled);
        settled.filter_map(|membership| Some((membership.from, membership.next?))).collect()
    }

    /// Marks the membership from version `from` on as settled.
    pub(super) fn settle(&mut self, from: Version) {
        for membership in self.memberships.iter_mut().filter(|known| known.from == from) {
            membership.settled = true;
        }
    }

    /// Number of outdated memberships, those that count no more included.
    pub(super) fn outdated_count(&self) -> usize {
        let known = |membership: &&Membership| membership.outdated_until().is_some();
        self.dropped.len() + self.memberships.iter().filter(known).count()
    }

    /// All outdated memberships that the settings still list.
    pub(super) fn outdated_reports(&self, now: Millis) -> Vec<OutdatedReport> {
        let expired = |(from, next, members): &(Version, Version, u64)| OutdatedReport {
            outdated: Outdated { from: *from, next: *next, expires_in_ms: 0 },
            members: *members,
        };
        let others = self.memberships.iter().filter_map(|membership| {
            let expires_in_ms = membership.outdated_until()?.since(now) as u32;
            let (from, next) = (membership.from, membership.next?);
            let outdated = Outdated { from, next, expires_in_ms };
            Some(OutdatedReport { outdated, members: membership.digest() })
        });
        self.dropped.iter().map(expired).chain(others).collect()
    }

    /// Whether the report is about a membership with the members that these settings list.
    pub(super) fn has_members_of(&self, report: OutdatedReport) -> bool {
        let same = |known: &Membership| {
            known.from == report.outdated.from && known.digest() == report.members
        };
        self.memberships.iter().any(same)
    }

    /// Whether it is unknown of some earlier membership whether it is outdated.
    pub(super) fn has_undecided(&self) -> bool {
        let undecided = |membership: &Membership| {
            membership.next.is_some() && membership.outdated_until().is_none()
        };
        self.memberships.iter().any(undecided)
    }

    /// Whether, in each unsettled membership that `me` belongs to, so many other members are `done`
    /// that every majority with `me` in it contains one of them.
    pub(super) fn has_recall_quorum(
        &self,
        me: UpstreamId,
        done: impl Fn(UpstreamId) -> bool,
    ) -> bool {
        let voted_in = |membership: &&Membership| membership.members.contains(&me);
        let unsettled = self.memberships.iter().filter(|membership| !membership.settled);
        unsettled.filter(voted_in).all(|membership| {
            let size = membership.members.len();
            let majority = size / 2 + 1;
            let answered = membership.members.iter().filter(|id| **id != me && done(**id)).count();
            // The other voters are `majority - 1` of `size - 1`.
            answered + majority > size
        })
    }

    /// All agents that may be asked to vote, sorted.
    pub(super) fn witnesses(&self) -> Vec<UpstreamId> {
        let mut all: Vec<UpstreamId> =
            self.memberships.iter().flat_map(|membership| &membership.members).copied().collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Counts `votes` on a claim of `claimant`. They are sorted by witness.
    pub(super) fn tally(&self, votes: &[(UpstreamId, Vote)], claimant: UpstreamId) -> Tally {
        if self.memberships.is_empty() {
            return Tally::Lost(None);
        }
        let granted = |vote: Option<Vote>| vote == Some(Vote::Granted);
        let refused = |vote: Option<Vote>| vote == Some(Vote::Other(Claim::Refuse));
        let possible = |vote: Option<Vote>| vote.is_none() || granted(vote);
        if self.majority(votes, claimant, granted) {
            return Tally::Won;
        }
        if self.majority(votes, claimant, refused) {
            return Tally::Refused;
        }
        if self.majority(votes, claimant, possible) {
            return Tally::Open;
        }
        Tally::Lost(stronger_rival(votes, claimant))
    }

    /// Whether the votes that count are a majority of every membership.
    ///
    /// In a settled membership the claimant's own vote suffices, which it casts for nothing that
    /// contradicts a record.
    fn majority(
        &self,
        votes: &[(UpstreamId, Vote)],
        claimant: UpstreamId,
        counts: impl Fn(Option<Vote>) -> bool,
    ) -> bool {
        self.memberships.iter().all(|membership| {
            if membership.settled && counts(vote_of(votes, claimant)) {
                return true;
            }
            let counted =
                membership.members.iter().filter(|member| counts(vote_of(votes, **member)));
            2 * counted.count() > membership.members.len()
        })
    }
}

impl Membership {
    /// When all claims that were made under it will have expired, if no agent can make new ones.
    fn outdated_until(&self) -> Option<Millis> {
        let own = self.outdated_since.map(|since| since.after(limits::CLAIM_TTL_MS));
        own.into_iter().chain(self.reported_until).min()
    }

    /// Hash of the members. It is the same in all processes.
    fn digest(&self) -> u64 {
        let mut hasher = SipHasher13::new();
        self.members.iter().for_each(|member| hasher.write_u64(member.0));
        hasher.finish()
    }

    fn is_same(&self, other: &Membership) -> bool {
        (self.from, self.next) == (other.from, other.next) && self.members == other.members
    }
}

/// Versions up to `current` in which the membership may have changed.
fn change_versions(upstreams: &[&Upstream], current: Version) -> Vec<Version> {
    let mut versions: Vec<Version> = upstreams
        .iter()
        .flat_map(|upstream| [Some(upstream.spec.since), upstream.spec.retired])
        .flatten()
        .chain([current])
        .filter(|version| *version <= current)
        .collect();
    versions.sort_unstable();
    versions.dedup();
    versions
}

fn vote_of(votes: &[(UpstreamId, Vote)], witness: UpstreamId) -> Option<Vote> {
    let index = votes.binary_search_by_key(&witness, |(id, _)| *id).ok()?;
    Some(votes[index].1)
}

/// The rival claim that the claimant yields to: the one with the most votes, if it has more than
/// the claimant's. The larger id breaks a tie, so that exactly one of two rivals yields.
fn stronger_rival(votes: &[(UpstreamId, Vote)], claimant: UpstreamId) -> Option<Claim> {
    let count = |vote: Vote| votes.iter().filter(|(_, known)| *known == vote).count();
    let own = (count(Vote::Granted), claimant);
    votes
        .iter()
        .filter_map(|(_, vote)| match vote {
            Vote::Other(Claim::Run(rival)) if *rival != claimant => Some((count(*vote), *rival)),
            _ => None,
        })
        .max()
        .filter(|rival| *rival > own)
        .map(|(_, rival)| Claim::Run(rival))
}
