//! Openings of services that admit when in doubt.

use rstest::rstest;

use super::*;

/// What happens before the opening under test arrives. Ranks are those of its flow.
#[derive(Clone, Copy, Debug)]
enum Setup {
    /// A copy of the opening has reached the agent of this rank.
    Copy(usize),
    /// The caller has closed an earlier flow on the same ports.
    Closed,
    /// The agent of this rank is draining.
    Draining(usize),
    /// The agent of this rank has been unresponsive for long enough to be suspected.
    Unresponsive(usize),
    /// Newer settings have reached only the agent of this rank.
    NewerSettings(usize),
}

fn prepare(fleet: &mut Fleet, spec: &Spec, setup: Setup) {
    let ranking = fleet.ranking(flow(3));
    match setup {
        Setup::Copy(rank) => {
            fleet.send(ranking[rank], flow(3), opening(1));
        }
        Setup::Closed => {
            fleet.send(ranking[0], flow(3), opening(9));
            fleet.send(ranking[0], flow(3), PacketKind::Finish);
        }
        Setup::Draining(rank) => {
            let report = UpstreamReport { draining: true, ..report() };
            fleet.handle_event(ranking[rank], Event::Upstream(report));
            fleet.deliver_messages();
        }
        Setup::Unresponsive(rank) => {
            fleet.cut_off.push(ranking[rank]);
            fleet.advance(3_000);
        }
        Setup::NewerSettings(rank) => {
            let mut newer = spec.clone();
            newer.version = 2;
            fleet.install(ranking[rank], &newer);
        }
    }
}

/// Copies of one SYN may arrive through different balancers. They must reach the same holder
/// whatever changes in between, or two upstreams would answer the caller.
#[rstest]
#[case::no_change(&[], 0, 0)]
#[case::other_agent(&[], 0, 3)]
#[case::earlier_copy_at_another_agent(&[Setup::Copy(2)], 1, 0)]
#[case::ports_reused(&[Setup::Closed], 0, 1)]
#[case::home_draining(&[Setup::Draining(0)], 0, 1)]
#[case::home_unresponsive(&[Setup::Unresponsive(0)], 1, 2)]
#[case::home_unresponsive_after_copy(&[Setup::Copy(0), Setup::Unresponsive(0)], 1, 2)]
#[case::newer_view_at_home(&[Setup::NewerSettings(0)], 1, 0)]
#[case::newer_view_at_another_agent(&[Setup::NewerSettings(1)], 1, 0)]
fn open_optimistically_copies_reach_one_holder(
    #[case] setup: &[Setup],
    #[case] first: usize,
    #[case] second: usize,
) {
    let spec = Spec::new(WhenInDoubt::Admit, 5);
    let mut fleet = Fleet::settled(&spec);
    setup.iter().for_each(|step| prepare(&mut fleet, &spec, *step));
    let ranking = fleet.ranking(flow(3));
    let one = fleet.send(ranking[first], flow(3), opening(1));
    let other = fleet.send(ranking[second], flow(3), opening(1));
    assert_eq!(one, other);
    let lost = setup.iter().any(|step| matches!(step, Setup::Unresponsive(_)));
    assert!(lost || matches!(one, Outcome::Delivered(_)), "{one:?}");
}

/// An upstream that is draining, shedding load or unhealthy must get no opening, whether its own
/// agent or another one is the home. Another upstream takes the opening.
#[rstest]
#[case::draining(UpstreamReport { draining: true, ..report() })]
#[case::shedding(UpstreamReport { shedding: true, ..report() })]
#[case::unhealthy(UpstreamReport { healthy: false, ..report() })]
fn open_optimistically_home_not_accepting(#[case] not_accepting: UpstreamReport) {
    let mut fleet = Fleet::settled(&Spec::new(WhenInDoubt::Admit, 4));
    for number in 0..200 {
        fleet.handle_event(0, Event::Upstream(not_accepting));
        fleet.deliver_messages();
        let home = fleet.ranking(flow(number))[0];
        let outcome = fleet.send(home, flow(number), opening(1));
        assert!(matches!(outcome, Outcome::Delivered(at) if at != 0), "{number}: {outcome:?}");
    }
}

/// If all upstreams are full, the caller must be refused at once, and so must a copy of the same
/// SYN.
#[rstest]
fn open_optimistically_all_full() {
    let mut spec = Spec::new(WhenInDoubt::Admit, 2);
    spec.max_flows = 3;
    let mut fleet = Fleet::settled(&spec);
    let outcomes: Vec<Outcome> =
        (0..8).map(|number| fleet.send(0, flow(number), opening(1))).collect();
    let delivered = outcomes.iter().filter(|outcome| matches!(outcome, Outcome::Delivered(_)));
    assert_eq!(delivered.count(), 6);
    assert_eq!(outcomes[7], Outcome::Refused(Reason::AllFull));
    assert_eq!(fleet.send(1, flow(7), opening(1)), Outcome::Refused(Reason::Tombstone));
}

