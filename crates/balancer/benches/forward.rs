//! Time per packet in a balancer with a fleet of the target size, without sockets. The columns for
//! allocations must read zero.

use std::sync::Arc;

use balancer::forward::{Identity, forward};
use balancer::snapshot::Snapshot;
use decision::keys::Version;
use decision::view::{
    self, AccountSpec, Endpoint, ServiceSpec, Transport, UpstreamSpec, UpstreamState, WhenInDoubt,
};
use divan::{AllocProfiler, Bencher, black_box};
use etherparse::PacketBuilder;
use shell::udp::Prefix;
use wire::gue::{self, Content};
use wire::inner;
use wire::sealed::KeyId;

#[global_allocator]
static ALLOCATOR: AllocProfiler = AllocProfiler::system();

/// Services in the target fleet, which is the size expected in two years.
const SERVICES: u32 = 1_900;
const UPSTREAMS_PER_SERVICE: u32 = 5;
const PACKETS: u32 = 4_096;

fn main() {
    divan::main();
}

fn address_of(service: u32) -> [u8; 4] {
    [203, 0, (service >> 8) as u8, service as u8]
}

fn upstream(service: u32, index: u32) -> UpstreamSpec {
    let host = [127, (service >> 8) as u8, service as u8, index as u8];
    UpstreamSpec {
        name: format!("upstream-{index}").into(),
        zone: "zone".into(),
        weight: 100,
        max_flows: 2_000,
        agent_address: (host, 6_080).into(),
        control_address: (host, 9_080).into(),
        address: (host, 6_081).into(),
        state: UpstreamState::Active,
        since: Version(1),
        retired: None,
    }
}

fn snapshot() -> Snapshot {
    let service = |index: u32| ServiceSpec {
        name: format!("service-{index}").into(),
        endpoints: vec![Endpoint {
            address: address_of(index).into(),
            port: 443,
            transport: Transport::Tcp,
        }],
        when_in_doubt: WhenInDoubt::Admit,
        zone_spill_percent: 25,
        upstreams: (1..=UPSTREAMS_PER_SERVICE).map(|number| upstream(index, number)).collect(),
    };
    let services = (0..SERVICES).map(service).collect();
    let spec = AccountSpec { name: "cascadia".into(), version: Version(7), services };
    Snapshot::build(&Arc::new(view::build(&[spec])), vec![], &[(KeyId(1), [7; 32])]).unwrap()
}

/// Datagrams of many callers to all services, in a scattered order that defeats CPU caches.
fn datagrams() -> Vec<Vec<u8>> {
    let datagram = |index: u32| {
        let service = index.wrapping_mul(2_654_435_761) % SERVICES;
        let builder = PacketBuilder::ipv4([192, 0, 2, index as u8], address_of(service), 64);
        let builder = builder.tcp(1_024 + index as u16, 443, index, 1_024).ack(7);
        let (mut packet, mut datagram) = (Vec::new(), Vec::new());
        builder.write(&mut packet, &[0; 200]).unwrap();
        gue::encode(Content::Ipv4, &[], &packet, &mut datagram);
        datagram
    };
    (0..PACKETS).map(datagram).collect()
}

/// Parses, looks up, routes and seals 4,096 packets.
#[divan::bench]
fn forward_packets(bencher: Bencher<'_, '_>) {
    let (snapshot, datagrams) = (snapshot(), datagrams());
    let identity = Identity::new([1; 16], "bal-1");
    let mut prefix = Prefix::new([0; 4], &[]);
    bencher.counter(divan::counter::ItemsCount::new(PACKETS)).bench_local(|| {
        for datagram in &datagrams {
            black_box(forward(&snapshot, &identity, datagram, &mut prefix)).unwrap();
        }
    });
}

/// Only parses the packets and computes their flow hashes.
#[divan::bench]
fn parse_packets(bencher: Bencher<'_, '_>) {
    let datagrams = datagrams();
    bencher.counter(divan::counter::ItemsCount::new(PACKETS)).bench_local(|| {
        for datagram in &datagrams {
            let packet = inner::parse(&datagram[gue::HEADER_BYTES..]).unwrap();
            black_box(packet.flow_id(&[1; 16]));
        }
    });
}

/// Builds the view and the snapshot of the whole fleet.
#[divan::bench(sample_count = 10)]
fn build_snapshot() -> Snapshot {
    snapshot()
}
