//! What an agent says about the way of a flow's packets.

use rstest::rstest;

use super::*;
use crate::agent::{Standing, Whereabouts};

/// Standing of each rank of flow 1 and rank of its home, as the agent of `observer` rank sees it.
fn standings(fleet: &Fleet, observer: usize) -> (Vec<Standing>, Option<usize>) {
    let explanation = fleet.agents[fleet.ranking(1)[observer]].explain(fleet.now, FlowId(1));
    let ranks = explanation.ranking.iter();
    let home = ranks.clone().position(|(upstream, _)| Some(*upstream) == explanation.home);
    (ranks.map(|(_, standing)| *standing).collect(), home)
}

#[rstest]
#[case::all_up(&[], &[], [Standing::Up; 3], 0)]
#[case::first_silent(&[0], &[], [Standing::Silent, Standing::Up, Standing::Up], 1)]
#[case::first_leaving(&[], &[0], [Standing::Leaving, Standing::Up, Standing::Up], 1)]
#[case::two_down(&[1], &[0], [Standing::Leaving, Standing::Silent, Standing::Up], 2)]
fn explain_standing(
    #[case] cut: &[usize],
    #[case] leaving: &[usize],
    #[case] expected: [Standing; 3],
    #[case] home: usize,
) {
    let mut fleet = Fleet::settled(&Spec::new(WhenInDoubt::Admit, 3));
    let ranking = fleet.ranking(1);
    leaving.iter().for_each(|rank| fleet.event(ranking[*rank], Event::Leave));
    fleet.pump();
    fleet.cut = cut.iter().map(|rank| ranking[*rank]).collect();
    fleet.pass(5_000);
    assert_eq!(standings(&fleet, 2), (expected.to_vec(), Some(home)));
}

#[test]
fn explain_leaving_itself() {
    let mut fleet = Fleet::settled(&Spec::new(WhenInDoubt::Admit, 2));
    let first = fleet.ranking(1)[0];
    fleet.event(first, Event::Leave);
    assert_eq!(standings(&fleet, 0).0, [Standing::Leaving, Standing::Up]);
}

#[test]
fn explain_whereabouts() {
    let mut fleet = Fleet::settled(&Spec::new(WhenInDoubt::Admit, 2));
    let whereabouts =
        |fleet: &Fleet, agent: usize| fleet.agents[agent].explain(fleet.now, FlowId(1)).whereabouts;
    assert_eq!(whereabouts(&fleet, 0), Whereabouts::Unknown);
    let home = fleet.ranking(1)[0];
    fleet.send(home, 1, opening(7));
    fleet.pass(1_000);
    let holder = fleet.holder(1).unwrap();
    assert!(matches!(whereabouts(&fleet, holder), Whereabouts::Here(_)));
    let Whereabouts::At(redirect) = whereabouts(&fleet, 1 - holder) else { panic!("not known") };
    assert_eq!((redirect.holder, redirect.nonce), (id(holder), Some(7)));
}
