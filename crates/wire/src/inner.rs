//! Parsing of the encapsulated packet, as far as is needed to find its service and its flow.
//!
//! Nothing is copied or allocated. Malformed input gives a typed error and never a panic.

use std::net::{IpAddr, SocketAddr};

use decision::agent::PacketKind;
use decision::keys::FlowId;
use decision::view::{Endpoint, Transport};
use etherparse::{IpSlice, TcpSlice, UdpSlice, ip_number};
use siphasher::sip::SipHasher13;

/// Maximum length of the input of the flow hash: protocol, two IPv6 addresses and two ports.
const FLOW_HASH_INPUT_BYTES_MAX: usize = 1 + 2 * (16 + 2);

/// Flags of a TCP segment that change the state of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TcpFlags {
    /// Opens a connection.
    pub syn: bool,
    /// Acknowledges received bytes.
    pub ack: bool,
    /// The caller sends nothing after this segment.
    pub fin: bool,
    /// The caller aborts the connection.
    pub rst: bool,
}

/// Transport header of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Segment<'a> {
    /// A TCP segment.
    Tcp {
        /// Sequence number.
        sequence: u32,
        /// Acknowledgement number, meaningful only with the ACK flag.
        acknowledgement: u32,
        /// Flags.
        flags: TcpFlags,
        /// Bytes after the header.
        payload: &'a [u8],
    },
    /// A UDP datagram.
    Udp {
        /// Bytes after the header.
        payload: &'a [u8],
    },
}

/// A parsed packet of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Inner<'a> {
    /// Destination, under which a service is looked up.
    pub endpoint: Endpoint,
    /// The caller's address and port.
    pub source: SocketAddr,
    /// Transport header and payload.
    pub segment: Segment<'a>,
    /// Bytes from the start of the packet to the end of the transport header.
    pub header_bytes: usize,
}

/// Why a packet could not be parsed. Such a packet is counted and dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InnerError {
    /// Lengths, versions or header fields contradict each other.
    #[error("malformed packet")]
    Malformed,
    /// A fragment: only the first one would carry ports.
    #[error("fragmented packet")]
    Fragment,
    /// Neither TCP nor UDP.
    #[error("unsupported transport protocol {0}")]
    Transport(u8),
}

/// Parses an IPv4 or IPv6 packet.
///
/// ```
/// use wire::inner;
/// let builder = etherparse::PacketBuilder::ipv4([192, 0, 2, 1], [203, 0, 113, 1], 64);
/// let mut packet = Vec::new();
/// builder.tcp(40_000, 8443, 7, 1_024).syn().write(&mut packet, &[]).unwrap();
/// let parsed = inner::parse(&packet).unwrap();
/// assert_eq!(parsed.endpoint.port, 8443);
/// assert_eq!(parsed.header_bytes, 40);
/// ```
pub fn parse(packet: &[u8]) -> Result<Inner<'_>, InnerError> {
    let ip = IpSlice::from_slice(packet).map_err(|_| InnerError::Malformed)?;
    if ip.is_fragmenting_payload() {
        return Err(InnerError::Fragment);
    }
    let addresses = (ip.source_addr(), ip.destination_addr());
    let payload = match &ip {
        IpSlice::Ipv4(ipv4) => ipv4.payload(),
        IpSlice::Ipv6(ipv6) => ipv6.payload(),
    };
    let offset = offset_in(packet, payload.payload);
    match payload.ip_number {
        ip_number::TCP => parse_tcp(addresses, offset, payload.payload),
        ip_number::UDP => parse_udp(addresses, offset, payload.payload),
        other => Err(InnerError::Transport(other.0)),
    }
}

