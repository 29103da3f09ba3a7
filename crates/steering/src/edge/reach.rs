//! Detects agents that do not reply at all.
//!
//! If all instances lose power and some do not come back, their entries stay listed until they
//! lapse eight seconds later. Until then every lost flow could be at one of them, so that no search
//! would end, each retransmission would start another one, and callers would wait until their
//! timeout.
//!
//! A running agent replies within 100 ms to every packet that asks for a reply, even if its
//! upstream is dead or busy for long. A missing reply on one flow is therefore evidence for all
//! flows: an agent with missing replies is pinged; an unresponsive one gets only a single packet
//! from time to time instead of those of every flow, and after a while counts as unreachable.

use std::net::Ipv4Addr;

use crate::flow::{FlowKey, Millis};
use crate::rank;
use crate::view::View;

/// Flows without a reply from which an agent counts as unresponsive: packets get lost, and an
/// upstream that is busy with one flow may delay the reply on it.
const UNANSWERED_FLOWS_MIN: usize = 4;
/// Time without a reply after which an agent counts as unresponsive. It replies within a few
/// milliseconds; the rest is a margin for an instance with a small share of a processor.
const UNRESPONSIVE_AFTER_MS: Millis = 150;
/// Interval between two packets to an unresponsive agent, which bounds the delay until its return
/// is noticed.
const PROBE_INTERVAL_MS: Millis = 100;
/// Time without a reply after which an agent counts as unreachable. A restarted agent is back
/// within half a second, and callers of long flows wait for a few seconds.
const UNREACHABLE_AFTER_MS: Millis = 1_000;
/// Time in which a running agent replies.
const REPLY_TIMEOUT_MS: Millis = 60;
/// Unanswered packets older than this are no evidence: the agent may have come back since.
const EVIDENCE_MAX_AGE_MS: Millis = 500;
/// The record of an agent is discarded if no packet was sent to it for this long. Callers
/// retransmit after at most 1.6 s.
const RECORD_TTL_MS: Millis = 1_700;
/// Unanswered pings that count as much as that many flows: agents answer pings at once, whatever
/// their upstream does.
const UNANSWERED_PINGS_MIN: u32 = 3;
/// Interval between two pings to an agent with missing replies, and to an unreachable one.
const PING_INTERVAL_MS: Millis = 100;
const PING_UNREACHABLE_INTERVAL_MS: Millis = 400;
/// Maximum number of pings for each tick. Ticks come every 20 ms; a hundred pings a second cost a
/// balancer 6.4 KB.
const PINGS_PER_TICK: usize = 2;
/// One agent out of this many may be unreachable; if more are, this balancer's own connection is
/// suspected.
const AGENTS_PER_UNREACHABLE: usize = 3;

#[derive(Clone, Copy, Debug)]
struct Agent {
    address: Ipv4Addr,
    /// The incarnation of its upstream; it changes when the instance restarts.
    born_ms: u64,
    /// Hashes of flows with unanswered packets.
    unanswered: [u64; UNANSWERED_FLOWS_MIN],
    unanswered_count: usize,
    /// When the latest of these flows was added.
    since_ms: Millis,
    /// Number of unanswered pings, and the time of the first of them.
    unanswered_pings: u32,
    first_ping_ms: Millis,
    last_ping_ms: Millis,
    /// When the latest packet was sent to it.
    last_request_ms: Millis,
    /// Start of the current round of packets, which lasts for the reply timeout, and of the
    /// previous one.
    round_ms: Millis,
    previous_round_ms: Millis,
}

impl Agent {
    fn record_sent(&mut self, now_ms: Millis) {
        if now_ms.saturating_sub(self.round_ms) >= REPLY_TIMEOUT_MS {
            self.previous_round_ms = self.round_ms;
            self.round_ms = now_ms;
        }
        self.last_request_ms = now_ms;
    }

    fn record_unanswered(&mut self, now_ms: Millis, flow: u64) {
        self.record_sent(now_ms);
        if self.unanswered_count < UNANSWERED_FLOWS_MIN
            && !self.unanswered[..self.unanswered_count].contains(&flow)
        {
            self.unanswered[self.unanswered_count] = flow;
            self.unanswered_count += 1;
            self.since_ms = now_ms;
        }
    }

    fn record_ping(&mut self, now_ms: Millis) {
        self.record_sent(now_ms);
        if self.unanswered_pings == 0 {
            self.first_ping_ms = now_ms;
        }
        self.unanswered_pings += 1;
        self.last_ping_ms = now_ms;
    }

    fn is_ping_due(&self, now_ms: Millis) -> bool {
        let interval_ms = match self.unanswered_pings {
            0 => REPLY_TIMEOUT_MS,
            _ if self.is_unreachable(now_ms) => PING_UNREACHABLE_INTERVAL_MS,
            _ => PING_INTERVAL_MS,
        };
        now_ms.saturating_sub(self.last_ping_ms) >= interval_ms
    }

    fn is_unreachable(&self, now_ms: Millis) -> bool {
        self.unresponsive_for(now_ms).is_some_and(|for_ms| for_ms >= UNREACHABLE_AFTER_MS)
    }

