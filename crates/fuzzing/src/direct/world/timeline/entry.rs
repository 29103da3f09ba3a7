//! Entries of a time line.

use steering::edge::{Action, Verdict};
use steering::flow::FlowKey;
use steering::side::PacketOutcome;

use super::super::{Packet, SERVICES_COUNT};
use crate::direct::upstream::Reaction;
use crate::direct::{Change, Violation};

/// What happens to a message that arrives at a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::direct::world) enum Intake {
    Handled,
    /// It waits while the balancer is paused.
    Waits {
        until_ms: u64,
    },
    /// The balancer is down.
    Lost,
}

/// What a caller receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::direct::world) enum Received {
    Accept { upstream: usize, incarnation: u64 },
    Answer,
    Part { end_bytes: u32 },
    Confirmation,
    Reset,
}

/// A service that a route has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::direct::world) struct Former {
    pub(super) endpoint_index: usize,
    pub(super) service: usize,
    pub(super) until_ms: u64,
}

/// What a balancer knows of routes and upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::direct::world) struct List {
    pub(super) routes_version: u64,
    /// Services that routes have left.
    pub(super) former: Vec<Former>,
    /// When the history is complete; zero if it is.
    pub(super) history_from_ms: u64,
    /// From when on the list counts as complete; zero if it does.
    pub(super) complete_from_ms: u64,
    /// Upstreams of each service that are ready, draining and missing.
    pub(super) ready: [Vec<usize>; SERVICES_COUNT],
    pub(super) draining: [Vec<usize>; SERVICES_COUNT],
    pub(super) missing: [Vec<usize>; SERVICES_COUNT],
    pub(super) closed_zones: Vec<usize>,
}

/// Whom an entry is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::direct::world) enum Subject {
    World,
    Zone(usize),
    Route(usize),
    Balancer(usize),
    Agent(usize),
    Upstream(usize),
    Caller,
}

/// The kinds of state of which the latest entry is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::direct::world) enum StateKind {
    Process,
    Connection,
    Pause,
    Listing,
    Content,
}

/// An event of an episode.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::direct::world) enum Entry {
    Change(Change),
    BalancerCut {
        balancer: usize,
        until_ms: u64,
    },
    BalancerPaused {
        balancer: usize,
        until_ms: u64,
    },
    BalancerStopped(usize),
    /// A balancer has a new list, or starts with its first one.
    List {
        balancer: usize,
        starts: bool,
        list: Box<List>,
    },
    AgentCut {
        upstream: usize,
        until_ms: u64,
    },
    AgentStopped(usize),
    AgentStarted {
        upstream: usize,
        service: usize,
    },
    UpstreamSlow {
        upstream: usize,
        until_ms: u64,
    },
    UpstreamDraining(usize),
    UpstreamStopped(usize),
    /// An upstream stops together with its agent.
    InstanceStopped(usize),
    UpstreamStarted {
        upstream: usize,
        service: usize,
        incarnation: u64,
    },
    Delisted(usize),
    Relisted(usize),
    RoutesPublished {
        version: u64,
        endpoint_index: usize,
        shares: [u32; SERVICES_COUNT],
    },
    ZoneClosed(usize),
    ZoneOpened(usize),
    /// A caller sends a packet.
    Sent {
        balancer: usize,
        packet: Packet,
    },
    AtBalancer {
        balancer: usize,
        packet: Packet,
        intake: Intake,
    },
    /// A balancer decides on a packet.
    Decided {
        balancer: usize,
        packet: Packet,
        action: Action,
    },
    /// A packet does not reach an agent: it is cut off, or down.
    AgentMissed {
        upstream: usize,
        packet: Packet,
        cut_off: bool,
    },
    AtAgent {
        upstream: usize,
        balancer: usize,
        packet: Packet,
        outcome: PacketOutcome,
    },
    AtUpstream {
        upstream: usize,
        incarnation: u64,
        packet: Packet,
        reaction: Reaction,
        slow: bool,
    },
    /// A slow upstream has finished an answer, unless it has been restarted meanwhile.
    SlowAnswer {
        upstream: usize,
        packet: Packet,
        finished: bool,
    },
    PartSent {
        upstream: usize,
        flow: FlowKey,
        end_bytes: u32,
        lost: bool,
    },
    /// An agent that is cut off replies.
    ReplyLost {
        balancer: usize,
        upstream: usize,
        verdict: Verdict,
        packet: Packet,
    },
    Reply {
        balancer: usize,
        upstream: usize,
        verdict: Verdict,
        packet: Packet,
        intake: Intake,
    },
    CallerReceived {
        flow: FlowKey,
        received: Received,
        ignored: bool,
    },
    /// A caller leaves its flow and opens the next one.
    CallerLeft {
        flow: FlowKey,
        gave_up: bool,
        next_port: u16,
    },
    PassedOver(usize),
    Broken {
        violation: Violation,
        flow: FlowKey,
        /// The upstream that the caller has acknowledged, its incarnation, and whether it holds the
        /// flow.
        holder: Option<(usize, u64, bool)>,
    },
}

