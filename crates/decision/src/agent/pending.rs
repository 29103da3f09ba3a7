//! Claims of this agent that wait for witnesses, each with the held packet of its opening.

use super::quorum::Vote;
use super::sorted::SortedMap;
use super::{HoldKey, Reason};
use crate::keys::UpstreamId;
use crate::message::{Claim, Opening};
use crate::time::Millis;

/// Decision about an opening that this agent attempts to claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Attempt {
    pub(super) opening: Opening,
    pub(super) claim: Claim,
    /// Reason to report to the caller if the claim is a refusal.
    pub(super) refusal: Reason,
    /// Hops of the packet.
    pub(super) hops: u8,
}

/// A claim that waits for witnesses.
#[derive(Clone, Debug)]
pub(super) struct PendingClaim {
    pub(super) attempt: Attempt,
    pub(super) hold: HoldKey,
    /// Whether a majority must grant the claim. Otherwise it suffices that no witness objects in
    /// time.
    pub(super) quorum: bool,
    /// Witnesses in sorted order with their votes, `None` until they answer.
    pub(super) votes: Vec<(UpstreamId, Option<Vote>)>,
    pub(super) deadline: Millis,
    pub(super) resend_at: Millis,
}

/// Claims that wait for witnesses, by opening.
pub(super) type PendingTable = SortedMap<Opening, PendingClaim>;

impl PendingClaim {
    /// Records a vote. Returns false if the voter was not asked.
    pub(super) fn record_vote(&mut self, witness: UpstreamId, vote: Vote) -> bool {
        match self.votes.binary_search_by_key(&witness, |(id, _)| *id) {
            Ok(index) => {
                self.votes[index].1 = Some(vote);
                true
            }
            Err(_) => false,
        }
    }

    /// Votes received so far.
    pub(super) fn received_votes(&self) -> Vec<(UpstreamId, Vote)> {
        self.votes.iter().filter_map(|(id, vote)| Some((*id, (*vote)?))).collect()
    }

    /// Witnesses that have not answered.
    pub(super) fn unanswered(&self) -> impl Iterator<Item = UpstreamId> + '_ {
        self.votes.iter().filter(|(_, vote)| vote.is_none()).map(|(id, _)| *id)
    }
}
