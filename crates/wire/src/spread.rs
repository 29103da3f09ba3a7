//! Encoding of the gossip messages between balancers in MessagePack.
//!
//! Structs are encoded as arrays, so the order of fields is part of the format: new fields are only
//! ever appended.

use decision::keys::{AccountId, UpstreamId, Version};
use decision::spread::{Digest, Member, Notice, SHARES, SpreadMessage};
use serde::{Deserialize, Serialize};

/// GUE control type of these messages.
pub const CONTROL_TYPE: u8 = 3;
/// Maximum number of notices accepted in one message. A correct node sends at most
/// [`decision::spread::DIFFERENCES_MAX`].
pub const NOTICES_MAX: usize = 256;

/// Why a body is not a gossip message.
#[derive(Debug, thiserror::Error)]
pub enum SpreadWireError {
    /// Not MessagePack of the expected shape.
    #[error("malformed gossip message: {0}")]
    Malformed(#[from] rmp_serde::decode::Error),
    /// More than [`NOTICES_MAX`] notices.
    #[error("gossip message with too many notices: {0}")]
    TooMany(usize),
}

/// Notices grouped by kind, so that the kind is not encoded with each: 12 bytes for a version, 19
/// for a member.
#[derive(Serialize, Deserialize)]
struct NoticesDto(Vec<(u64, u64)>, Vec<MemberDto>);

#[derive(Serialize, Deserialize)]
struct MemberDto(u64, u64, bool);

#[derive(Serialize, Deserialize)]
struct DigestDto([u64; SHARES], u64);

#[derive(Serialize, Deserialize)]
enum MessageDto {
    N(NoticesDto),
    C(DigestDto),
    D(NoticesDto, Option<DigestDto>),
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

fn notice_dtos(notices: &[Notice]) -> NoticesDto {
    let mut dto = NoticesDto(Vec::new(), Vec::new());
    for notice in notices {
        match *notice {
            Notice::Settings { account, version } => dto.0.push((account.0, version.0)),
            Notice::Member(Member { upstream, beat, up }) => {
                dto.1.push(MemberDto(upstream.0, beat, up));
            }
        }
    }
    dto
}

fn digest_dto(digest: &Digest) -> DigestDto {
    DigestDto(digest.shares, digest.confirmed_age_ms)
}

fn notices_from(dto: NoticesDto) -> Result<Vec<Notice>, SpreadWireError> {
    let NoticesDto(settings, members) = dto;
    let count = settings.len() + members.len();
    if count > NOTICES_MAX {
        return Err(SpreadWireError::TooMany(count));
    }
    let settings = settings.into_iter().map(|(account, version)| Notice::Settings {
        account: AccountId(account),
        version: Version(version),
    });
    let members = members.into_iter().map(|MemberDto(upstream, beat, up)| {
        Notice::Member(Member { upstream: UpstreamId(upstream), beat, up })
    });
    Ok(settings.chain(members).collect())
}

fn digest_from(dto: DigestDto) -> Digest {
    Digest { shares: dto.0, confirmed_age_ms: dto.1 }
}
