//! Inputs and outputs of an agent's decisions.

use std::net::Ipv4Addr;

use super::queue::QueuedRequest;
use crate::flow::{FlowKey, Millis};
use crate::view::{AddressedService, SLO_DEFAULT_MS, ShortStamp, WAIT_DEFAULT_SLOS};

/// Metadata that a balancer sends along with a forwarded packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardMetadata {
    /// The balancer that forwarded the packet.
    pub balancer: Ipv4Addr,
    /// The service that the packet is addressed to.
    pub service: AddressedService,
    /// Number of requests that the upstream processes concurrently; zero if the balancer does not
    /// know.
    pub slots: u8,
    /// Time within which the caller expects an answer; zero if the balancer does not know.
    pub slo_ms: u32,
    /// How many multiples of `slo_ms` the caller waits before giving up; zero if the balancer does
    /// not know.
    pub wait_slos: u8,
    /// Whether requests of the opened flow take precedence over others.
    pub urgent: bool,
    /// Whether the balancer wants a report once the upstream answers.
    pub wants_report: bool,
    /// Whether the balancer knows that the upstream accepts no new flows.
    pub refuses_new_flows: bool,
    /// Openings per 1,000 seconds that a cold upstream can handle; zero if they are not limited.
    pub limit_per_ks: u32,
    /// Whether the balancer knows that the upstream is cold.
    pub cold: bool,
}

impl ForwardMetadata {
    /// Time within which the caller expects an answer.
    pub(super) fn slo_or_default_ms(&self) -> Millis {
        if self.slo_ms == 0 { SLO_DEFAULT_MS } else { Millis::from(self.slo_ms) }
    }

    /// Time for which the caller waits for an answer.
    pub(super) fn timeout_or_default_ms(&self) -> Millis {
        let wait_slos = if self.wait_slos == 0 { WAIT_DEFAULT_SLOS } else { self.wait_slos };
        self.slo_or_default_ms() * Millis::from(wait_slos)
    }
}

/// What the agent does with a packet from a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Forwards it to the upstream.
    Deliver,
    /// Forwards it to the upstream and also returns it to the balancer, because the upstream is
    /// unresponsive.
    DeliverUnresponsive {
        /// How long the upstream has not responded.
        for_ms: Millis,
    },
    /// Returns it to the balancer: it is addressed to another service.
    WrongService {
        /// The service that the upstream runs.
        service: ShortStamp,
    },
    /// Returns it to the balancer: the packet does not tell whether it is addressed to the
    /// upstream's service, and the balancer can.
    ServiceNotStated,
    /// Returns it to the balancer: its caller has acknowledged a sequence number of another
    /// upstream.
    NotHeld,
    /// Returns it to the balancer: it opens a flow, and the upstream accepts no new flows.
    NotAccepting,
    /// Returns it to the balancer: it opens a flow, and the upstream is cold and has reached its
    /// limit of openings.
    RateLimited {
        /// How long the limit still applies.
        for_ms: Millis,
    },
    /// Returns it to the balancer: it opens a flow, and callers give up on requests that are queued
    /// here.
    Overloaded {
        /// How long the balancer should send no further opening.
        for_ms: Millis,
    },
    /// Queues it here until the upstream has a free slot.
    Queued,
}

/// Outcome of a packet from a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacketOutcome {
    /// What the agent does with the packet.
    pub delivery: Delivery,
    /// Report to send at once, if the balancer asked for one and the upstream is known to hold the
    /// flow.
    pub report: Option<Report>,
}

/// The parts of a packet from the upstream that affect decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The flow it belongs to.
    pub flow: FlowKey,
    /// Number of data bytes.
    pub data_bytes: u16,
    /// Whether it ends the flow.
    pub last: bool,
    /// Sequence number of its first byte.
    pub sequence: u32,
    /// Whether it answers an opening.
    pub opening: bool,
}

/// Outcome of a packet from the upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerOutcome {
    /// Report to send to the balancer that asked for one.
    pub report: Option<Report>,
    /// If the packet begins the answer to a request, the time since the request was passed to the
    /// upstream.
    pub service_time_ms: Option<Millis>,
}

/// A queued request that may now be passed to the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Released {
    /// Its packets, in order of arrival.
    pub packets: Vec<Box<[u8]>>,
    /// How long it was queued.
    pub waited_ms: Millis,
    /// Whether its caller has ended the flow in the meantime, so that the upstream will not process
    /// it.
    pub ended: bool,
}

/// How the caller of a queued request was found to have given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GivenUpBy {
    /// The caller ended, reset or replaced the flow.
    End,
    /// The caller's time-out has passed.
    Time,
}

/// A queued request whose caller gave up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GivenUp {
    /// Its flow.
    pub flow: FlowKey,
    /// Its first packet.
    pub packet: Box<[u8]>,
    /// How long it was queued.
    pub waited_ms: Millis,
    /// How the caller was found to have given up.
    pub by: GivenUpBy,
}

impl GivenUp {
    pub(super) fn new(now_ms: Millis, request: &QueuedRequest, by: GivenUpBy) -> Self {
        let packet = request.packets.first().cloned().unwrap_or_default();
        Self { flow: request.flow, packet, waited_ms: request.waited_ms(now_ms), by }
    }
}

/// Load of an upstream as its agent estimates it, apart from the requests in progress.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadEstimate {
    /// Requests that wait in the agent's queue and whose callers still wait.
    pub queued: u16,
    /// Mean time from passing a request to the upstream to the first packet of its answer; zero
    /// until an answer was measured.
    pub service_time_ms: u16,
}

/// Report to a balancer, sent in addition to the packet that goes to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// The balancer that asked for the report.
    pub balancer: Ipv4Addr,
    /// Number of requests in progress at the upstream.
    pub busy: u8,
    /// Sequence number of the upstream's answer to the opening, if the report concerns one.
    pub opening_sequence: Option<u32>,
    /// Estimate of the upstream's load; `None` unless balancers place by expected delay.
    pub load: Option<LoadEstimate>,
}
