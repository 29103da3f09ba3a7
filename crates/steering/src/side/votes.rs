//! The latest vote of each balancer on a yes-or-no question about the upstream. One balancer's vote
//! may be wrong, because its view is outdated.

use std::net::Ipv4Addr;

use crate::flow::Millis;

/// Maximum number of balancers; the bound keeps forged addresses from using up memory.
const BALANCERS_MAX: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Vote {
    balancer: Ipv4Addr,
    yes: bool,
    at_ms: Millis,
}

/// How long a vote counts.
#[derive(Clone, Copy, Debug)]
pub(super) struct Validity {
    pub(super) yes_ms: Millis,
    pub(super) no_ms: Millis,
}

/// Latest votes, sorted by balancer.
#[derive(Debug)]
pub(super) struct Votes {
    votes: Vec<Vote>,
    validity: Validity,
}

impl Votes {
    /// Creates an empty set of votes.
    pub(super) fn new(validity: Validity) -> Self {
        Self { votes: Vec::new(), validity }
    }

    /// Records a balancer's vote, replacing its previous one.
    pub(super) fn record(&mut self, now_ms: Millis, balancer: Ipv4Addr, yes: bool) {
        let vote = Vote { balancer, yes, at_ms: now_ms };
        match self.votes.binary_search_by_key(&balancer, |vote| vote.balancer) {
            Ok(index) => self.votes[index] = vote,
            Err(index) if self.votes.len() < BALANCERS_MAX => self.votes.insert(index, vote),
            Err(_) => {}
        }
    }

    /// Drops outdated votes, and returns the numbers of yes votes and of all votes.
    pub(super) fn count(&mut self, now_ms: Millis) -> (usize, usize) {
        let Validity { yes_ms, no_ms } = self.validity;
        let valid_ms = |vote: &Vote| if vote.yes { yes_ms } else { no_ms };
        self.votes.retain(|vote| now_ms.saturating_sub(vote.at_ms) < valid_ms(vote));
        (self.votes.iter().filter(|vote| vote.yes).count(), self.votes.len())
    }
}
