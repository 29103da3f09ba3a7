//! Votes on a claim, and whether they are a majority of every membership that may be in force.
//!
//! Two claimants may run different settings, and so count different members. Each therefore needs
//! a majority in every membership that its settings remember: for any two claimants there is one
//! that both have counted, and two majorities of it share a witness, which votes once. The
//! argument is written down in `docs/decisions/at-most-once.md`.

use crate::keys::{UpstreamId, Version};
use crate::message::Claim;
use crate::view::{Service, View};

/// What one witness has said about a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Vote {
    /// It has recorded the claim.
    Granted,
    /// It has recorded another one.
    Other(Claim),
    /// It cannot say.
    Abstained,
}

/// The memberships of a service, each a sorted list of witnesses.
#[derive(Clone, Debug, Default)]
pub(super) struct Cuts {
    cuts: Vec<Vec<UpstreamId>>,
}

/// How the votes stand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Tally {
    /// The claim has a majority in every cut.
    Won,
    /// A refusal by another claimant has a majority in every cut.
    Refused,
    /// The claim can still win.
    Open,
    /// The claim cannot win any more; if given, most other votes are for this claim.
    Lost(Option<Claim>),
}

impl Cuts {
    /// The memberships that the settings of `service` remember.
    pub(super) fn of(view: &View, service: &Service, current: Version) -> Self {
        let upstreams: Vec<_> = service.upstream_keys().map(|key| view.upstream(key)).collect();
        let mut versions: Vec<Version> = upstreams
            .iter()
            .flat_map(|upstream| [Some(upstream.spec.since), upstream.spec.retired])
            .flatten()
            .chain([current])
            .filter(|version| *version <= current)
            .collect();
        versions.sort_unstable();
        versions.dedup();
        let members = |version: Version| {
            let listed = upstreams.iter().filter(|upstream| {
                let spec = &upstream.spec;
                spec.since <= version && spec.retired.is_none_or(|retired| version < retired)
            });
            listed.map(|upstream| upstream.id).collect::<Vec<_>>()
        };
        let mut cuts: Vec<Vec<UpstreamId>> = versions.into_iter().map(members).collect();
        cuts.retain(|members| !members.is_empty());
        cuts.dedup();
        Self { cuts }
    }

    /// Everybody who may be asked to vote.
    pub(super) fn witnesses(&self) -> Vec<UpstreamId> {
        let mut all: Vec<UpstreamId> = self.cuts.iter().flatten().copied().collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Counts the votes, sorted by witness, for a claim of `claimant`.
    pub(super) fn tally(&self, votes: &[(UpstreamId, Vote)], claimant: UpstreamId) -> Tally {
        if self.cuts.is_empty() {
            return Tally::Lost(None);
        }
        let granted = |vote: Option<Vote>| vote == Some(Vote::Granted);
        let refused = |vote: Option<Vote>| vote == Some(Vote::Other(Claim::Refuse));
        let possible = |vote: Option<Vote>| vote.is_none() || granted(vote);
        if self.majority(votes, granted) {
            return Tally::Won;
        }
        if self.majority(votes, refused) {
            return Tally::Refused;
        }
        if self.majority(votes, possible) {
            return Tally::Open;
        }
        Tally::Lost(stronger(votes, claimant))
    }

    fn majority(
        &self,
        votes: &[(UpstreamId, Vote)],
        counts: impl Fn(Option<Vote>) -> bool,
    ) -> bool {
        self.cuts.iter().all(|members| {
            let count = members.iter().filter(|member| counts(vote_of(votes, **member))).count();
            2 * count > members.len()
        })
    }
}

fn vote_of(votes: &[(UpstreamId, Vote)], witness: UpstreamId) -> Option<Vote> {
    let index = votes.binary_search_by_key(&witness, |(id, _)| *id).ok()?;
    Some(votes[index].1)
}

/// The rival with more votes than the claimant; equal votes go to the larger id, so that of two
/// rivals one yields.
fn stronger(votes: &[(UpstreamId, Vote)], claimant: UpstreamId) -> Option<Claim> {
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
