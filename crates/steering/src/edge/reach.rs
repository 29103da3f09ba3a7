//! Which agents say anything at all.
//!
//! Load pattern: all instances lose power, and some do not come back. Their entries stay listed
//! until they lapse, eight seconds later. Until then, every flow that is lost might live there: no
//! search ends, each is begun anew with every repetition, and callers wait for a word until their
//! time is up.
//!
//! An agent that lives answers every packet that wants a word within 100 ms, also where its
//! upstream is dead or at work for long. What is learnt from one flow's silence is used for all: an
//! agent that owes a word is pinged, one that is quiet gets one packet now and then in place of every
//! flow's, and after a while counts as out of reach.

use std::net::Ipv4Addr;

use crate::flow::{FlowKey, Millis};
use crate::rank;
use crate::view::View;

/// Flows without a word before an agent is quiet: packets get lost, and an upstream that is at work
/// for one flow may hold up that flow's word.
const UNANSWERED_FLOWS_MIN: usize = 4;
/// Time without a word before an agent is quiet. It answers within a few milliseconds; the rest is
/// room for an instance with a small share of a processor.
const UNRESPONSIVE_AFTER_MS: Millis = 150;
/// Pause between two packets for a quiet agent. One that is back is noticed that much later.
const PROBE_INTERVAL_MS: Millis = 100;
/// Time without a word before an agent is out of reach. One that is stopped and started again is back
/// within half a second, and callers of long flows wait for a few seconds.
const UNREACHABLE_AFTER_MS: Millis = 1_000;
/// Time in which an agent that lives says something.
const REPLY_TIMEOUT_MS: Millis = 60;
/// A packet without a word that went out before this time proves nothing: the agent may be back.
const EVIDENCE_MAX_AGE_MS: Millis = 500;
/// After this time without a packet to it, an agent is judged anew. Callers repeat after 1.6 s at
/// the latest.
const RECORD_TTL_MS: Millis = 1_700;
/// Pings without a word that count as much as that many flows: agents answer them at once, whatever
/// their upstream is doing.
const UNANSWERED_PINGS_MIN: u32 = 3;
/// Pause between two pings of an agent that owes a word, and of one that is out of reach.
const PING_INTERVAL_MS: Millis = 100;
const PING_UNREACHABLE_INTERVAL_MS: Millis = 400;
/// Pings sent at a time. Ticks come every 20 ms; a hundred pings a second cost a balancer 6.4 KB.
const PINGS_PER_TICK: usize = 2;
/// Of so many agents, one may be out of reach without putting this balancer's own way in doubt.
const AGENTS_PER_UNREACHABLE: usize = 3;

#[derive(Clone, Copy, Debug)]
struct Agent {
    address: Ipv4Addr,
    /// The life of the upstream beside it: a new one starts with its instance.
    born_ms: u64,
    /// Hashes of flows whose packets are without a word.
    unanswered: [u64; UNANSWERED_FLOWS_MIN],
    unanswered_count: usize,
    /// Since when there are so many flows without a word that something is wrong.
    since_ms: Millis,
    /// Pings without a word, and since when there is one.
    unanswered_pings: u32,
    first_ping_ms: Millis,
    last_ping_ms: Millis,
    /// When it was asked last.
    last_request_ms: Millis,
    /// The first time it was asked of those that are not overdue yet, and the one before that.
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
        let pause_ms = match self.unanswered_pings {
            0 => REPLY_TIMEOUT_MS,
            _ if self.is_unreachable(now_ms) => PING_UNREACHABLE_INTERVAL_MS,
            _ => PING_INTERVAL_MS,
        };
        now_ms.saturating_sub(self.last_ping_ms) >= pause_ms
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

/// Agents that owe a word, by address.
#[derive(Clone, Debug, Default)]
pub(super) struct Reach {
    agents: Vec<Agent>,
}

impl Reach {
    /// Notes that a packet of this flow that wants a word went to the agent at `address`.
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

    /// Notes that the agent at `address` has said something.
    pub(super) fn record_reply(&mut self, address: Ipv4Addr) {
        if let Ok(index) = self.find(address) {
            self.agents.remove(index);
        }
    }

    /// Agents to be pinged now: those that have owed a word for a while, in turn.
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

    /// Forgets all silence: this process was paused, and words may wait unread.
    pub(super) fn clear(&mut self) {
        self.agents.clear();
    }

    /// Whether the agent at `address` leaves packets without a word.
    pub(super) fn is_unresponsive(&self, now_ms: Millis, address: Ipv4Addr) -> bool {
        let for_ms = self.agent(address).and_then(|agent| agent.unresponsive_for(now_ms));
        for_ms.is_some_and(|for_ms| for_ms >= UNRESPONSIVE_AFTER_MS)
    }

    /// Whether the agent at `address` has been quiet for so long that its upstream answers nobody.
    pub(super) fn is_unreachable(&self, now_ms: Millis, address: Ipv4Addr) -> bool {
        self.agent(address).is_some_and(|agent| agent.is_unreachable(now_ms))
    }

    /// Whether a quiet agent may get a packet now.
    pub(super) fn may_probe(&self, now_ms: Millis, address: Ipv4Addr) -> bool {
        let agent = self.agent(address);
        agent.is_some_and(|agent| now_ms.saturating_sub(agent.last_request_ms) >= PROBE_INTERVAL_MS)
    }

    /// Whether so few of these agents are out of reach that it is they who are gone.
    ///
    /// Where many are, this balancer is cut off, and their flows live on through its neighbours.
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
