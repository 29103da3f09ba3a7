//! What goes in and out of an agent's decisions.

use std::net::Ipv4Addr;

use crate::flow::{FlowKey, Millis};
use crate::view::ServiceStamp;

/// What a balancer asks of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardMetadata {
    /// The balancer.
    pub balancer: Ipv4Addr,
    /// The service that the packet is meant for.
    pub service: ServiceStamp,
    /// Requests that the upstream works on at a time; zero if the balancer does not know.
    pub slots: u8,
    /// Time within which the caller wants an answer; zero if the balancer does not know.
    pub slo_ms: u32,
    /// How many of these times the caller waits; zero if the balancer does not know.
    pub wait_slos: u8,
    /// Whether the requests of the flow that is opened go before others.
    pub urgent: bool,
    /// Whether the balancer wants to know when the upstream answers.
    pub wants_report: bool,
    /// Whether the balancer knows that the upstream takes no new flows.
    pub refuses_new_flows: bool,
    /// Openings that a cold upstream bears in a thousand seconds; zero if they are not limited.
    pub limit_per_ks: u32,
    /// Whether the balancer knows that the upstream is cold.
    pub cold: bool,
}

/// What becomes of a balancer's packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// It goes to the upstream.
    Deliver,
    /// It goes to the upstream, and back to the balancer, since the upstream has been silent.
    DeliverUnresponsive {
        /// How long.
        for_ms: Millis,
    },
    /// It goes back to the balancer: it is meant for another service.
    Foreign {
        /// The service that the upstream runs.
        service: ServiceStamp,
    },
    /// It goes back to the balancer: its caller has acknowledged a number of another upstream.
    NotHeld,
    /// It goes back to the balancer: it opens a flow, and the upstream takes no new ones.
    NotAccepting,
    /// It goes back to the balancer: it opens a flow, and the upstream is cold and bears no further
    /// one for so long.
    RateLimited {
        /// How long.
        for_ms: Millis,
    },
    /// It waits here until the upstream has room.
    Queued,
}

/// What follows from a balancer's packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacketOutcome {
    /// What becomes of the packet.
    pub delivery: Delivery,
    /// The balancer that asked for the flow and is told at once that it is here.
    pub report: Option<Report>,
}

/// A packet of the upstream's, as far as it decides something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The flow.
    pub flow: FlowKey,
    /// Number of data bytes.
    pub data_bytes: u16,
    /// Whether the flow ends with it.
    pub last: bool,
    /// Number of its first byte.
    pub sequence: u32,
    /// Whether it answers an opening.
    pub opening: bool,
}

/// What follows from a packet of the upstream's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerOutcome {
    /// Who is told.
    pub report: Option<Report>,
    /// If the packet begins the answer to a request: the time since that was handed on.
    pub service_time_ms: Option<Millis>,
}

/// A request that has waited and may go to the upstream now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Released {
    /// Its packets in the order of arrival.
    pub packets: Vec<Box<[u8]>>,
    /// How long it has waited.
    pub waited_ms: Millis,
}

/// What a balancer is told beside the packet that goes to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// The balancer that asked.
    pub balancer: Ipv4Addr,
    /// Requests at work.
    pub busy: u8,
    /// The number with which the upstream has answered the opening, if this is about one.
    pub opening_sequence: Option<u32>,
}
