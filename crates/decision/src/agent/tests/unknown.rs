//! Flows that an agent does not know but that its upstream reports.

use rstest::rstest;

use super::*;

/// A flow that its agent does not know must not be reset a minute after a restart while the
/// upstream still has it.
#[rstest]
#[case::one_more_than_known(1, true)]
#[case::none(0, false)]
fn may_hold_unknown_flows_upstream_has_more(#[case] open_flows: u32, #[case] incomplete: bool) {
    let spec = Spec::new(WhenInDoubt::Admit, 3);
    let mut fleet = Fleet::settled(&spec);
    fleet.restart(1, &spec);
    for _ in 0..70 {
        fleet.advance(1_000);
        fleet.handle_event(1, Event::Upstream(UpstreamReport { open_flows, ..report() }));
    }
    assert_eq!(fleet.agents[1].stats(fleet.now).may_hold_unknown_flows, incomplete);
}

/// Two agents may hold a flow without knowing it, and its packets would be dropped. The reports of
/// their upstreams must decide which of them has it.
#[rstest]
#[case::only_one_has_more(1, 0, Some(1))]
#[case::only_the_other_has_more(0, 1, Some(2))]
#[case::both_have_more(1, 1, None)]
#[case::neither(0, 0, None)]
fn look_up_upstream_with_unknown_flow(
    #[case] first: u32,
    #[case] second: u32,
    #[case] found: Option<usize>,
) {
    let spec = Spec::new(WhenInDoubt::Admit, 4);
    let mut fleet = Fleet::settled(&spec);
    fleet.restart(1, &spec);
    fleet.restart(2, &spec);
    for _ in 0..2 {
        fleet.advance(1_000);
        fleet.handle_event(1, Event::Upstream(UpstreamReport { open_flows: first, ..report() }));
        fleet.handle_event(2, Event::Upstream(UpstreamReport { open_flows: second, ..report() }));
    }
    let expected = found.map_or(Outcome::Dropped(Reason::HolderSilent), Outcome::Delivered);
    assert_eq!(fleet.send(3, flow(1), PacketKind::Middle), expected);
}

/// Stray packets of connections that ended long ago are tried at a restarted agent. It must not
/// count them as flows for a day and refuse all openings although its upstream has room.
#[rstest]
#[case::upstream_has_none(0, true)]
#[case::upstream_has_them(3, false)]
fn adopt_stray_packets(#[case] open_flows: u32, #[case] accepts: bool) {
    let mut spec = Spec::new(WhenInDoubt::Admit, 1);
    spec.max_flows = 3;
    let mut fleet = Fleet::settled(&spec);
    fleet.restart(0, &spec);
    fleet.advance(1_000);
    for number in 0..3 {
        assert_eq!(fleet.send(0, flow(number), PacketKind::Middle), Outcome::Delivered(0));
    }
    for _ in 0..2 {
        fleet.handle_event(0, Event::Upstream(UpstreamReport { open_flows, ..report() }));
        fleet.advance(1_000);
    }
    let outcome = fleet.send(0, flow(10), opening(1));
    assert_eq!(outcome == Outcome::Delivered(0), accepts, "{outcome:?}");
}
