//! Planned shutdowns: what a leaving agent hands over, and whether its next incarnation knows all
//! flows.

use rstest::rstest;

use super::*;

/// A planned restart must not leave an agent with possibly unknown flows. Otherwise, if another
/// agent crashed before it announced a flow, either might hold it, and its packets would be dropped
/// for a minute.
#[rstest]
#[case::planned(true, false)]
#[case::crashed(false, true)]
fn may_hold_unknown_flows_only_after_crash(#[case] leaves: bool, #[case] incomplete: bool) {
    let spec = Spec::new(WhenInDoubt::Admit, 4);
    let mut fleet = Fleet::settled(&spec);
    (0..50).for_each(|number| {
        fleet.send(0, flow(number), opening(1));
    });
    fleet.advance(1_000);
    if leaves {
        fleet.leave(2);
    }
    fleet.restart(2, &spec);
    fleet.advance(500);
    assert_eq!(fleet.agents[2].stats(fleet.now).may_hold_unknown_flows, incomplete);
}

/// A holder crashes before it has announced a flow, while another agent restarts as planned. Only
/// the holder may have unknown flows, so it must adopt the flow.
#[rstest]
fn adopt_unannounced_flow_beside_planned_restart() {
    let spec = Spec::new(WhenInDoubt::Admit, 4);
    let mut fleet = Fleet::settled(&spec);
    let home = fleet.ranking(flow(1))[0];
    let other = (home + 1) % 4;
    fleet.handle_event(other, Event::Leave);
    fleet.deliver_messages();
    fleet.advance(300);
    let opened = fleet.send(home, flow(1), opening(1));
    assert_eq!(opened, Outcome::Delivered(home));
    fleet.restart(home, &spec);
    fleet.restart(other, &spec);
    fleet.advance(2_000);
    assert_eq!(fleet.send(home, flow(1), PacketKind::Middle), opened);
}

/// An agent that may hold unknown flows is shut down. It must not hand over, and its next
/// incarnation may hold unknown flows as well.
#[rstest]
fn send_handover_incomplete_state() {
    let spec = Spec::new(WhenInDoubt::Admit, 4);
    let mut fleet = Fleet::settled(&spec);
    fleet.restart(2, &spec);
    fleet.advance(1_000);
    fleet.leave(2);
    fleet.restart(2, &spec);
    fleet.advance(500);
    assert!(fleet.agents[2].stats(fleet.now).may_hold_unknown_flows);
}

/// A holder crashes, and the only agent to which it had announced a flow shuts down as planned.
/// That agent must hand the flow over, or no agent would know it.
#[rstest]
fn handover_flows_of_unresponsive_agent() {
    let spec = Spec::new(WhenInDoubt::Admit, 4);
    let mut fleet = Fleet::settled(&spec);
    let ranking = fleet.ranking(flow(1));
    let (holder, informed, uninformed) = (ranking[0], ranking[1], ranking[2]);
    fleet.cut_off.push(uninformed);
    let opened = fleet.send(holder, flow(1), opening(1));
    fleet.advance(300);
    fleet.cut_off = vec![holder];
    fleet.advance(3_000);
    fleet.leave(informed);
    fleet.restart(informed, &spec);
    fleet.advance(1_000);
    fleet.restart(holder, &spec);
    fleet.cut_off.clear();
    fleet.advance(1_000);
    assert_eq!(fleet.holder(flow(1)), Some(holder));
    assert_eq!(fleet.send(uninformed, flow(1), PacketKind::Middle), opened);
}

/// An opening is assigned to an agent and lost in transit, and the agent shuts down as planned. Its
/// next incarnation must not count the opening as a flow.
#[rstest]
fn relearn_assigned_opening_lost_before_shutdown() {
    let spec = Spec::new(WhenInDoubt::Admit, 3);
    let mut fleet = Fleet::settled(&spec);
    let home = fleet.ranking(flow(1))[0];
    let at_home = (0..200).map(flow).filter(|flow| fleet.ranking(*flow)[0] == home);
    let flows: Vec<u64> = at_home.collect();
    fleet.cut_off = (0..3).filter(|index| *index != home).collect();
    let lost = flows.iter().find(|flow| fleet.send(home, **flow, opening(1)) == Outcome::Lost);
    assert!(lost.is_some(), "no opening was assigned to another agent");
    let assigned = fleet.timeline.iter().find_map(|(_, entry)| match entry {
        TimelineEntry::Assigned { to, .. } => Some(*to),
        _ => None,
    });
    let holder = fleet.index(assigned.expect("an assigned opening"));
    fleet.cut_off.clear();
    fleet.handle_event(holder, Event::Leave);
    fleet.deliver_messages();
    fleet.advance(300);
    fleet.restart(holder, &spec);
    fleet.advance(2_000);
    assert_eq!(fleet.agents[holder].open_flows(), 0);
}

