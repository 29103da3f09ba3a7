//! Openings of flows, the claims to them, and the records of claims that were granted.

use decision::keys::{FlowId, Incarnation, UpstreamId, Version};
use decision::message::{
    Claim, ClaimAnswer, ClaimRecord, Opening, RecordCompleteness, RecordsExtent,
};
use serde::{Deserialize, Deserializer, Serialize};

use crate::bounded;
use crate::control::LIST_MAX;

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

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ExtentDto {
    incarnation: u64,
    version: u64,
    complete: bool,
    ended: bool,
    #[serde(deserialize_with = "memberships")]
    settled: Vec<(u64, u64)>,
}

impl From<&RecordsExtent> for ExtentDto {
    fn from(extent: &RecordsExtent) -> Self {
        Self {
            incarnation: extent.incarnation.0,
            version: extent.version.0,
            complete: extent.complete,
            ended: extent.ended,
            settled: extent.settled.iter().map(|(from, next)| (from.0, next.0)).collect(),
        }
    }
}

impl From<ExtentDto> for RecordsExtent {
    fn from(dto: ExtentDto) -> Self {
        let membership = |(from, next): (u64, u64)| (Version(from), Version(next));
        Self {
            incarnation: Incarnation(dto.incarnation),
            version: Version(dto.version),
            complete: dto.complete,
            ended: dto.ended,
            settled: dto.settled.into_iter().map(membership).collect(),
        }
    }
}

fn memberships<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<(u64, u64)>, D::Error> {
    bounded::list::<_, _, LIST_MAX>(deserializer)
}
