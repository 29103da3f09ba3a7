//! Recovery of flows after restarts of holders, homes and several agents at different times.

use rstest::rstest;

use super::*;

/// Agents restart in the given order while flows are open. Every flow must stay at the upstream
/// that holds it, whichever agent its packets reach.
#[rstest]
#[case::one(&[0], 2_000)]
#[case::one_at_once(&[0], 0)]
#[case::two_in_turn(&[0, 1], 7_000)]
#[case::all_in_turn(&[0, 1, 2, 3, 4], 7_000)]
#[case::one_twice(&[2, 2], 7_000)]
fn relearn_keeps_flows(#[case] restarts: &[usize], #[case] apart_ms: u64) {
    let spec = Spec::new(WhenInDoubt::Admit, 5);
    let mut fleet = Fleet::settled(&spec);
    let opened: Vec<Outcome> =
        (0..300).map(|number| fleet.send(0, flow(number), opening(1))).collect();
    fleet.advance(1_000);
    for index in restarts {
        fleet.restart(*index, &spec);
        fleet.advance(apart_ms);
    }
    for (number, outcome) in (0..).zip(&opened) {
        let to = number as usize % 5;
        assert_eq!(fleet.send(to, flow(number), PacketKind::Middle), *outcome, "{number}");
    }
}

/// An agent crashes before it has announced a flow. Every other agent denies the flow, so only the
/// restarted one can hold it and must adopt it.
#[rstest]
fn adopt_unannounced_flow() {
    let spec = Spec::new(WhenInDoubt::Admit, 3);
    let mut fleet = Fleet::settled(&spec);
    let home = fleet.ranking(flow(1))[0];
    let opened = fleet.send(home, flow(1), opening(1));
    assert_eq!(opened, Outcome::Delivered(home));
    fleet.restart(home, &spec);
    fleet.advance(2_000);
    let other = (home + 1) % 3;
    assert_eq!(fleet.send(other, flow(1), PacketKind::Middle), opened);
    assert!(fleet.timeline.contains(&(home, TimelineEntry::Adopted(FlowId(flow(1))))));
}

/// The caller has closed a flow, but the last part of the answer is still in transit when the agent
/// restarts. The caller's acknowledgements must still reach the upstream.
#[rstest]
fn relearn_finishing_flow() {
    let spec = Spec::new(WhenInDoubt::Admit, 4);
    let mut fleet = Fleet::settled(&spec);
    let opened = fleet.send(0, flow(1), opening(1));
    assert_eq!(fleet.send(0, flow(1), PacketKind::Finish), opened);
    fleet.advance(1_000);
    let holder = fleet.holder(flow(1)).expect("a holder");
    fleet.restart(holder, &spec);
    fleet.advance(70_000);
    assert_eq!(fleet.send((holder + 1) % 4, flow(1), PacketKind::Middle), opened);
}

/// A leaving agent must announce its flows before it ends. Its buckets move to the next rank, and
/// its flows are found as before.
#[rstest]
fn handover_leaving_agent() {
    let spec = Spec::new(WhenInDoubt::Admit, 4);
    let mut fleet = Fleet::settled(&spec);
    let opened: Vec<Outcome> =
        (0..200).map(|number| fleet.send(0, flow(number), opening(1))).collect();
    fleet.handle_event(2, Event::Leave);
    fleet.deliver_messages();
    fleet.advance(500);
    assert!(fleet.agents[2].is_handed_over());
    for (number, outcome) in (0..).zip(&opened) {
        assert_eq!(fleet.send(0, flow(number), PacketKind::Middle), *outcome, "{number}");
    }
    for number in 200..300 {
        let outcome = fleet.send(2, flow(number), opening(1));
        assert!(matches!(outcome, Outcome::Delivered(at) if at != 2), "{outcome:?}");
    }
}

