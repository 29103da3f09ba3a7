//! Messages between the agents of one service. All are idempotent: loss, duplication, delay and
//! reordering do not harm open flows.

use crate::keys::{FlowId, Incarnation, UpstreamId, Version};

/// The decision about an opening that a claimant asks the witnesses to record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Claim {
    /// The opening runs at this upstream and nowhere else.
    Run(UpstreamId),
    /// The opening was refused and must never run (a tombstone).
    Refuse,
}

/// Identifies one opening. Retransmissions have the same value; a later connection on the same
/// ports has a different one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Opening {
    /// Flow that is being opened.
    pub flow: FlowId,
    /// The caller's initial sequence number for TCP, a hash of the payload for UDP.
    pub nonce: u32,
}

/// A witness's reply to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// Recorded now, or recorded before with the same content.
    Granted,
    /// A different claim was recorded earlier and remains in force.
    Taken(Claim),
    /// The witness has restarted too recently to know which claims it granted before.
    Abstained,
    /// The witness runs newer settings than the claimant, which must update and retry.
    StaleView,
}

/// An agent's reply to the question whether it knows a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Knowledge {
    /// The asked agent holds the flow.
    Mine,
    /// The asked agent knows of another agent that holds it.
    HeldBy(UpstreamId),
    /// The asked agent holds a flow on these ports that is closing. Another agent may hold a later
    /// flow on them.
    Closing,
    /// The asked agent certainly does not hold it.
    NotMine,
    /// The asked agent has restarted and may hold the flow without knowing it.
    Unsure,
    /// Like [`Unsure`](Self::Unsure), and its upstream reports more flows than the agent knows.
    /// Sent only in a [`Message::Tell`].
    Likely,
    /// Like [`Unsure`](Self::Unsure), but its upstream reports no flow beyond those that the agent
    /// knows for certain. Sent only in a [`Message::Tell`].
    Unlikely,
}

/// A witness's record of a claim, as sent to another witness that has restarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRecord {
    /// The opening.
    pub opening: Opening,
    /// What is recorded for it.
    pub claim: Claim,
    /// Incarnation of the claimant.
    pub incarnation: Incarnation,
}

/// Whether a witness has records of all claims that it may have granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordCompleteness {
    /// It has all records.
    Complete,
    /// It has probably never granted a claim: neither it nor its upstream has run before, and the
    /// settings have only just listed the upstream.
    Newborn,
    /// It may have granted claims of which it has no record.
    Forgetful,
}

/// A change of a holder's flow table, or one of its flows when the whole table is announced again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowNote {
    /// The opening that the flow came from.
    pub opening: Opening,
    /// False once the flow is closing or has ended.
    pub open: bool,
    /// Age of the flow at the sender's upstream when the note was sent, in milliseconds. If two
    /// holders announce the same flow with different nonces, the younger one is the current flow.
    pub age_ms: u32,
}

/// A flow of an unresponsive agent, as reported to a third agent that has restarted. The holder
/// itself cannot report it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entrusted {
    /// The opening that the flow came from.
    pub opening: Opening,
    /// The unresponsive agent that holds it.
    pub holder: UpstreamId,
}

/// An earlier membership of the service under which no agent can win a claim any more: so many of
/// its members run later settings that the others are no majority. Claims that were granted under
/// it expire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outdated {
    /// First version with these members.
    pub from: Version,
    /// First version with other members.
    pub next: Version,
    /// Milliseconds until all claims that were granted under it have expired.
    pub expires_in_ms: u32,
}

/// An outdated membership, as agents and balancers report it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutdatedReport {
    /// The membership.
    pub outdated: Outdated,
    /// Hash of its members. Settings of different versions may list different members for one
    /// version, if a retired upstream returns.
    pub members: u64,
}

/// Extent of a witness's records at the time of a [`Message::ClaimsPage`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordsExtent {
    /// Incarnation of the witness.
    pub incarnation: Incarnation,
    /// Settings version that the witness runs: it records no claim under older settings any more.
    pub version: Version,
    /// Whether the records contain all claims that the witness has granted.
    pub complete: bool,
    /// Whether the witness shuts down and records no claim at all any more.
    pub ended: bool,
    /// Earlier memberships of which the records contain every claim that has won: the first version
    /// of each, and the first version of the membership after it.
    pub settled: Vec<(Version, Version)>,
}

/// State of a leaving agent's handover. The agent sends it again whenever it has found another
/// agent unresponsive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HandedOver {
    /// How often this incarnation has found an agent unresponsive. Whenever the number grows, the
    /// receiver asks the sender what it knows of the flows of unresponsive agents.
    pub peer_timeouts: u32,
    /// Number of responsive agents to which the sender announces its flows; zero if the receiver is
    /// not one of them.
    pub informed_agents: u32,
}

/// What an agent knows of another agent's previous incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PreviousIncarnation {
    /// The previous incarnation, if the agent has received messages from it.
    pub incarnation: Option<Incarnation>,
    /// The last handover state that it sent.
    pub handed_over: Option<HandedOver>,
    /// Whether the agent itself has restarted and recovered everything that its own previous
    /// incarnation handed over, including what it knew of other agents' flows.
    pub resumed: bool,
}

/// Load and state of an agent, sent to its peers periodically.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// First incarnation that ran beside the present upstream process, if the sender knows it.
    /// Flows that an earlier incarnation has announced ended with the previous upstream process.
    pub born: Option<Incarnation>,
    /// Sequence number that grows with each heartbeat, also across restarts: the incarnation plus
    /// the milliseconds since the start. Orders the reports of observers about the agent's
    /// liveness.
    pub beat: u64,
    /// Settings version in force at the sender.
    pub view: Version,
    /// Flows that the sender holds.
    pub open_flows: u32,
    /// Openings that were delivered to the upstream but not yet followed by another packet of the
    /// caller.
    pub unanswered: u32,
    /// Whether openings may be assigned to the sender. False while it drains, sheds, is cold or
    /// leaves.
    pub accepting: bool,
    /// Percentage of its weight that the upstream takes while it warms up.
    pub ramp_percent: u8,
    /// Whether the sender leaves. Its buckets then move to the next rank.
    pub leaving: bool,
}

