//! Serializable types that mirror the messages of the core.

mod agents;
mod claims;
mod flows;
mod translate;

use decision::message::Message;
use serde::{Deserialize, Deserializer, Serialize};

use super::LIST_MAX;
use crate::bounded;
use agents::{HandedOverDto, HeartbeatDto, OutdatedDto};
use claims::{ClaimAnswerDto, ClaimDto, ExtentDto, MemoryDto, OpeningDto, RecordDto};
use flows::{EntrustedDto, FlowNoteDto, KnowledgeDto};

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
    ReadClaims {
        incarnation: u64,
        from: u64,
    },
    ClaimsPage {
        incarnation: u64,
        from: u64,
        #[serde(deserialize_with = "records")]
        records: Vec<RecordDto>,
        next: Option<u64>,
        extent: ExtentDto,
    },
}

/// Number of entries in the longest list of a message; zero if it has no list.
pub(super) fn list_entries(message: &Message) -> usize {
    match message {
        Message::Announce { notes, .. } => notes.len(),
        Message::RelearnReply { openings, entrusted, .. } => openings.len().max(entrusted.len()),
        Message::RecallReply { records, .. } => records.len(),
        Message::ClaimsPage { records, extent, .. } => records.len().max(extent.settled.len()),
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
