//! Asks agents of which endpoints their upstreams hold flows.
//!
//! A balancer that does not know to which services routes led before its start cannot tell where
//! else a flow may be open. Agents can: they have outlived the balancers' restart. A flow counts as
//! lost only if each agent that its search did not ask has answered a question from after the flow's
//! packet, and could tell.

use std::net::{Ipv4Addr, SocketAddrV4};

use super::types::Trust;
use crate::flow::{FlowKey, Millis};
use crate::membership::{self, OUTAGE_LINGER_MS};
use crate::side::EndpointReport;
use crate::view::{ServiceStamp, Upstream, View};

/// Maximum number of questions for each tick. Ticks come every 20 ms; a hundred questions a second
/// cost a balancer 6.4 KB, and the answers some 10 KB.
const QUESTIONS_PER_TICK: usize = 2;
/// Interval between two questions to an agent that has not answered, and to one that cannot tell.
const REPEAT_MS: Millis = 200;
const REPEAT_UNSURE_MS: Millis = 1_000;
/// Maximum number of known holders.
const HOLDERS_MAX: usize = 65_536;
/// Numbers of questions have room for three bytes in a packet.
const NUMBER_MASK: u32 = 0xff_ffff;

/// An upstream that may hold flows of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Holder {
    endpoint: SocketAddrV4,
    address: Ipv4Addr,
    service: ServiceStamp,
    until_ms: Millis,
}

/// A question to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Question {
    /// Address of the agent's instance.
    pub to: Ipv4Addr,
    /// Number that the answer repeats.
    pub number: u32,
}

/// What is known of an agent's answers.
#[derive(Clone, Copy, Debug)]
struct Agent {
    address: Ipv4Addr,
    /// The open question: its number, and when it was asked first.
    open: Option<(u32, Millis)>,
    /// When a question may be sent again.
    repeat_ms: Millis,
    /// When the latest question was asked whose answer told everything.
    told_ms: Option<Millis>,
}

/// The questions, and what was learnt from the answers.
#[derive(Clone, Debug, Default)]
pub(super) struct Survey {
    /// Sorted by endpoint and address.
    holders: Vec<Holder>,
    /// Sorted by address.
    agents: Vec<Agent>,
    /// Agents are asked until each has told what it held at this time.
    wanted_ms: Option<Millis>,
    next_number: u32,
    /// A time at which the list was complete and every service that a route has left since was
    /// known.
    complete_list_ms: Option<Millis>,
}

impl Survey {
    /// Notes that the list of this view is in force, which can be trusted so far.
    pub(super) fn note_list(&mut self, now_ms: Millis, view: &View, trust: Trust) {
        // Entries that expired in an outage which ended before the history began are back by then.
        let known_from_ms = view.history().known_from_ms() + OUTAGE_LINGER_MS;
        let from_ms = known_from_ms.max(trust.complete_from_ms);
        self.complete_list_ms.take_if(|known_ms| *known_ms < from_ms);
        if self.complete_list_ms.is_none() && trust.is_whole_since(from_ms) {
            self.complete_list_ms = Some(now_ms);
        }
    }

    /// Whether an upstream has started so late that it can hold no flow of a service that a route had
    /// left before the history began: it was not in the list when that was complete.
    pub(super) fn is_new(&self, upstream: &Upstream) -> bool {
        self.complete_list_ms.is_some_and(|complete_ms| upstream.listed_ms > complete_ms)
    }

    /// Whether the agent at `address` has told everything by an answer to a question that was asked
    /// at this time or later. If not, it is going to be asked.
    pub(super) fn has_told(&mut self, address: Ipv4Addr, since_ms: Millis) -> bool {
        let told_ms = self.find(address).ok().and_then(|index| self.agents[index].told_ms);
        let has_told = told_ms.is_some_and(|told_ms| told_ms >= since_ms);
        if !has_told {
            self.wanted_ms = self.wanted_ms.max(Some(since_ms));
        }
        has_told
    }

    /// The questions to send now.
    pub(super) fn take_questions(&mut self, now_ms: Millis, view: &View) -> Vec<Question> {
        let Some(wanted_ms) = self.wanted_ms.filter(|_| !view.history().is_complete(now_ms)) else {
            return Vec::new();
        };
        self.update_agents(now_ms, view);
        let lacks = |agent: &&mut Agent| agent.told_ms.is_none_or(|told_ms| told_ms < wanted_ms);
        let mut lacking: Vec<&mut Agent> = self.agents.iter_mut().filter(lacks).collect();
        if lacking.is_empty() {
            self.wanted_ms = None;
            return Vec::new();
        }
        lacking.retain(|agent| agent.repeat_ms <= now_ms);
        lacking.sort_by_key(|agent| agent.repeat_ms);
        lacking.truncate(QUESTIONS_PER_TICK);
        let mut questions = Vec::new();
        for agent in lacking {
            self.next_number = (self.next_number + 1) & NUMBER_MASK;
            let (number, _) = *agent.open.get_or_insert((self.next_number, now_ms));
            agent.repeat_ms = now_ms + REPEAT_MS;
            questions.push(Question { to: agent.address, number });
        }
        questions
    }

