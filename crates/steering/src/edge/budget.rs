//! How much may be sent beyond what callers send.
//!
//! Repetitions, copies and searches answer silence, and silence has many causes. Where the cause is
//! too much traffic, each of them adds to it, and more is silent: one balancer with a thin link sent
//! 22,000 packets of its own in 20 s, fifteen for each flow that it was given, and did not come back.
//! As a share of what callers send, the own packets cannot be what keeps a balancer busy.
//!
//! Load pattern: a third of a service has just left, and the flows of a neighbour come here in the middle of
//! long answers. Each needs a question for every upstream on its way that is gone, and there are as many
//! flows as the fleet is large: the packets of a flow's caller after the first earn these questions, and
//! what all flows share is kept for questions before copies beside them are sent.

use crate::policy::Policy;

/// Packets of its own that a balancer may save up for a moment in which many flows need them: a
/// neighbour has gone, and its flows come here at once.
const BURST_MAX: u32 = 400;
/// Packets of these that are kept for questions; copies beside them are sent from the others.
const RESERVED_FOR_SEARCH: u32 = BURST_MAX / 2;
/// Packets of callers that earn one of its own. Few of a calm balancer's packets need a second way,
/// and a tenth more is what any link bears.
const TOKENS_PER_PACKET: u32 = 10;

/// What is left to send.
#[derive(Clone, Copy, Debug)]
pub(super) struct Budget {
    /// In tokens of a packet: `TOKENS_PER_PACKET` are a whole one.
    tokens: u32,
    bounded: bool,
}

impl Default for Budget {
    fn default() -> Self {
        Self::with(Policy::default())
    }
}

impl Budget {
    /// A full budget.
    pub(super) fn with(policy: Policy) -> Self {
        Self { tokens: BURST_MAX * TOKENS_PER_PACKET, bounded: policy.budget }
    }

    /// A caller's packet has come.
    pub(super) fn credit(&mut self) {
        self.tokens = (self.tokens + 1).min(BURST_MAX * TOKENS_PER_PACKET);
    }

    /// Whether no copies may be sent now: what is left is for questions, each of which leads a search on.
    pub(super) fn is_low(&self) -> bool {
        self.bounded && self.tokens <= RESERVED_FOR_SEARCH * TOKENS_PER_PACKET
    }

    /// Whether a copy may be sent beside a question; if so, it counts as sent.
    pub(super) fn try_spend_on_copy(&mut self) -> bool {
        !self.is_low() && self.try_spend()
    }

    /// Whether a packet of the own may be sent; if so, it counts as sent.
    pub(super) fn try_spend(&mut self) -> bool {
        let left = self.tokens.checked_sub(TOKENS_PER_PACKET);
        self.tokens = left.unwrap_or(self.tokens);
        left.is_some() || !self.bounded
    }
}
