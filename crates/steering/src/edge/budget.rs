//! Bounds the packets that a balancer sends beyond those of its callers.
//!
//! Retransmissions, copies and searches react to missing replies. If the cause is too much traffic,
//! each of them adds to it, and more replies go missing: without a bound, one balancer on a slow
//! link sent 22,000 extra packets in 20 s, fifteen for each flow that it was given, and did not
//! recover. Extra packets are therefore limited to a share of what callers send.
//!
//! After a scale-in by a third of a service, the flows of a neighbouring balancer may arrive here
//! in the middle of long answers. Each of them needs one query for every upstream of its ranking
//! that is gone, and the number of flows grows with the fleet. Each packet of a flow's caller after
//! the first therefore pays for a query of that flow, and half of the shared budget is reserved for
//! queries; copies may not use it.

use crate::policy::Policy;

/// Extra packets that a balancer may save up for a moment in which many flows need them at once, as
/// when it takes over the flows of a neighbour.
const BURST_MAX: u32 = 400;
/// Extra packets that are reserved for search queries; copies use only the rest.
const RESERVED_FOR_SEARCH: u32 = BURST_MAX / 2;
/// Tokens that an extra packet costs; each packet of a caller adds one token. Few packets of an
/// unloaded balancer need a retransmission, and any link has room for a tenth more.
const TOKENS_PER_PACKET: u32 = 10;

/// Token bucket for extra packets.
#[derive(Clone, Copy, Debug)]
pub(super) struct Budget {
    /// An extra packet costs `TOKENS_PER_PACKET`.
    tokens: u32,
    bounded: bool,
}

impl Default for Budget {
    fn default() -> Self {
        Self::with_policy(Policy::default())
    }
}

impl Budget {
    /// A full budget.
    pub(super) fn with_policy(policy: Policy) -> Self {
        Self { tokens: BURST_MAX * TOKENS_PER_PACKET, bounded: policy.budget }
    }

    /// Adds a token for a caller's packet.
    pub(super) fn credit(&mut self) {
        self.tokens = (self.tokens + 1).min(BURST_MAX * TOKENS_PER_PACKET);
    }

    /// Whether copies are suspended: the remaining tokens are reserved for queries, each of which
    /// advances a search.
    pub(super) fn is_low(&self) -> bool {
        self.bounded && self.tokens <= RESERVED_FOR_SEARCH * TOKENS_PER_PACKET
    }

    /// Whether a copy may be sent in addition to a query; if so, takes its tokens.
    pub(super) fn try_spend_on_copy(&mut self) -> bool {
        !self.is_low() && self.try_spend()
    }

    /// Whether an extra packet may be sent; if so, takes its tokens.
    pub(super) fn try_spend(&mut self) -> bool {
        let left = self.tokens.checked_sub(TOKENS_PER_PACKET);
        self.tokens = left.unwrap_or(self.tokens);
        left.is_some() || !self.bounded
    }
}
