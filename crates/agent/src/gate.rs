//! Validates datagrams before they reach the decision core. Performs no I/O and keeps no state.

use decision::keys::{AccountId, ServiceId, UpstreamId, Version};
use decision::message::OutdatedReport;
use decision::view::{View, WhenInDoubt};
use settings::{Code, codes};
use wire::control::{self, Envelope};
use wire::gue::{self, Content};
use wire::inner::{self, Inner, InnerError};
use wire::notice::{self, Notice};
use wire::sealed::{AccountKeyring, Header, Payload, SealError};

/// Identity of this agent.
#[derive(Clone, Copy, Debug)]
pub struct Identity {
    /// Client account that owns the service.
    pub account: AccountId,
    /// Service to which the upstream belongs.
    pub service: ServiceId,
    /// Upstream beside which the agent runs.
    pub upstream: UpstreamId,
}

/// A datagram that passed all checks.
#[derive(Clone, Debug)]
pub enum Admitted<'a> {
    /// A caller's packet.
    Packet {
        /// Content type of the GUE frame.
        content: Content,
        /// Header written by the sender.
        header: Header,
        /// Parsed packet.
        inner: Inner<'a>,
        /// Bytes of the packet.
        bytes: &'a [u8],
    },
    /// A control message from a peer.
    Message {
        /// Header written by the sender.
        header: Header,
        /// Decoded message.
        envelope: Envelope,
    },
    /// A balancer's notice of the version of the account's settings that it uses.
    Settings(Version),
    /// A balancer's report that an earlier membership of the service is outdated.
    Outdated(OutdatedReport),
}

/// Checks the MAC, the account and the service and, for a caller's packet, that this agent's own
/// settings assign its destination to the service.
///
/// The MAC proves that a balancer or an agent of the account sent the packet, but not that the
/// sender's settings were correct. A packet to a destination that this agent's own settings do not
/// assign to the service is therefore dropped. If the sender's settings are newer, this agent has
/// caught up by the time the caller retransmits.
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
        let notice = notice::decode(frame.payload);
        if let Some(report) = notice.and_then(Notice::outdated) {
            return Ok(Admitted::Outdated(report));
        }
        return match notice {
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

/// Returns the function that derives the nonce of a datagram, which distinguishes openings.
///
/// A service that must not run a request twice treats each distinct datagram as a separate opening.
/// Any other service treats all datagrams from one caller's port as one flow.
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
