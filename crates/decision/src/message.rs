//! Messages that the agents of one service exchange. All are idempotent: any may be lost,
//! duplicated, delayed or reordered without harm to an open flow.

use crate::keys::{FlowId, Incarnation, UpstreamId, Version};

/// What a claim wants recorded for an opening.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Claim {
    /// The opening runs at this upstream and nowhere else.
    Run(UpstreamId),
    /// The opening was refused and must never run (a tombstone).
    Refuse,
}

/// Identifies one opening: retransmissions share it, a later connection on the same ports does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Opening {
    /// Flow that is being opened.
    pub flow: FlowId,
    /// Initial sequence number of the caller for TCP, a hash of the payload for UDP.
    pub nonce: u32,
}

/// Answer of a witness to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// Recorded now, or recorded before with the same content.
    Granted,
    /// Another claim came first and stands.
    Taken(Claim),
    /// The witness restarted too recently to know what it promised before.
    Abstained,
    /// The witness runs newer settings than the claimant, who must catch up and ask again.
    StaleView,
}

/// What an agent knows about a flow when asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Knowledge {
    /// The asked agent holds the flow.
    Mine,
    /// The asked agent was told that another one holds it.
    HeldBy(UpstreamId),
    /// The asked agent holds a flow on these ports that is closing: somebody may hold a later one.
    Closing,
    /// The asked agent does not hold it and would know if it did.
    NotMine,
    /// The asked agent restarted and may hold it without knowing.
    Unsure,
    /// The same, and its upstream reports more flows than it knows. Only in a [`Message::Tell`].
    Likely,
    /// The same, but its upstream reports no flow that it does not know for certain. Only in a
    /// [`Message::Tell`].
    Unlikely,
}

/// A witness's record of a claim, as told to another witness after its restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRecord {
    /// The opening.
    pub opening: Opening,
    /// What is recorded for it.
    pub claim: Claim,
    /// Life of the claimant.
    pub incarnation: Incarnation,
}

/// What a witness knows of the promises that it may have made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordCompleteness {
    /// All of them.
    Complete,
    /// It believes that it never made any: its upstream has just begun, and so has its listing.
    Newborn,
    /// It may have made some that it does not know.
    Forgetful,
}

/// One change of a holder's flow table, or one flow of it when everything is announced again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowNote {
    /// The opening that the flow came from.
    pub opening: Opening,
    /// False once the flow is closing or has ended.
    pub open: bool,
    /// Milliseconds since the sender's upstream took the flow, when the note was sent. Where two
    /// holders announce one flow with different nonces, the later opening is the living one.
    pub age_ms: u32,
}

/// A flow of an agent that is silent, as told to another one that has lost its memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entrusted {
    /// The opening that the flow came from.
    pub opening: Opening,
    /// The silent agent that holds it.
    pub holder: UpstreamId,
}

/// A former membership of the service of which so many members run later settings that the others are
/// no majority: nobody can claim anything under it, and what was claimed is forgotten after a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outdated {
    /// First version with these members.
    pub from: Version,
    /// First version with other members.
    pub next: Version,
    /// Milliseconds after which everything that was claimed under it is forgotten.
    pub expires_in_ms: u32,
}

/// How a leaving agent has handed over. It says so anew whenever it has found another agent silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HandedOver {
    /// How often this life has found an agent silent. Each time the receiver asks for what the sender
    /// knows of that one's flows.
    pub peer_timeouts: u32,
    /// To how many agents that are up the sender tells its flows, zero if the receiver is none of them.
    pub informed_agents: u32,
}

/// What an agent knows of the life of another before its present one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PreviousIncarnation {
    /// That life, if it was met.
    pub incarnation: Option<Incarnation>,
    /// The newest that it has said at its end.
    pub handed_over: Option<HandedOver>,
    /// Whether the agent's own former life has handed over, so that it knows what was entrusted to it.
    pub resumed: bool,
}

