//! Serializable types that mirror the messages of the core.

use decision::keys::{FlowId, Incarnation, UpstreamId, Version};
use decision::message::{
    Claim, ClaimAnswer, ClaimRecord, Entrusted, FlowNote, HandedOver, Heartbeat, Knowledge,
    Message, Opening, Outdated, PreviousIncarnation, RecordCompleteness,
};
use serde::{Deserialize, Deserializer, Serialize};

use super::LIST_MAX;
use crate::bounded;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum ClaimDto {
    Run(u64),
    Refuse,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct OpeningDto(u64, u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum ClaimAnswerDto {
    Granted,
    Taken(ClaimDto),
    Abstained,
    StaleView,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum KnowledgeDto {
    Mine,
    HeldBy(u64),
    Closing,
    NotMine,
    Unsure,
    Likely,
    Unlikely,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum MemoryDto {
    Complete,
    Newborn,
    Forgetful,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RecordDto(OpeningDto, ClaimDto, u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct FlowNoteDto(OpeningDto, bool, u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct EntrustedDto(OpeningDto, u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct HeartbeatDto {
    incarnation: u64,
    born: Option<u64>,
    beat: u64,
    view: u64,
    open_flows: u32,
    unanswered: u32,
    accepting: bool,
    ramp_percent: u8,
    leaving: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct OutdatedDto(u64, u64, u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct HandedOverDto(u32, u32);

/// A message as it is encoded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageDto(Body);

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Body {
    ClaimRequest {
        opening: OpeningDto,
        claim: ClaimDto,
        view: u64,
        incarnation: u64,
    },
    ClaimReply {
        opening: OpeningDto,
        claim: ClaimDto,
        answer: ClaimAnswerDto,
        view: u64,
        incarnation: u64,
    },
    Announce {
        incarnation: u64,
        sequence: u64,
        #[serde(deserialize_with = "notes")]
        notes: Vec<FlowNoteDto>,
    },
    AnnounceAck {
        incarnation: u64,
        sequence: u64,
    },
    Ask {
        flow: u64,
        question: u64,
    },
    AskReply {
        flow: u64,
        question: u64,
        knowledge: KnowledgeDto,
        view: u64,
    },
    Relearn {
        incarnation: u64,
        from: u64,
    },
    RelearnReply {
        incarnation: u64,
        from: u64,
        #[serde(deserialize_with = "openings")]
        openings: Vec<OpeningDto>,
        #[serde(deserialize_with = "entrusted")]
        entrusted: Vec<EntrustedDto>,
        next: Option<u64>,
        complete: bool,
    },
    Recall {
        incarnation: u64,
        from: u64,
    },
    RecallReply {
        incarnation: u64,
        from: u64,
        #[serde(deserialize_with = "records")]
        records: Vec<RecordDto>,
        next: Option<u64>,
        memory: MemoryDto,
        met_before: bool,
    },
    Heartbeat(HeartbeatDto),
    Outdated(OutdatedDto),
    HandedOver {
        incarnation: u64,
        state: HandedOverDto,
    },
    AskAbout {
        flow: u64,
        question: u64,
        sequence: u32,
    },
    Tell {
        flow: u64,
        question: u64,
        knowledge: KnowledgeDto,
        view: u64,
    },
    Former {
        incarnation: u64,
        life: Option<u64>,
        handed_over: Option<HandedOverDto>,
        resumed: bool,
    },
}

/// Number of entries in the longest list of a message; zero if it has no list.
pub(super) fn list_entries(message: &Message) -> usize {
    match message {
        Message::Announce { notes, .. } => notes.len(),
        Message::RelearnReply { openings, entrusted, .. } => openings.len().max(entrusted.len()),
        Message::RecallReply { records, .. } => records.len(),
        _ => 0,
    }
}

fn notes<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<FlowNoteDto>, D::Error> {
    bounded::list::<_, _, LIST_MAX>(deserializer)
}

fn openings<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<OpeningDto>, D::Error> {
    bounded::list::<_, _, LIST_MAX>(deserializer)
}

fn entrusted<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<EntrustedDto>, D::Error> {
    bounded::list::<_, _, LIST_MAX>(deserializer)
}

fn records<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<RecordDto>, D::Error> {
    bounded::list::<_, _, LIST_MAX>(deserializer)
}

impl From<ClaimRecord> for RecordDto {
    fn from(record: ClaimRecord) -> Self {
        Self(record.opening.into(), record.claim.into(), record.incarnation.0)
    }
}

impl From<RecordDto> for ClaimRecord {
    fn from(RecordDto(opening, claim, incarnation): RecordDto) -> Self {
        let incarnation = Incarnation(incarnation);
        Self { opening: opening.into(), claim: claim.into(), incarnation }
    }
}

impl From<RecordCompleteness> for MemoryDto {
    fn from(completeness: RecordCompleteness) -> Self {
        match completeness {
            RecordCompleteness::Complete => Self::Complete,
            RecordCompleteness::Newborn => Self::Newborn,
            RecordCompleteness::Forgetful => Self::Forgetful,
        }
    }
}

impl From<MemoryDto> for RecordCompleteness {
    fn from(completeness: MemoryDto) -> Self {
        match completeness {
            MemoryDto::Complete => Self::Complete,
            MemoryDto::Newborn => Self::Newborn,
            MemoryDto::Forgetful => Self::Forgetful,
        }
    }
}

impl From<Claim> for ClaimDto {
    fn from(claim: Claim) -> Self {
        match claim {
            Claim::Run(upstream) => Self::Run(upstream.0),
            Claim::Refuse => Self::Refuse,
        }
    }
}

impl From<ClaimDto> for Claim {
    fn from(claim: ClaimDto) -> Self {
        match claim {
            ClaimDto::Run(upstream) => Self::Run(UpstreamId(upstream)),
            ClaimDto::Refuse => Self::Refuse,
        }
    }
}

impl From<Opening> for OpeningDto {
    fn from(opening: Opening) -> Self {
        Self(opening.flow.0, opening.nonce)
    }
}

impl From<OpeningDto> for Opening {
    fn from(OpeningDto(flow, nonce): OpeningDto) -> Self {
        Self { flow: FlowId(flow), nonce }
    }
}

impl From<ClaimAnswer> for ClaimAnswerDto {
    fn from(answer: ClaimAnswer) -> Self {
        match answer {
            ClaimAnswer::Granted => Self::Granted,
            ClaimAnswer::Taken(claim) => Self::Taken(claim.into()),
            ClaimAnswer::Abstained => Self::Abstained,
            ClaimAnswer::StaleView => Self::StaleView,
        }
    }
}

impl From<ClaimAnswerDto> for ClaimAnswer {
    fn from(answer: ClaimAnswerDto) -> Self {
        match answer {
            ClaimAnswerDto::Granted => Self::Granted,
            ClaimAnswerDto::Taken(claim) => Self::Taken(claim.into()),
            ClaimAnswerDto::Abstained => Self::Abstained,
            ClaimAnswerDto::StaleView => Self::StaleView,
        }
    }
}

impl From<Knowledge> for KnowledgeDto {
    fn from(knowledge: Knowledge) -> Self {
        match knowledge {
            Knowledge::Mine => Self::Mine,
            Knowledge::HeldBy(holder) => Self::HeldBy(holder.0),
            Knowledge::Closing => Self::Closing,
            Knowledge::NotMine => Self::NotMine,
            Knowledge::Unsure => Self::Unsure,
            Knowledge::Likely => Self::Likely,
            Knowledge::Unlikely => Self::Unlikely,
        }
    }
}

impl From<KnowledgeDto> for Knowledge {
    fn from(knowledge: KnowledgeDto) -> Self {
        match knowledge {
            KnowledgeDto::Mine => Self::Mine,
            KnowledgeDto::HeldBy(holder) => Self::HeldBy(UpstreamId(holder)),
            KnowledgeDto::Closing => Self::Closing,
            KnowledgeDto::NotMine => Self::NotMine,
            KnowledgeDto::Unsure => Self::Unsure,
            KnowledgeDto::Likely => Self::Likely,
            KnowledgeDto::Unlikely => Self::Unlikely,
        }
    }
}

impl From<Entrusted> for EntrustedDto {
    fn from(entrusted: Entrusted) -> Self {
        Self(entrusted.opening.into(), entrusted.holder.0)
    }
}

impl From<EntrustedDto> for Entrusted {
    fn from(EntrustedDto(opening, holder): EntrustedDto) -> Self {
        Self { opening: opening.into(), holder: UpstreamId(holder) }
    }
}

impl From<FlowNote> for FlowNoteDto {
    fn from(note: FlowNote) -> Self {
        Self(note.opening.into(), note.open, note.age_ms)
    }
}

impl From<FlowNoteDto> for FlowNote {
    fn from(FlowNoteDto(opening, open, age_ms): FlowNoteDto) -> Self {
        Self { opening: opening.into(), open, age_ms }
    }
}

impl From<Heartbeat> for HeartbeatDto {
    fn from(heartbeat: Heartbeat) -> Self {
        Self {
            incarnation: heartbeat.incarnation.0,
            born: heartbeat.born.map(|born| born.0),
            beat: heartbeat.beat,
            view: heartbeat.view.0,
            open_flows: heartbeat.open_flows,
            unanswered: heartbeat.unanswered,
            accepting: heartbeat.accepting,
            ramp_percent: heartbeat.ramp_percent,
            leaving: heartbeat.leaving,
        }
    }
}

impl From<HeartbeatDto> for Heartbeat {
    fn from(heartbeat: HeartbeatDto) -> Self {
        Self {
            incarnation: Incarnation(heartbeat.incarnation),
            born: heartbeat.born.map(Incarnation),
            beat: heartbeat.beat,
            view: Version(heartbeat.view),
            open_flows: heartbeat.open_flows,
            unanswered: heartbeat.unanswered,
            accepting: heartbeat.accepting,
            ramp_percent: heartbeat.ramp_percent,
            leaving: heartbeat.leaving,
        }
    }
}

impl From<Outdated> for OutdatedDto {
    fn from(outdated: Outdated) -> Self {
        Self(outdated.from.0, outdated.next.0, outdated.expires_in_ms)
    }
}

impl From<OutdatedDto> for Outdated {
    fn from(OutdatedDto(from, next, expires_in_ms): OutdatedDto) -> Self {
        Self { from: Version(from), next: Version(next), expires_in_ms }
    }
}

impl From<HandedOver> for HandedOverDto {
    fn from(state: HandedOver) -> Self {
        Self(state.peer_timeouts, state.informed_agents)
    }
}

impl From<HandedOverDto> for HandedOver {
    fn from(HandedOverDto(peer_timeouts, informed_agents): HandedOverDto) -> Self {
        Self { peer_timeouts, informed_agents }
    }
}

impl From<&Message> for MessageDto {
    fn from(message: &Message) -> Self {
        Self(match message {
            Message::ClaimRequest { opening, claim, view, incarnation } => Body::ClaimRequest {
                opening: (*opening).into(),
                claim: (*claim).into(),
                view: view.0,
                incarnation: incarnation.0,
            },
            Message::ClaimReply { opening, claim, answer, view, incarnation } => Body::ClaimReply {
                opening: (*opening).into(),
                claim: (*claim).into(),
                answer: (*answer).into(),
                view: view.0,
                incarnation: incarnation.0,
            },
            Message::Announce { incarnation, sequence, notes } => Body::Announce {
                incarnation: incarnation.0,
                sequence: *sequence,
                notes: notes.iter().map(|note| (*note).into()).collect(),
            },
            Message::AnnounceAck { incarnation, sequence } => {
                Body::AnnounceAck { incarnation: incarnation.0, sequence: *sequence }
            }
            Message::Ask { flow, question } => Body::Ask { flow: flow.0, question: *question },
            Message::AskReply { flow, question, knowledge, view } => Body::AskReply {
                flow: flow.0,
                question: *question,
                knowledge: (*knowledge).into(),
                view: view.0,
            },
            Message::Relearn { incarnation, from } => {
                Body::Relearn { incarnation: incarnation.0, from: from.0 }
            }
            Message::RelearnReply { incarnation, from, openings, entrusted, next, complete } => {
                Body::RelearnReply {
                    incarnation: incarnation.0,
                    from: from.0,
                    openings: openings.iter().map(|opening| (*opening).into()).collect(),
                    entrusted: entrusted.iter().map(|entry| (*entry).into()).collect(),
                    next: next.map(|flow| flow.0),
                    complete: *complete,
                }
            }
            Message::Recall { incarnation, from } => {
                Body::Recall { incarnation: incarnation.0, from: *from }
            }
            Message::RecallReply { incarnation, from, records, next, memory, met_before } => {
                Body::RecallReply {
                    incarnation: incarnation.0,
                    from: *from,
                    records: records.iter().map(|record| (*record).into()).collect(),
                    next: *next,
                    memory: (*memory).into(),
                    met_before: *met_before,
                }
            }
            Message::Heartbeat(heartbeat) => Body::Heartbeat((*heartbeat).into()),
            Message::Outdated(outdated) => Body::Outdated((*outdated).into()),
            Message::AskAbout { flow, question, sequence } => {
                Body::AskAbout { flow: flow.0, question: *question, sequence: *sequence }
            }
            Message::Tell { flow, question, knowledge, view } => Body::Tell {
                flow: flow.0,
                question: *question,
                knowledge: (*knowledge).into(),
                view: view.0,
            },
            Message::HandedOver { incarnation, state } => {
                Body::HandedOver { incarnation: incarnation.0, state: (*state).into() }
            }
            Message::Former { incarnation, former } => Body::Former {
                incarnation: incarnation.0,
                life: former.incarnation.map(|previous| previous.0),
                handed_over: former.handed_over.map(HandedOverDto::from),
                resumed: former.resumed,
            },
        })
    }
}

impl From<MessageDto> for Message {
    fn from(MessageDto(body): MessageDto) -> Self {
        match body {
            Body::ClaimRequest { opening, claim, view, incarnation } => Self::ClaimRequest {
                opening: opening.into(),
                claim: claim.into(),
                view: Version(view),
                incarnation: Incarnation(incarnation),
            },
            Body::ClaimReply { opening, claim, answer, view, incarnation } => Self::ClaimReply {
                opening: opening.into(),
                claim: claim.into(),
                answer: answer.into(),
                view: Version(view),
                incarnation: Incarnation(incarnation),
            },
            Body::Announce { incarnation, sequence, notes } => Self::Announce {
                incarnation: Incarnation(incarnation),
                sequence,
                notes: notes.into_iter().map(FlowNote::from).collect(),
            },
            Body::AnnounceAck { incarnation, sequence } => {
                Self::AnnounceAck { incarnation: Incarnation(incarnation), sequence }
            }
            Body::Ask { flow, question } => Self::Ask { flow: FlowId(flow), question },
            Body::AskReply { flow, question, knowledge, view } => Self::AskReply {
                flow: FlowId(flow),
                question,
                knowledge: knowledge.into(),
                view: Version(view),
            },
            Body::Relearn { incarnation, from } => {
                Self::Relearn { incarnation: Incarnation(incarnation), from: FlowId(from) }
            }
            Body::RelearnReply { incarnation, from, openings, entrusted, next, complete } => {
                Self::RelearnReply {
                    incarnation: Incarnation(incarnation),
                    from: FlowId(from),
                    openings: openings.into_iter().map(Opening::from).collect(),
                    entrusted: entrusted.into_iter().map(Entrusted::from).collect(),
                    next: next.map(FlowId),
                    complete,
                }
            }
            Body::Recall { incarnation, from } => {
                Self::Recall { incarnation: Incarnation(incarnation), from }
            }
            Body::RecallReply { incarnation, from, records, next, memory, met_before } => {
                Self::RecallReply {
                    incarnation: Incarnation(incarnation),
                    from,
                    records: records.into_iter().map(ClaimRecord::from).collect(),
                    next,
                    memory: memory.into(),
                    met_before,
                }
            }
            Body::Heartbeat(heartbeat) => Self::Heartbeat(heartbeat.into()),
            Body::Outdated(outdated) => Self::Outdated(outdated.into()),
            Body::AskAbout { flow, question, sequence } => {
                Self::AskAbout { flow: FlowId(flow), question, sequence }
            }
            Body::Tell { flow, question, knowledge, view } => Self::Tell {
                flow: FlowId(flow),
                question,
                knowledge: knowledge.into(),
                view: Version(view),
            },
            Body::HandedOver { incarnation, state } => {
                Self::HandedOver { incarnation: Incarnation(incarnation), state: state.into() }
            }
            Body::Former { incarnation, life, handed_over, resumed } => Self::Former {
                incarnation: Incarnation(incarnation),
                former: PreviousIncarnation {
                    incarnation: life.map(Incarnation),
                    handed_over: handed_over.map(HandedOver::from),
                    resumed,
                },
            },
        }
    }
}
