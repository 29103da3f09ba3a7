//! Openings of services that refuse when in doubt.

use rstest::rstest;

use super::*;
use crate::message::{Claim, ClaimAnswer, Opening};

/// Copies of an opening may reach any agent, but it must run at one upstream only. A copy of a
/// datagram is dropped there, since a second run could bill a customer twice; a copy of a SYN is
/// left to the upstream's TCP.
#[rstest]
#[case::datagram(Transport::Udp, Outcome::Dropped(Reason::Duplicate))]
#[case::tcp(Transport::Tcp, Outcome::Delivered(9))]
fn open_at_most_once_copies(#[case] transport: Transport, #[case] copy: Outcome) {
    let mut spec = Spec::new(WhenInDoubt::Refuse, 5);
    spec.transport = transport;
    let mut fleet = Fleet::settled(&spec);
    for number in 0..40 {
        let Outcome::Delivered(holder) = fleet.send(0, flow(number), opening(1)) else {
            panic!("the first copy of {number} must run");
        };
        let expected = match copy {
            Outcome::Delivered(_) => Outcome::Delivered(holder),
            other => other,
        };
        for to in 0..5 {
            assert_eq!(fleet.send(to, flow(number), opening(1)), expected, "{number} at {to}");
        }
    }
}

/// With a majority of the witnesses an opening must run. Without one the caller must get no reply,
/// since neither "run" nor "not run" could be guaranteed.
#[rstest]
#[case::all_up(&[], true)]
#[case::two_of_five_unresponsive(&[3, 4], true)]
#[case::three_of_five_unresponsive(&[2, 3, 4], false)]
fn claim_by_quorum_unresponsive_witnesses(#[case] unresponsive: &[usize], #[case] runs: bool) {
    let mut fleet = Fleet::settled(&Spec::new(WhenInDoubt::Refuse, 5));
    fleet.cut_off = unresponsive.to_vec();
    fleet.advance(3_000);
    let outcome = fleet.send(0, flow(1), opening(1));
    match runs {
        true => assert!(matches!(outcome, Outcome::Delivered(_)), "{outcome:?}"),
        false => assert_eq!(outcome, Outcome::Dropped(Reason::HolderSilent)),
    }
}

/// A holder's agent restarts after an opening has run and before a copy arrives. The new
/// incarnation knows nothing of the run, but the witnesses know which incarnation has claimed the
/// opening.
#[rstest]
fn open_at_most_once_restarted_holder() {
    let mut spec = Spec::new(WhenInDoubt::Refuse, 5);
    spec.transport = Transport::Udp;
    let mut fleet = Fleet::settled(&spec);
    let Outcome::Delivered(holder) = fleet.send(0, flow(1), opening(1)) else {
        panic!("the first copy must run");
    };
    fleet.restart(holder, &spec);
    fleet.advance(1_000);
    for to in 0..5 {
        let outcome = fleet.send(to, flow(1), opening(1));
        assert!(matches!(outcome, Outcome::Dropped(_)), "copy at {to}: {outcome:?}");
    }
    let late = Packet { forwarding: Forwarding::Assigned, hops: 1, ..packet(flow(1), opening(1)) };
    let outcome = fleet.send_packet(holder, late);
    assert!(matches!(outcome, Outcome::Dropped(_)), "late assigned copy: {outcome:?}");
}

/// Right after an opening has run, the holder's upstream and agent are replaced under the same name
/// and configured as new. The peers know the previous incarnation. If the new agent voted at once,
/// a copy of the opening would win with its vote and run again.
#[rstest]
#[case::at_once(0)]
#[case::soon(2_000)]
fn open_at_most_once_replaced_holder(#[case] elapsed_ms: u64) {
    let mut spec = Spec::new(WhenInDoubt::Refuse, 3);
    spec.transport = Transport::Udp;
    let mut fleet = Fleet::settled(&spec);
    let Outcome::Delivered(holder) = fleet.send(0, flow(1), opening(1)) else {
        panic!("the first copy must run");
    };
    fleet.agents[holder] = agent(holder, 2 + fleet.now.0, false, spec.view(), fleet.now);
    fleet.advance(elapsed_ms);
    let late = Packet { forwarding: Forwarding::Assigned, hops: 1, ..packet(flow(1), opening(1)) };
    let outcome = fleet.send_packet(holder, late);
    assert!(!matches!(outcome, Outcome::Delivered(_)), "late copy: {outcome:?}");
}