/// A message between two agents of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Asks a witness to record a claim for an opening.
    ClaimRequest {
        /// The opening.
        opening: Opening,
        /// What the witness is asked to record.
        claim: Claim,
        /// Settings version of the claimant.
        view: Version,
        /// Incarnation of the claimant. A later incarnation must not use a grant to an earlier one,
        /// because the earlier one may already have run the opening.
        incarnation: Incarnation,
    },
    /// Answers a [`Message::ClaimRequest`].
    ClaimReply {
        /// The opening.
        opening: Opening,
        /// The claim that was requested.
        claim: Claim,
        /// The witness's reply.
        answer: ClaimAnswer,
        /// Settings version of the witness.
        view: Version,
        /// Incarnation of the claimant that sent the request.
        incarnation: Incarnation,
    },
    /// Announces to the home and the next rank which flows the sender holds.
    Announce {
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// Number of this batch, repeated in the acknowledgement.
        sequence: u64,
        /// Changes since the last batch.
        notes: Vec<FlowNote>,
    },
    /// Acknowledges an [`Message::Announce`].
    AnnounceAck {
        /// Incarnation of the receiver of the batch.
        incarnation: Incarnation,
        /// Number of the batch.
        sequence: u64,
    },
    /// Asks whether the receiver knows a flow.
    Ask {
        /// The flow.
        flow: FlowId,
        /// Number of the question. Keeps a late reply to an older question from being taken for a
        /// reply to this one.
        question: u64,
    },
    /// Answers an [`Message::Ask`].
    AskReply {
        /// The flow.
        flow: FlowId,
        /// Number of the question.
        question: u64,
        /// What the sender knows.
        knowledge: Knowledge,
        /// Settings version of the sender. A newer version may list holders that were not yet
        /// asked.
        view: Version,
    },
    /// Asks whether the receiver knows the connection that a packet belongs to. An agent that does
    /// not reply, for example because it cannot decode this message, gets a [`Message::Ask`].
    AskAbout {
        /// The flow.
        flow: FlowId,
        /// Number of the question.
        question: u64,
        /// Sequence number of the packet, zero if it has none.
        sequence: u32,
    },
    /// Answers a [`Message::AskAbout`].
    Tell {
        /// The flow.
        flow: FlowId,
        /// Number of the question.
        question: u64,
        /// What the sender knows.
        knowledge: Knowledge,
        /// Settings version of the sender.
        view: Version,
    },
    /// Asks a peer, after a restart, for all flows that the sender holds according to that peer.
    Relearn {
        /// New incarnation of the sender.
        incarnation: Incarnation,
        /// First flow of the page; zero for the first page.
        from: FlowId,
    },
    /// Answers a [`Message::Relearn`] with one page.
    RelearnReply {
        /// Incarnation that asked.
        incarnation: Incarnation,
        /// First flow of this page.
        from: FlowId,
        /// Openings of the flows that the asker holds according to the sender.
        openings: Vec<Opening>,
        /// Flows of unresponsive agents, which cannot report them to the asker themselves.
        entrusted: Vec<Entrusted>,
        /// Where the next page begins; `None` after the last.
        next: Option<FlowId>,
        /// Whether the sender's own knowledge has been complete since before the asker restarted.
        complete: bool,
    },
    /// Asks a witness, after a restart, for its records of claims.
    Recall {
        /// New incarnation of the sender.
        incarnation: Incarnation,
        /// Where the page begins; zero for the first page.
        from: u64,
    },
    /// Answers a [`Message::Recall`] with one page.
    RecallReply {
        /// Incarnation that asked.
        incarnation: Incarnation,
        /// Where this page begins.
        from: u64,
        /// Records of the sender.
        records: Vec<ClaimRecord>,
        /// Where the next page begins; `None` after the last.
        next: Option<u64>,
        /// Whether the sender's own records are complete.
        memory: RecordCompleteness,
        /// Whether the sender has received messages from an earlier incarnation of the asker.
        met_before: bool,
    },
    /// Asks a witness for its records, to learn the claims that were granted under earlier
    /// memberships.
    ReadClaims {
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// Where the page begins; zero for the first page.
        from: u64,
    },
    /// Answers a [`Message::ReadClaims`] with one page.
    ClaimsPage {
        /// Incarnation that asked.
        incarnation: Incarnation,
        /// Where this page begins.
        from: u64,
        /// Records of the sender.
        records: Vec<ClaimRecord>,
        /// Where the next page begins; `None` after the last.
        next: Option<u64>,
        /// Extent of the sender's records.
        extent: RecordsExtent,
    },
    /// Reports load and liveness of the sender.
    Heartbeat(Heartbeat),
    /// Reports an earlier membership of the service whose majority is no longer needed. Successive
    /// messages report the outdated memberships in turn.
    Outdated(Outdated),
    /// The sender is about to exit: it has sent everything that the receiver must know and accepts
    /// no more flows.
    HandedOver {
        /// Incarnation that ends.
        incarnation: Incarnation,
        /// State of the handover.
        state: HandedOver,
    },
    /// Sent together with the reply to a [`Message::Relearn`]: what the sender knows of the asker's
    /// previous incarnation.
    Former {
        /// Incarnation that asked.
        incarnation: Incarnation,
        /// What the sender knows.
        former: PreviousIncarnation,
    },
}
