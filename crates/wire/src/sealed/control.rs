//! Complete control datagrams: GUE control frames with sealed private data.

use decision::agent::Forwarding;
use decision::keys::{AccountId, FlowId, ServiceId, Version};

use super::{AccountKeyring, Header, Payload, SEALED_BYTES, SealError, SenderId};
use crate::gue::{self, Content};

impl Header {
    /// The header of a control message, which belongs to no flow and is never passed on to another
    /// agent.
    ///
    /// ```
    /// use decision::keys::{AccountId, FlowId, ServiceId, Version};
    /// use wire::sealed::{Header, SenderId};
    /// let header = Header::control(AccountId(1), ServiceId(2), Version(3), SenderId(4));
    /// assert_eq!((header.flow, header.hops), (FlowId(0), 0));
    /// ```
    pub fn control(
        account: AccountId,
        service: ServiceId,
        version: Version,
        sender: SenderId,
    ) -> Self {
        Self {
            hops: 0,
            forwarding: Forwarding::Direct,
            account,
            service,
            flow: FlowId(0),
            version,
            sender,
        }
    }
}

/// Builds a control datagram of type `kind` with `body`.
///
/// Errors: those of [`AccountKeyring::seal`].
///
/// ```
/// use decision::keys::{AccountId, ServiceId, Version};
/// use wire::gue;
/// use wire::sealed::{AccountKeyring, Header, KeyId, Payload, SenderId, control_datagram};
/// let ring = AccountKeyring::new(&[(KeyId(1), [9; 32])]).unwrap();
/// let header = Header::control(AccountId(1), ServiceId(2), Version(3), SenderId(4));
/// let datagram = control_datagram(&ring, &header, 2, b"body").unwrap();
/// let frame = gue::parse(&datagram).unwrap();
/// assert!(ring.open(frame.private, Payload::Control(frame.payload)).is_ok());
/// ```
pub fn control_datagram(
    ring: &AccountKeyring,
    header: &Header,
    kind: u8,
    body: &[u8],
) -> Result<Vec<u8>, SealError> {
    let mut private = [0; SEALED_BYTES];
    ring.seal(header, Payload::Control(body), &mut private)?;
    let mut datagram = Vec::with_capacity(gue::HEADER_BYTES + SEALED_BYTES + body.len());
    gue::encode(Content::Control(kind), &private, body, &mut datagram);
    Ok(datagram)
}