/// An opening is refused as not run because all upstreams are full. A late copy must not run,
/// whichever agent it reaches, once an upstream has room.
#[rstest]
fn open_at_most_once_refused_opening() {
    let mut spec = Spec::new(WhenInDoubt::Refuse, 3);
    spec.max_flows = 0;
    let mut fleet = Fleet::settled(&spec);
    assert_eq!(fleet.send(0, flow(1), opening(1)), Outcome::Refused(Reason::AllFull));
    spec.max_flows = 2_000;
    spec.version = 2;
    (0..3).for_each(|index| fleet.install(index, &spec));
    fleet.advance(1_000);
    for to in 0..3 {
        let outcome = fleet.send(to, flow(1), opening(1));
        assert!(matches!(outcome, Outcome::Refused(_)), "copy at {to}: {outcome:?}");
    }
}

/// A claim request to a witness: the claimant, its incarnation, and the upstream that is to run the
/// opening, or `None` to refuse it.
const fn request(
    from: usize,
    incarnation: u64,
    claim: Option<usize>,
) -> (usize, u64, Option<usize>) {
    (from, incarnation, claim)
}

/// Two holders may claim one opening at the same time. A witness must answer each request according
/// to its earlier votes: if it granted both claims, the opening could run twice.
#[rstest]
#[case::first(&[request(1, 1, Some(1))], ClaimAnswer::Granted)]
#[case::repeated(&[request(1, 1, Some(1)), request(1, 1, Some(1))], ClaimAnswer::Granted)]
#[case::rival(
    &[request(1, 1, Some(1)), request(2, 1, Some(2))],
    ClaimAnswer::Taken(Claim::Run(id(1))),
)]
#[case::later_incarnation(
    &[request(1, 1, Some(1)), request(1, 2, Some(1))],
    ClaimAnswer::Taken(Claim::Run(id(1))),
)]
#[case::withdrawn(&[request(1, 1, Some(1)), request(1, 1, None)], ClaimAnswer::Granted)]
#[case::withdrawn_by_later_incarnation(
    &[request(1, 1, Some(1)), request(1, 2, None)],
    ClaimAnswer::Taken(Claim::Run(id(1))),
)]
#[case::refused_by_rival(
    &[request(1, 1, Some(1)), request(2, 1, None)],
    ClaimAnswer::Taken(Claim::Run(id(1))),
)]
#[case::run_after_refusal(
    &[request(1, 1, None), request(2, 1, Some(2))],
    ClaimAnswer::Taken(Claim::Refuse),
)]
#[case::two_refusals(&[request(1, 1, None), request(2, 1, None)], ClaimAnswer::Granted)]
#[case::for_another(&[request(1, 1, Some(2))], ClaimAnswer::Abstained)]
fn witness_at_most_once_answer(
    #[case] requests: &[(usize, u64, Option<usize>)],
    #[case] expected: ClaimAnswer,
) {
    let fleet = Fleet::settled(&Spec::new(WhenInDoubt::Refuse, 3));
    let mut agent = fleet.agents.into_iter().next().expect("an agent");
    assert_eq!(last_answer(&mut agent, fleet.now, requests), expected);
}

