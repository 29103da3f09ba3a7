//! What becomes of a datagram of the fabric.

use std::sync::Arc;

use balancer::counters::Dropped;
use balancer::forward::{Identity, forward};
use balancer::snapshot::Snapshot;
use decision::agent::Passed;
use decision::keys::{AccountId, ServiceId, UpstreamId, Version};
use decision::view::{
    self, AccountSpec, Endpoint, ServiceSpec, Transport, UpstreamSpec, UpstreamState, WhenInDoubt,
};
use etherparse::PacketBuilder;
use rstest::rstest;
use wire::gue::{self, Content};
use wire::inner;
use wire::sealed::{AccountKeyring, KeyId, Payload};

const MASTERS: [(KeyId, [u8; 32]); 1] = [(KeyId(1), [7; 32])];

fn upstream(index: u8) -> UpstreamSpec {
    UpstreamSpec {
        name: format!("shelf-{index}").into(),
        zone: "pnw-a".into(),
        weight: 100,
        max_flows: 10,
        agent_address: ([127, 20, 1, index], 6_080).into(),
        control_address: ([127, 20, 1, index], 9_080).into(),
        address: ([127, 30, 1, index], 6_080).into(),
        state: UpstreamState::Active,
        since: Version(1),
        retired: None,
    }
}

fn service(name: &str, port: u16, transport: Transport, upstreams: u8) -> ServiceSpec {
    ServiceSpec {
        name: name.into(),
        endpoints: vec![Endpoint { address: [203, 0, 113, 1].into(), port, transport }],
        when_in_doubt: WhenInDoubt::Admit,
        zone_spill_percent: 25,
        upstreams: (1..=upstreams).map(upstream).collect(),
    }
}

fn snapshot(down: Vec<UpstreamId>) -> Snapshot {
    let account = AccountSpec {
        name: "cascadia".into(),
        version: Version(7),
        services: vec![
            service("shelf", 8_443, Transport::Tcp, 3),
            service("question", 53, Transport::Udp, 1),
            service("empty", 80, Transport::Tcp, 0),
        ],
    };
    Snapshot::build(Arc::new(view::build(&[account])), down, &MASTERS)
}

fn identity() -> Identity {
    Identity::new([1; 16], "bal-c1")
}

fn tcp(port: u16) -> Vec<u8> {
    let builder = PacketBuilder::ipv4([192, 0, 2, 1], [203, 0, 113, 1], 64);
    let mut packet = Vec::new();
    builder.tcp(40_000, port, 7, 1_024).syn().write(&mut packet, b"").unwrap();
    packet
}

fn udp(port: u16) -> Vec<u8> {
    let builder = PacketBuilder::ipv4([192, 0, 2, 1], [203, 0, 113, 1], 64);
    let mut packet = Vec::new();
    builder.udp(40_000, port).write(&mut packet, b"question").unwrap();
    packet
}

fn frame(content: Content, private: &[u8], packet: &[u8]) -> Vec<u8> {
    let mut datagram = Vec::new();
    gue::encode(content, private, packet, &mut datagram);
    datagram
}

fn fragment() -> Vec<u8> {
    let mut packet = tcp(8_443);
    packet[6] |= 0x20;
    packet
}

#[rstest]
#[case::empty(vec![], Dropped::Malformed)]
#[case::not_gue(vec![0xff; 60], Dropped::Malformed)]
#[case::private_data(frame(Content::Ipv4, &[0; 64], &tcp(8_443)), Dropped::Malformed)]
#[case::control(frame(Content::Control(1), &[], b"message"), Dropped::UnsupportedProtocol)]
#[case::half_a_packet(frame(Content::Ipv4, &[], &tcp(8_443)[..30]), Dropped::Malformed)]
#[case::fragment(frame(Content::Ipv4, &[], &fragment()), Dropped::Fragment)]
#[case::unknown_port(frame(Content::Ipv4, &[], &tcp(22)), Dropped::NoService)]
#[case::other_transport(frame(Content::Ipv4, &[], &udp(8_443)), Dropped::NoService)]
#[case::no_upstream(frame(Content::Ipv4, &[], &tcp(80)), Dropped::NoAgent)]
fn forward_dropped(#[case] datagram: Vec<u8>, #[case] expected: Dropped) {
    assert_eq!(forward(&snapshot(vec![]), &identity(), &datagram).unwrap_err(), expected);
}

#[rstest]
#[case::tcp(tcp(8_443), "shelf")]
#[case::udp(udp(53), "question")]
fn forward_sealed(#[case] packet: Vec<u8>, #[case] service: &str) {
    let datagram = frame(Content::Ipv4, &[], &packet);
    let forwarded = forward(&snapshot(vec![]), &identity(), &datagram).unwrap();
    let mut sent = forwarded.prefix.as_bytes().to_vec();
    sent.extend_from_slice(&datagram[forwarded.payload_start..]);
    let received = gue::parse(&sent).unwrap();
    assert_eq!(received.payload, packet, "the packet inside is never rewritten");
    let ring = AccountKeyring::derive(&MASTERS, AccountId::of("cascadia")).unwrap();
    let payload = Payload::Packet { bytes: received.payload, header_bytes: 0 };
    let header = ring.open(received.private, payload).unwrap().header;
    assert_eq!(header.service, ServiceId::of("cascadia", service));
    assert_eq!(header.flow, inner::parse(&packet).unwrap().flow_id(&[1; 16]));
    assert_eq!((header.version, header.hops, header.passed), (Version(7), 0, Passed::Fresh));
}

/// Two balancers with the same settings and liveness send a flow to the same agent, and pass over
/// its home only when that is believed down.
#[test]
fn forward_same_home_everywhere() {
    let datagram = frame(Content::Ipv4, &[], &tcp(8_443));
    let to = |down: Vec<UpstreamId>, instance: &str| {
        let identity = Identity::new([1; 16], instance);
        forward(&snapshot(down), &identity, &datagram).unwrap().to
    };
    let home = to(vec![], "bal-c1");
    assert_eq!(to(vec![], "bal-c2"), home);
    let names = ["shelf-1", "shelf-2", "shelf-3"];
    let ids = names.map(|name| UpstreamId::of("cascadia", "shelf", name));
    let moved = ids.iter().filter(|id| to(vec![**id], "bal-c1") != home).count();
    assert_eq!(moved, 1, "only the loss of the home itself moves the flow");
    assert_eq!(to(ids.to_vec(), "bal-c1"), home, "all down is no reason to drop");
}
