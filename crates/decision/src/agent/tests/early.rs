//! Openings of services that admit when in doubt.

use rstest::rstest;

use super::*;

/// What happens before the opening arrives at the agent of the given rank.
#[derive(Clone, Copy, Debug)]
enum Setup {
    /// The same opening came to the agent of this rank.
    Copy(usize),
    /// The caller closed the flow and uses its ports again.
    Closed,
    /// The agent of this rank is draining.
    Draining(usize),
    /// The agent of this rank is silent for long enough to be suspected.
    Unresponsive(usize),
    /// Newer settings reach only the agent of this rank.
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

/// The caller's SYN, and a copy of it by way of another balancer, get one answer from one
/// upstream. Whatever changed between the two, both copies lead to the same holder.
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

/// A tablet opens a feed. Its home is draining, cold, or full: another upstream takes it, and no
/// opening reaches the one that wants none, whoever had promised it before.
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

/// All upstreams are full: the caller is told at once, and a copy of the same SYN as well.
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

/// The caller's SYN was admitted by a stand-in while its home was paused or cut off. A copy of it
/// reaches the home just as that is back and has heard nothing yet. The home asks before it
/// admits, so the caller's flow is not split over two upstreams.
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

/// Both agents begin to drain, and neither has heard it of the other yet. An opening that is assigned to
/// one goes to the other and comes back. The caller is refused at once; before, each copy of the
/// opening ran between the two until its hops were used up (fuzzing, seeds 6 and 132).
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

/// Feeds are opened through the second rank, whose own upstream drains, while their home is down, and
/// reset. The home is back, the ports are used again, and a balancer that has not heard of it still
/// goes to the second rank, which passes the openings to the home but remembers the old feeds. The next
/// packets must not follow that: an old upstream would reset a new feed.
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

/// A home claims an opening for its own upstream and is paused while it waits for former homes. Meanwhile the
/// upstream begins to drain, and the settings that say so are the first thing that it takes in on waking.
/// The packet that it still holds goes to an upstream that stays.
#[test]
fn reconsider_after_pause_upstream_drains() {
    let mut spec = Spec::new(WhenInDoubt::Admit, 3);
    let mut fleet = Fleet::started(&spec);
    fleet.advance(2_000);
    let home = fleet.ranking(flow(1))[0];
    fleet.arrive(home, packet(flow(1), opening(1)));
    assert_eq!(fleet.held.len(), 1, "it waits for former homes");
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
