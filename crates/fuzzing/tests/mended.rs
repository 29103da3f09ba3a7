//! Episodes that once broke a promise, each for a fault that a table test of the core covers too.

use fuzzing::campaign;
use fuzzing::world::Defects;
use rstest::rstest;

fn check(seed: u64) {
    let (outcome, _) = campaign::play(&campaign::draw(seed), Defects::default(), false);
    assert_eq!(outcome.violation, None);
}

/// Flows of a dead upstream filled its restarted agent; a holder's agent came back after both
/// agents that knew its flow had restarted; packets of a new flow were sent to the agent where an older
/// one on the same ports was closing, while the holder was silent; an agent that had been told to end
/// stayed beside an upstream that was wanted again; an opening that was refused was told to its
/// restarted holder as its own; an agent that restarted counted a membership whose members were gone, and
/// of which its peers knew that nobody needs it any more: no opening that it proposed was answered; a
/// late reset of an older connection on the same ports made an agent forget the present one; peers that
/// had not heard of a flow's end named it to its restarted holder, which counted it, and was full of such;
/// an agent took in what was meant for a gone one at its address; a restarted agent counted answered
/// datagrams as open and was full; an agent that came back from a pause took the next connection on a
/// reset one's ports for the old one; an agent that was unsure of its own flows kept back what it had been
/// told of another's; an agent that asked about a stray packet handed the next opening on before it
/// was answered; agents that restarted counted flows that had ended unseen, and were full of them.
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
#[case::full_of_flows_with_unseen_end(201247)]
#[case::full_of_flows_in_planned_change(201356)]
#[case::full_of_flows_after_many_faults(400)]
fn fixed_episode(#[case] seed: u64) {
    check(seed);
}

/// A caller's open flow is reset. It uses the ports of an older connection whose end an agent has not heard;
/// asked about the flow, that agent says that it holds it, as its connection has the same ports.
#[rstest]
#[case::reset_lost_in_a_partition(200161)]
#[case::agents_restart(200557)]
#[case::not_traced(300035)]
#[case::not_traced_either(617)]
fn flow_on_reused_ports_after_unseen_end(#[case] seed: u64) {
    check(seed);
}

/// A caller's open flow gets no answer for a minute. Its holder's agent died right after it had taken the
/// flow, and another agent of the service was restarted within the last minute: each says that it may
/// hold the flow without knowing, and a packet delivered at the wrong one would reset it.
#[rstest]
#[case::died_before_it_announced(704)]
#[case::died_and_another_redeployed(1303)]
#[case::holder_redeployed_while_cut_off(201362)]
fn flow_between_two_restarted_agents(#[case] seed: u64) {
    check(seed);
}