    fn unresponsive_for(&self, now_ms: Millis) -> Option<Millis> {
        let is_fresh = [self.round_ms, self.previous_round_ms].iter().any(|at_ms| {
            (REPLY_TIMEOUT_MS..=EVIDENCE_MAX_AGE_MS).contains(&now_ms.saturating_sub(*at_ms))
        });
        let by_flows = (self.unanswered_count == UNANSWERED_FLOWS_MIN).then_some(self.since_ms);
        let by_pings =
            (self.unanswered_pings >= UNANSWERED_PINGS_MIN).then_some(self.first_ping_ms);
        let since_ms = by_flows.into_iter().chain(by_pings).min().filter(|_| is_fresh)?;
        Some(now_ms.saturating_sub(since_ms))
    }
}

/// Agents with missing replies, sorted by address.
#[derive(Clone, Debug, Default)]
pub(super) struct Reach {
    agents: Vec<Agent>,
}

impl Reach {
    /// Records that a packet of this flow, which asks for a reply, was sent to the agent at
    /// `address`.
    pub(super) fn record_request(
        &mut self,
        now_ms: Millis,
        view: &View,
        address: Ipv4Addr,
        flow: FlowKey,
    ) {
        let born_ms = view.upstream_at(address).map_or(0, |upstream| upstream.born_ms);
        let unanswered = [0; UNANSWERED_FLOWS_MIN];
        let blank = Agent {
            address,
            born_ms,
            unanswered,
            unanswered_count: 0,
            since_ms: now_ms,
            unanswered_pings: 0,
            first_ping_ms: now_ms,
            last_ping_ms: now_ms,
            last_request_ms: now_ms,
            previous_round_ms: 0,
            round_ms: now_ms,
        };
        let agent = match self.find(address) {
            Ok(index) => &mut self.agents[index],
            Err(index) => {
                self.agents.insert(index, blank);
                &mut self.agents[index]
            }
        };
        if agent.born_ms != born_ms || now_ms.saturating_sub(agent.last_request_ms) > RECORD_TTL_MS
        {
            *agent = blank;
        }
        agent.record_unanswered(now_ms, rank::flow_hash(flow));
    }

    /// Records a reply of the agent at `address`.
    pub(super) fn record_reply(&mut self, address: Ipv4Addr) {
        if let Ok(index) = self.find(address) {
            self.agents.remove(index);
        }
    }

    /// Agents to ping now, those with the oldest ping first.
    pub(super) fn take_pings(&mut self, now_ms: Millis, view: &View) -> Vec<Ipv4Addr> {
        let is_listed = |agent: &Agent| {
            let upstream = view.upstream_at(agent.address);
            upstream.is_some_and(|upstream| upstream.born_ms == agent.born_ms)
        };
        self.agents.retain(is_listed);
        let is_due = |agent: &&mut Agent| agent.is_ping_due(now_ms);
        let mut due: Vec<&mut Agent> = self.agents.iter_mut().filter(is_due).collect();
        due.sort_unstable_by_key(|agent| (agent.last_ping_ms, agent.address));
        due.truncate(PINGS_PER_TICK);
        due.iter_mut().for_each(|agent| agent.record_ping(now_ms));
        due.into_iter().map(|agent| agent.address).collect()
    }

    /// Forgets all missing replies: this process was paused, and replies may wait unread.
    pub(super) fn clear(&mut self) {
        self.agents.clear();
    }

    /// Whether the agent at `address` leaves packets unanswered.
    pub(super) fn is_unresponsive(&self, now_ms: Millis, address: Ipv4Addr) -> bool {
        let for_ms = self.agent(address).and_then(|agent| agent.unresponsive_for(now_ms));
        for_ms.is_some_and(|for_ms| for_ms >= UNRESPONSIVE_AFTER_MS)
    }

    /// Whether the agent at `address` has been unresponsive for so long that its upstream counts as
    /// unable to serve any flow.
    pub(super) fn is_unreachable(&self, now_ms: Millis, address: Ipv4Addr) -> bool {
        self.agent(address).is_some_and(|agent| agent.is_unreachable(now_ms))
    }

    /// Whether a packet may be sent to an unresponsive agent now.
    pub(super) fn may_probe(&self, now_ms: Millis, address: Ipv4Addr) -> bool {
        let agent = self.agent(address);
        agent.is_some_and(|agent| now_ms.saturating_sub(agent.last_request_ms) >= PROBE_INTERVAL_MS)
    }

    /// Whether so few of these agents are unreachable that the fault is on their side.
    ///
    /// If many are unreachable, this balancer is cut off, and their flows continue through its
    /// neighbours.
    pub(super) fn is_small_share(unreachable: usize, all: usize) -> bool {
        unreachable * AGENTS_PER_UNREACHABLE <= all
    }

    fn agent(&self, address: Ipv4Addr) -> Option<&Agent> {
        self.find(address).ok().map(|index| &self.agents[index])
    }

    fn find(&self, address: Ipv4Addr) -> Result<usize, usize> {
        self.agents.binary_search_by_key(&address, |agent| agent.address)
    }
}
