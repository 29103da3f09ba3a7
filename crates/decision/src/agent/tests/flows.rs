//! Lifetimes of flows.

use rstest::rstest;

use super::*;

/// One step of a flow's life, or time that passes.
#[derive(Clone, Copy, Debug)]
enum Step {
    Send(PacketKind),
    Pass(u64),
}

use Step::{Pass, Send};

const MINUTE_MS: u64 = 60_000;

/// A caller's packets over time. The last one still reaches the upstream, or is refused because
/// the flow is long gone.
#[rstest]
#[case::idle_feed(&[Send(opening(1)), Send(PacketKind::Middle), Pass(300 * MINUTE_MS)], true)]
#[case::answer_after_finish(&[Send(opening(1)), Send(PacketKind::Finish), Pass(9 * MINUTE_MS)], true)]
#[case::long_after_finish(&[Send(opening(1)), Send(PacketKind::Finish), Pass(15 * MINUTE_MS)], false)]
#[case::stray_after_reset(&[Send(opening(1)), Send(PacketKind::Reset), Pass(MINUTE_MS / 2)], true)]
#[case::long_after_reset(&[Send(opening(1)), Send(PacketKind::Reset), Pass(3 * MINUTE_MS)], false)]
#[case::never_answered(&[Send(opening(1)), Pass(2 * MINUTE_MS)], false)]
fn lifetime(#[case] steps: &[Step], #[case] alive: bool) {
    let mut fleet = Fleet::settled(&Spec::new(WhenInDoubt::Admit, 1));
    for step in steps {
        match step {
            Send(kind) => assert_eq!(fleet.send(0, 1, *kind), Outcome::Delivered(0)),
            Pass(ms) => fleet.pass(*ms),
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
fn ports_used_again(#[case] end: Option<PacketKind>, #[case] open: usize) {
    let mut fleet = Fleet::settled(&Spec::new(WhenInDoubt::Admit, 1));
    fleet.send(0, 1, opening(1));
    if let Some(kind) = end {
        fleet.send(0, 1, kind);
    }
    assert_eq!(fleet.send(0, 1, opening(2)), Outcome::Delivered(0));
    assert_eq!(fleet.agents[0].open_flows(), open);
}
