//! Tests of the parsing of encapsulated packets.

mod common;

use decision::agent::PacketKind;
use decision::keys::FlowId;
use etherparse::{IpNumber, Ipv4Header, PacketBuilder};
use proptest::prelude::*;
use rstest::rstest;
use wire::inner::{self, InnerError};

const V4: ([u8; 4], [u8; 4]) = ([192, 0, 2, 1], [203, 0, 113, 1]);

fn tcp(flags: &str) -> Vec<u8> {
    let mut step = PacketBuilder::ipv4(V4.0, V4.1, 64).tcp(40_000, 8_443, 77, 1_024);
    for flag in flags.chars() {
        step = match flag {
            'S' => step.syn(),
            'A' => step.ack(5),
            'F' => step.fin(),
            'R' => step.rst(),
            _ => step.psh(),
        };
    }
    let mut packet = Vec::new();
    step.write(&mut packet, b"abc").unwrap();
    packet
}

fn udp(payload: &[u8]) -> Vec<u8> {
    let mut packet = Vec::new();
    let step = PacketBuilder::ipv4(V4.0, V4.1, 64).udp(40_000, 53);
    step.write(&mut packet, payload).unwrap();
    packet
}

fn udp_v6() -> Vec<u8> {
    let mut packet = Vec::new();
    let (from, to) = ("2001:db8::1".parse().unwrap(), "2001:db8::2".parse().unwrap());
    let step =
        PacketBuilder::ipv6(std::net::Ipv6Addr::octets(&from), std::net::Ipv6Addr::octets(&to), 64);
    step.udp(40_000, 53).write(&mut packet, b"question").unwrap();
    packet
}

fn fragment() -> Vec<u8> {
    let mut packet = udp(b"part");
    packet[6] |= 0x20;
    packet
}

fn icmp() -> Vec<u8> {
    let header = Ipv4Header::new(8, 64, IpNumber::ICMP, V4.0, V4.1).unwrap();
    let mut packet = Vec::new();
    header.write(&mut packet).unwrap();
    packet.extend_from_slice(&[8, 0, 0, 0, 0, 0, 0, 0]);
    packet
}

fn cut(mut packet: Vec<u8>, bytes: usize) -> Vec<u8> {
    packet.truncate(bytes);
    packet
}

#[rstest]
#[case::opening("S", PacketKind::Opening { nonce: 77 })]
#[case::answer_to_opening("SA", PacketKind::Middle)]
#[case::data("AP", PacketKind::Middle)]
#[case::finish("FA", PacketKind::Finish)]
#[case::reset("R", PacketKind::Reset)]
#[case::reset_with_ack("RA", PacketKind::Reset)]
fn kind_tcp(#[case] flags: &str, #[case] expected: PacketKind) {
    let packet = tcp(flags);
    assert_eq!(inner::parse(&packet).unwrap().kind(inner::payload_nonce), expected);
}

#[rstest]
#[case::copy(b"restock 1", b"restock 1", true)]
#[case::other_request(b"restock 1", b"restock 2", false)]
fn kind_udp(#[case] one: &[u8], #[case] other: &[u8], #[case] same: bool) {
    let kind = |payload: &[u8]| inner::parse(&udp(payload)).unwrap().kind(inner::payload_nonce);
    assert_eq!(kind(one) == kind(other), same);
}

#[rstest]
#[case::ipv4_tcp(tcp("S"), "203.0.113.1", 8_443, "192.0.2.1:40000", 40)]
#[case::ipv4_udp(udp(b"q"), "203.0.113.1", 53, "192.0.2.1:40000", 28)]
#[case::ipv6_udp(udp_v6(), "2001:db8::2", 53, "[2001:db8::1]:40000", 48)]
fn parse_addresses(
    #[case] packet: Vec<u8>,
    #[case] address: &str,
    #[case] port: u16,
    #[case] source: &str,
    #[case] header_bytes: usize,
) {
    let parsed = inner::parse(&packet).unwrap();
    assert_eq!(parsed.endpoint.address.to_string(), address);
    assert_eq!(parsed.endpoint.port, port);
    assert_eq!(parsed.source.to_string(), source);
    assert_eq!(parsed.header_bytes, header_bytes);
}

#[rstest]
#[case::empty(vec![], InnerError::Malformed)]
#[case::version_five(vec![0x50; 40], InnerError::Malformed)]
#[case::cut_in_ip_header(cut(tcp("S"), 19), InnerError::Malformed)]
#[case::cut_in_tcp_header(cut(tcp("S"), 39), InnerError::Malformed)]
#[case::cut_in_udp_header(cut(udp(b""), 27), InnerError::Malformed)]
#[case::syn_and_fin(tcp("SF"), InnerError::Malformed)]
#[case::syn_and_reset(tcp("SR"), InnerError::Malformed)]
#[case::fragment(fragment(), InnerError::Fragment)]
#[case::icmp(icmp(), InnerError::Transport(1))]
fn parse_refused(#[case] packet: Vec<u8>, #[case] expected: InnerError) {
    assert_eq!(inner::parse(&packet), Err(expected));
}

/// Balancers and agents of two releases must compute the same id for a flow; otherwise its home
/// changes.
#[rstest]
#[case::ipv4_tcp(tcp("S"), FlowId(4_980_179_296_002_593_108))]
#[case::ipv4_udp(udp(b"q"), FlowId(7_256_129_154_176_733_627))]
#[case::ipv6_udp(udp_v6(), FlowId(10_091_184_653_146_758_328))]
fn flow_id_golden_vector(#[case] packet: Vec<u8>, #[case] expected: FlowId) {
    let key = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15];
    assert_eq!(inner::parse(&packet).unwrap().flow_id(&key), expected);
}

/// Every packet of a flow has the same id, whatever its flags and payload.
#[test]
fn flow_id_same_for_all_packets() {
    let id = |packet: Vec<u8>| inner::parse(&packet).unwrap().flow_id(&[7; 16]);
    assert_eq!(id(tcp("S")), id(tcp("FA")));
}

proptest! {
    #![proptest_config(common::fixed_seed())]

    #[test]
    fn parse_any_bytes(bytes: Vec<u8>) {
        if let Ok(parsed) = inner::parse(&bytes) {
            prop_assert!(parsed.header_bytes <= bytes.len());
        }
    }

    #[test]
    fn parse_damaged_packet(offset in 0usize..43, value: u8, v6: bool) {
        let mut packet = if v6 { udp_v6() } else { tcp("S") };
        packet[offset] = value;
        if let Ok(parsed) = inner::parse(&packet) {
            prop_assert!(parsed.header_bytes <= packet.len());
            parsed.flow_id(&[0; 16]);
            parsed.kind(inner::payload_nonce);
        }
    }
}
