//! Spreading messages as they travel over HTTP, in MessagePack.
//!
//! Field order is the format: structs are encoded as arrays, so fields are only ever appended.

use decision::keys::{AccountId, ServiceId, UpstreamId, Version};
use decision::spread::{Digest, Member, Notice, SHARES, SpreadMessage};
use serde::{Deserialize, Serialize};

/// Most notices that are taken from one message; a digest reply of the largest fleet stays below.
pub const NOTICES_MAX: usize = 16_384;

/// Why a body is not a spreading message.
#[derive(Debug, thiserror::Error)]
pub enum SpreadWireError {
    /// Not MessagePack of the expected shape.
    #[error("malformed spreading message: {0}")]
    Malformed(#[from] rmp_serde::decode::Error),
    /// More notices than any honest node sends.
    #[error("{0} notices in one message")]
    TooMany(usize),
}

#[derive(Serialize, Deserialize)]
enum NoticeDto {
    S(u64, u64),
    M(u64, u64, u64, bool),
}

#[derive(Serialize, Deserialize)]
struct DigestDto([u64; SHARES], u64);

#[derive(Serialize, Deserialize)]
enum MessageDto {
    N(Vec<NoticeDto>),
    C(DigestDto),
    D(Vec<NoticeDto>, Option<DigestDto>),
}

/// Encodes a message.
///
/// ```
/// use decision::spread::SpreadMessage;
/// let bytes = wire::spread::encode(&SpreadMessage::Notices(vec![]));
/// assert_eq!(wire::spread::decode(&bytes).unwrap(), SpreadMessage::Notices(vec![]));
/// ```
pub fn encode(message: &SpreadMessage) -> Vec<u8> {
    let dto = match message {
        SpreadMessage::Notices(notices) => MessageDto::N(notice_dtos(notices)),
        SpreadMessage::Compare(digest) => MessageDto::C(digest_dto(digest)),
        SpreadMessage::Differences { notices, digest } => {
            MessageDto::D(notice_dtos(notices), digest.as_ref().map(digest_dto))
        }
    };
    rmp_serde::to_vec(&dto).expect("plain numbers always encode")
}

/// Decodes a message of at most [`NOTICES_MAX`] notices.
///
/// ```
/// assert!(wire::spread::decode(b"\xff").is_err());
/// ```
pub fn decode(bytes: &[u8]) -> Result<SpreadMessage, SpreadWireError> {
    Ok(match rmp_serde::from_slice(bytes)? {
        MessageDto::N(notices) => SpreadMessage::Notices(notices_from(notices)?),
        MessageDto::C(digest) => SpreadMessage::Compare(digest_from(digest)),
        MessageDto::D(notices, digest) => SpreadMessage::Differences {
            notices: notices_from(notices)?,
            digest: digest.map(digest_from),
        },
    })
}

fn notice_dtos(notices: &[Notice]) -> Vec<NoticeDto> {
    notices.iter().map(notice_dto).collect()
}

fn notice_dto(notice: &Notice) -> NoticeDto {
    match *notice {
        Notice::Settings { account, version } => NoticeDto::S(account.0, version.0),
        Notice::Member(Member { service, upstream, beat, up }) => {
            NoticeDto::M(service.0, upstream.0, beat, up)
        }
    }
}

fn digest_dto(digest: &Digest) -> DigestDto {
    DigestDto(digest.shares, digest.confirmed_age_ms)
}

fn notices_from(dtos: Vec<NoticeDto>) -> Result<Vec<Notice>, SpreadWireError> {
    if dtos.len() > NOTICES_MAX {
        return Err(SpreadWireError::TooMany(dtos.len()));
    }
    Ok(dtos.into_iter().map(notice_from).collect())
}

fn notice_from(dto: NoticeDto) -> Notice {
    match dto {
        NoticeDto::S(account, version) => {
            Notice::Settings { account: AccountId(account), version: Version(version) }
        }
        NoticeDto::M(service, upstream, beat, up) => Notice::Member(Member {
            service: ServiceId(service),
            upstream: UpstreamId(upstream),
            beat,
            up,
        }),
    }
}

fn digest_from(dto: DigestDto) -> Digest {
    Digest { shares: dto.0, confirmed_age_ms: dto.1 }
}
