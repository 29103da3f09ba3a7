//! Tests of forwarding: for each datagram of the fabric its destination or the reason of its drop.

use std::net::SocketAddr;
use std::sync::Arc;

use balancer::counters::DropReason;
use balancer::forward::{Identity, PAYLOAD_START, forward};
use balancer::snapshot::Snapshot;
use decision::agent::Forwarding;
use decision::keys::{AccountId, ServiceId, UpstreamId, Version};
use decision::view::{
    self, AccountSpec, Endpoint, ServiceSpec, Transport, UpstreamSpec, UpstreamState, WhenInDoubt,
};
use etherparse::PacketBuilder;
use rstest::rstest;
use shell::udp::Prefix;
use wire::gue::{self, Content};
use wire::inner;
use wire::sealed::{AccountKeyring, KeyId, Payload};

const MASTER_KEYS: [(KeyId, [u8; 32]); 1] = [(KeyId(1), [7; 32])];

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

fn build_snapshot(down: Vec<UpstreamId>) -> Snapshot {
    let mut shelf = service("shelf", 8_443, Transport::Tcp, 3);
    let address = "2001:db8::2".parse().unwrap();
    shelf.endpoints.push(Endpoint { address, port: 8_443, transport: Transport::Tcp });
    let account = AccountSpec {
        name: "cascadia".into(),
        version: Version(7),
        services: vec![
            shelf,
            service("question", 53, Transport::Udp, 1),
            service("empty", 80, Transport::Tcp, 0),
        ],
    };
    Snapshot::build(&Arc::new(view::build(&[account])), down, &MASTER_KEYS).unwrap()
}

/// Forwards a datagram by the snapshot. Returns the destination and the datagram sent there.
fn forward_datagram(
    snapshot: &Snapshot,
    instance: &str,
    datagram: &[u8],
) -> Result<(SocketAddr, Vec<u8>), DropReason> {
    let mut prefix = Prefix::new([0; 4], &[]);
    let home = forward(snapshot, &Identity::new([1; 16], instance), datagram, &mut prefix)?;
    Ok((home, [prefix.as_bytes(), &datagram[PAYLOAD_START..]].concat()))
}

fn tcp(port: u16) -> Vec<u8> {
    let builder = PacketBuilder::ipv4([192, 0, 2, 1], [203, 0, 113, 1], 64);
    let mut packet = Vec::new();
    builder.tcp(40_000, port, 7, 1_024).syn().write(&mut packet, b"").unwrap();
    packet
}

fn tcp_v6() -> Vec<u8> {
    let octets = |last| std::net::Ipv6Addr::new(0x2001, 0xdb8, 0, 0, 0, 0, 0, last).octets();
    let mut packet = Vec::new();
    let builder = PacketBuilder::ipv6(octets(1), octets(2), 64);
    builder.tcp(40_000, 8_443, 7, 1_024).syn().write(&mut packet, b"").unwrap();
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
#[case::empty(vec![], DropReason::Malformed)]
#[case::not_gue(vec![0xff; 60], DropReason::Malformed)]
#[case::private_data(frame(Content::Ipv4, &[0; 64], &tcp(8_443)), DropReason::Malformed)]
#[case::control(frame(Content::Control(1), &[], b"message"), DropReason::UnsupportedProtocol)]
#[case::truncated_packet(frame(Content::Ipv4, &[], &tcp(8_443)[..30]), DropReason::Malformed)]
#[case::fragment(frame(Content::Ipv4, &[], &fragment()), DropReason::Fragment)]
#[case::unknown_port(frame(Content::Ipv4, &[], &tcp(22)), DropReason::NoService)]
#[case::other_transport(frame(Content::Ipv4, &[], &udp(8_443)), DropReason::NoService)]
#[case::no_upstream(frame(Content::Ipv4, &[], &tcp(80)), DropReason::NoAgent)]
fn forward_dropped(#[case] datagram: Vec<u8>, #[case] expected: DropReason) {
    assert_eq!(forward_datagram(&build_snapshot(vec![]), "bal-c1", &datagram), Err(expected));
}

#[rstest]
#[case::tcp(tcp(8_443), "shelf")]
#[case::udp(udp(53), "question")]
#[case::ipv6(tcp_v6(), "shelf")]
fn forward_sealed(#[case] packet: Vec<u8>, #[case] service: &str) {
    let content = if packet[0] >> 4 == 4 { Content::Ipv4 } else { Content::Ipv6 };
    let datagram = frame(content, &[], &packet);
    let (_, sent) = forward_datagram(&build_snapshot(vec![]), "bal-c1", &datagram).unwrap();
    let received = gue::parse(&sent).unwrap();
    assert_eq!(received.payload, packet, "the inner packet must not be rewritten");
    let keyring = AccountKeyring::derive(&MASTER_KEYS, AccountId::of("cascadia")).unwrap();
    let payload = Payload::Packet { bytes: received.payload, header_bytes: 0 };
    let header = keyring.open(received.private, payload).unwrap().header;
    assert_eq!(header.service, ServiceId::of("cascadia", service));
    assert_eq!(header.flow, inner::parse(&packet).unwrap().flow_id(&[1; 16]));
    assert_eq!(
        (header.version, header.hops, header.forwarding),
        (Version(7), 0, Forwarding::Direct)
    );
}

/// Two balancers with the same settings and liveness send a flow to the same agent. They pass over
/// its home only if that is presumed down.
#[test]
fn forward_same_home_on_all_balancers() {
    let datagram = frame(Content::Ipv4, &[], &tcp(8_443));
    let home_for = |down: Vec<UpstreamId>, instance: &str| {
        forward_datagram(&build_snapshot(down), instance, &datagram).unwrap().0
    };
    let home = home_for(vec![], "bal-c1");
    assert_eq!(home_for(vec![], "bal-c2"), home);
    let names = ["shelf-1", "shelf-2", "shelf-3"];
    let ids = names.map(|name| UpstreamId::of("cascadia", "shelf", name));
    let moving = ids.iter().filter(|id| home_for(vec![**id], "bal-c1") != home).count();
    assert_eq!(moving, 1, "only the loss of the home itself moves the flow");
    assert_eq!(
        home_for(ids.to_vec(), "bal-c1"),
        home,
        "a flow keeps its home while all agents are down"
    );
}
