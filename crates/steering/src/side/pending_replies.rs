//! Balancers that wait for a reply.
//!
//! An agent that has just started does not know the flows on which its upstream is processing
//! requests. A short reply notifies the balancer that the agent is running.

use std::net::Ipv4Addr;

use crate::flow::Millis;

/// Time without any reply after which a balancer is notified that this agent is running. Upstreams
/// return packets of flows that they do not hold at once, and balancers consider an agent
/// unresponsive after three times as long.
const REPLY_AFTER_MS: Millis = 50;
/// Maximum number of balancers. The fleet is far smaller; the bound keeps forged addresses from
/// using up memory.
const BALANCERS_MAX: usize = 4_096;

/// Waiting balancers sorted by address, and since when each waits.
#[derive(Debug, Default)]
pub(super) struct PendingReplies {
    balancers: Vec<(Ipv4Addr, Millis)>,
}

impl PendingReplies {
    /// Notes that a balancer asked for a report.
    pub(super) fn expect(&mut self, now_ms: Millis, balancer: Ipv4Addr) {
        if let Err(index) = self.find(balancer)
            && self.balancers.len() < BALANCERS_MAX
        {
            self.balancers.insert(index, (balancer, now_ms));
        }
    }

    /// Notes that a packet is sent to a balancer.
    pub(super) fn resolve(&mut self, balancer: Ipv4Addr) {
        if let Ok(index) = self.find(balancer) {
            self.balancers.remove(index);
        }
    }

    /// Removes and returns the balancers that have waited long enough.
    pub(super) fn take_due(&mut self, now_ms: Millis) -> Vec<Ipv4Addr> {
        let is_due = |(_, since_ms): &mut (Ipv4Addr, Millis)| {
            now_ms.saturating_sub(*since_ms) >= REPLY_AFTER_MS
        };
        self.balancers.extract_if(.., is_due).map(|(balancer, _)| balancer).collect()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.balancers.is_empty()
    }

    fn find(&self, balancer: Ipv4Addr) -> Result<usize, usize> {
        self.balancers.binary_search_by_key(&balancer, |(address, _)| *address)
    }
}
