//! What happens to one datagram of the fabric. Pure: bytes in, destination and headers out.

use std::net::SocketAddr;

use decision::agent::Passed;
use decision::keys::AccountId;
use shell::udp::Prefix;
use wire::gue::{self, Content};
use wire::inner::{self, InnerError};
use wire::sealed::{Header, Payload, SEALED_BYTES, SealError, SenderId};

use crate::counters::Dropped;
use crate::snapshot::Snapshot;

/// What stays the same for all packets of a process.
#[derive(Clone, Copy, Debug)]
pub struct Identity {
    /// Key of the flow hash.
    pub flow_key: [u8; 16],
    /// This balancer, as agents see it.
    pub sender: SenderId,
}

/// A packet ready to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Forwarded {
    /// Where to.
    pub to: SocketAddr,
    /// Headers that replace those of the fabric.
    pub prefix: Prefix,
    /// Where the inner packet starts in the datagram.
    pub payload_start: usize,
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
        // Balancers belong to no account; any stable hash of the name will do.
        Self { flow_key, sender: SenderId(AccountId::of(instance).0) }
    }
}

/// Finds the home of a datagram's packet and seals the packet for it.
pub fn forward(
    snapshot: &Snapshot,
    identity: &Identity,
    datagram: &[u8],
) -> Result<Forwarded, Dropped> {
    let frame = gue::parse(datagram).map_err(|_| Dropped::Malformed)?;
    // Private data in a frame of the fabric can only be an attempt to look like a balancer.
    if !frame.private.is_empty() {
        return Err(Dropped::Malformed);
    }
    if matches!(frame.content, Content::Control(_)) {
        return Err(Dropped::UnsupportedProtocol);
    }
    let packet = inner::parse(frame.payload).map_err(reason)?;
    let router = &snapshot.router;
    let service_key = router.service(packet.endpoint).ok_or(Dropped::NoService)?;
    let flow = packet.flow_id(&identity.flow_key);
    let route = router.route(service_key, flow).ok_or(Dropped::NoAgent)?;
    let view = router.view();
    let service = view.service(service_key);
    let account = view.account(service.account);
    let keyring = snapshot.keyring(service.account).ok_or(Dropped::NoAgent)?;
    let header = Header {
        hops: 0,
        passed: Passed::Fresh,
        account: account.id,
        service: service.id,
        flow,
        version: account.version,
        sender: identity.sender,
    };
    let payload = Payload::Packet { bytes: frame.payload, header_bytes: packet.header_bytes };
    let mut private = [0; SEALED_BYTES];
    keyring.seal(&header, payload, &mut private).map_err(seal_reason)?;
    Ok(Forwarded {
        to: view.upstream(route.home).spec.agent_address,
        prefix: Prefix::new(gue::header(frame.content, SEALED_BYTES), &private),
        payload_start: gue::HEADER_BYTES,
    })
}

fn reason(error: InnerError) -> Dropped {
    match error {
        InnerError::Malformed => Dropped::Malformed,
        InnerError::Fragment => Dropped::Fragment,
        InnerError::Transport(_) => Dropped::UnsupportedProtocol,
    }
}

fn seal_reason(error: SealError) -> Dropped {
    match error {
        SealError::HeadersTooLong(_) => Dropped::TooLarge,
        _ => Dropped::Malformed,
    }
}
