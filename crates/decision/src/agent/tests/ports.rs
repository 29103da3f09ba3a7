//! Ports that are reused while an agent has not learned of the older connection's end.

use rstest::rstest;

use super::*;

/// Sequence number of a later connection, far from that of the older one.
const LATER_SEQUENCE: u32 = 1 << 30;

/// A caller opens a second connection on its ports, and one agent still holds the first, whose end
/// was lost. That agent would break the second connection if it delivered its packets, or claimed
/// to hold it when the restarted holder asks.
#[rstest]
#[case::packet_reaches_the_older_holder(false, true)]
#[case::packet_reaches_the_holder(false, false)]
#[case::restarted_holder_asks(true, false)]
#[case::older_holder_asks_the_restarted_one(true, true)]
fn look_up_later_connection(#[case] restarts: bool, #[case] to_older: bool) {
    let spec = Spec::new(WhenInDoubt::Admit, 4);
    let mut fleet = Fleet::settled(&spec);
    let ranking = fleet.ranking(flow(1));
    let (older, holder) = (ranking[0], ranking[1]);
    assert_eq!(fleet.send(older, flow(1), opening(1)), Outcome::Delivered(older));
    fleet.cut_off.push(older);
    fleet.advance(5_000);
    assert_eq!(fleet.send(holder, flow(1), opening(LATER_SEQUENCE)), Outcome::Delivered(holder));
    assert_eq!(fleet.send_packet(holder, later_packet()), Outcome::Delivered(holder));
    fleet.advance(1_000);
    fleet.cut_off.clear();
    fleet.advance(20_000);
    if restarts {
        fleet.restart(holder, &spec);
        fleet.advance(2_000);
    }
    let to = if to_older { older } else { holder };
    assert_eq!(fleet.send_packet(to, later_packet()), Outcome::Delivered(holder));
}

/// No agent holds the connection to which a packet belongs, but an upstream has another one on its
/// ports. The upstream must decide about the packet, and no agent may reset it.
#[rstest]
fn look_up_packet_of_no_connection() {
    let spec = Spec::new(WhenInDoubt::Admit, 3);
    let mut fleet = Fleet::settled(&spec);
    let home = fleet.ranking(flow(1))[0];
    fleet.send(home, flow(1), opening(1));
    fleet.advance(1_000);
    assert_eq!(fleet.send_packet(home, later_packet()), Outcome::Delivered(home));
}

/// Agents of the previous release cannot read a question with a sequence number, and must be asked
/// in the form that they know.
#[rstest]
fn ask_previous_release() {
    let spec = Spec::new(WhenInDoubt::Admit, 5);
    let mut fleet = Fleet::settled(&spec);
    fleet.previous_release = (0..5).collect();
    let ranking = fleet.ranking(flow(1));
    let opened = fleet.send(ranking[0], flow(1), opening(1));
    assert_eq!(opened, Outcome::Delivered(ranking[0]));
    fleet.advance(1_000);
    assert_eq!(fleet.send(ranking[4], flow(1), PacketKind::Middle), opened);
}

fn later_packet() -> Packet {
    Packet { sequence: LATER_SEQUENCE, ..packet(flow(1), PacketKind::Middle) }
}

/// An upstream answers an opening for an older connection on the same ports, then drains, and the
/// caller repeats the opening seconds later. The draining upstream must not get it.
#[rstest]
#[case::before_the_drain(true)]
#[case::without_a_drain(false)]
fn has_never_run_draining_upstream(#[case] drains: bool) {
    let mut spec = Spec::new(WhenInDoubt::Admit, 4);
    let mut fleet = Fleet::settled(&spec);
    let home = fleet.ranking(flow(1))[0];
    fleet.send(home, flow(1), opening(1));
    fleet.advance(1_000);
    fleet.restart(home, &spec);
    fleet.advance(2_000);
    assert_eq!(fleet.send(home, flow(1), opening(LATER_SEQUENCE)), Outcome::Delivered(home));
    assert_eq!(fleet.send(home, flow(1), PacketKind::Reset), Outcome::Delivered(home));
    if drains {
        spec.version = 2;
        spec.states[home] = UpstreamState::Draining;
        (0..4).for_each(|index| fleet.install(index, &spec));
    }
    fleet.advance(2_000);
    let outcome = fleet.send(home, flow(1), opening(LATER_SEQUENCE));
    assert!(matches!(outcome, Outcome::Delivered(_)), "{outcome:?}");
    assert_eq!(outcome != Outcome::Delivered(home), drains);
}
