//! Explanations of where an agent sends the packets of a flow.

use rstest::rstest;

use super::*;
use crate::agent::{AgentStatus, FlowLocation};

/// Status of each rank of flow 1 and rank of its home, as seen by the agent of rank `observer`.
fn agent_statuses(fleet: &Fleet, observer: usize) -> (Vec<AgentStatus>, Option<usize>) {
    let explanation = fleet.agents[fleet.ranking(1)[observer]].explain(fleet.now, FlowId(1));
    let ranks = explanation.ranking.iter();
    let home = ranks.clone().position(|(upstream, _)| Some(*upstream) == explanation.home);
    (ranks.map(|(_, status)| *status).collect(), home)
}

#[rstest]
#[case::all_up(&[], &[], [AgentStatus::Up; 3], 0)]
#[case::first_suspected(&[0], &[], [AgentStatus::Suspected, AgentStatus::Up, AgentStatus::Up], 1)]
#[case::first_leaving(&[], &[0], [AgentStatus::Leaving, AgentStatus::Up, AgentStatus::Up], 1)]
#[case::two_down(&[1], &[0], [AgentStatus::Leaving, AgentStatus::Suspected, AgentStatus::Up], 2)]
fn explain_agent_status(
    #[case] cut_off: &[usize],
    #[case] leaving: &[usize],
    #[case] expected: [AgentStatus; 3],
    #[case] home: usize,
) {
    let mut fleet = Fleet::settled(&Spec::new(WhenInDoubt::Admit, 3));
    let ranking = fleet.ranking(1);
    leaving.iter().for_each(|rank| fleet.handle_event(ranking[*rank], Event::Leave));
    fleet.deliver_messages();
    fleet.cut_off = cut_off.iter().map(|rank| ranking[*rank]).collect();
    fleet.advance(5_000);
    assert_eq!(agent_statuses(&fleet, 2), (expected.to_vec(), Some(home)));
}

#[test]
fn explain_own_status_leaving() {
    let mut fleet = Fleet::settled(&Spec::new(WhenInDoubt::Admit, 2));
    let first = fleet.ranking(1)[0];
    fleet.handle_event(first, Event::Leave);
    assert_eq!(agent_statuses(&fleet, 0).0, [AgentStatus::Leaving, AgentStatus::Up]);
}

#[test]
fn explain_flow_location() {
    let mut fleet = Fleet::settled(&Spec::new(WhenInDoubt::Admit, 2));
    let location =
        |fleet: &Fleet, agent: usize| fleet.agents[agent].explain(fleet.now, FlowId(1)).location;
    assert_eq!(location(&fleet, 0), FlowLocation::Unknown);
    let home = fleet.ranking(1)[0];
    fleet.send(home, 1, opening(7));
    fleet.advance(1_000);
    let holder = fleet.holder(1).unwrap();
    assert!(matches!(location(&fleet, holder), FlowLocation::Local(_)));
    let FlowLocation::Remote(redirect) = location(&fleet, 1 - holder) else {
        panic!("the other agent must know the holder")
    };
    assert_eq!((redirect.holder, redirect.nonce), (id(holder), Some(7)));
}
