//! Installation of settings, and their order.

use rstest::rstest;

use super::*;

/// Older settings, or settings that do not list the service, must not replace those in force.
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

/// An upstream is drained or retired while flows are open. Every flow must stay at its upstream,
/// whichever agent gets its packets and whichever settings that agent has.
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
