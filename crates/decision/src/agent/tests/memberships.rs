//! Memberships that settings still list although most of their members are gone.

use rstest::rstest;

use super::*;

/// Settings that retire the given upstreams from `version` on.
fn retire(spec: &mut Spec, version: u64, upstreams: &[usize]) {
    spec.version = version;
    for index in upstreams {
        spec.listed[*index].1 = Some(version);
        spec.states[*index] = UpstreamState::Retired;
    }
}

/// A service of three was replaced by three others hours ago; the old ones are gone, and their entries are
/// still listed as retired. The running agents have left the old membership out. One of them restarts
/// and counts it again, by its own knowledge for ever, since nobody of it answers: callers whose
/// confirmations it proposes got no answer, however often they sent them. Its peers tell it.
#[rstest]
#[case::first_successor(3)]
#[case::last_successor(5)]
fn outdated_membership_restarted_agent(#[case] restarted: usize) {
    let mut spec = Spec::new(WhenInDoubt::Refuse, 6);
    spec.listed[3..].fill((2, None));
    let mut fleet = Fleet::settled(&spec);
    retire(&mut spec, 2, &[0, 1, 2]);
    (0..6).for_each(|index| fleet.install(index, &spec));
    fleet.advance(500);
    fleet.cut_off = vec![0, 1, 2];
    fleet.advance(125_000);
    fleet.restart(restarted, &spec);
    fleet.advance(5_000);
    for number in 0..20 {
        let outcome = fleet.send(restarted, flow(number), opening(1));
        assert!(matches!(outcome, Outcome::Delivered(_)), "{number}: {outcome:?}");
    }
}

/// Of three upstreams one is retired, a fourth is listed, and one more of the old ones is retired; both end
/// in good order and are gone. In these seconds the agent of the third is restarted: it has forgotten what
/// the others had told it. Only the newcomer knows that the second one ran later settings, and says so.
/// Before, the third counted the first membership for ever, of which it is the only member left.
#[test]
fn outdated_membership_restarted_survivor() {
    let mut spec = Spec::new(WhenInDoubt::Refuse, 4);
    spec.listed[3] = (3, None);
    let mut fleet = Fleet::settled(&spec);
    retire(&mut spec, 2, &[2]);
    (0..4).for_each(|index| fleet.install(index, &spec));
    fleet.advance(1_000);
    fleet.cut_off = vec![2];
    spec.version = 3;
    (0..4).for_each(|index| fleet.install(index, &spec));
    retire(&mut spec, 4, &[0]);
    (0..4).for_each(|index| fleet.install(index, &spec));
    fleet.advance(1_000);
    fleet.cut_off = vec![0, 2];
    fleet.restart(1, &spec);
    fleet.advance(130_000);
    for number in 0..20 {
        let outcome = fleet.send(1, flow(number), opening(1));
        assert!(matches!(outcome, Outcome::Delivered(_)), "{number}: {outcome:?}");
    }
}

/// Nobody knows that most of the old membership ran later settings: they were cut off with the old ones and
/// may still serve balancers beyond the cut. Their peers' silence is no reason to leave them out, and a
/// restart is none either: the confirmation could run at both sides of the cut.
#[test]
fn outdated_membership_unresponsive_majority() {
    let mut spec = Spec::new(WhenInDoubt::Refuse, 6);
    spec.listed[3..].fill((2, None));
    let mut fleet = Fleet::settled(&spec);
    fleet.cut_off = vec![0, 1];
    retire(&mut spec, 2, &[0, 1, 2]);
    (2..6).for_each(|index| fleet.install(index, &spec));
    fleet.advance(130_000);
    fleet.restart(3, &spec);
    fleet.advance(130_000);
    let outcome = fleet.send(3, flow(1), opening(1));
    assert!(!matches!(outcome, Outcome::Delivered(_)), "{outcome:?}");
}