impl Inner<'_> {
    /// Role of the packet in its flow. UDP does not mark the packet that opens a flow, so every
    /// datagram counts as an opening. `datagram_nonce` computes its nonce from the payload, see
    /// [`payload_nonce`] and [`FLOW_NONCE`].
    ///
    /// ```
    /// use decision::agent::PacketKind;
    /// use wire::inner;
    /// let builder = etherparse::PacketBuilder::ipv4([192, 0, 2, 1], [203, 0, 113, 1], 64);
    /// let mut packet = Vec::new();
    /// builder.tcp(40_000, 8443, 7, 1_024).syn().write(&mut packet, &[]).unwrap();
    /// let kind = inner::parse(&packet).unwrap().kind(inner::payload_nonce);
    /// assert_eq!(kind, PacketKind::Opening { nonce: 7 });
    /// ```
    pub fn kind(&self, datagram_nonce: impl FnOnce(&[u8]) -> u32) -> PacketKind {
        match self.segment {
            Segment::Tcp { flags, .. } if flags.rst => PacketKind::Reset,
            Segment::Tcp { flags, sequence, .. } if flags.syn && !flags.ack => {
                PacketKind::Opening { nonce: sequence }
            }
            Segment::Tcp { flags, .. } if flags.fin => PacketKind::Finish,
            Segment::Tcp { .. } => PacketKind::Middle,
            Segment::Udp { payload } => PacketKind::Opening { nonce: datagram_nonce(payload) },
        }
    }

    /// Sequence number of a TCP segment; zero for a datagram.
    ///
    /// ```
    /// use wire::inner;
    /// let builder = etherparse::PacketBuilder::ipv4([192, 0, 2, 1], [203, 0, 113, 1], 64);
    /// let mut packet = Vec::new();
    /// builder.tcp(40_000, 8443, 7, 1_024).ack(1).write(&mut packet, &[]).unwrap();
    /// assert_eq!(inner::parse(&packet).unwrap().sequence(), 7);
    /// ```
    pub fn sequence(&self) -> u32 {
        match self.segment {
            Segment::Tcp { sequence, .. } => sequence,
            Segment::Udp { .. } => 0,
        }
    }

    /// Id of the flow, which is the same in every process with the same `key`.
    ///
    /// The key prevents callers from choosing ports that all fall into the same bucket.
    ///
    /// ```
    /// use wire::inner;
    /// let builder = etherparse::PacketBuilder::ipv4([192, 0, 2, 1], [203, 0, 113, 1], 64);
    /// let mut packet = Vec::new();
    /// builder.udp(40_000, 53).write(&mut packet, b"question").unwrap();
    /// let parsed = inner::parse(&packet).unwrap();
    /// assert_ne!(parsed.flow_id(&[0; 16]), parsed.flow_id(&[1; 16]));
    /// ```
    pub fn flow_id(&self, key: &[u8; 16]) -> FlowId {
        let mut bytes = [0; FLOW_HASH_INPUT_BYTES_MAX];
        bytes[0] = match self.endpoint.transport {
            Transport::Tcp => ip_number::TCP.0,
            Transport::Udp => ip_number::UDP.0,
        };
        let end = write_address(&mut bytes, 1, self.source.ip(), self.source.port());
        let end = write_address(&mut bytes, end, self.endpoint.address, self.endpoint.port);
        FlowId(SipHasher13::new_with_key(key).hash(&bytes[..end]))
    }
}

/// Nonce of datagrams that belong to one flow regardless of their payload.
pub const FLOW_NONCE: u32 = 0;

/// Nonce of a datagram that is a request of its own. A copy has the same nonce; another request of
/// the same caller has the same one with a probability of 1 in 2^32.
///
/// ```
/// use wire::inner;
/// assert_ne!(inner::payload_nonce(b"restock 1"), inner::payload_nonce(b"restock 2"));
/// ```
pub fn payload_nonce(payload: &[u8]) -> u32 {
    SipHasher13::new().hash(payload) as u32
}

fn parse_tcp(
    (source, destination): (IpAddr, IpAddr),
    offset: usize,
    segment: &[u8],
) -> Result<Inner<'_>, InnerError> {
    let tcp = TcpSlice::from_slice(segment).map_err(|_| InnerError::Malformed)?;
    let flags = TcpFlags { syn: tcp.syn(), ack: tcp.ack(), fin: tcp.fin(), rst: tcp.rst() };
    if flags.syn && (flags.fin || flags.rst) {
        return Err(InnerError::Malformed);
    }
    Ok(Inner {
        endpoint: Endpoint {
            address: destination,
            port: tcp.destination_port(),
            transport: Transport::Tcp,
        },
        source: SocketAddr::new(source, tcp.source_port()),
        segment: Segment::Tcp {
            sequence: tcp.sequence_number(),
            acknowledgement: tcp.acknowledgment_number(),
            flags,
            payload: tcp.payload(),
        },
        header_bytes: offset + tcp.header_slice().len(),
    })
}

fn parse_udp(
    (source, destination): (IpAddr, IpAddr),
    offset: usize,
    segment: &[u8],
) -> Result<Inner<'_>, InnerError> {
    let udp = UdpSlice::from_slice(segment).map_err(|_| InnerError::Malformed)?;
    Ok(Inner {
        endpoint: Endpoint {
            address: destination,
            port: udp.destination_port(),
            transport: Transport::Udp,
        },
        source: SocketAddr::new(source, udp.source_port()),
        segment: Segment::Udp { payload: udp.payload() },
        header_bytes: offset + udp.header_slice().len(),
    })
}

/// Offset of `part` in `whole`, of which it is a slice.
fn offset_in(whole: &[u8], part: &[u8]) -> usize {
    part.as_ptr().addr() - whole.as_ptr().addr()
}

fn write_address(
    bytes: &mut [u8; FLOW_HASH_INPUT_BYTES_MAX],
    start: usize,
    address: IpAddr,
    port: u16,
) -> usize {
    let address_end = match address {
        IpAddr::V4(v4) => {
            bytes[start..start + 4].copy_from_slice(&v4.octets());
            start + 4
        }
        IpAddr::V6(v6) => {
            bytes[start..start + 16].copy_from_slice(&v6.octets());
            start + 16
        }
    };
    bytes[address_end..address_end + 2].copy_from_slice(&port.to_be_bytes());
    address_end + 2
}
