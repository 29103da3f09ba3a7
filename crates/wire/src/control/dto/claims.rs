//! Openings of flows, the claims to them, and the records of claims that were granted.

use decision::keys::{FlowId, Incarnation, UpstreamId};
use decision::message::{Claim, ClaimAnswer, ClaimRecord, Opening, RecordCompleteness};
use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct OpeningDto(u64, u32);

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

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum ClaimDto {
    Run(u64),
    Refuse,
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

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum ClaimAnswerDto {
    Granted,
    Taken(ClaimDto),
    Abstained,
    StaleView,
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

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RecordDto(OpeningDto, ClaimDto, u64);

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

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum MemoryDto {
    Complete,
    Newborn,
    Forgetful,
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