/// A restarted witness may have granted a claim that it no longer knows. It must abstain until no
/// copy of that opening can exist any more, or the opening could run twice.
#[rstest]
#[case::at_once(0, ClaimAnswer::Abstained)]
#[case::just_before(119_999, ClaimAnswer::Abstained)]
#[case::afterwards(120_000, ClaimAnswer::Granted)]
fn must_abstain_after_restart(#[case] after_ms: u64, #[case] expected: ClaimAnswer) {
    let spec = Spec::new(WhenInDoubt::Refuse, 3);
    let mut witness = agent(0, 2, true, spec.view(), Millis(5_000));
    let now = Millis(5_000).after(after_ms);
    assert_eq!(last_answer(&mut witness, now, &[request(1, 1, Some(1))]), expected);
}

/// Openings must still run while agents restart one after the other, as in every rollout. If
/// restarted witnesses did not recall their votes from the others, a service of three would stop
/// for two minutes after its second restart.
#[rstest]
#[case::three(3)]
#[case::seven(7)]
fn recall_rolling_restart(#[case] upstreams: usize) {
    let spec = Spec::new(WhenInDoubt::Refuse, upstreams);
    let mut fleet = Fleet::settled(&spec);
    for index in 0..upstreams {
        fleet.restart(index, &spec);
        fleet.advance(3_000);
        let outcome = fleet.send(index, flow(index as u64), opening(1));
        assert!(matches!(outcome, Outcome::Delivered(_)), "after {index}: {outcome:?}");
    }
}

/// One of the witnesses of an opening that has run restarts and recalls its votes. It must not vote
/// for a rival holder that claims the same opening, or the opening could run a second time.
#[test]
fn recall_keeps_vote() {
    let spec = Spec::new(WhenInDoubt::Refuse, 3);
    let mut fleet = Fleet::settled(&spec);
    let Outcome::Delivered(holder) = fleet.send(0, flow(1), opening(1)) else {
        panic!("the opening must run");
    };
    let (witness, rival) = ((holder + 1) % 3, (holder + 2) % 3);
    fleet.restart(witness, &spec);
    fleet.advance(3_000);
    let now = fleet.now;
    let requests = [request(rival, 1, Some(rival))];
    let answer = last_answer(&mut fleet.agents[witness], now, &requests);
    assert_eq!(answer, ClaimAnswer::Taken(Claim::Run(id(holder))));
}

/// A witness restarts while others are unresponsive. Of three, both others must have sent their
/// records: an unresponsive one may be the only one that knows of a claim that won with this
/// agent's vote.
#[rstest]
#[case::both_answer(3, &[], true)]
#[case::one_of_two_unresponsive(3, &[2], false)]
#[case::three_of_four_answer(5, &[4], true)]
#[case::two_of_four_unresponsive(5, &[3, 4], false)]
fn recall_quorum(#[case] upstreams: usize, #[case] unresponsive: &[usize], #[case] votes: bool) {
    let spec = Spec::new(WhenInDoubt::Refuse, upstreams);
    let mut fleet = Fleet::settled(&spec);
    fleet.restart(0, &spec);
    fleet.cut_off = unresponsive.to_vec();
    fleet.advance(10_000);
    let now = fleet.now;
    let answer = last_answer(&mut fleet.agents[0], now, &[request(1, 1, Some(1))]);
    assert_eq!(answer == ClaimAnswer::Granted, votes, "{answer:?}");
}

/// Two witnesses restart together. Neither may count the other's empty table as complete records.
#[test]
fn recall_from_forgetful_witness() {
    let spec = Spec::new(WhenInDoubt::Refuse, 3);
    let mut fleet = Fleet::settled(&spec);
    fleet.restart(0, &spec);
    fleet.restart(1, &spec);
    fleet.advance(10_000);
    let now = fleet.now;
    let answer = last_answer(&mut fleet.agents[0], now, &[request(1, 1, Some(1))]);
    assert_eq!(answer, ClaimAnswer::Abstained);
}

