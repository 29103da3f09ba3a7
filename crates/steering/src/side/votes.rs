//! The last vote of each balancer on a question that a balancer with an old view answers wrongly.

use std::net::Ipv4Addr;

use crate::flow::Millis;

/// Balancers remembered at most: what is forged must cost no memory.
const BALANCERS_MAX: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Vote {
    balancer: Ipv4Addr,
    yes: bool,
    at_ms: Millis,
}

/// For how long a vote counts.
#[derive(Clone, Copy, Debug)]
pub(super) struct Validity {
    pub(super) yes_ms: Millis,
    pub(super) no_ms: Millis,
}

/// Votes by balancer.
#[derive(Debug)]
pub(super) struct Votes {
    votes: Vec<Vote>,
    validity: Validity,
}

impl Votes {
    /// Nobody has said anything.
    pub(super) fn new(validity: Validity) -> Self {
        Self { votes: Vec::new(), validity }
    }

    /// Takes a balancer's vote.
    pub(super) fn record(&mut self, now_ms: Millis, balancer: Ipv4Addr, yes: bool) {
        let vote = Vote { balancer, yes, at_ms: now_ms };
        match self.votes.binary_search_by_key(&balancer, |vote| vote.balancer) {
            Ok(index) => self.votes[index] = vote,
            Err(index) if self.votes.len() < BALANCERS_MAX => self.votes.insert(index, vote),
            Err(_) => {}
        }
    }

    /// How many say yes, and how many say something.
    pub(super) fn count(&mut self, now_ms: Millis) -> (usize, usize) {
        let Validity { yes_ms, no_ms } = self.validity;
        let valid_ms = |vote: &Vote| if vote.yes { yes_ms } else { no_ms };
        self.votes.retain(|vote| now_ms.saturating_sub(vote.at_ms) < valid_ms(vote));
        (self.votes.iter().filter(|vote| vote.yes).count(), self.votes.len())
    }
}
