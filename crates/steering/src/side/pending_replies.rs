//! Balancers that wait for a reply.
//!
//! An agent that has just started does not know the flows on which its upstream works; one short word
//! tells a balancer that it lives.

use std::net::Ipv4Addr;

use crate::flow::Millis;

/// Time without any word after which a balancer is told that this agent lives. Upstreams return at
/// once what they do not hold, and balancers count an agent as quiet after three times as long.
const REPLY_AFTER_MS: Millis = 50;
/// Balancers remembered at most; the fleet is far smaller, and what is forged must cost no memory.
const BALANCERS_MAX: usize = 4_096;

/// Balancers by address, and since when they wait.
#[derive(Debug, Default)]
pub(super) struct PendingReplies {
    balancers: Vec<(Ipv4Addr, Millis)>,
}

impl PendingReplies {
    /// A balancer has asked for a word.
    pub(super) fn expect(&mut self, now_ms: Millis, balancer: Ipv4Addr) {
        if let Err(index) = self.find(balancer)
            && self.balancers.len() < BALANCERS_MAX
        {
            self.balancers.insert(index, (balancer, now_ms));
        }
    }

    /// A balancer gets a word.
    pub(super) fn resolve(&mut self, balancer: Ipv4Addr) {
        if let Ok(index) = self.find(balancer) {
            self.balancers.remove(index);
        }
    }

    /// Takes the balancers that have waited for long enough.
    pub(super) fn take_due(&mut self, now_ms: Millis) -> Vec<Ipv4Addr> {
        let is_due = |(_, since_ms): &mut (Ipv4Addr, Millis)| {
            now_ms.saturating_sub(*since_ms) >= REPLY_AFTER_MS
        };
        self.balancers.extract_if(.., is_due).map(|(balancer, _)| balancer).collect()
    }

    /// Whether no balancer waits.
    pub(super) fn is_empty(&self) -> bool {
        self.balancers.is_empty()
    }

    fn find(&self, balancer: Ipv4Addr) -> Result<usize, usize> {
        self.balancers.binary_search_by_key(&balancer, |(address, _)| *address)
    }
}