/// Two claims for one opening are on record, and the restarted witness cannot tell which of them
/// had its vote. It must vote for neither: with a vote for the wrong one, both could win.
#[test]
fn recall_disputed_opening() {
    let spec = Spec::new(WhenInDoubt::Refuse, 3);
    let mut fleet = Fleet::settled(&spec);
    let now = fleet.now;
    for (witness, claimant) in [(1, 2), (2, 1)] {
        last_answer(&mut fleet.agents[witness], now, &[request(claimant, 1, Some(claimant))]);
    }
    fleet.restart(0, &spec);
    fleet.advance(3_000);
    let now = fleet.now;
    for claimant in [1, 2] {
        let requests = [request(claimant, 1, Some(claimant))];
        let answer = last_answer(&mut fleet.agents[0], now, &requests);
        assert_eq!(answer, ClaimAnswer::Abstained);
    }
}

/// Two hosts of three are replaced within seconds under the same names. A late copy of an opening
/// that ran before must not find a majority among them. It did (fuzzing, seeds 518 and 553) when a
/// witness with a new upstream assumed that it had no previous incarnation.
#[test]
fn recall_replaced_hosts() {
    let spec = Spec::new(WhenInDoubt::Refuse, 3);
    let mut fleet = Fleet::settled(&spec);
    let Outcome::Delivered(holder) = fleet.send(0, flow(1), opening(1)) else {
        panic!("the opening must run");
    };
    for index in [holder, (holder + 1) % 3] {
        let incarnation = 2 + fleet.now.0;
        fleet.agents[index] = agent(index, incarnation, false, spec.view(), fleet.now);
    }
    fleet.advance(30_000);
    for to in 0..3 {
        let outcome = fleet.send(to, flow(1), opening(1));
        assert!(!matches!(outcome, Outcome::Delivered(_)), "at {to}: {outcome:?}");
    }
}

/// In a new service no witness has a previous incarnation, and openings must run after a second,
/// not after two minutes. A witness is not considered new if another one has seen a previous
/// incarnation of it.
#[rstest]
#[case::two(2)]
#[case::seven(7)]
fn recall_new_service(#[case] upstreams: usize) {
    let mut fleet = Fleet::started(&Spec::new(WhenInDoubt::Refuse, upstreams));
    fleet.advance(2_000);
    let outcome = fleet.send(0, flow(1), opening(1));
    assert!(matches!(outcome, Outcome::Delivered(_)), "{outcome:?}");
}

/// New settings reach the claimant before a witness that started a moment ago. If the witness
/// abstained, the majority and thus a datagram would be lost (lab --quick, seeds 21 to 23). It must
/// not reply until it has caught up, and then grant the claim.
#[test]
fn must_catch_up_newer_settings() {
    let mut spec = Spec::new(WhenInDoubt::Refuse, 3);
    let mut fleet = Fleet::started(&spec);
    fleet.advance(3_000);
    let message = Message::ClaimRequest {
        opening: Opening { flow: FlowId(flow(1)), nonce: 1 },
        claim: Claim::Run(id(1)),
        view: Version(2),
        incarnation: Incarnation(1),
    };
    let answers = |agent: &mut Agent, now: Millis| {
        let mut out = Vec::new();
        agent.handle(now, Event::Message { from: id(1), message: message.clone() }, &mut out);
        let reply = |action| match action {
            Action::Send { message: Message::ClaimReply { answer, .. }, .. } => Some(answer),
            _ => None,
        };
        out.into_iter().filter_map(reply).collect::<Vec<_>>()
    };
    let now = fleet.now;
    assert_eq!(answers(&mut fleet.agents[0], now), []);
    spec.version = 2;
    fleet.install(0, &spec);
    assert_eq!(answers(&mut fleet.agents[0], now), [ClaimAnswer::Granted]);
}

/// An operator restarts the agents of a service one by one and waits for each to be ready. An agent
/// that cannot vote yet is not: with the next one restarted as well, there would be no majority.
#[rstest]
#[case::refuse_restarted(WhenInDoubt::Refuse, 500, false)]
#[case::refuse_recalled(WhenInDoubt::Refuse, 3_000, true)]
#[case::admit_restarted(WhenInDoubt::Admit, 0, true)]
fn is_ready_after_restart(
    #[case] when_in_doubt: WhenInDoubt,
    #[case] after_ms: u64,
    #[case] ready: bool,
) {
    let spec = Spec::new(when_in_doubt, 3);
    let mut fleet = Fleet::settled(&spec);
    fleet.restart(1, &spec);
    fleet.advance(after_ms);
    assert_eq!(fleet.agents[1].is_ready(fleet.now), ready);
}