/// The holder's agent is down, and both agents to which it announced its flows restart one after
/// the other. The one that restarts second must have reported the flows to the first, or the
/// holder's agent could not recover them once it is back.
#[rstest]
fn relearn_entrusted_flows() {
    let spec = Spec::new(WhenInDoubt::Admit, 4);
    let mut fleet = Fleet::settled(&spec);
    let opened = fleet.send(0, flow(1), opening(1));
    fleet.advance(1_000);
    let holder = fleet.holder(flow(1)).expect("a holder");
    fleet.cut_off.push(holder);
    fleet.advance(8_000);
    for witness in (0..4).filter(|index| *index != holder) {
        fleet.restart(witness, &spec);
        fleet.advance(3_000);
    }
    fleet.restart(holder, &spec);
    fleet.cut_off.clear();
    fleet.advance(3_000);
    assert_eq!(fleet.send((holder + 1) % 4, flow(1), PacketKind::Middle), opened);
}

/// A host crashes, and its upstream restarts without its previous flows. Its agent then restarts
/// beside it. Peers must not report the lost flows, which would count as open for a day.
#[rstest]
fn relearn_flows_of_failed_upstream() {
    let spec = Spec::new(WhenInDoubt::Admit, 3);
    let mut fleet = Fleet::settled(&spec);
    fleet.send(0, flow(1), opening(1));
    fleet.advance(1_000);
    let holder = fleet.holder(flow(1)).expect("a holder");
    let incarnation = 2 + fleet.now.0;
    fleet.agents[holder] = agent(holder, incarnation, false, spec.view(), fleet.now);
    fleet.advance(2_000);
    fleet.restart(holder, &spec);
    fleet.advance(2_000);
    assert_eq!(fleet.agents[holder].open_flows(), 0);
}

/// A home assigns a flow to an upstream, and the packet is lost. The upstream takes and announces
/// other flows. When its agent restarts, the home must not report the lost one, which would count
/// as open for a day.
#[rstest]
fn relearn_assigned_flow_never_delivered() {
    let spec = Spec::new(WhenInDoubt::Admit, 3);
    let mut fleet = Fleet::settled(&spec);
    let assigned = |fleet: &Fleet| {
        let entries = fleet.timeline.iter();
        entries
            .filter(|(at, entry)| *at == 0 && matches!(entry, TimelineEntry::Assigned { .. }))
            .count()
    };
    let is_home = |fleet: &Fleet, number: &u64| fleet.ranking(flow(*number))[0] == 0;
    let flows: Vec<u64> = (0..400).filter(|number| is_home(&fleet, number)).map(flow).collect();
    fleet.cut_off = vec![1, 2];
    let lost = flows[..40].iter().filter(|flow| fleet.send(0, **flow, opening(1)) == Outcome::Lost);
    assert!(lost.count() > 5 && assigned(&fleet) > 5);
    fleet.cut_off.clear();
    fleet.advance(2_000);
    let opened: Vec<Outcome> =
        flows[40..].iter().map(|flow| fleet.send(0, *flow, opening(1))).collect();
    fleet.advance(1_000);
    let held = opened.iter().filter(|outcome| **outcome == Outcome::Delivered(1)).count();
    assert!(held > 0);
    fleet.restart(1, &spec);
    fleet.advance(2_000);
    assert_eq!(fleet.agents[1].open_flows(), held);
}

/// An agent that is neither home nor second rank has found a flow by a lookup, and is not notified
/// of its end. When the holder's agent restarts, this agent must not report the flow.
#[rstest]
fn relearn_looked_up_flow_ended() {
    let spec = Spec::new(WhenInDoubt::Admit, 6);
    let mut fleet = Fleet::settled(&spec);
    let opened = fleet.send(0, flow(1), opening(1));
    fleet.advance(1_000);
    let holder = fleet.holder(flow(1)).expect("a holder");
    for index in 0..6 {
        assert_eq!(fleet.send(index, flow(1), PacketKind::Middle), opened);
    }
    assert_eq!(fleet.send(holder, flow(1), PacketKind::Reset), opened);
    fleet.advance(1_000);
    fleet.restart(holder, &spec);
    fleet.advance(2_000);
    assert_eq!(fleet.agents[holder].open_flows(), 0);
}

