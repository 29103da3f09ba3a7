//! What agents know about the holders of flows.

use decision::keys::UpstreamId;
use decision::message::{Entrusted, FlowNote, Knowledge};
use serde::{Deserialize, Serialize};

use super::claims::OpeningDto;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct FlowNoteDto(OpeningDto, bool, u32);

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

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct EntrustedDto(OpeningDto, u64);

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

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum KnowledgeDto {
    Mine,
    HeldBy(u64),
    Closing,
    NotMine,
    Unsure,
    Likely,
    Unlikely,
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
