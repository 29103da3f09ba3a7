//! What is checked before a datagram reaches the decision core. Pure: bytes in, packet out.

use decision::keys::{AccountId, ServiceId, UpstreamId, Version};
use decision::view::{View, WhenInDoubt};
use settings::{Code, codes};
use wire::control::{self, Envelope};
use wire::gue::{self, Content};
use wire::inner::{self, Inner, InnerError};
use wire::notice::{self, Notice};
use wire::sealed::{AccountKeyring, Header, Payload, SealError};

/// Who this agent is.
#[derive(Clone, Copy, Debug)]
pub struct Identity {
    /// Its account.
    pub account: AccountId,
    /// Its service.
    pub service: ServiceId,
    /// Its upstream.
    pub upstream: UpstreamId,
}

/// What a datagram turned out to be.
#[derive(Clone, Debug)]
pub enum Admitted<'a> {
    /// A packet of a caller.
    Packet {
        /// What its frame carried.
        content: Content,
        /// What its sender said.
        header: Header,
        /// The packet, parsed.
        inner: Inner<'a>,
        /// The packet.
        bytes: &'a [u8],
    },
    /// A control message.
    Message {
        /// What its sender said.
        header: Header,
        /// The message.
        envelope: Envelope,
    },
    /// A balancer has a version of the account's settings in force.
    Settings(Version),
}

/// Checks MAC, account, service and, against this agent's own settings, that the destination
/// belongs to the service.
///
/// The MAC shows that a balancer or an agent of the account sent the packet, not that the sender's
/// settings were right. A destination that our own settings do not give to the service is
/// therefore dropped; if the sender's settings are newer, the caller's retransmission finds ours
/// caught up.
///
/// Errors: the code under which the datagram is dropped.
pub fn check<'a>(
    identity: &Identity,
    keyring: &AccountKeyring,
    view: &View,
    datagram: &'a [u8],
) -> Result<Admitted<'a>, Code> {
    let frame = gue::parse(datagram).map_err(|_| codes::MALFORMED)?;
    let payload = match frame.content {
        Content::Control(control::CONTROL_TYPE | notice::CONTROL_TYPE) => {
            Payload::Control(frame.payload)
        }
        Content::Control(_) => return Err(codes::UNSUPPORTED_PROTOCOL),
        Content::Ipv4 | Content::Ipv6 => Payload::Packet { bytes: frame.payload, header_bytes: 0 },
    };
    let opened = keyring.open(frame.private, payload).map_err(seal_code)?;
    let header = opened.header;
    if header.account != identity.account {
        return Err(codes::FOREIGN_ACCOUNT);
    }
    if header.service != identity.service {
        return Err(codes::WRONG_SERVICE);
    }
    if frame.content == Content::Control(notice::CONTROL_TYPE) {
        return match notice::decode(frame.payload) {
            Some(Notice::Settings { version }) => Ok(Admitted::Settings(Version(version))),
            _ => Err(codes::UNSUPPORTED_PROTOCOL),
        };
    }
    if matches!(payload, Payload::Control(_)) {
        if !header.is_for(identity.upstream) {
            return Err(codes::WRONG_RECEIVER);
        }
        let envelope = control::decode(frame.payload).map_err(|_| codes::MALFORMED)?;
        return Ok(Admitted::Message { header, envelope });
    }
    let inner = inner::parse(frame.payload).map_err(inner_code)?;
    if inner.header_bytes > opened.covered {
        return Err(codes::BAD_MAC);
    }
    let service = view.find_endpoint(inner.endpoint).ok_or(codes::NO_SERVICE)?;
    if view.service(service).id != identity.service {
        return Err(codes::WRONG_SERVICE);
    }
    Ok(Admitted::Packet { content: frame.content, header, inner, bytes: frame.payload })
}

/// How datagrams of a service are told apart: a service that must not run a request twice takes
/// each datagram as a request of its own, any other takes all of one caller's port as one flow.
pub fn datagram_nonce(when_in_doubt: WhenInDoubt) -> fn(&[u8]) -> u32 {
    match when_in_doubt {
        WhenInDoubt::Admit => |_| inner::FLOW_NONCE,
        WhenInDoubt::Refuse => inner::payload_nonce,
    }
}

fn seal_code(error: SealError) -> Code {
    match error {
        SealError::UnknownKey(_) => codes::UNKNOWN_KEY,
        SealError::BadMac => codes::BAD_MAC,
        _ => codes::MALFORMED,
    }
}

fn inner_code(error: InnerError) -> Code {
    match error {
        InnerError::Malformed => codes::MALFORMED,
        InnerError::Fragment => codes::FRAGMENT,
        InnerError::Transport(_) => codes::UNSUPPORTED_PROTOCOL,
    }
}
