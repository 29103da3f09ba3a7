//! Lifetimes of flows.

use rstest::rstest;

use super::*;

/// A packet of the flow, or time that elapses.
#[derive(Clone, Copy, Debug)]
enum Step {
    Send(PacketKind),
    Advance(u64),
}

use Step::{Advance, Send};

const MINUTE_MS: u64 = 60_000;

/// A flow must be kept for as long as packets of it may arrive, and no longer. Its last packet
/// reaches the upstream, or is refused because the flow is no longer known.
#[rstest]
#[case::idle_open_flow(
    &[Send(opening(1)), Send(PacketKind::Middle), Advance(300 * MINUTE_MS)],
    true,
)]
#[case::answer_after_finish(
    &[Send(opening(1)), Send(PacketKind::Finish), Advance(9 * MINUTE_MS)],
    true,
)]
#[case::long_after_finish(
    &[Send(opening(1)), Send(PacketKind::Finish), Advance(15 * MINUTE_MS)],
    false,
)]
#[case::stray_after_reset(
    &[Send(opening(1)), Send(PacketKind::Reset), Advance(MINUTE_MS / 2)],
    true,
)]
#[case::long_after_reset(
    &[Send(opening(1)), Send(PacketKind::Reset), Advance(3 * MINUTE_MS)],
    false,
)]
#[case::never_answered(&[Send(opening(1)), Advance(2 * MINUTE_MS)], false)]
fn flow_lifetime(#[case] steps: &[Step], #[case] alive: bool) {
    let mut fleet = Fleet::settled(&Spec::new(WhenInDoubt::Admit, 1));
    for step in steps {
        match step {
            Send(kind) => assert_eq!(fleet.send(0, 1, *kind), Outcome::Delivered(0)),
            Advance(ms) => fleet.advance(*ms),
        }
    }
    let expected = match alive {
        true => Outcome::Delivered(0),
        false => Outcome::Refused(Reason::UnknownFlow),
    };
    assert_eq!(fleet.send(0, 1, PacketKind::Middle), expected);
}

/// A caller opens a new connection on the ports of an old one. While the old one is open, its
/// upstream answers; once it is closed, any upstream may take the new one.
#[rstest]
#[case::open(None, 1)]
#[case::finished(Some(PacketKind::Finish), 1)]
#[case::reset(Some(PacketKind::Reset), 1)]
fn open_optimistically_reused_ports(#[case] end: Option<PacketKind>, #[case] open: usize) {
    let mut fleet = Fleet::settled(&Spec::new(WhenInDoubt::Admit, 1));
    fleet.send(0, 1, opening(1));
    if let Some(kind) = end {
        fleet.send(0, 1, kind);
    }
    assert_eq!(fleet.send(0, 1, opening(2)), Outcome::Delivered(0));
    assert_eq!(fleet.agents[0].open_flows(), open);
}

/// Initial sequence number of another connection, far from that of the default one.
const OTHER_SEQUENCE: u32 = 1 << 31;

/// A late copy of the packet that ended an older connection must not end the present one on the
/// same ports. The upstream's TCP ignores it by its sequence number. If the agent forgot the flow,
/// it would reset the caller at the next packet after a pause.
#[rstest]
#[case::reset(PacketKind::Reset)]
#[case::finish(PacketKind::Finish)]
fn close_late_end_of_older_connection(#[case] end: PacketKind) {
    let mut fleet = Fleet::settled(&Spec::new(WhenInDoubt::Admit, 1));
    fleet.send(0, 1, opening(1));
    fleet.send(0, 1, PacketKind::Middle);
    let late = Packet { sequence: OTHER_SEQUENCE, ..packet(1, end) };
    assert_eq!(fleet.send_packet(0, late), Outcome::Delivered(0));
    fleet.advance(15 * MINUTE_MS);
    assert_eq!(fleet.send(0, 1, PacketKind::Middle), Outcome::Delivered(0));
    assert_eq!(fleet.agents[0].open_flows(), 1);
}

/// All packets of an older connection arrive late, its end last. The agent must not take their
/// sequence numbers for those of the present connection, or the old end would close it.
#[test]
fn close_late_copies_of_older_connection() {
    let mut fleet = Fleet::settled(&Spec::new(WhenInDoubt::Admit, 1));
    fleet.send(0, 1, opening(1));
    fleet.send(0, 1, PacketKind::Middle);
    fleet.advance(MINUTE_MS);
    for kind in [opening(OTHER_SEQUENCE), PacketKind::Middle, PacketKind::Reset] {
        fleet.send_packet(0, Packet { sequence: OTHER_SEQUENCE, ..packet(1, kind) });
    }
    assert_eq!(fleet.agents[0].open_flows(), 1);
}

/// An upstream has lost its connection unnoticed, and the caller opens and ends a new one on the
/// same ports. The agent, which still has the old flow, must recognize this end, or the flow counts
/// as open for a day.
#[test]
fn close_flow_after_lost_connection() {
    let mut fleet = Fleet::settled(&Spec::new(WhenInDoubt::Admit, 1));
    fleet.send(0, 1, opening(1));
    fleet.send(0, 1, PacketKind::Middle);
    fleet.advance(3 * MINUTE_MS);
    for kind in [opening(OTHER_SEQUENCE), PacketKind::Middle, PacketKind::Finish] {
        let outcome = fleet.send_packet(0, Packet { sequence: OTHER_SEQUENCE, ..packet(1, kind) });
        assert_eq!(outcome, Outcome::Delivered(0));
    }
    assert_eq!(fleet.agents[0].open_flows(), 0);
}

/// An upstream answers an opening for an older connection on the caller's ports. The caller resets
/// that one, as TCP requires, and repeats the opening. It has not run, so it must be delivered,
/// even when copies of openings that ran no longer are.
#[test]
fn met_older_connection_opening_repeated() {
    let mut fleet = Fleet::settled(&Spec::new(WhenInDoubt::Refuse, 3));
    let Outcome::Delivered(holder) = fleet.send(0, flow(1), opening(OTHER_SEQUENCE)) else {
        panic!("the opening must be delivered");
    };
    assert_eq!(fleet.send(holder, flow(1), PacketKind::Reset), Outcome::Delivered(holder));
    fleet.advance(11_000);
    assert_eq!(fleet.send(holder, flow(1), opening(OTHER_SEQUENCE)), Outcome::Delivered(holder));
}