/// Load and state of an agent, sent to its peers as heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Life of the sending process.
    pub incarnation: Incarnation,
    /// First life beside the present upstream process, if the sender knows: whatever an earlier one
    /// has announced is gone.
    pub born: Option<Incarnation>,
    /// Grows with each heartbeat and through all lives of the agent: its incarnation plus the
    /// milliseconds since its start. Orders what observers say about its liveness.
    pub beat: u64,
    /// Settings version in force at the sender.
    pub view: Version,
    /// Flows that the sender holds.
    pub open_flows: u32,
    /// Openings delivered but not yet answered by the caller's next packet.
    pub unanswered: u32,
    /// False while draining, shedding, cold or leaving: assign no opening to the sender.
    pub accepting: bool,
    /// Share of its weight that a cold upstream takes for now, in percent.
    pub ramp_percent: u8,
    /// True once the sender leaves: buckets move to the next rank.
    pub leaving: bool,
}

/// A message between two agents of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Asks a witness to record a claim for an opening.
    ClaimRequest {
        /// The opening.
        opening: Opening,
        /// What is to be recorded.
        claim: Claim,
        /// Settings version of the claimant.
        view: Version,
        /// Life of the claimant. A later life of a holder must not use what an earlier one was
        /// granted: the earlier one may have run the opening.
        incarnation: Incarnation,
    },
    /// Answers a [`Message::ClaimRequest`].
    ClaimReply {
        /// The opening.
        opening: Opening,
        /// What was asked for.
        claim: Claim,
        /// What the witness says.
        answer: ClaimAnswer,
        /// Settings version of the witness.
        view: Version,
        /// Life of the claimant that asked.
        incarnation: Incarnation,
    },
    /// Tells the home and the next rank which flows the sender holds.
    Announce {
        /// Life of the sender.
        incarnation: Incarnation,
        /// Number of this batch, for the acknowledgement.
        sequence: u64,
        /// Changes since the last batch.
        notes: Vec<FlowNote>,
    },
    /// Acknowledges an [`Message::Announce`].
    AnnounceAck {
        /// Life of the receiver of the batch.
        incarnation: Incarnation,
        /// Number of the batch.
        sequence: u64,
    },
    /// Asks whether the receiver knows a flow.
    Ask {
        /// The flow.
        flow: FlowId,
        /// Number of the question, so that a late answer to an older one is not taken for new.
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
        /// Settings version of the sender: in a newer one there may be holders not yet asked.
        view: Version,
    },
    /// Asks whether the receiver knows the connection that a packet belongs to. An agent that cannot read it
    /// gets a [`Message::Ask`] when it stays silent.
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
    /// Asks a peer, after a restart, for all flows that it believes the sender to hold.
    Relearn {
        /// New life of the sender.
        incarnation: Incarnation,
        /// First flow of the page, zero to begin with.
        from: FlowId,
    },
    /// Answers a [`Message::Relearn`] with one page.
    RelearnReply {
        /// Life that asked.
        incarnation: Incarnation,
        /// First flow of this page.
        from: FlowId,
        /// Openings that the asker holds according to the sender.
        openings: Vec<Opening>,
        /// Flows of agents that are silent: these cannot tell the asker themselves.
        entrusted: Vec<Entrusted>,
        /// Where the next page begins; `None` after the last.
        next: Option<FlowId>,
        /// True if the sender itself has been complete since before the asker restarted.
        complete: bool,
    },
    /// Asks a witness, after a restart, for its records of claims.
    Recall {
        /// New life of the sender.
        incarnation: Incarnation,
        /// Where the page begins, zero to begin with.
        from: u64,
    },
    /// Answers a [`Message::Recall`] with one page.
    RecallReply {
        /// Life that asked.
        incarnation: Incarnation,
        /// Where this page begins.
        from: u64,
        /// Records of the sender.
        records: Vec<ClaimRecord>,
        /// Where the next page begins; `None` after the last.
        next: Option<u64>,
        /// What the sender knows of its own promises.
        memory: RecordCompleteness,
        /// Whether the sender has met an earlier life of the asker.
        met_before: bool,
    },
    /// Load and liveness.
    Heartbeat(Heartbeat),
    /// A former membership of the service that needs no majority any more, another one each time.
    Outdated(Outdated),
    /// The sender is about to end: it has told everything that the receiver must know, and takes no
    /// flow any more.
    HandedOver {
        /// Life that ends.
        incarnation: Incarnation,
        /// To whom it has told everything.
        state: HandedOver,
    },
    /// Beside the answer to a [`Message::Relearn`]: what the sender knows of the asker's former life.
    Former {
        /// Life that asked.
        incarnation: Incarnation,
        /// What the sender knows.
        former: PreviousIncarnation,
    },
}
