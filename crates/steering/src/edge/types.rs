//! Inputs and outputs of a balancer's decisions.

use std::net::Ipv4Addr;

use crate::flow::{FlowKey, Millis};
use crate::side::LoadEstimate;
use crate::view::{ServiceStamp, ShortStamp, View};

/// An agent's reply about a packet that it received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The upstream answers on this flow and has `busy` requests in progress.
    Held {
        /// Requests in progress.
        busy: u8,
        /// The sequence number with which the upstream answered an opening, if it answered one.
        opening_sequence: Option<u32>,
        /// The agent's estimate of its upstream's load, if it states one.
        load: Option<LoadEstimate>,
    },
    /// The agent is alive and has delivered the packet; its upstream has not answered yet.
    Alive,
    /// The upstream does not hold the flow, or cannot take it.
    Denied,
    /// The packet was addressed to another service than the upstream's, and was not delivered.
    WrongService {
        /// The service that the upstream runs.
        service: ShortStamp,
    },
    /// The packet did not tell the agent whether it is addressed to the upstream's service, and was
    /// not delivered. The agent understands packets that state their service.
    ServiceNotStated,
    /// The upstream is cold and has reached its limit of openings.
    RateLimited {
        /// How long to send it no further opening.
        for_ms: Millis,
    },
    /// Callers of the upstream are giving up. The packet opens a flow and was not delivered.
    Overloaded {
        /// How long to send it no further opening.
        for_ms: Millis,
    },
    /// The upstream has not answered anything for this long; the packet was delivered nevertheless.
    Unresponsive {
        /// How long it has been unresponsive.
        for_ms: Millis,
    },
}

/// How far the list of upstreams can be trusted to contain all that may hold a flow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Trust {
    /// A time at which this balancer's list was current: the list contains everything that the
    /// configuration service had acknowledged by then.
    ///
    /// Only an own call to the service shows this, and it shows the time at which the call began.
    /// What other balancers say was current when they heard it, which may be long before it arrives.
    pub current_at_ms: Millis,
    /// From when on the list counts as complete. Right after an outage of the configuration
    /// service, and until other balancers could have reported one, running upstreams may be missing
    /// from it.
    pub complete_from_ms: Millis,
}

impl Trust {
    /// Whether the list contains every upstream that may hold a flow which was open at `open_ms`.
    /// Its upstream was acknowledged before the flow opened, so that a list that was current later
    /// contains it. While the list may lack running upstreams, that it is current shows nothing.
    pub(super) fn is_whole_since(self, open_ms: Millis) -> bool {
        self.current_at_ms >= open_ms.max(self.complete_from_ms)
    }
}

/// An agent's verdict, and the instance that the agent runs on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentReply<'a> {
    /// Address of the agent's instance.
    pub from: Ipv4Addr,
    /// The verdict.
    pub verdict: Verdict,
    /// Whether the agent understands packets that state their service. Those of earlier releases
    /// drop them.
    pub reads_service: bool,
    /// The packet that the reply is about.
    pub packet: &'a [u8],
}

/// Why an action was taken, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// A new flow was placed.
    Placed,
    /// An opening went to another upstream, because one denied it or did not reply.
    Replaced,
    /// The flow's upstream is known.
    Known,
    /// The flow's upstream is being searched for.
    Asked,
    /// No route exists for the endpoint.
    NoRoute,
    /// All upstreams deny the opening.
    Refused,
    /// All upstreams that are ready are in closed availability zones.
    ZoneClosed,
    /// All upstreams that could take the opening are cold and have reached their limit.
    ColdLimit,
    /// All upstreams that could take the opening are overloaded.
    Overloaded,
    /// No upstream is in a region that the route allows.
    RegionNotAllowed,
    /// Every upstream that may hold the flow denies it or is unreachable.
    Lost,
    /// Neither routes nor upstreams are known, or the proof for a reset is incomplete.
    Unknown,
}

/// An agent, and what the balancer passes to it with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Destination {
    /// Address of the agent's instance.
    pub address: Ipv4Addr,
    /// The service whose upstream may receive the packet.
    pub service: ServiceStamp,
    /// Requests that the upstream processes concurrently; zero if not known.
    pub slots: u8,
    /// Time within which the flow's caller expects an answer; zero if not known.
    pub slo_ms: u32,
    /// How many multiples of `slo_ms` the caller waits before giving up, one of
    /// [`crate::view::WAIT_STEPS_SLOS`].
    pub wait_slos: u8,
    /// Whether the flow's requests take precedence over others.
    pub urgent: bool,
    /// Whether this balancer knows that the upstream accepts no new flows.
    pub refuses_new_flows: bool,
    /// Openings per 1,000 seconds that a cold upstream can handle; zero if they are not limited.
    pub limit_per_ks: u32,
    /// Whether this balancer knows that the upstream is cold.
    pub cold: bool,
}

impl Destination {
    pub(super) fn of(
        now_ms: Millis,
        view: &View,
        flow: FlowKey,
        address: Ipv4Addr,
        service: ServiceStamp,
    ) -> Self {
        let upstream = view.upstream_at(address);
        let slots = upstream.map_or(0, |upstream| upstream.slots);
        let route = view.routes.find(flow.endpoint);
        Self {
            address,
            service,
            slots: u8::try_from(slots).unwrap_or(u8::MAX),
            slo_ms: route.map_or(0, |route| route.slo_ms),
            wait_slos: route.map_or(0, |route| route.wait_slos),
            urgent: route.is_some_and(|route| route.urgent),
            refuses_new_flows: upstream.is_some_and(|upstream| view.refuses_new_flows(upstream)),
            limit_per_ks: view
                .routes
                .service(service)
                .map_or(0, |service| service.cold_openings_per_ks),
            cold: upstream.is_some_and(|upstream| upstream.is_cold(now_ms)),
        }
    }
}

/// What the process that runs the balancer core is to do with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the current packet to the agent at `to`.
    Forward {
        /// The agent.
        to: Destination,
        /// Whether the agent is to report when its upstream answers.
        wants_report: bool,
        /// Why.
        reason: Reason,
    },
    /// Reset the flow at the caller: it does not exist.
    Reset {
        /// Why.
        reason: Reason,
    },
    /// Drop the packet.
    Drop {
        /// Why.
        reason: Reason,
    },
}

/// Counts since the start, for the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Flows without an entry in the table that were found.
    pub flows_found: u64,
    /// Upstreams that were asked until these flows were found.
    pub upstreams_asked: u64,
    /// Copies of unanswered packets that were sent to further upstreams.
    pub copies: u64,
    /// Retransmissions that the budget did not allow.
    pub suppressed: u64,
    /// Packets that were returned because the upstream does not hold the flow.
    pub denials: u64,
    /// Flows that were placed beyond the third rank, because no upstream of the first ranks was
    /// expected to answer within the SLO.
    pub placed_beyond_ranks: u64,
}
