//! Parses the inner IP packets that callers and upstreams exchange, and builds UDP ones.

use std::net::{IpAddr, SocketAddr};

use etherparse::{
    Icmpv4Type, Icmpv6Type, LaxNetSlice, LaxSlicedPacket, NetSlice, PacketBuilder, SlicedPacket,
    TransportSlice,
};

/// Hop limit of the UDP packets built here.
const HOP_LIMIT: u8 = 64;

/// A parsed packet that borrows its payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Packet<'a> {
    /// Source address; port 0 for ICMP.
    pub source: SocketAddr,
    /// Destination address; port 0 for ICMP.
    pub destination: SocketAddr,
    /// Content.
    pub content: Content<'a>,
}

/// Content of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Content<'a> {
    /// A TCP segment.
    Tcp {
        /// It opens a connection: SYN without ACK.
        opening: bool,
        /// It resets the connection: RST.
        reset: bool,
    },
    /// A UDP datagram.
    Udp(&'a [u8]),
    /// An ICMP message reports that a datagram from `source` to `destination` was not delivered.
    Unreachable {
        /// Sender of the undelivered datagram.
        source: SocketAddr,
        /// Receiver of the undelivered datagram.
        destination: SocketAddr,
    },
}

/// Parses an IP packet; `None` if it is malformed or of a kind that no component here sends.
///
/// ```
/// use standins::datagram::{self, Content};
/// let (from, to) = ("198.18.0.1:5000".parse().unwrap(), "203.0.113.1:80".parse().unwrap());
/// let packet = datagram::build_udp(from, to, b"CONFIRM 7");
/// assert_eq!(datagram::parse(&packet).unwrap().content, Content::Udp(b"CONFIRM 7"));
/// ```
pub fn parse(packet: &[u8]) -> Option<Packet<'_>> {
    let sliced = SlicedPacket::from_ip(packet).ok()?;
    let (from, to) = match sliced.net? {
        NetSlice::Ipv4(ip) => {
            let header = ip.header();
            (IpAddr::from(header.source_addr()), IpAddr::from(header.destination_addr()))
        }
        NetSlice::Ipv6(ip) => {
            let header = ip.header();
            (IpAddr::from(header.source_addr()), IpAddr::from(header.destination_addr()))
        }
        NetSlice::Arp(_) => return None,
    };
    let (source_port, destination_port, content) = match sliced.transport? {
        TransportSlice::Tcp(tcp) => {
            let content = Content::Tcp { opening: tcp.syn() && !tcp.ack(), reset: tcp.rst() };
            (tcp.source_port(), tcp.destination_port(), content)
        }
        TransportSlice::Udp(udp) => {
            (udp.source_port(), udp.destination_port(), Content::Udp(udp.payload()))
        }
        TransportSlice::Icmpv4(icmp) => match icmp.icmp_type() {
            Icmpv4Type::DestinationUnreachable(_) => (0, 0, parse_quoted_datagram(icmp.payload())?),
            _ => return None,
        },
        TransportSlice::Icmpv6(icmp) => match icmp.icmp_type() {
            Icmpv6Type::DestinationUnreachable(_) => (0, 0, parse_quoted_datagram(icmp.payload())?),
            _ => return None,
        },
        TransportSlice::Igmp(_) => return None,
    };
    let source = SocketAddr::new(from, source_port);
    let destination = SocketAddr::new(to, destination_port);
    Some(Packet { source, destination, content })
}

/// Builds a UDP datagram in an IP packet. Panics if the addresses are of different families.
///
/// ```
/// let (from, to) = ("[::1]:5000".parse().unwrap(), "[::2]:80".parse().unwrap());
/// assert_eq!(standins::datagram::build_udp(from, to, b"").len(), 48);
/// ```
pub fn build_udp(source: SocketAddr, destination: SocketAddr, payload: &[u8]) -> Vec<u8> {
    let mut packet = Vec::with_capacity(48 + payload.len());
    let step = match (source.ip(), destination.ip()) {
        (IpAddr::V4(from), IpAddr::V4(to)) => {
            PacketBuilder::ipv4(from.octets(), to.octets(), HOP_LIMIT)
        }
        (IpAddr::V6(from), IpAddr::V6(to)) => {
            PacketBuilder::ipv6(from.octets(), to.octets(), HOP_LIMIT)
        }
        _ => panic!("{source} and {destination} are of different address families"),
    };
    step.udp(source.port(), destination.port())
        .write(&mut packet, payload)
        .expect("writing to a vector does not fail");
    packet
}

/// Reads the addresses of the datagram that an ICMP message quotes; the quote may be truncated.
fn parse_quoted_datagram(quote: &[u8]) -> Option<Content<'static>> {
    let sliced = LaxSlicedPacket::from_ip(quote).ok()?;
    let (from, to, rest) = match sliced.net? {
        LaxNetSlice::Ipv4(ip) => {
            let header = ip.header();
            let rest = ip.payload().payload;
            (IpAddr::from(header.source_addr()), IpAddr::from(header.destination_addr()), rest)
        }
        LaxNetSlice::Ipv6(ip) => {
            let header = ip.header();
            let rest = ip.payload().payload;
            (IpAddr::from(header.source_addr()), IpAddr::from(header.destination_addr()), rest)
        }
        LaxNetSlice::Arp(_) => return None,
    };
    // Both TCP and UDP headers start with the four bytes of the ports, so that a quote of eight
    // bytes suffices.
    let ([a, b, c, d], _) = rest.split_first_chunk::<4>()?;
    Some(Content::Unreachable {
        source: SocketAddr::new(from, u16::from_be_bytes([*a, *b])),
        destination: SocketAddr::new(to, u16::from_be_bytes([*c, *d])),
    })
}
