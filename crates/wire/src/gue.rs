//! Generic UDP Encapsulation, variant 0, without optional fields (draft-ietf-intarea-gue).
//!
//! ```text
//!  0               1               2               3
//! |0 0|C|  hlen   |  proto/ctype  |            flags = 0          |  private data, hlen * 4 bytes
//! ```

/// UDP port registered for GUE.
pub const PORT: u16 = 6080;
/// Length of the header in bytes, without private data.
pub const HEADER_BYTES: usize = 4;
/// Maximum size of the private data in bytes that the five-bit length field can express.
pub const PRIVATE_BYTES_MAX: usize = 31 * 4;

const CONTROL_BIT: u8 = 0x20;
const LENGTH_MASK: u8 = 0x1f;
const PROTOCOL_IPV4: u8 = 4;
const PROTOCOL_IPV6: u8 = 41;

/// Kind of payload that a frame carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Content {
    /// An IPv4 packet.
    Ipv4,
    /// An IPv6 packet.
    Ipv6,
    /// A control message of this type.
    Control(u8),
}

/// A parsed frame; borrows from the datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// Kind of the payload.
    pub content: Content,
    /// Private data, empty in a frame from the fabric or to an upstream.
    pub private: &'a [u8],
    /// Inner packet or control message.
    pub payload: &'a [u8],
}

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GueError {
    /// Shorter than its header states.
    #[error("datagram of {0} bytes is shorter than its header")]
    Truncated(usize),
    /// Variant other than 0.
    #[error("unknown GUE variant {0}")]
    Variant(u8),
    /// Unknown flags, which could change the meaning of the private data.
    #[error("unknown GUE flags {0:#06x}")]
    Flags(u16),
    /// Neither IPv4 nor IPv6.
    #[error("unknown inner protocol {0}")]
    Protocol(u8),
}

/// Parses a datagram.
///
/// ```
/// use wire::gue;
/// let mut datagram = Vec::new();
/// gue::encode(gue::Content::Ipv4, &[], b"packet", &mut datagram);
/// assert_eq!(gue::parse(&datagram).unwrap().payload, b"packet");
/// ```
pub fn parse(datagram: &[u8]) -> Result<Frame<'_>, GueError> {
    let truncated = GueError::Truncated(datagram.len());
    let (header, rest) = datagram.split_first_chunk::<HEADER_BYTES>().ok_or(truncated)?;
    let [first, protocol, flags @ ..] = *header;
    if first >> 6 != 0 {
        return Err(GueError::Variant(first >> 6));
    }
    let flags = u16::from_be_bytes(flags);
    if flags != 0 {
        return Err(GueError::Flags(flags));
    }
    let private_bytes = usize::from(first & LENGTH_MASK) * 4;
    let (private, payload) = rest.split_at_checked(private_bytes).ok_or(truncated)?;
    let content = content(first & CONTROL_BIT != 0, protocol)?;
    Ok(Frame { content, private, payload })
}

/// Appends a frame to `out`. The length of `private` must be a multiple of four and at most
/// [`PRIVATE_BYTES_MAX`].
///
/// ```
/// use wire::gue;
/// let mut datagram = Vec::new();
/// gue::encode(gue::Content::Control(1), &[0; 8], &[], &mut datagram);
/// assert_eq!(datagram.len(), gue::HEADER_BYTES + 8);
/// ```
pub fn encode(content: Content, private: &[u8], payload: &[u8], out: &mut Vec<u8>) {
    debug_assert!(private.len().is_multiple_of(4) && private.len() <= PRIVATE_BYTES_MAX);
    out.extend_from_slice(&header(content, private.len()));
    out.extend_from_slice(private);
    out.extend_from_slice(payload);
}

/// The four header bytes of a frame.
///
/// ```
/// assert_eq!(wire::gue::header(wire::gue::Content::Ipv6, 4), [1, 41, 0, 0]);
/// ```
pub fn header(content: Content, private_bytes: usize) -> [u8; HEADER_BYTES] {
    let length = (private_bytes / 4) as u8 & LENGTH_MASK;
    match content {
        Content::Ipv4 => [length, PROTOCOL_IPV4, 0, 0],
        Content::Ipv6 => [length, PROTOCOL_IPV6, 0, 0],
        Content::Control(kind) => [length | CONTROL_BIT, kind, 0, 0],
    }
}

fn content(control: bool, protocol: u8) -> Result<Content, GueError> {
    match (control, protocol) {
        (true, kind) => Ok(Content::Control(kind)),
        (false, PROTOCOL_IPV4) => Ok(Content::Ipv4),
        (false, PROTOCOL_IPV6) => Ok(Content::Ipv6),
        (false, other) => Err(GueError::Protocol(other)),
    }
}