/// A holder restarts twice, and its flow ends in between. The second incarnation does not know to
/// which peers the first one announced the flow, so it must announce the end to all. One that
/// missed it would report the flow to the third incarnation, which would count it for a day.
#[test]
fn announce_end_relearned_flow() {
    let spec = Spec::new(WhenInDoubt::Admit, 5);
    let mut fleet = Fleet::settled(&spec);
    let home = fleet.ranking(flow(1))[0];
    assert_eq!(fleet.send(home, flow(1), opening(1)), Outcome::Delivered(home));
    fleet.advance(1_000);
    let second = fleet.ranking(flow(1))[1];
    // While the second rank is cut off, the flow is announced to the third, which keeps its record.
    fleet.cut_off = vec![second];
    fleet.advance(3_000);
    fleet.restart(home, &spec);
    fleet.cut_off.clear();
    fleet.advance(3_000);
    let ended = fleet.send(home, flow(1), PacketKind::Finish);
    assert_eq!(ended, Outcome::Delivered(home));
    fleet.advance(5_000);
    fleet.restart(home, &spec);
    fleet.advance(3_000);
    assert_eq!(fleet.agents[home].open_flows(), 0);
}

/// A flow ends just before the process of a leaving agent does. Its peers must be notified at once:
/// the next batch would be too late, and the next incarnation would count the flow as open for a
/// day.
#[test]
fn announce_end_while_leaving() {
    let spec = Spec::new(WhenInDoubt::Admit, 3);
    let mut fleet = Fleet::settled(&spec);
    let home = fleet.ranking(flow(1))[0];
    assert_eq!(fleet.send(home, flow(1), opening(1)), Outcome::Delivered(home));
    fleet.advance(1_000);
    fleet.handle_event(home, Event::Leave);
    fleet.deliver_messages();
    fleet.advance(3_000);
    let other = (home + 1) % 3;
    assert_eq!(fleet.send(other, flow(1), PacketKind::Finish), Outcome::Delivered(home));
    fleet.restart(home, &spec);
    fleet.advance(3_000);
    assert_eq!(fleet.agents[home].open_flows(), 0);
}

/// A home has assigned a flow to an upstream that never announced it. An agent that ran on for
/// seconds would have announced the flow, so after its restart the home must not report it. If the
/// agent crashed at once, the home may be the only one that knows the flow, and must report it.
#[rstest]
#[case::survived_deadline(3_000, 0)]
#[case::died_at_once(0, 1)]
fn relearn_assigned_flow_unannounced(#[case] survives_ms: u64, #[case] relearned: usize) {
    let spec = Spec::new(WhenInDoubt::Admit, 3);
    let mut fleet = Fleet::settled(&spec);
    let is_home = |fleet: &Fleet, number: &u64| fleet.ranking(flow(*number))[0] == 0;
    let flows: Vec<u64> = (0..400).filter(|number| is_home(&fleet, number)).map(flow).collect();
    fleet.cut_off = vec![1, 2];
    let assigned_to_1 = |fleet: &Fleet| {
        let assigned = |entry: &TimelineEntry| matches!(entry, TimelineEntry::Assigned { to, .. } if *to == id(1));
        fleet.timeline.iter().filter(|(at, entry)| *at == 0 && assigned(entry)).count()
    };
    for flow in flows {
        if assigned_to_1(&fleet) == 0 {
            fleet.send(0, flow, opening(1));
        }
    }
    assert_eq!(assigned_to_1(&fleet), 1);
    fleet.cut_off.clear();
    fleet.advance(survives_ms);
    fleet.restart(1, &spec);
    fleet.advance(3_000);
    assert_eq!(fleet.agents[1].open_flows(), relearned);
}

/// An upstream has answered single-datagram requests, and its agent restarts. The peers still know
/// these requests, but they are over. If they counted as open, the upstream would be full and
/// refuse all others.
#[test]
fn relearn_answered_datagrams() {
    let mut spec = Spec::new(WhenInDoubt::Refuse, 3);
    spec.transport = Transport::Udp;
    spec.max_flows = 3;
    let mut fleet = Fleet::settled(&spec);
    let outcomes: Vec<Outcome> =
        (0..9).map(|number| fleet.send(0, flow(number), opening(1))).collect();
    assert!(outcomes.iter().all(|outcome| matches!(outcome, Outcome::Delivered(_))));
    fleet.advance(1_000);
    for index in 0..3 {
        fleet.restart(index, &spec);
        fleet.advance(2_500);
    }
    fleet.advance(20_000);
    let outcome = fleet.send(0, flow(10), opening(1));
    assert!(matches!(outcome, Outcome::Delivered(_)), "{outcome:?}");
}