/// A flow ends that its agent has adopted without a record of its opening. Peers that know the
/// opening from a previous incarnation must remove it, or they would report the flow at the next
/// restart.
#[rstest]
fn announce_end_adopted_flow() {
    let spec = Spec::new(WhenInDoubt::Admit, 3);
    let mut fleet = Fleet::settled(&spec);
    let home = fleet.ranking(flow(1))[0];
    fleet.send(home, flow(1), opening(1));
    fleet.advance(1_000);
    fleet.restart(home, &spec);
    fleet.send(home, flow(1), PacketKind::Middle);
    fleet.send(home, flow(1), PacketKind::Finish);
    assert_eq!(open_flows_after_restart(&mut fleet, home, &spec), 0);
}

/// A caller opens a flow on the ports of one whose end was lost. Peers to which a previous
/// incarnation announced the old flow must learn of its end, or they would report it at the next
/// restart.
#[rstest]
fn announce_end_replaced_flow() {
    let spec = Spec::new(WhenInDoubt::Refuse, 4);
    let mut fleet = Fleet::settled(&spec);
    fleet.advance(125_000);
    let ranking = fleet.ranking(flow(1));
    let (home, third) = (ranking[0], ranking[3]);
    fleet.send(home, flow(1), opening(1));
    fleet.advance(1_000);
    fleet.cut_off.push(home);
    fleet.advance(3_000);
    fleet.restart(third, &spec);
    fleet.advance(1_000);
    fleet.cut_off.clear();
    fleet.restart(home, &spec);
    fleet.advance(125_000);
    fleet.send(home, flow(1), opening(2));
    fleet.send(home, flow(1), PacketKind::Finish);
    assert_eq!(open_flows_after_restart(&mut fleet, home, &spec), 0);
}

/// An agent that has handed over must take no opening: its next incarnation would not know of it.
#[rstest]
fn can_take_flow_after_handover() {
    let spec = Spec::new(WhenInDoubt::Refuse, 3);
    let mut fleet = Fleet::settled(&spec);
    fleet.advance(125_000);
    let home = fleet.ranking(flow(1))[0];
    fleet.send(home, flow(1), opening(1));
    fleet.advance(1_000);
    fleet.leave(home);
    let outcome = fleet.send(home, flow(1), opening(2));
    assert_ne!(outcome, Outcome::Delivered(home));
}

/// A late copy of an opening is assigned to an agent that has restarted, while the flow is open at
/// another one. The copy must reach the flow's holder instead of opening a second flow.
#[rstest]
#[case::planned(true)]
#[case::crashed(false)]
fn accept_assigned_late_copy_after_restart(#[case] leaves: bool) {
    let spec = Spec::new(WhenInDoubt::Admit, 4);
    let mut fleet = Fleet::settled(&spec);
    let ranking = fleet.ranking(flow(1));
    let (home, other) = (ranking[0], ranking[3]);
    let opened = fleet.send(home, flow(1), opening(1));
    assert_eq!(opened, Outcome::Delivered(home));
    fleet.advance(1_000);
    if leaves {
        fleet.leave(other);
    }
    fleet.restart(other, &spec);
    fleet.advance(500);
    let copy = Packet { hops: 1, forwarding: Forwarding::Assigned, ..packet(flow(1), opening(1)) };
    assert_eq!(fleet.send_packet(other, copy), opened);
}

/// Number of flows that an agent counts as open after a crash, once its peers have reported what
/// they know.
fn open_flows_after_restart(fleet: &mut Fleet, index: usize, spec: &Spec) -> usize {
    fleet.advance(1_000);
    fleet.restart(index, spec);
    fleet.advance(2_000);
    fleet.agents[index].open_flows()
}
