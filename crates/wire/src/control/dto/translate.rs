//! Conversions between messages of the core and their encoded form.

use decision::keys::{FlowId, Incarnation, Version};
use decision::message::{
    ClaimRecord, Entrusted, FlowNote, HandedOver, Message, Opening, PreviousIncarnation,
};

use super::agents::HandedOverDto;
use super::{Body, MessageDto};

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
            Message::ReadClaims { incarnation, from } => {
                Body::ReadClaims { incarnation: incarnation.0, from: *from }
            }
            Message::ClaimsPage { incarnation, from, records, next, extent } => Body::ClaimsPage {
                incarnation: incarnation.0,
                from: *from,
                records: records.iter().map(|record| (*record).into()).collect(),
                next: *next,
                extent: extent.into(),
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
            Body::ReadClaims { incarnation, from } => {
                Self::ReadClaims { incarnation: Incarnation(incarnation), from }
            }
            Body::ClaimsPage { incarnation, from, records, next, extent } => Self::ClaimsPage {
                incarnation: Incarnation(incarnation),
                from,
                records: records.into_iter().map(ClaimRecord::from).collect(),
                next,
                extent: extent.into(),
            },
        }
    }
}