/// The whole service crashes and restarts at once, upstreams included, under settings that are not
/// its first. No agent knows which openings ran, so none may run while copies of them can
/// exist.
#[rstest]
#[case::soon(30_000, false)]
#[case::after_all_copies(125_000, true)]
fn recall_whole_service_replaced(#[case] after_ms: u64, #[case] runs: bool) {
    let mut spec = Spec::new(WhenInDoubt::Refuse, 3);
    spec.version = 4;
    let mut fleet = Fleet::started(&spec);
    fleet.advance(after_ms);
    let outcome = fleet.send(0, flow(1), opening(1));
    assert_eq!(matches!(outcome, Outcome::Delivered(_)), runs, "{outcome:?}");
}

/// All hosts of a service die and start anew while the settings that first listed them are in
/// force. To one another the agents look like those of a service that has just been created, but a
/// copy of an opening that ran before must neither run again nor be refused as not run (fuzzing,
/// episode 61200230).
#[rstest]
#[case::at_once(2_000)]
#[case::with_late_copies(15_000)]
#[case::before_claims_expire(115_000)]
fn recall_all_hosts_replaced_under_first_settings(#[case] elapsed_ms: u64) {
    let mut spec = Spec::new(WhenInDoubt::Refuse, 3);
    spec.transport = Transport::Udp;
    let mut fleet = Fleet::settled(&spec);
    let opened = fleet.send(0, flow(1), opening(1));
    assert!(matches!(opened, Outcome::Delivered(_)), "{opened:?}");
    for index in 0..3 {
        let incarnation = 2 + fleet.now.0;
        fleet.agents[index] = agent(index, incarnation, false, spec.view(), fleet.now);
    }
    fleet.advance(elapsed_ms);
    for to in 0..3 {
        let outcome = fleet.send(to, flow(1), opening(1));
        assert!(matches!(outcome, Outcome::Dropped(_)), "copy at {to}: {outcome:?}");
    }
}

/// One agent of a new service starts again right after the listing and knows nothing. The others
/// were up before and have all records, so it learns from them, and the service is not silent for
/// two minutes.
#[test]
fn recall_new_service_one_agent_restarted() {
    let spec = Spec::new(WhenInDoubt::Refuse, 3);
    let mut fleet = Fleet::started(&spec);
    fleet.agents[2] = agent(2, 2 + fleet.now.0, false, spec.view(), fleet.now);
    fleet.advance(3_000);
    for to in 0..3 {
        let outcome = fleet.send(to, flow(to as u64), opening(1));
        assert!(matches!(outcome, Outcome::Delivered(_)), "at {to}: {outcome:?}");
    }
}

/// A new agent under the name of one that a peer has met does not count as the first one, even if
/// it was up before the settings list that name again.
#[test]
fn recall_new_service_name_reused() {
    let spec = Spec::new(WhenInDoubt::Refuse, 3);
    let mut fleet = Fleet::settled(&spec);
    let Outcome::Delivered(holder) = fleet.send(0, flow(1), opening(1)) else {
        panic!("the opening must run");
    };
    for index in [holder, (holder + 1) % 3] {
        let mut new = agent(index, 2 + fleet.now.0, false, spec.view(), fleet.now);
        new.set_started_before_listing();
        fleet.agents[index] = new;
    }
    fleet.advance(30_000);
    for to in 0..3 {
        let outcome = fleet.send(to, flow(1), opening(1));
        assert!(matches!(outcome, Outcome::Dropped(_)), "copy at {to}: {outcome:?}");
    }
}

