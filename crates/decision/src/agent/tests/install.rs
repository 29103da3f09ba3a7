//! Settings that come into force, and their order.

use rstest::rstest;

use super::*;

/// An operator's settings are in force. A late reader hands the agent older ones, or none that
/// list its service: what is in force stays.
#[rstest]
#[case::newer(&[2], 2)]
#[case::older(&[3, 2], 3)]
#[case::same_twice(&[2, 2], 2)]
fn install_order(#[case] versions: &[u64], #[case] in_force: u64) {
    let mut spec = Spec::new(WhenInDoubt::Admit, 2);
    let mut fleet = Fleet::settled(&spec);
    for version in versions {
        spec.version = *version;
        fleet.install(0, &spec);
    }
    fleet.handle_event(0, Event::View(Arc::new(View::default())));
    assert_eq!(fleet.agents[0].version(), Version(in_force));
}

/// Upstreams are added and drained while feeds are open: every feed stays where it is, from
/// whichever agent and with whichever settings its packets come.
#[rstest]
#[case::drained(|spec: &mut Spec| spec.states[1] = UpstreamState::Draining)]
#[case::retired(|spec: &mut Spec| {
    spec.states[1] = UpstreamState::Retired;
    spec.listed[1].1 = Some(2);
})]
fn install_keeps_flows(#[case] change: fn(&mut Spec)) {
    let mut spec = Spec::new(WhenInDoubt::Admit, 5);
    let mut fleet = Fleet::settled(&spec);
    let opened: Vec<Outcome> =
        (0..200).map(|number| fleet.send(0, flow(number), opening(1))).collect();
    spec.version = 2;
    change(&mut spec);
    for index in 0..5 {
        fleet.install(index, &spec);
        for (number, outcome) in (0..).zip(&opened) {
            let to = (number as usize + index) % 5;
            let sent = fleet.send(to, flow(number), PacketKind::Middle);
            assert_eq!(sent, *outcome, "{number} after {index}");
        }
    }
    for number in 200..300 {
        let outcome = fleet.send(0, flow(number), opening(1));
        assert!(matches!(outcome, Outcome::Delivered(at) if at != 1), "{outcome:?}");
    }
}
