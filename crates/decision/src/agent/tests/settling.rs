//! Two claimants, one of which counts an earlier membership as settled: an opening must not run at
//! both. Each order of events is one in which it would run twice without one safeguard.

use rstest::rstest;

use super::memberships::{assert_delivers, retire};
use super::*;
use crate::message::{Outdated, OutdatedReport};

/// Prepares each agent when it starts.
type Prepare = fn(&mut Agent);

/// Plays an order of events and returns the outcomes of two copies of one opening.
type Scenario = fn(Prepare) -> [Outcome; 2];

fn prepared(spec: &Spec, prepare: Prepare) -> Fleet {
    let mut fleet = Fleet::settled(spec);
    fleet.agents.iter_mut().for_each(prepare);
    fleet
}

/// Sends a copy of the opening to an agent while others are cut off from everybody.
fn send_copy(fleet: &mut Fleet, to: usize, cut_off: &[usize]) -> Outcome {
    fleet.cut_off = cut_off.to_vec();
    let mut copy = packet(flow(1), opening(1));
    copy.forwarding = Forwarding::Assigned;
    copy.hops = 1;
    fleet.send_packet(to, copy)
}

/// Retires two of three upstreams, ends their agents as planned and lets the third one settle.
fn end_two_of_three(fleet: &mut Fleet, spec: &mut Spec) {
    retire(spec, 2, &[0, 1]);
    (0..3).for_each(|index| fleet.install(index, spec));
    fleet.advance(500);
    fleet.end(0);
    fleet.end(1);
    fleet.advance(5_000);
}

/// An opening runs with the votes of two agents, which then end as planned. The third one does not
/// know of it until it reads their records.
fn ran_before_witnesses_ended(prepare: Prepare) -> [Outcome; 2] {
    let mut spec = Spec::new(WhenInDoubt::Refuse, 3);
    let mut fleet = prepared(&spec, prepare);
    let first = send_copy(&mut fleet, 0, &[2]);
    fleet.cut_off.clear();
    fleet.advance(3_000);
    end_two_of_three(&mut fleet, &mut spec);
    [first, send_copy(&mut fleet, 2, &[0, 1])]
}

/// An agent has read another one under version 2. It installs version 3 first, and the opening then
/// runs under version 2, beyond a partition.
fn read_before_later_settings(prepare: Prepare) -> [Outcome; 2] {
    let mut spec = Spec::new(WhenInDoubt::Refuse, 4);
    spec.listed[3] = (2, None);
    let mut fleet = prepared(&spec, prepare);
    spec.version = 2;
    (0..4).for_each(|index| fleet.install(index, &spec));
    fleet.advance(5_000);
    fleet.cut_off = vec![2];
    retire(&mut spec, 3, &[0, 1, 3]);
    fleet.install(2, &spec);
    fleet.advance(5_000);
    let first = send_copy(&mut fleet, 0, &[2]);
    [first, send_copy(&mut fleet, 2, &[0, 1, 3])]
}

/// An agent ends and has been read by one peer, which settles the membership. It is still there
/// when another peer, with the old settings, asks it for a vote.
fn asked_after_the_last_reading(prepare: Prepare) -> [Outcome; 2] {
    let mut spec = Spec::new(WhenInDoubt::Refuse, 3);
    let mut fleet = prepared(&spec, prepare);
    fleet.leave(1);
    fleet.cut_off = vec![0, 1];
    retire(&mut spec, 2, &[0, 1]);
    fleet.install(2, &spec);
    fleet.advance(3_000);
    let first = send_copy(&mut fleet, 0, &[2]);
    [first, send_copy(&mut fleet, 2, &[0, 1])]
}

/// An agent that has ended and was read comes back under the old settings, and must not complete a
/// majority of the old membership.
fn back_with_old_settings(prepare: Prepare) -> [Outcome; 2] {
    let old = Spec::new(WhenInDoubt::Refuse, 5);
    let mut spec = old.clone();
    let mut fleet = prepared(&spec, prepare);
    fleet.leave(0);
    retire(&mut spec, 2, &[0, 1, 2]);
    fleet.install(3, &spec);
    fleet.install(4, &spec);
    fleet.advance(3_000);
    fleet.restart(0, &old);
    prepare(&mut fleet.agents[0]);
    fleet.advance(5_000);
    let first = send_copy(&mut fleet, 1, &[3, 4]);
    [first, send_copy(&mut fleet, 4, &[0, 1, 2])]
}