fn last_answer(
    agent: &mut Agent,
    now: Millis,
    requests: &[(usize, u64, Option<usize>)],
) -> ClaimAnswer {
    let opening = Opening { flow: FlowId(flow(1)), nonce: 1 };
    let mut last = None;
    for (from, incarnation, claim) in requests {
        let message = Message::ClaimRequest {
            opening,
            claim: claim.map_or(Claim::Refuse, |holder| Claim::Run(id(holder))),
            view: Version(1),
            incarnation: Incarnation(*incarnation),
        };
        let mut out = Vec::new();
        agent.handle(now, Event::Message { from: id(*from), message }, &mut out);
        last = out.into_iter().find_map(|action| match action {
            Action::Send { message: Message::ClaimReply { answer, .. }, .. } => Some(answer),
            _ => None,
        });
    }
    last.expect("an answer")
}

/// Upstreams are replaced, shut down, and stay listed as retired. Openings must still run: the old
/// membership needs no majority once most of its members have reported that they run newer settings
/// and its claims have had time to expire.
#[rstest]
#[case::at_once(1_000, false)]
#[case::after_ttl(125_000, true)]
fn outdated_membership_replaced_upstreams(#[case] elapsed_ms: u64, #[case] runs: bool) {
    let mut spec = Spec::new(WhenInDoubt::Refuse, 6);
    spec.listed[3..].fill((2, None));
    let mut fleet = Fleet::settled(&spec);
    spec.version = 2;
    for index in 0..3 {
        spec.listed[index].1 = Some(2);
        spec.states[index] = UpstreamState::Retired;
    }
    (0..6).for_each(|index| fleet.install(index, &spec));
    fleet.advance(500);
    fleet.cut_off = vec![0, 1, 2];
    fleet.advance(elapsed_ms);
    let outcome = fleet.send(4, flow(1), opening(1));
    assert_eq!(matches!(outcome, Outcome::Delivered(_)), runs, "{outcome:?}");
}

/// A claimant is paused after it has asked its witnesses, and resumes long after their
/// records of the grants have expired. The opening that it still holds must not run then.
#[rstest]
fn claim_by_quorum_paused_claimant() {
    let mut fleet = Fleet::settled(&Spec::new(WhenInDoubt::Refuse, 3));
    let holder = (0..3).find(|at| fleet.ranking(flow(1))[0] == *at).expect("a home");
    fleet.arrive(holder, packet(flow(1), opening(1)));
    let grants: Vec<_> = std::mem::take(&mut fleet.messages).into_iter().collect();
    fleet.now = fleet.now.after(600_000);
    fleet.messages.extend(grants);
    fleet.deliver_messages();
    fleet.advance(1_000);
    assert_eq!(fleet.holder(flow(1)), None);
}

/// One more upstream is listed shortly after the service has started, so that for some milliseconds
/// no witness has all records. A datagram that arrives then must be delivered: if the witnesses
/// abstained, it would not run, and the caller never sends it again.
#[rstest]
#[case::added(&[], 5)]
#[case::replaced(&[3], 5)]
fn is_catching_up_datagram_during_change(#[case] retired: &[usize], #[case] upstreams: usize) {
    let mut spec =
        Spec { transport: Transport::Udp, ..Spec::new(WhenInDoubt::Refuse, upstreams - 1) };
    let mut fleet = Fleet::started(&spec);
    fleet.advance(4_000);
    spec.version = 2;
    spec.states.push(UpstreamState::Active);
    spec.listed.push((2, None));
    for index in retired {
        spec.states[*index] = UpstreamState::Retired;
        spec.listed[*index].1 = Some(2);
    }
    fleet.agents.push(agent(upstreams - 1, 1, false, spec.view(), fleet.now));
    for index in 0..upstreams - 1 {
        fleet.handle_event(index, Event::View(spec.view()));
    }
    for number in 0..20 {
        let newer = Packet { view: Version(2), ..packet(flow(number), opening(1)) };
        let outcome = fleet.send_packet(number as usize % 3, newer);
        assert!(matches!(outcome, Outcome::Delivered(_)), "{number}: {outcome:?}");
    }
}
