//! Episodes that violated a promise before a fix. A table test of the core covers each fault too.

use fuzzing::campaign;
use fuzzing::world::Defects;
use rstest::rstest;

fn check(seed: u64) {
    let (outcome, _) = campaign::play(&campaign::draw(seed), Defects::default(), false);
    assert_eq!(outcome.violation, None);
}

/// Guards against these faults:
///
/// - Flows of a stopped upstream filled its restarted agent.
/// - A holder's agent came back after both agents that knew its flow had restarted.
/// - Packets of a new flow were sent to the agent where an older flow on the same ports was
///   closing, while the holder was unresponsive.
/// - An agent that had been asked to terminate stayed beside an upstream that was restored.
/// - A refused opening was reported to its restarted holder as the holder's own.
/// - A restarted agent counted a membership whose members were gone, and which its peers knew to be
///   no longer needed: no opening that the agent proposed was answered.
/// - A late reset of an older connection on the same ports made an agent forget the current one.
/// - Peers that had not learned of a flow's end reported the flow to its restarted holder, which
///   counted it and was filled by such flows.
/// - An agent accepted messages for a previous agent at its address.
/// - A restarted agent counted answered datagrams as open flows and was full.
/// - An agent that resumed after a pause treated the next connection on the ports of a reset one as
///   the old one.
/// - An agent with incomplete knowledge of its own flows withheld what peers had reported about
///   another agent's flow.
/// - An agent that had asked its peers about a stray packet forwarded the next opening before the
///   query was answered.
/// - Agents ended as planned, and an old membership went on to need their votes; or all agents left
///   restarted, and nobody knew that it was outdated.
/// - All hosts of a service died together, and their successors voted on openings as if the service
///   had just been created.
/// - Restarted agents counted flows whose end no agent had seen, and were full of them.
#[rstest]
#[case::dead_flows_fill_the_upstream(181)]
#[case::witnesses_restart(645)]
#[case::closing_flow_taken_for_holder(197)]
#[case::told_to_stop_but_kept(171)]
#[case::relearned_but_never_ran(205)]
#[case::opening_never_answered(129)]
#[case::opening_never_answered_in_planned_change(1350)]
#[case::opening_never_answered_after_faults(1526)]
#[case::late_reset_cuts_a_later_flow(1101)]
#[case::late_copies_and_a_late_reset(518)]
#[case::late_reset_hides_a_later_flow(275)]
#[case::end_of_a_relearned_flow_not_reported(90417060)]
#[case::end_in_the_last_moment_not_reported(90418104)]
#[case::refused_opening_relearned(405)]
#[case::ended_flows_fill_the_service(90418283)]
#[case::ended_flows_fill_a_service_of_four(1030)]
#[case::messages_for_a_gone_agent(200207)]
#[case::answered_datagrams_fill_the_service(90417810)]
#[case::answered_datagrams_fill_the_only_active_upstream(200986)]
#[case::next_connection_after_a_reset(90417772)]
#[case::restarted_agent_withholds_learned_flow(300851)]
#[case::opening_overtakes_a_lookup(297)]
#[case::witnesses_end_as_planned(200545)]
#[case::witnesses_end_and_others_crash(90417332)]
#[case::only_agent_redeployed(300045)]
#[case::only_agent_crashes(81100776)]
#[case::only_host_crashes(86600411)]
#[case::both_agents_redeployed(87700127)]
#[case::all_hosts_die(61200230)]
#[case::full_of_flows_with_unseen_end(201247)]
#[case::full_of_flows_in_planned_change(201356)]
#[case::full_of_flows_after_many_faults(400)]
fn fixed_episode(#[case] seed: u64) {
    check(seed);
}

/// Guards against the reset of an open flow that uses the ports of an older connection, whose end
/// an agent has not received. Asked about the flow, that agent reported that it holds it, because
/// its connection has the same ports.
#[rstest]
#[case::reset_lost_in_a_partition(200161)]
#[case::agents_restart(200557)]
#[case::not_traced(300035)]
#[case::not_traced_either(617)]
fn flow_on_reused_ports_after_unseen_end(#[case] seed: u64) {
    check(seed);
}

/// Guards against an open flow that receives no answer for a minute. Its holder's agent crashed
/// right after it had accepted the flow, and another agent of the service restarted within the last
/// minute. Each reports that it may hold the flow without knowing it, and a packet delivered at the
/// wrong one would reset the flow.
#[rstest]
#[case::died_before_it_announced(704)]
#[case::died_and_another_redeployed(1303)]
#[case::holder_redeployed_while_cut_off(201362)]
fn flow_between_two_restarted_agents(#[case] seed: u64) {
    check(seed);
}
