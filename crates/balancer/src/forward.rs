//! Forwards one datagram of the fabric. Does no I/O: bytes in, destination and headers out.

use std::net::SocketAddr;

use decision::agent::Forwarding;
use decision::keys::AccountId;
use shell::udp::Prefix;
use wire::gue::{self, Content};
use wire::inner::{self, InnerError};
use wire::sealed::{Header, Payload, SealError, SenderId};

use crate::counters::DropReason;
use crate::snapshot::Snapshot;

/// Values that are the same for all packets of a process.
#[derive(Clone, Copy, Debug)]
pub struct Identity {
    /// Key of the flow hash.
    pub flow_key: [u8; 16],
    /// Id of this balancer in the headers that agents receive.
    pub sender: SenderId,
}

impl Identity {
    /// The identity of the balancer called `instance`.
    ///
    /// ```
    /// use balancer::forward::Identity;
    /// let one = Identity::new([0; 16], "bal-c1");
    /// assert_ne!(one.sender, Identity::new([0; 16], "bal-c2").sender);
    /// ```
    pub fn new(flow_key: [u8; 16], instance: &str) -> Self {
        // Balancers belong to no account. Any stable hash of the name serves as id.
        Self { flow_key, sender: SenderId(AccountId::of(instance).0) }
    }
}

/// Offset of the packet in a datagram of the fabric, which carries no GUE private data.
pub const PAYLOAD_START: usize = gue::HEADER_BYTES;

/// Finds the home of the packet in `datagram`, writes the headers that replace those of the fabric
/// into `prefix` and returns the home's address. The packet is not copied: it stays in `datagram`
/// from [`PAYLOAD_START`] on.
pub fn forward(
    snapshot: &Snapshot,
    identity: &Identity,
    datagram: &[u8],
    prefix: &mut Prefix,
) -> Result<SocketAddr, DropReason> {
    let frame = gue::parse(datagram).map_err(|_| DropReason::Malformed)?;
    if matches!(frame.content, Content::Control(_)) {
        return Err(DropReason::UnsupportedProtocol);
    }
    // The fabric sends no private data. A frame that carries some can only be an attempt to
    // impersonate a balancer.
    if !frame.private.is_empty() {
        return Err(DropReason::Malformed);
    }
    let packet = inner::parse(frame.payload).map_err(inner_drop_reason)?;
    let key = snapshot.find_by_endpoint(packet.endpoint).ok_or(DropReason::NoService)?;
    let flow = packet.flow_id(&identity.flow_key);
    let home = snapshot.home(key, flow).ok_or(DropReason::NoAgent)?;
    let entry = snapshot.service(key);
    let header = Header {
        hops: 0,
        forwarding: Forwarding::Direct,
        account: entry.account,
        service: entry.service,
        flow,
        version: entry.version,
        sender: identity.sender,
    };
    let payload = Payload::Packet { bytes: frame.payload, header_bytes: packet.header_bytes };
    let private = prefix.start_sealed(frame.content);
    entry.keyring.seal(&header, payload, private).map_err(seal_drop_reason)?;
    Ok(home)
}

fn inner_drop_reason(error: InnerError) -> DropReason {
    match error {
        InnerError::Malformed => DropReason::Malformed,
        InnerError::Fragment => DropReason::Fragment,
        InnerError::Transport(_) => DropReason::UnsupportedProtocol,
    }
}

fn seal_drop_reason(error: SealError) -> DropReason {
    match error {
        SealError::HeadersTooLong(_) => DropReason::TooLarge,
        _ => DropReason::Malformed,
    }
}
