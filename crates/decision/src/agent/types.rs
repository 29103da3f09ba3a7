//! What goes into and comes out of an agent's decisions.

use std::sync::Arc;

use crate::keys::{FlowId, Incarnation, ServiceId, UpstreamId, Version};
use crate::message::{Message, Opening};
use crate::spread::Member;
use crate::view::View;

/// What a packet means for its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketKind {
    /// First packet of a flow: a SYN without ACK, or the datagram of a `Refuse` service.
    Opening {
        /// Initial sequence number, or hash of the datagram's payload.
        nonce: u32,
    },
    /// Anything in the middle of a flow.
    Middle,
    /// The caller's FIN: the flow ends after a linger.
    Finish,
    /// The caller's RST: the flow ends now.
    Reset,
}

/// A packet, already authenticated and parsed by the shell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Packet {
    /// Service that the sender believes the packet to be for.
    pub service: ServiceId,
    /// Flow.
    pub flow: FlowId,
    /// Meaning for the flow.
    pub kind: PacketKind,
    /// Sequence number of the TCP segment; zero for a datagram.
    pub sequence: u32,
    /// Settings version of the account at the sender.
    pub view: Version,
    /// Agents that handled the packet before this one.
    pub hops: u8,
    /// How the previous agent passed it on.
    pub forwarding: Forwarding,
}

/// Why a packet was passed from agent to agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Forwarding {
    /// Straight from a balancer.
    Direct,
    /// The sender knows that the receiver holds the flow, or is its home in newer settings.
    Redirected,
    /// The sender, home of the flow, has assigned the opening to the receiver. The claim, where one
    /// is needed, is already recorded.
    Assigned,
    /// Every other agent has denied the flow; only the receiver may hold it without knowing.
    Adopt,
}

/// What happens to one packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Hand it to the upstream.
    Deliver,
    /// Pass it on to another agent of the service, with one more hop.
    Forward {
        /// Receiver.
        to: UpstreamId,
        /// How it is passed.
        forwarding: Forwarding,
    },
    /// Answer the caller that the opening was not run, or that the flow does not exist.
    Refuse(Reason),
    /// Discard without an answer; the caller retransmits.
    Drop(Reason),
    /// Keep the packet under this key until a [`Action::Resolve`] names it.
    Hold(HoldKey),
}

/// Key of a held packet, chosen by the core; at most [`limits`](AgentConfig) are held at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HoldKey(pub u32);

/// Why a packet was refused or dropped. The numbers are stable; see `docs/result-codes.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u16)]
pub enum Reason {
    /// The service is not the one that this agent serves.
    WrongService = 2001,
    /// Every upstream of the service is full or not accepting.
    AllFull = 2002,
    /// Too few witnesses answered and the service refuses when in doubt.
    InDoubt = 2003,
    /// The opening was refused before.
    Tombstone = 2004,
    /// No agent of the service knows the flow.
    UnknownFlow = 2005,
    /// Some agent that may hold the flow has not answered yet.
    HolderSilent = 2006,
    /// The packet was passed on too often.
    TooManyHops = 2007,
    /// A bounded table or queue is full.
    Overload = 2008,
    /// A copy of an opening that has already run.
    Duplicate = 2009,
    /// The sender's settings are older than a quarantine of the address.
    StaleView = 2010,
}

/// Something that happened to the agent.
#[derive(Clone, Debug)]
pub enum Event {
    /// A control message of a peer.
    Message {
        /// Sender, authenticated by the shell.
        from: UpstreamId,
        /// The message.
        message: Message,
    },
    /// Newer settings are in force.
    View(Arc<View>),
    /// Evidence about the upstream, from its own endpoints; may lag or lie.
    Upstream(UpstreamReport),
    /// The platform's list or the gossip says that a peer is gone or back; a hint.
    PeerHint {
        /// The peer.
        upstream: UpstreamId,
        /// Whether it is said to be alive.
        alive: bool,
    },
    /// This agent is shutting down gracefully.
    Leave,
    /// Time has passed; due at least every [`MAX_TICK_INTERVAL_MS`].
    Tick,
}

/// What the upstream says about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamReport {
    /// The health endpoint answers well.
    pub healthy: bool,
    /// The upstream asks to be drained.
    pub draining: bool,
    /// The upstream sheds load.
    pub shedding: bool,
    /// Flows that it says it has open.
    pub open_flows: u32,
    /// Milliseconds since the upstream process started, if it says so.
    pub age_ms: Option<u64>,
}

/// Something that the shell must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a control message to a peer of this service.
    Send {
        /// Receiver.
        to: UpstreamId,
        /// The message.
        message: Message,
    },
    /// A held packet has its verdict, never [`Verdict::Hold`].
    Resolve {
        /// The held packet.
        hold: HoldKey,
        /// What happens to it.
        verdict: Verdict,
    },
    /// Somebody runs newer settings: fetch at least this version of the account.
    FetchSettings {
        /// Version that was seen.
        at_least: Version,
    },
    /// Tell balancers whether an agent is up.
    Report(Member),
    /// Put an entry into the time line.
    Record(TimelineEntry),
}

/// Time-line entries of the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimelineEntry {
    /// The upstream has taken a flow.
    Admitted(Opening),
    /// An opening was given to another agent.
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
        /// Why.
        reason: Reason,
    },
    /// The flow has ended.
    Ended(FlowId),
    /// A flow of an earlier life was found again.
    Relearned(FlowId),
    /// A flow that nobody else knew was taken over without record.
    Adopted(FlowId),
    /// A peer went silent or came back.
    PeerSuspected {
        /// The peer.
        upstream: UpstreamId,
        /// True when it went silent.
        suspected: bool,
    },
    /// Newer settings are in force.
    ViewInstalled(Version),
}

/// Longest time between two [`Event::Tick`].
pub const MAX_TICK_INTERVAL_MS: u64 = 50;

/// What an agent is told at its start.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// Upstream beside which it runs.
    pub upstream: UpstreamId,
    /// Service of that upstream.
    pub service: ServiceId,
    /// This life of the process.
    pub incarnation: Incarnation,
    /// Whether flows may exist from an earlier life; false only if the upstream is new as well.
    pub may_have_prior_flows: bool,
    /// Seed for choices by chance.
    pub seed: u64,
}
