//! The fabric: which packet is delivered where and when. Time and seed are injected.

use std::net::{IpAddr, SocketAddr};

use rstest::rstest;
use standins::datagram;
use standins::fabric::{Balancer, Delay, Fabric, Faults, Outbound, Plan, Pool, Port, Zone};
use wire::gue;

const CALLER: &str = "127.0.0.9:6080";
const UPSTREAM: &str = "127.0.0.30:6080";
const PACKETS: u64 = 3_000;

fn plan(balancers: &[&str]) -> Plan {
    let balancer = |text: &&str| Balancer { address: text.parse().unwrap(), leaves_at_us: None };
    let pool = Pool {
        addresses: vec!["203.0.113.1".parse().unwrap()],
        balancers: balancers.iter().map(balancer).collect(),
    };
    let zone = |name: &str, address: &str| Zone {
        name: name.into(),
        addresses: vec![address.parse().unwrap()],
    };
    Plan {
        pools: vec![pool],
        zones: vec![zone("clients", "198.18.0.1"), zone("pnw-a", "127.0.0.11")],
        delays: vec![Delay { zones: ["pnw-a".into(), "clients".into()], delay_us: 2_000 }],
        delay_us: 1_000,
        remove_lag_ms: 500,
        ..Plan::default()
    }
}

fn fabric(plan: Plan) -> Fabric {
    let mut fabric = Fabric::new(7);
    fabric.set_plan(0, plan);
    fabric
}

/// A UDP request in a GUE frame.
fn frame(from: &str, to: &str) -> Vec<u8> {
    let packet = datagram::build_udp(from.parse().unwrap(), to.parse().unwrap(), b"CONFIRM 7");
    let mut frame = Vec::new();
    gue::encode(gue::Content::Ipv4, &[], &packet, &mut frame);
    frame
}

fn request() -> Vec<u8> {
    frame("198.18.0.1:10000", "203.0.113.1:8443")
}

fn answer() -> Vec<u8> {
    frame("203.0.113.1:8443", "198.18.0.1:10000")
}

