//! Answers to callers whose packet was refused: a TCP reset or an ICMP error, as IP packets.

use std::net::IpAddr;

use etherparse::{
    Icmpv4Type, Icmpv6Type, IpHeaders, PacketBuilder, PacketBuilderStep, icmpv4, icmpv6,
};

use crate::inner::{Inner, Segment, TcpFlags};

/// Hop limit of an answer (time to live in IPv4).
const HOP_LIMIT: u8 = 64;
/// Bytes of the refused packet that an ICMP error quotes: the headers and some payload. The answer
/// stays well below the 576 bytes that every IPv4 host accepts.
const QUOTE_BYTES_MAX: usize = 128;

/// Reason for refusing a datagram, as reported by ICMP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UdpRefusal {
    /// No upstream serves the flow.
    PortUnreachable,
    /// The service does not accept the request at present.
    AdminProhibited,
}

/// Clears `out` and writes the answer to a refused packet into it. `out` stays empty if there must
/// be no answer: a reset is never answered with a reset, since two endpoints could otherwise reset
/// each other without end.
///
/// ```
/// use wire::{inner, refusal};
/// let builder = etherparse::PacketBuilder::ipv4([192, 0, 2, 1], [203, 0, 113, 1], 64);
/// let mut packet = Vec::new();
/// builder.tcp(40_000, 8443, 7, 1_024).syn().write(&mut packet, &[]).unwrap();
/// let mut answer = Vec::new();
/// let parsed = inner::parse(&packet).unwrap();
/// refusal::answer(&parsed, &packet, refusal::UdpRefusal::PortUnreachable, &mut answer);
/// assert_eq!(inner::parse(&answer).unwrap().endpoint.port, 40_000);
/// ```
pub fn answer(inner: &Inner<'_>, packet: &[u8], udp: UdpRefusal, out: &mut Vec<u8>) {
    out.clear();
    match inner.segment {
        Segment::Tcp { flags, .. } if flags.rst => {}
        Segment::Tcp { sequence, acknowledgement, flags, payload } => {
            let consumed = payload.len() as u32 + u32::from(flags.syn) + u32::from(flags.fin);
            let segment_end = sequence.wrapping_add(consumed);
            write_reset(inner, flags, acknowledgement, segment_end, out);
        }
        Segment::Udp { .. } => write_unreachable(inner, packet, udp, out),
    }
}

/// Writes a reset as specified by RFC 9293, 3.5.2: it takes its sequence number from the refused
/// segment's acknowledgement, or acknowledges the segment if that carried none. Callers ignore a
/// reset with other numbers.
fn write_reset(
    inner: &Inner<'_>,
    flags: TcpFlags,
    acknowledgement: u32,
    segment_end: u32,
    out: &mut Vec<u8>,
) {
    let Some(builder) = reply_builder(inner) else { return };
    let (from, to) = (inner.endpoint.port, inner.source.port());
    let result = if flags.ack {
        builder.tcp(from, to, acknowledgement, 0).rst().write(out, &[])
    } else {
        builder.tcp(from, to, 0, 0).rst().ack(segment_end).write(out, &[])
    };
    clear_unless_written(result.is_ok(), out);
}

fn write_unreachable(inner: &Inner<'_>, packet: &[u8], udp: UdpRefusal, out: &mut Vec<u8>) {
    let Some(builder) = reply_builder(inner) else { return };
    let quote = &packet[..packet.len().min(QUOTE_BYTES_MAX)];
    let result = match inner.source.ip() {
        IpAddr::V4(_) => {
            let code = match udp {
                UdpRefusal::PortUnreachable => icmpv4::DestUnreachableHeader::Port,
                UdpRefusal::AdminProhibited => icmpv4::DestUnreachableHeader::FilterProhibited,
            };
            builder.icmpv4(Icmpv4Type::DestinationUnreachable(code)).write(out, quote)
        }
        IpAddr::V6(_) => {
            let code = match udp {
                UdpRefusal::PortUnreachable => icmpv6::DestUnreachableCode::Port,
                UdpRefusal::AdminProhibited => icmpv6::DestUnreachableCode::Prohibited,
            };
            builder.icmpv6(Icmpv6Type::DestinationUnreachable(code)).write(out, quote)
        }
    };
    clear_unless_written(result.is_ok(), out);
}

/// Starts an IP packet from the service's address to the caller; `None` if one address is IPv4 and
/// the other IPv6.
fn reply_builder(inner: &Inner<'_>) -> Option<PacketBuilderStep<IpHeaders>> {
    match (inner.endpoint.address, inner.source.ip()) {
        (IpAddr::V4(from), IpAddr::V4(to)) => {
            Some(PacketBuilder::ipv4(from.octets(), to.octets(), HOP_LIMIT))
        }
        (IpAddr::V6(from), IpAddr::V6(to)) => {
            Some(PacketBuilder::ipv6(from.octets(), to.octets(), HOP_LIMIT))
        }
        _ => None,
    }
}

/// Clears `out` if writing failed, so that no incomplete answer is sent.
fn clear_unless_written(written: bool, out: &mut Vec<u8>) {
    if !written {
        out.clear();
    }
}