/// An agent that is cut off finds no majority for an opening and records that it will refuse it.
/// The opening runs elsewhere. Once the agent has settled the membership it could refuse alone.
fn undecided_before_it_ran(prepare: Prepare) -> [Outcome; 2] {
    let mut spec = Spec::new(WhenInDoubt::Refuse, 3);
    let mut fleet = prepared(&spec, prepare);
    send_copy(&mut fleet, 2, &[0, 1]);
    let first = send_copy(&mut fleet, 0, &[2]);
    fleet.cut_off.clear();
    end_two_of_three(&mut fleet, &mut spec);
    [first, send_copy(&mut fleet, 2, &[0, 1])]
}

/// One of the two witnesses with whose votes the opening ran is gone, and the other one restarts and
/// has lost its records. What it can give does not show what ran.
fn witness_lost_its_records(prepare: Prepare) -> [Outcome; 2] {
    let mut spec = Spec::new(WhenInDoubt::Refuse, 3);
    let mut fleet = prepared(&spec, prepare);
    let first = send_copy(&mut fleet, 0, &[2]);
    fleet.cut_off = vec![0];
    fleet.restart(1, &spec);
    prepare(&mut fleet.agents[1]);
    retire(&mut spec, 2, &[0, 1]);
    fleet.install(1, &spec);
    fleet.install(2, &spec);
    fleet.advance(5_000);
    [first, send_copy(&mut fleet, 2, &[0, 1])]
}

/// Of four agents one has ended and was read by one with later settings. It comes back under the
/// old settings, and the other two make it complete.
fn back_among_four(prepare: Prepare) -> [Outcome; 2] {
    let old = Spec::new(WhenInDoubt::Refuse, 4);
    let mut spec = old.clone();
    let mut fleet = prepared(&spec, prepare);
    fleet.leave(0);
    retire(&mut spec, 2, &[0, 1, 2]);
    fleet.install(3, &spec);
    fleet.advance(3_000);
    fleet.restart(0, &old);
    prepare(&mut fleet.agents[0]);
    fleet.advance(5_000);
    let first = send_copy(&mut fleet, 1, &[3]);
    [first, send_copy(&mut fleet, 3, &[0, 1, 2])]
}

/// A balancer reports an outdated membership that other settings draw with other members. It says
/// nothing about two agents beyond a partition that still serve under the old settings.
fn report_of_other_members(prepare: Prepare) -> [Outcome; 2] {
    let mut spec = Spec::new(WhenInDoubt::Refuse, 3);
    let mut fleet = prepared(&spec, prepare);
    fleet.cut_off = vec![0, 1];
    retire(&mut spec, 2, &[0, 1]);
    fleet.install(2, &spec);
    let outdated = Outdated { from: Version(1), next: Version(2), expires_in_ms: 0 };
    fleet.handle_event(2, Event::Outdated(OutdatedReport { outdated, members: 0 }));
    fleet.advance(3_000);
    let first = send_copy(&mut fleet, 0, &[2]);
    [first, send_copy(&mut fleet, 2, &[0, 1])]
}

const SCENARIOS: [Scenario; 8] = [
    ran_before_witnesses_ended,
    read_before_later_settings,
    asked_after_the_last_reading,
    back_with_old_settings,
    undecided_before_it_ran,
    witness_lost_its_records,
    back_among_four,
    report_of_other_members,
];

/// Number of copies that ran or were refused as not run.
fn count_answers(outcomes: [Outcome; 2]) -> usize {
    let answered =
        |outcome: &&Outcome| matches!(outcome, Outcome::Delivered(_) | Outcome::Refused(_));
    outcomes.iter().filter(answered).count()
}

/// No order of events may let the opening run twice or be refused after it has run, and none of
/// these keeps it from being answered once.
#[rstest]
#[case::ran_before_witnesses_ended(0, 1)]
#[case::read_before_later_settings(1, 1)]
#[case::asked_after_the_last_reading(2, 1)]
#[case::back_with_old_settings(3, 1)]
#[case::undecided_before_it_ran(4, 1)]
#[case::witness_lost_its_records(5, 1)]
#[case::back_among_four(6, 1)]
#[case::report_of_other_members(7, 1)]
fn open_at_most_once_settled_membership(#[case] scenario: usize, #[case] answers: usize) {
    let outcomes = SCENARIOS[scenario](|_| {});
    assert_eq!(count_answers(outcomes), answers, "{outcomes:?}");
}