fn address(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

/// All datagrams that are due until `now_us`.
fn drain(fabric: &mut Fabric, now_us: u64) -> Vec<Outbound> {
    std::iter::from_fn(|| fabric.pop_due(now_us)).collect()
}

fn spray(fabric: &mut Fabric) -> Vec<Outbound> {
    for _ in 0..PACKETS {
        fabric.receive_from_caller(0, address(CALLER), &request());
    }
    drain(fabric, u64::MAX)
}

#[test]
fn every_packet_is_sprayed_over_all_balancers() {
    let balancers = ["127.0.0.11:6080", "127.0.0.12:6080", "127.0.0.13:6080"];
    let sprayed = spray(&mut fabric(plan(&balancers)));
    assert_eq!(sprayed.len() as u64, PACKETS);
    for balancer in balancers {
        let count = sprayed.iter().filter(|packet| packet.to == address(balancer)).count();
        assert!((900..1_100).contains(&count), "{balancer}: {count}");
    }
}

#[rstest]
#[case::listed_zones("127.0.0.11:6080", 2_000)]
#[case::unlisted_zone("127.0.0.12:6080", 1_000)]
fn delay_follows_zones(#[case] balancer: &str, #[case] expected_us: u64) {
    let mut fabric = fabric(plan(&[balancer]));
    fabric.receive_from_caller(10, address(CALLER), &request());
    assert_eq!(fabric.due_us(), Some(10 + expected_us));
    assert_eq!(drain(&mut fabric, 9 + expected_us), []);
    assert_eq!(drain(&mut fabric, 10 + expected_us).len(), 1);
}

/// A balancer that was removed from the plan still gets packets during the removal lag, because a
/// real fabric learns of the removal late.
#[rstest]
#[case::within_lag(499_999, true)]
#[case::after_lag(500_000, false)]
fn removed_balancer_gets_packets_until_the_lag_ends(#[case] now_us: u64, #[case] expected: bool) {
    let mut fabric = fabric(plan(&["127.0.0.11:6080", "127.0.0.12:6080"]));
    fabric.set_plan(0, plan(&["127.0.0.12:6080"]));
    for _ in 0..100 {
        fabric.receive_from_caller(now_us, address(CALLER), &request());
    }
    let sprayed = drain(&mut fabric, u64::MAX);
    let removed = sprayed.iter().any(|packet| packet.to == address("127.0.0.11:6080"));
    assert_eq!((sprayed.len(), removed), (100, expected));
}

/// A removed balancer's lag runs from the plan that left it out; a later plan doesn't extend it.
#[test]
fn later_plan_does_not_restart_the_removal_lag() {
    let mut fabric = fabric(plan(&["127.0.0.11:6080", "127.0.0.12:6080"]));
    fabric.set_plan(0, plan(&["127.0.0.12:6080"]));
    fabric.set_plan(400_000, plan(&["127.0.0.12:6080"]));
    for _ in 0..100 {
        fabric.receive_from_caller(500_000, address(CALLER), &request());
    }
    let sprayed = drain(&mut fabric, u64::MAX);
    assert!(sprayed.iter().all(|packet| packet.to == address("127.0.0.12:6080")));
}

#[rstest]
#[case::loss(Faults { loss_ppm: 100_000, ..Faults::default() }, 2_600..2_800)]
#[case::duplication(Faults { duplicate_ppm: 100_000, ..Faults::default() }, 3_200..3_400)]
#[case::no_faults(Faults::default(), 3_000..3_001)]
fn faults_change_the_packet_count(
    #[case] faults: Faults,
    #[case] expected: std::ops::Range<usize>,
) {
    let sprayed = spray(&mut fabric(Plan { faults, ..plan(&["127.0.0.11:6080"]) }));
    assert!(expected.contains(&sprayed.len()), "{}", sprayed.len());
}

#[test]
fn reordered_packets_arrive_late() {
    let faults = Faults { reorder_ppm: 500_000, reorder_us: 10_000, ..Faults::default() };
    let mut fabric = fabric(Plan { faults, ..plan(&["127.0.0.11:6080"]) });
    for _ in 0..100 {
        fabric.receive_from_caller(0, address(CALLER), &request());
    }
    let in_time = drain(&mut fabric, 2_000).len();
    let late = drain(&mut fabric, 12_000).len();
    assert!((35..65).contains(&in_time), "{in_time}");
    assert_eq!(in_time + late, 100);
}

#[test]
fn answers_go_to_the_caller_that_owns_the_address() {
    let mut fabric = fabric(plan(&["127.0.0.11:6080"]));
    fabric.receive_from_upstream(0, address(UPSTREAM), &answer());
    assert_eq!(fabric.stats().packets_without_caller, 1);
    fabric.receive_from_caller(0, address(CALLER), &request());
    drain(&mut fabric, u64::MAX);
    fabric.receive_from_upstream(0, address(UPSTREAM), &answer());
    let returned = drain(&mut fabric, u64::MAX);
    assert_eq!(returned.len(), 1);
    assert_eq!((returned[0].port, returned[0].to), (Port::Gateway, address(CALLER)));
    assert_eq!(*returned[0].payload, *answer());
}

#[rstest]
#[case::empty(&[])]
#[case::control_message(&[0x20, 1, 0, 0, 1, 2, 3])]
#[case::short_packet(&[0, 4, 0, 0, 0x45])]
fn malformed_frames_are_counted(#[case] frame: &[u8]) {
    let mut fabric = fabric(plan(&["127.0.0.11:6080"]));
    fabric.receive_from_caller(0, address(CALLER), frame);
    fabric.receive_from_upstream(0, address(UPSTREAM), frame);
    assert_eq!(fabric.stats().packets_malformed, 2);
    assert_eq!(fabric.due_us(), None);
}

#[test]
fn unknown_destination_is_counted() {
    let mut fabric = fabric(plan(&[]));
    fabric.receive_from_caller(0, address(CALLER), &request());
    assert_eq!(fabric.stats().packets_without_balancer, 1);
}

#[test]
fn ipv6_packets_are_sprayed() {
    let (from, to) = ("[2001:db8::1]:5000", "[2001:db8::2]:80");
    let packet = datagram::build_udp(address(from), address(to), b"");
    let mut frame = Vec::new();
    gue::encode(gue::Content::Ipv6, &[], &packet, &mut frame);
    let mut plan = plan(&["127.0.0.11:6080"]);
    plan.pools[0].addresses = vec!["2001:db8::2".parse::<IpAddr>().unwrap()];
    let mut fabric = fabric(plan);
    fabric.receive_from_caller(0, address(CALLER), &frame);
    assert_eq!(fabric.stats().packets_sprayed, 1);
}