/// Another agent has admitted the caller's SYN while the home was paused or cut off. A copy reaches
/// the home just after its return. The home must ask before it admits, or the flow would be split
/// over two upstreams.
#[rstest]
#[case::paused(true)]
#[case::cut_off(false)]
fn open_optimistically_home_back(#[case] paused: bool) {
    let mut fleet = Fleet::settled(&Spec::new(WhenInDoubt::Admit, 3));
    let ranking = fleet.ranking(flow(5));
    fleet.cut_off.push(ranking[0]);
    fleet.paused.extend(paused.then_some(ranking[0]));
    fleet.advance(3_000);
    let admitted = fleet.send(ranking[1], flow(5), opening(1));
    fleet.cut_off.clear();
    fleet.paused.clear();
    assert_eq!(fleet.send(ranking[0], flow(5), opening(1)), admitted);
}

/// Two agents begin to drain, and neither knows it of the other yet, so each passes an opening to
/// the other. The caller must be refused at once. Otherwise each copy loops until its hops are used
/// up (found by fuzzing, seeds 6 and 132).
#[test]
fn reassign_returned_both_draining() {
    let mut fleet = Fleet::settled(&Spec::new(WhenInDoubt::Admit, 2));
    fleet.cut_off = vec![0, 1];
    for index in 0..2 {
        fleet.handle_event(index, Event::Upstream(UpstreamReport { draining: true, ..report() }));
    }
    fleet.cut_off.clear();
    let assigned =
        Packet { forwarding: Forwarding::Assigned, hops: 1, ..packet(flow(1), opening(1)) };
    assert_eq!(fleet.send_packet(0, assigned), Outcome::Refused(Reason::AllFull));
}

/// While the home is down, flows are opened through the second rank and reset. Later their ports
/// are reused, still through the second rank, which passes the openings to the home. It must not
/// follow its redirects to the old holders, since an old upstream would reset the new flow.
#[rstest]
#[case::home_just_back(3_000)]
#[case::home_back_for_longer(12_000)]
fn forget_closing_reused_ports(#[case] back_ms: u64) {
    let mut spec = Spec::new(WhenInDoubt::Admit, 7);
    spec.states[1] = UpstreamState::Draining;
    let mut fleet = Fleet::settled(&spec);
    let ranks = |fleet: &Fleet, flow: u64| fleet.ranking(flow).starts_with(&[0, 1]);
    let flows: Vec<u64> = (0..2_000).map(flow).filter(|flow| ranks(&fleet, *flow)).collect();
    assert!(flows.len() > 20, "{}", flows.len());
    fleet.cut_off.push(0);
    fleet.advance(3_000);
    for flow in &flows {
        let old = fleet.send(1, *flow, opening(1));
        assert_eq!(fleet.send(1, *flow, PacketKind::Middle), old, "{flow}");
        assert_eq!(fleet.send(1, *flow, PacketKind::Reset), old, "{flow}");
    }
    fleet.cut_off.clear();
    fleet.advance(back_ms);
    for flow in &flows {
        let new = fleet.send(1, *flow, opening(2));
        assert!(matches!(new, Outcome::Delivered(_)), "{flow}: {new:?}");
        assert_eq!(fleet.send(1, *flow, PacketKind::Middle), new, "{flow}");
    }
}

/// A home that claims an opening for its own upstream is paused while it waits for former homes.
/// When it resumes, it first receives settings by which that upstream drains. The held packet must
/// go to another upstream.
#[test]
fn reconsider_after_pause_upstream_drains() {
    let mut spec = Spec::new(WhenInDoubt::Admit, 3);
    let mut fleet = Fleet::started(&spec);
    fleet.advance(2_000);
    let home = fleet.ranking(flow(1))[0];
    fleet.arrive(home, packet(flow(1), opening(1)));
    assert_eq!(fleet.held.len(), 1, "the opening must wait for the former homes");
    fleet.messages.clear();
    fleet.paused = vec![home];
    fleet.cut_off = vec![home];
    fleet.advance(4_000);
    fleet.paused.clear();
    fleet.cut_off.clear();
    spec.version = 2;
    spec.states[home] = UpstreamState::Draining;
    (0..3).for_each(|index| fleet.install(index, &spec));
    fleet.advance(1_000);
    assert!(fleet.outcomes.iter().all(|outcome| *outcome != Outcome::Delivered(home)));
    assert!(matches!(fleet.outcomes[0], Outcome::Delivered(_)), "{:?}", fleet.outcomes);
}