/// Without its safeguard the opening is answered twice in the order of events made for it.
#[cfg(feature = "mutants")]
#[rstest]
#[case::records_not_learned(0, |agent: &mut Agent| agent.set_mutant(Some(crate::agent::Mutant::RecordsNotLearned)))]
#[case::stale_records_counted(1, |agent: &mut Agent| agent.set_mutant(Some(crate::agent::Mutant::StaleRecordsCounted)))]
#[case::records_not_sealed(2, |agent: &mut Agent| agent.set_mutant(Some(crate::agent::Mutant::RecordsNotSealed)))]
#[case::older_witness_recalled(3, |agent: &mut Agent| agent.set_mutant(Some(crate::agent::Mutant::OlderWitnessRecalled)))]
#[case::disputes_ignored(4, |agent: &mut Agent| agent.set_mutant(Some(crate::agent::Mutant::DisputesIgnored)))]
#[case::incomplete_records_counted(5, |agent: &mut Agent| agent.set_mutant(Some(crate::agent::Mutant::IncompleteRecordsCounted)))]
#[case::tie_counts_as_closed(6, |agent: &mut Agent| agent.set_mutant(Some(crate::agent::Mutant::TieCountsAsClosed)))]
#[case::other_members_outdated(7, |agent: &mut Agent| agent.set_mutant(Some(crate::agent::Mutant::OtherMembersOutdated)))]
fn mutant_answers_twice(#[case] scenario: usize, #[case] prepare: Prepare) {
    assert_eq!(count_answers(SCENARIOS[scenario](prepare)), 2);
}

/// An agent has voted for one claim and reads that another one was granted under the settled
/// membership. It cannot know which of them won: the opening neither runs nor is refused there.
#[test]
fn settle_membership_disputed_opening() {
    let mut spec = Spec::new(WhenInDoubt::Refuse, 3);
    let mut fleet = Fleet::settled(&spec);
    for (witness, claimant) in [(2, 1), (0, 0), (1, 0)] {
        let claim = crate::message::Claim::Run(id(claimant));
        let opening = crate::message::Opening { flow: FlowId(flow(1)), nonce: 1 };
        let incarnation = Incarnation(1);
        let message = Message::ClaimRequest { opening, claim, view: Version(1), incarnation };
        let from = if witness == claimant { id(1) } else { id(claimant) };
        fleet.handle_event(witness, Event::Message { from, message });
    }
    fleet.messages.clear();
    end_two_of_three(&mut fleet, &mut spec);
    let outcome = fleet.send(2, flow(1), opening(1));
    assert!(matches!(outcome, Outcome::Dropped(_)), "{outcome:?}");
    assert_delivers(&mut fleet, 2, 2..20);
}

/// All upstreams are replaced and the old agents end. Each new agent restarts in turn and learns
/// from a peer that the old membership is settled.
#[test]
fn settle_membership_rolling_restart() {
    let mut spec = Spec::new(WhenInDoubt::Refuse, 6);
    spec.listed[3..].fill((2, None));
    let mut fleet = Fleet::settled(&spec);
    retire(&mut spec, 2, &[0, 1, 2]);
    (0..6).for_each(|index| fleet.install(index, &spec));
    fleet.advance(500);
    (0..3).for_each(|index| fleet.end(index));
    for index in 3..6 {
        fleet.leave(index);
        fleet.restart(index, &spec);
        fleet.advance(6_000);
        let first = 20 * index as u64;
        assert_delivers(&mut fleet, index, first..first + 20);
    }
}

/// All agents left of a service lose power at once. What balancers remember tells the new ones that
/// the old membership is outdated; without it nobody knows, and silence must not count.
#[rstest]
#[case::balancers_remember(true, true)]
#[case::balancers_are_new(false, false)]
fn outdated_membership_all_restarted(#[case] remembers: bool, #[case] runs: bool) {
    let mut spec = Spec::new(WhenInDoubt::Refuse, 6);
    spec.listed[3..].fill((2, None));
    let mut fleet = Fleet::settled(&spec);
    retire(&mut spec, 2, &[0, 1, 2]);
    (0..6).for_each(|index| fleet.install(index, &spec));
    fleet.advance(500);
    (0..3).for_each(|index| fleet.end(index));
    fleet.advance(300_000);
    (3..6).for_each(|index| fleet.restart(index, &spec));
    if !remembers {
        fleet.balancer = OutdatedTable::default();
    }
    fleet.advance(125_000);
    let outcome = fleet.send(4, flow(1), opening(1));
    assert_eq!(matches!(outcome, Outcome::Delivered(_)), runs, "{outcome:?}");
}

/// A membership cannot be settled for long. Asking peers for it must stay cheap: an agent that asks
/// again with each answer would fill the network.
#[test]
fn read_witnesses_is_paced() {
    let mut spec = Spec::new(WhenInDoubt::Refuse, 6);
    spec.listed[3..].fill((2, None));
    let mut fleet = Fleet::settled(&spec);
    fleet.cut_off = vec![0, 1];
    retire(&mut spec, 2, &[0, 1, 2]);
    (2..6).for_each(|index| fleet.install(index, &spec));
    fleet.advance(5_000);
    let before = fleet.readings;
    fleet.advance(60_000);
    let per_agent_and_s = (fleet.readings - before) as f64 / 60.0 / 4.0;
    assert!(per_agent_and_s < 3.0, "{per_agent_and_s} readings a second");
}