    /// Keeps one record for each upstream of the view.
    fn update_agents(&mut self, now_ms: Millis, view: &View) {
        let upstreams = view.all_upstreams();
        let upstreams = upstreams.filter(|upstream| {
            !membership::is_gone(upstream.standing, now_ms) && !self.is_new(upstream)
        });
        let mut addresses: Vec<Ipv4Addr> = upstreams.map(|upstream| upstream.address).collect();
        addresses.sort_unstable();
        addresses.dedup();
        let known = |address: &Ipv4Addr| match self.find(*address) {
            Ok(index) => self.agents[index],
            Err(_) => Agent { address: *address, open: None, repeat_ms: 0, told_ms: None },
        };
        self.agents = addresses.iter().map(known).collect();
    }

    /// Takes the answer of the agent at `address`, beside an upstream of `service`.
    pub(super) fn on_answer(
        &mut self,
        now_ms: Millis,
        address: Ipv4Addr,
        service: ServiceStamp,
        number: u32,
        report: &EndpointReport,
    ) {
        let Ok(index) = self.find(address) else { return };
        let agent = &mut self.agents[index];
        let Some((_, asked_ms)) = agent.open.take_if(|(open, _)| *open == number) else { return };
        if report.is_whole {
            agent.told_ms = Some(asked_ms);
        } else {
            agent.repeat_ms = now_ms + REPEAT_UNSURE_MS;
        }
        for held in &report.held {
            let until_ms = now_ms + held.left_ms;
            self.record_holder(Holder { endpoint: held.endpoint, address, service, until_ms });
        }
    }

    /// Notes that the agent at `address` is of a release that cannot answer.
    pub(super) fn on_unable(&mut self, now_ms: Millis, address: Ipv4Addr) {
        if let Ok(index) = self.find(address) {
            let agent = &mut self.agents[index];
            agent.repeat_ms = agent.repeat_ms.max(now_ms + REPEAT_UNSURE_MS);
        }
    }

    fn record_holder(&mut self, holder: Holder) {
        let key = |holder: &Holder| (holder.endpoint, holder.address);
        match self.holders.binary_search_by_key(&key(&holder), key) {
            Ok(index) => self.holders[index] = holder,
            Err(index) if self.holders.len() < HOLDERS_MAX => self.holders.insert(index, holder),
            Err(_) => {}
        }
    }

    /// Whether an agent at `address` has told that its upstream may hold the flow, whatever service
    /// that upstream runs.
    pub(super) fn is_holder(&self, now_ms: Millis, flow: FlowKey, address: Ipv4Addr) -> bool {
        self.holder(now_ms, flow, address).is_some()
    }

    fn holder(&self, now_ms: Millis, flow: FlowKey, address: Ipv4Addr) -> Option<&Holder> {
        let key = (flow.endpoint, address);
        let index = self
            .holders
            .binary_search_by_key(&key, |known| (known.endpoint, known.address))
            .ok()?;
        Some(&self.holders[index]).filter(|holder| holder.until_ms > now_ms)
    }

    /// Whether the upstream may hold the flow according to its agent. The address may have gone to
    /// another upstream since.
    pub(super) fn may_hold(&self, now_ms: Millis, flow: FlowKey, upstream: &Upstream) -> bool {
        let holder = self.holder(now_ms, flow, upstream.address);
        holder.is_some_and(|holder| holder.service == upstream.service)
    }

    /// The upstreams that may hold the flow according to their agents.
    pub(super) fn holders<'a>(
        &'a self,
        now_ms: Millis,
        view: &'a View,
        flow: FlowKey,
    ) -> impl Iterator<Item = &'a Upstream> {
        let start = self.holders.partition_point(|holder| holder.endpoint < flow.endpoint);
        let same = self.holders[start..].iter();
        let same = same.take_while(move |holder| holder.endpoint == flow.endpoint);
        let upstreams = same.filter_map(|holder| view.upstream_at(holder.address));
        upstreams.filter(move |upstream| self.may_hold(now_ms, flow, upstream))
    }

    fn find(&self, address: Ipv4Addr) -> Result<usize, usize> {
        self.agents.binary_search_by_key(&address, |agent| agent.address)
    }
}