impl Entry {
    /// The flow that the entry is about, if it is about one.
    pub(super) fn flow(&self) -> Option<FlowKey> {
        match self {
            Self::Sent { packet, .. }
            | Self::AtBalancer { packet, .. }
            | Self::Decided { packet, .. }
            | Self::AgentMissed { packet, .. }
            | Self::AtAgent { packet, .. }
            | Self::AtUpstream { packet, .. }
            | Self::SlowAnswer { packet, .. }
            | Self::ReplyLost { packet, .. }
            | Self::Reply { packet, .. } => Some(packet.segment.flow),
            Self::PartSent { flow, .. }
            | Self::CallerReceived { flow, .. }
            | Self::CallerLeft { flow, .. }
            | Self::Broken { flow, .. } => Some(*flow),
            _ => None,
        }
    }

    /// The upstream that it involves.
    pub(super) fn upstream(&self) -> Option<usize> {
        match (self, self.subject()) {
            (Self::Reply { upstream, .. }, _) => Some(*upstream),
            (_, Subject::Agent(upstream) | Subject::Upstream(upstream)) => Some(upstream),
            _ => None,
        }
    }

    pub(super) fn subject(&self) -> Subject {
        match *self {
            Self::Change(_) | Self::Broken { .. } => Subject::World,
            Self::ZoneClosed(zone) | Self::ZoneOpened(zone) => Subject::Zone(zone),
            Self::RoutesPublished { endpoint_index, .. } => Subject::Route(endpoint_index),
            Self::BalancerStopped(balancer)
            | Self::BalancerCut { balancer, .. }
            | Self::BalancerPaused { balancer, .. }
            | Self::List { balancer, .. }
            | Self::AtBalancer { balancer, .. }
            | Self::Decided { balancer, .. }
            | Self::Reply { balancer, .. } => Subject::Balancer(balancer),
            Self::AgentStopped(upstream)
            | Self::AgentCut { upstream, .. }
            | Self::AgentStarted { upstream, .. }
            | Self::AgentMissed { upstream, .. }
            | Self::AtAgent { upstream, .. }
            | Self::ReplyLost { upstream, .. } => Subject::Agent(upstream),
            Self::UpstreamDraining(upstream)
            | Self::UpstreamStopped(upstream)
            | Self::InstanceStopped(upstream)
            | Self::Delisted(upstream)
            | Self::Relisted(upstream)
            | Self::PassedOver(upstream)
            | Self::UpstreamSlow { upstream, .. }
            | Self::UpstreamStarted { upstream, .. }
            | Self::AtUpstream { upstream, .. }
            | Self::SlowAnswer { upstream, .. }
            | Self::PartSent { upstream, .. } => Subject::Upstream(upstream),
            Self::Sent { .. } | Self::CallerReceived { .. } | Self::CallerLeft { .. } => {
                Subject::Caller
            }
        }
    }

    /// The state that it replaces, if it is about one.
    pub(super) fn state(&self) -> Option<(Subject, StateKind)> {
        let kind = match self {
            Self::BalancerStopped(_)
            | Self::AgentStopped(_)
            | Self::AgentStarted { .. }
            | Self::UpstreamStopped(_)
            | Self::InstanceStopped(_)
            | Self::UpstreamStarted { .. } => StateKind::Process,
            Self::BalancerCut { .. } | Self::AgentCut { .. } => StateKind::Connection,
            Self::BalancerPaused { .. } | Self::UpstreamSlow { .. } => StateKind::Pause,
            Self::UpstreamDraining(_) | Self::Delisted(_) | Self::Relisted(_) => StateKind::Listing,
            Self::List { starts: true, .. } => StateKind::Process,
            Self::List { .. }
            | Self::RoutesPublished { .. }
            | Self::ZoneClosed(_)
            | Self::ZoneOpened(_) => StateKind::Content,
            _ => return None,
        };
        Some((self.subject(), kind))
    }

    /// When the state ends, if that is known.
    pub(super) fn until_ms(&self) -> Option<u64> {
        match *self {
            Self::BalancerCut { until_ms, .. }
            | Self::BalancerPaused { until_ms, .. }
            | Self::AgentCut { until_ms, .. }
            | Self::UpstreamSlow { until_ms, .. } => Some(until_ms),
            _ => None,
        }
    }

    /// The entry reduced to what matters for one endpoint.
    pub(super) fn about(&self, endpoint_index: usize) -> Self {
        let mut entry = self.clone();
        if let Self::List { list, .. } = &mut entry {
            list.former.retain(|former| former.endpoint_index == endpoint_index);
        }
        entry
    }
}
