//! Tests of an overloaded balancer that leaves the rotation, and returns when it is needed.

use rstest::rstest;
use steering::flow::Millis;
use steering::rotation::{Load, Rotation};

/// A link of 14 megabits a second carries 1.75 MB a second.
const LINK_MBPS: f64 = 14.0;
const FULL_BYTES_PER_S: u64 = 1_750_000;

/// Simulates one second for each of these shares of the link's capacity in percent, and returns the
/// seconds in which the balancer was out of rotation.
fn simulate(rotation: &mut Rotation, start_s: u64, shares: &[u64], lag_ms: Millis) -> Vec<u64> {
    let mut received_bytes = start_s * FULL_BYTES_PER_S;
    let mut outside = Vec::new();
    for (second, share) in (start_s..).zip(shares) {
        let load = Load { lag_ms, received_bytes, since_last_packet_ms: 5_000 };
        if !rotation.update(second * 1_000, load) {
            outside.push(second);
        }
        received_bytes += FULL_BYTES_PER_S * share / 100;
    }
    outside
}

/// Uploads for a third of a zone go through a slow link, which drops what exceeds its capacity.
/// Openings and agents' replies are lost with the rest, while neighbours with fast links are idle.
/// The balancer leaves the rotation after three seconds at full load, but not for a burst, nor for
/// its usual traffic.
#[rstest]
#[case::full_link(&[90, 90, 90, 90, 90], 1, &[3, 4])]
#[case::burst(&[100, 100, 40, 100, 100, 40, 40], 1, &[])]
#[case::usual_load(&[60, 65, 60, 65, 60, 65], 1, &[])]
#[case::lag_without_full_link(&[20, 20, 20, 20, 20], 400, &[3, 4])]
fn update_overload(#[case] shares: &[u64], #[case] lag_ms: Millis, #[case] outside: &[u64]) {
    assert_eq!(simulate(&mut Rotation::new(LINK_MBPS), 0, shares, lag_ms), outside);
}

/// The settings do not state the speed of the link, so it never counts as full.
#[test]
fn update_unknown_link() {
    assert_eq!(simulate(&mut Rotation::new(0.0), 0, &[300; 10], 1), []);
}

/// Each change moves nearly every flow of the zone, so an undersized balancer must not leave and
/// return repeatedly. Its second stay out of rotation is twice as long as the first.
#[test]
fn update_longer_stays() {
    let mut rotation = Rotation::new(LINK_MBPS);
    let outside = simulate(&mut rotation, 0, &[90; 200], 1);
    let first: Vec<u64> = (3..33).collect();
    let second: Vec<u64> = (36..96).collect();
    assert_eq!(outside[..90], [first, second].concat());
}

/// A neighbour restarts, so that fewer than half of the zone's balancers are in rotation, and the
/// fabric sends to all of them, including the one that is down. Once the balancer that is out of
/// rotation returns, the fabric excludes the one that is down. Packets that arrive right after the
/// balancer has left prove nothing.
#[rstest]
#[case::sent_to_all(2_000, 10, true)]
#[case::just_left(1_000, 10, false)]
#[case::no_packets(2_000, 900, false)]
fn update_needed_again(
    #[case] after_ms: Millis,
    #[case] since_last_packet_ms: Millis,
    #[case] in_rotation: bool,
) {
    let mut rotation = Rotation::new(LINK_MBPS);
    assert_eq!(simulate(&mut rotation, 0, &[90; 4], 1), [3]);
    let received_bytes = 4 * FULL_BYTES_PER_S;
    let load = Load { lag_ms: 1, received_bytes, since_last_packet_ms };
    assert_eq!(rotation.update(3_000 + after_ms, load), in_rotation);
}
