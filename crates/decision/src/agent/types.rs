//! Input and output types of the agent.

use std::sync::Arc;

use crate::keys::{FlowId, Incarnation, ServiceId, UpstreamId, Version};
use crate::message::{Message, Opening, OutdatedReport};
use crate::spread::Member;
use crate::view::View;

/// Role of a packet in its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketKind {
    /// First packet of a flow: a SYN without ACK, or a datagram of a service that refuses when in
    /// doubt.
    Opening {
        /// Initial sequence number, or hash of the datagram's payload.
        nonce: u32,
    },
    /// Any other packet of a flow.
    Middle,
    /// The caller's FIN: the flow ends after a linger.
    Finish,
    /// The caller's RST: the flow ends now.
    Reset,
}

/// A packet that the shell has authenticated and parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Packet {
    /// Service to which the sender addressed the packet.
    pub service: ServiceId,
    /// Flow of the packet.
    pub flow: FlowId,
    /// Role in the flow.
    pub kind: PacketKind,
    /// Sequence number of the TCP segment; zero for a datagram.
    pub sequence: u32,
    /// Settings version of the client account at the sender.
    pub view: Version,
    /// Number of agents that handled the packet before this one.
    pub hops: u8,
    /// Why the sender sent it to this agent.
    pub forwarding: Forwarding,
}

/// Why a packet was sent to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Forwarding {
    /// It comes directly from a balancer.
    Direct,
    /// The sending agent knows that the receiver holds the flow or is its home by newer settings.
    Redirected,
    /// The sending agent, home of the flow, has assigned the opening to the receiver. If a claim is
    /// needed, it has already been recorded.
    Assigned,
    /// All other agents have denied the flow. Only the receiver may hold it without knowing.
    Adopt,
}

/// Decision about one packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Deliver it to the upstream.
    Deliver,
    /// Forward it to another agent of the service, with one more hop.
    Forward {
        /// Receiver.
        to: UpstreamId,
        /// Why it is forwarded.
        forwarding: Forwarding,
    },
    /// Reply to the caller that the opening was not run or that the flow does not exist.
    Refuse(Reason),
    /// Drop it without a reply. The caller retransmits.
    Drop(Reason),
    /// Keep the packet under this key until an [`Action::Resolve`] names it.
    Hold(HoldKey),
}

/// Key of a held packet, chosen by the agent. The number of packets held at a time is bounded, see
/// [`limits`](super::limits).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HoldKey(pub u32);

/// Why a packet was refused or dropped. The numbers are stable; see `docs/result-codes.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u16)]
pub enum Reason {
    /// The service is not the one that this agent serves.
    WrongService = 2001,
    /// Every upstream of the service is full or accepts no openings.
    AllFull = 2002,
    /// Too few witnesses answered, and the service refuses when in doubt.
    InDoubt = 2003,
    /// The opening was refused before.
    Tombstone = 2004,
    /// No agent of the service knows the flow.
    UnknownFlow = 2005,
    /// An agent that may hold the flow has not answered yet.
    HolderSilent = 2006,
    /// The packet was forwarded too often.
    TooManyHops = 2007,
    /// A bounded table or queue is full.
    Overload = 2008,
    /// A copy of an opening that has already run.
    Duplicate = 2009,
    /// The sender's settings are older than a quarantine of the address.
    StaleView = 2010,
}

/// Input of the agent.
#[derive(Clone, Debug)]
pub enum Event {
    /// A control message from a peer.
    Message {
        /// Sender, authenticated by the shell.
        from: UpstreamId,
        /// The message.
        message: Message,
    },
    /// Newer settings are in force.
    View(Arc<View>),
    /// Status of the upstream as read from its own endpoints. It may be late or wrong.
    Upstream(UpstreamReport),
    /// The platform's list or gossip indicates that a peer is gone or back. This is only a hint.
    PeerHint {
        /// The peer.
        upstream: UpstreamId,
        /// Whether it is reported to be alive.
        alive: bool,
    },
    /// A balancer reports that an earlier membership of the service is outdated.
    Outdated(OutdatedReport),
    /// This agent is shutting down gracefully.
    Leave,
    /// Time has passed. Due at least every [`MAX_TICK_INTERVAL_MS`].
    Tick,
}

/// Status that the upstream reports about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamReport {
    /// Whether the health endpoint reports success.
    pub healthy: bool,
    /// Whether the upstream asks to be drained.
    pub draining: bool,
    /// Whether the upstream is shedding load.
    pub shedding: bool,
    /// Number of flows that it reports as open.
    pub open_flows: u32,
    /// Milliseconds since the upstream process started, if reported.
    pub age_ms: Option<u64>,
}

/// Output of the agent, to be carried out by the shell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a control message to a peer of this service.
    Send {
        /// Receiver.
        to: UpstreamId,
        /// The message.
        message: Message,
    },
    /// Apply this verdict to a held packet. It is never [`Verdict::Hold`].
    Resolve {
        /// The held packet.
        hold: HoldKey,
        /// What happens to it.
        verdict: Verdict,
    },
    /// Fetch at least this version of the client account's settings, because another process runs
    /// it.
    FetchSettings {
        /// Version that was seen.
        at_least: Version,
    },
    /// Report to the balancers whether an agent is up.
    Report(Member),
    /// Report to some balancers that an earlier membership of the service is outdated.
    ReportOutdated(OutdatedReport),
    /// Ask some balancers for the outdated memberships of the service.
    AskOutdated,
    /// Add an entry to the timeline.
    Record(TimelineEntry),
}

/// Timeline entries of the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimelineEntry {
    /// The upstream has accepted a flow.
    Admitted(Opening),
    /// An opening was assigned to another agent.
    Assigned {
        /// The opening.
        opening: Opening,
        /// Its holder.
        to: UpstreamId,
    },
    /// An opening was refused.
    Refused {
        /// The opening.
        opening: Opening,
        /// Reason of the refusal.
        reason: Reason,
    },
    /// The flow has ended.
    Ended(FlowId),
    /// A peer reported a flow that a previous incarnation held.
    Relearned(FlowId),
    /// A flow that no other agent knows was adopted without a record of its opening.
    Adopted(FlowId),
    /// A peer stopped responding or came back.
    PeerSuspected {
        /// The peer.
        upstream: UpstreamId,
        /// True if it stopped responding.
        suspected: bool,
    },
    /// Newer settings are in force.
    ViewInstalled(Version),
}

/// Longest time between two [`Event::Tick`] events.
pub const MAX_TICK_INTERVAL_MS: u64 = 50;

/// Configuration of an agent, fixed at its start.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// Upstream beside which it runs.
    pub upstream: UpstreamId,
    /// Service of that upstream.
    pub service: ServiceId,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Whether flows may exist from a previous incarnation. False only if the upstream is new as
    /// well.
    pub may_have_prior_flows: bool,
    /// Seed of the random choices.
    pub seed: u64,
}