/// Flows end just before their agent crashes, and its peers, which have not noticed, report them to
/// the next incarnation. Once two reports show that the upstream has room, the agent must accept
/// new flows again; otherwise it would refuse them for a day.
#[rstest]
#[case::ended_unseen(0, true)]
#[case::still_open(3, false)]
fn relearn_flows_ended_unseen(#[case] open_flows: u32, #[case] accepts: bool) {
    let mut spec = Spec::new(WhenInDoubt::Admit, 2);
    spec.max_flows = 3;
    let mut fleet = Fleet::settled(&spec);
    for number in 0..6 {
        fleet.send(0, flow(number), opening(1));
    }
    fleet.advance(1_000);
    for index in 0..2 {
        fleet.restart(index, &spec);
        fleet.advance(15_000);
    }
    for _ in 0..2 {
        for index in 0..2 {
            fleet.handle_event(index, Event::Upstream(UpstreamReport { open_flows, ..report() }));
        }
        fleet.advance(1_000);
    }
    let outcome = fleet.send(0, flow(10), opening(1));
    assert_eq!(matches!(outcome, Outcome::Delivered(_)), accepts, "{outcome:?}");
}

/// Agents of a service that takes TCP and datagrams and refuses when in doubt restart one after the
/// other or two at once. Relearning must not be skipped, as it is for a service of datagrams only,
/// or its TCP flows hang at every restarted agent.
#[rstest]
#[case::all_in_turn(&[0, 1, 2, 3, 4])]
#[case::two_at_once(&[0, 1])]
fn relearn_service_with_both_protocols(#[case] restarts: &[usize]) {
    let spec = Spec { both_protocols: true, ..Spec::new(WhenInDoubt::Refuse, 5) };
    let mut fleet = Fleet::settled(&spec);
    let opened: Vec<Outcome> =
        (0..100).map(|number| fleet.send(0, flow(number), opening(1))).collect();
    fleet.advance(1_000);
    for index in restarts {
        fleet.restart(*index, &spec);
        fleet.advance(if restarts.len() == 2 { 0 } else { 7_000 });
    }
    fleet.advance(3_000);
    for (number, outcome) in (0..).zip(&opened) {
        let to = number as usize % 5;
        assert_eq!(fleet.send(to, flow(number), PacketKind::Middle), *outcome, "{number}");
    }
}

/// A retired upstream is gone but still listed, and never acknowledges the end of a relearned flow,
/// which is announced to every peer. Without a bound, the same batch would be sent to it every two
/// seconds until the operators remove it from the settings.
#[test]
fn announce_to_retired_peer_stops() {
    let mut spec = Spec::new(WhenInDoubt::Admit, 4);
    let mut fleet = Fleet::settled(&spec);
    let (home, gone) = (fleet.ranking(flow(1))[0], fleet.ranking(flow(1))[3]);
    assert_eq!(fleet.send(home, flow(1), opening(1)), Outcome::Delivered(home));
    fleet.advance(1_000);
    spec.version = 2;
    spec.states[gone] = UpstreamState::Retired;
    spec.listed[gone].1 = Some(2);
    (0..4).for_each(|index| fleet.install(index, &spec));
    fleet.cut_off = vec![gone];
    fleet.restart(home, &spec);
    fleet.advance(3_000);
    assert_eq!(fleet.send(home, flow(1), PacketKind::Finish), Outcome::Delivered(home));
    fleet.advance(70_000);
    let mut out = Vec::new();
    for _ in 0..100 {
        fleet.now = fleet.now.after(MAX_TICK_INTERVAL_MS);
        fleet.agents[home].handle(fleet.now, Event::Tick, &mut out);
    }
    let announced = out.iter().any(|action| {
        matches!(action, Action::Send { to, message: Message::Announce { .. } } if *to == id(gone))
    });
    assert!(!announced);
}
