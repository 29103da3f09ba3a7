//! Memberships that settings still list although most of their members are gone.

use rstest::rstest;

use super::*;

/// Changes the settings to `version`, which retires the given upstreams.
pub(super) fn retire(spec: &mut Spec, version: u64, upstreams: &[usize]) {
    spec.version = version;
    for index in upstreams {
        spec.listed[*index].1 = Some(version);
        spec.states[*index] = UpstreamState::Retired;
    }
}

/// All upstreams of a service were replaced; the old ones are gone but still listed as retired. A
/// restarted agent counts their membership again until its peers report it as outdated. Otherwise
/// it waits forever for a majority that never answers, and its openings get no reply.
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

/// Of three upstreams one is retired, a fourth is listed, and a second one is retired. The agent of
/// the remaining one of the three restarts and no longer knows that the others ran later settings.
/// The fourth agent must report this. Otherwise the restarted agent would count the first
/// membership forever, although it is the only member left of it.
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

/// Most of the old membership is cut off and may still serve balancers beyond the partition.
/// Neither missing replies nor a restart may make the agents ignore it unless they know that it
/// runs later settings, or an opening could run on both sides of the partition.
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

/// Upstreams are retired and their agents end in order, faster than claims expire. An agent that
/// stays has been up all the time, and everyone who could have granted a claim has said that it
/// runs later settings or that it ends. The service must answer openings at once: otherwise it
/// stays silent for two minutes after a planned change (fuzzing, episodes 200545 and 201210).
#[rstest]
#[case::one_of_two(2, vec![vec![0]])]
#[case::two_of_three(3, vec![vec![0], vec![1]])]
#[case::two_of_three_at_once(3, vec![vec![0, 1]])]
#[case::three_of_four(4, vec![vec![0], vec![1], vec![2]])]
#[case::three_of_six(6, vec![vec![0, 1, 2]])]
fn settle_membership_after_planned_ends(#[case] upstreams: usize, #[case] steps: Vec<Vec<usize>>) {
    let mut spec = Spec::new(WhenInDoubt::Refuse, upstreams);
    let mut fleet = Fleet::settled(&spec);
    for (step, ended) in steps.iter().enumerate() {
        retire(&mut spec, 2 + step as u64, ended);
        (0..upstreams).for_each(|index| fleet.install(index, &spec));
        fleet.advance(500);
        ended.iter().for_each(|index| fleet.end(*index));
    }
    fleet.advance(5_000);
    assert_delivers(&mut fleet, upstreams - 1, 0..20);
}

/// The settings that retire two of three upstreams reach the third one only after the agents of
/// the two have ended in order. What they told it at their end must suffice.
#[rstest]
#[case::ended_with_later_settings(&[0, 1])]
#[case::one_ended_with_later_settings(&[1])]
#[case::ended_with_old_settings(&[])]
fn settle_membership_late_settings(#[case] told: &[usize]) {
    let mut spec = Spec::new(WhenInDoubt::Refuse, 3);
    let mut fleet = Fleet::settled(&spec);
    retire(&mut spec, 2, &[0]);
    retire(&mut spec, 3, &[1]);
    told.iter().for_each(|index| fleet.install(*index, &spec));
    fleet.end(0);
    fleet.end(1);
    fleet.advance(30_000);
    fleet.install(2, &spec);
    fleet.advance(5_000);
    assert_delivers(&mut fleet, 2, 0..20);
}

/// The only agent left of a service restarts as planned, long after the others have been retired
/// and have ended in order. No agent is left that could tell it about them (fuzzing, episode
/// 300045).
#[test]
fn settle_membership_only_agent_restarted() {
    let mut spec = Spec::new(WhenInDoubt::Refuse, 3);
    let mut fleet = Fleet::settled(&spec);
    for ended in [0, 1] {
        retire(&mut spec, 2 + ended as u64, &[ended]);
        (0..3).for_each(|index| fleet.install(index, &spec));
        fleet.advance(500);
        fleet.end(ended);
    }
    fleet.advance(300_000);
    fleet.leave(2);
    fleet.restart(2, &spec);
    fleet.advance(125_000);
    assert_delivers(&mut fleet, 2, 0..20);
}

pub(super) fn assert_delivers(fleet: &mut Fleet, at: usize, numbers: std::ops::Range<u64>) {
    for number in numbers {
        let outcome = fleet.send(at, flow(number), opening(1));
        assert!(matches!(outcome, Outcome::Delivered(_)), "{number}: {outcome:?}");
    }
}
