//! Tests of the answers to refused packets.

mod common;

use etherparse::{IpNumber, PacketBuilder, PacketBuilderStep, SlicedPacket, TransportSlice};
use proptest::prelude::*;
use rstest::rstest;
use wire::inner;
use wire::refusal::{self, UdpRefusal};

/// Sequence number of a reset, and its acknowledgement number if the ACK flag is set.
#[derive(Debug, PartialEq, Eq)]
struct Reset {
    sequence: u32,
    acknowledgement: Option<u32>,
}

fn ipv4() -> PacketBuilderStep<etherparse::IpHeaders> {
    PacketBuilder::ipv4([192, 0, 2, 1], [203, 0, 113, 1], 64)
}

fn ipv6() -> PacketBuilderStep<etherparse::IpHeaders> {
    let octets = |last| [0x20, 1, 0xd, 0xb8, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, last];
    PacketBuilder::ipv6(octets(1), octets(2), 64)
}

fn tcp(ip: PacketBuilderStep<etherparse::IpHeaders>, flags: &str, payload: &[u8]) -> Vec<u8> {
    let mut step = ip.tcp(40_000, 8_443, 100, 1_024);
    for flag in flags.chars() {
        step = match flag {
            'S' => step.syn(),
            'A' => step.ack(500),
            'F' => step.fin(),
            _ => step.rst(),
        };
    }
    let mut packet = Vec::new();
    step.write(&mut packet, payload).unwrap();
    packet
}

fn answer(packet: &[u8], udp: UdpRefusal) -> Vec<u8> {
    let mut out = Vec::new();
    refusal::answer(&inner::parse(packet).unwrap(), packet, udp, &mut out);
    out
}

fn reset_in(answer: &[u8]) -> Option<Reset> {
    let sliced = SlicedPacket::from_ip(answer).ok()?;
    let Some(TransportSlice::Tcp(tcp)) = sliced.transport else { return None };
    assert!(tcp.rst() && !tcp.syn() && !tcp.fin());
    let acknowledgement = tcp.ack().then(|| tcp.acknowledgment_number());
    Some(Reset { sequence: tcp.sequence_number(), acknowledgement })
}

/// A caller accepts a reset only if its numbers match the connection (RFC 9293, 3.5.2).
#[rstest]
#[case::opening(tcp(ipv4(), "S", b""), Some(Reset { sequence: 0, acknowledgement: Some(101) }))]
#[case::opening_with_data(
    tcp(ipv4(), "S", b"abc"),
    Some(Reset { sequence: 0, acknowledgement: Some(104) }),
)]
#[case::middle(tcp(ipv4(), "A", b"abc"), Some(Reset { sequence: 500, acknowledgement: None }))]
#[case::finish_without_ack(
    tcp(ipv4(), "F", b""),
    Some(Reset { sequence: 0, acknowledgement: Some(101) }),
)]
#[case::opening_ipv6(
    tcp(ipv6(), "S", b""),
    Some(Reset { sequence: 0, acknowledgement: Some(101) }),
)]
#[case::reset_never_answered(tcp(ipv4(), "RA", b""), None)]
fn answer_tcp(#[case] packet: Vec<u8>, #[case] expected: Option<Reset>) {
    assert_eq!(reset_in(&answer(&packet, UdpRefusal::PortUnreachable)), expected);
}

#[rstest]
#[case::ipv4_port(ipv4(), UdpRefusal::PortUnreachable, IpNumber::ICMP, 3, 3)]
#[case::ipv4_prohibited(ipv4(), UdpRefusal::AdminProhibited, IpNumber::ICMP, 3, 13)]
#[case::ipv6_port(ipv6(), UdpRefusal::PortUnreachable, IpNumber::IPV6_ICMP, 1, 4)]
#[case::ipv6_prohibited(ipv6(), UdpRefusal::AdminProhibited, IpNumber::IPV6_ICMP, 1, 1)]
fn answer_udp(
    #[case] ip: PacketBuilderStep<etherparse::IpHeaders>,
    #[case] refusal: UdpRefusal,
    #[case] protocol: IpNumber,
    #[case] kind: u8,
    #[case] code: u8,
) {
    let mut packet = Vec::new();
    ip.udp(40_000, 53).write(&mut packet, &[7; 400]).unwrap();
    let answer = answer(&packet, refusal);
    let sliced = SlicedPacket::from_ip(&answer).unwrap();
    let payload = sliced.ip_payload().unwrap();
    assert_eq!(payload.ip_number, protocol);
    assert_eq!(payload.payload[..2], [kind, code]);
    assert_eq!(
        payload.payload[8..],
        packet[..128],
        "the caller finds its socket by the quoted packet"
    );
}

#[rstest]
#[case::ipv4(ipv4())]
#[case::ipv6(ipv6())]
fn answer_is_addressed_to_caller(#[case] ip: PacketBuilderStep<etherparse::IpHeaders>) {
    let packet = tcp(ip, "S", b"");
    let refused = inner::parse(&packet).unwrap();
    let answer = answer(&packet, UdpRefusal::PortUnreachable);
    let parsed = inner::parse(&answer).unwrap();
    let destination = std::net::SocketAddr::new(parsed.endpoint.address, parsed.endpoint.port);
    assert_eq!(destination, refused.source);
    assert_eq!(parsed.source.ip(), refused.endpoint.address);
    assert_eq!(parsed.source.port(), refused.endpoint.port);
}

proptest! {
    #![proptest_config(common::fixed_seed())]

    #[test]
    fn answer_any_packet(bytes: Vec<u8>) {
        if let Ok(parsed) = inner::parse(&bytes) {
            refusal::answer(&parsed, &bytes, UdpRefusal::PortUnreachable, &mut Vec::new());
        }
    }
}
