//! What goes in and out of a balancer's decisions.

use std::net::Ipv4Addr;

use crate::flow::{FlowKey, Millis};
use crate::view::{ServiceStamp, View};

/// A view that nobody has confirmed for this long proves nothing by what it lacks: this balancer may
/// be cut off, and flows may live at upstreams that it has never heard of. A reader hears from the
/// configuration service every 2.5 s, all others from a reader twice a second.
const CONFIRMED_MS: Millis = 5_000;

/// What an agent says about a packet that it got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The upstream answers on this flow; `busy` requests are at work there.
    Held {
        /// Requests at work.
        busy: u8,
        /// The number with which the upstream has answered an opening, if that is what it did.
        opening_sequence: Option<u32>,
    },
    /// The agent lives, and has handed on what it got; its upstream has not answered yet.
    Alive,
    /// The upstream does not hold the flow, or cannot take it.
    Denied,
    /// The packet was meant for another service than the one whose upstream is there; it got nothing.
    Foreign {
        /// The service that it runs.
        service: ServiceStamp,
    },
    /// The upstream is cold and has taken as many openings as it bears.
    Limited {
        /// How long to send it no further one.
        for_ms: Millis,
    },
    /// The upstream has answered nothing for that long; the packet went to it all the same.
    Silent {
        /// How long it has been silent.
        for_ms: Millis,
    },
}

/// How far the list of upstreams can be trusted to name all that may hold a flow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Trust {
    /// When the view was last confirmed by whoever reads the configuration service.
    pub confirmed_ms: Millis,
    /// From when on the list counts as whole: right after an outage of the configuration service, and
    /// until other balancers could tell of one, it may lack upstreams that live.
    pub whole_from_ms: Millis,
}

impl Trust {
    pub(super) fn proves_absence(self, now_ms: Millis) -> bool {
        let confirmed = now_ms.saturating_sub(self.confirmed_ms) < CONFIRMED_MS;
        confirmed && now_ms >= self.whole_from_ms
    }
}

/// A verdict and the instance whose agent gave it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentReply {
    /// Address of the agent's instance.
    pub from: Ipv4Addr,
    /// What it says.
    pub verdict: Verdict,
}

/// Why something was done, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// A new flow was placed.
    Placed,
    /// An opening went to another upstream, since one denied it or stayed silent.
    Replaced,
    /// The flow's upstream is known.
    Known,
    /// The flow's upstream is being looked for.
    Asked,
    /// No route leads from the endpoint.
    NoRoute,
    /// All upstreams deny the opening.
    Refused,
    /// All upstreams that are ready are in closed availability zones.
    ZoneClosed,
    /// All upstreams that could take the opening are cold, and have taken as many as they bear.
    ColdLimit,
    /// No upstream is in a region that the route allows.
    RegionNotAllowed,
    /// All upstreams deny the flow.
    Lost,
    /// Nothing is known about routes or upstreams, or a proof is missing.
    Unknown,
}

/// An agent and what it is told with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Destination {
    /// Address of the agent's instance.
    pub address: Ipv4Addr,
    /// The service whose upstream may take the packet.
    pub service: ServiceStamp,
    /// Requests that the upstream works on at a time; zero if not known.
    pub slots: u8,
    /// Time within which the flow's caller wants an answer; zero if not known.
    pub slo_ms: u32,
    /// How many of these times the caller waits, one of [`crate::view::WAIT_STEPS_SLOS`].
    pub wait_slos: u8,
    /// Whether the flow's requests go before others.
    pub urgent: bool,
    /// Whether this balancer knows that the upstream takes no new flows.
    pub turns_away: bool,
    /// Openings that a cold upstream bears in a thousand seconds; zero if they are not limited.
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
            turns_away: upstream.is_some_and(|upstream| view.refuses_new_flows(upstream)),
            limit_per_ks: view
                .routes
                .service(service)
                .map_or(0, |service| service.cold_openings_per_ks),
            cold: upstream.is_some_and(|upstream| upstream.is_cold(now_ms)),
        }
    }
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the packet at hand to the agent at `to`.
    Forward {
        /// The agent.
        to: Destination,
        /// Whether the agent is to say so when its upstream answers.
        ask: bool,
        /// Why.
        reason: Reason,
    },
    /// Tell the caller that the flow does not exist.
    Reset {
        /// Why.
        reason: Reason,
    },
    /// Nothing more is done with the packet.
    Drop {
        /// Why.
        reason: Reason,
    },
}

/// What the balancer has done since its start, for its metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Flows without memory that were found.
    pub found: u64,
    /// Upstreams that were asked one after the other until these were found.
    pub asked: u64,
    /// Copies of unanswered packets beside the upstream that is asked.
    pub copies: u64,
    /// Packets that were not sent once more, since too many had been.
    pub spared: u64,
    /// Packets that came back from upstreams that do not hold their flows.
    pub denials: u64,
}
