//! What an agent tells balancers: which flows its upstream holds, and that it lives.

mod common;

use common::agent::{BALANCER, accepted, answer, ask, deliver, hold};
use common::{SERVICE, data, ending, opening};
use rstest::rstest;
use steering::flow::Segment;
use steering::side::{AgentCore, Answer, Delivery, ForwardMetadata};

#[test]
fn report_goes_once_to_the_balancer_that_asked() {
    let mut side = AgentCore::new(SERVICE);
    side.on_packet(0, &opening(1, 0), &[], ForwardMetadata { wants_report: true, ..ask(7) });
    let report = side.on_answer(1, answer(1)).report.unwrap();
    assert_eq!((report.balancer, report.busy), (BALANCER, 0));
    assert!(side.on_answer(2, answer(1)).report.is_none());
}

/// A balancer without memory asks for a flow, and the upstream works on it for as long as it takes. Told
/// only by its answer, the balancer went on asking others meanwhile; told from what this agent knows, it
/// has found the flow within one round trip, also while the request waits here. An agent that does not
/// know the flow leaves it to the upstream.
#[rstest]
#[case::at_work(0, true, Delivery::Deliver)]
#[case::waiting(2, true, Delivery::Queued)]
#[case::new_here(2, false, Delivery::Deliver)]
fn held_flow_is_reported_at_once(
    #[case] busy: u16,
    #[case] held: bool,
    #[case] expected: Delivery,
) {
    let mut side = AgentCore::new(SERVICE);
    for number in 1..=busy {
        deliver(&mut side, 0, &data(number, 1), 1);
    }
    if held {
        hold(&mut side, 0, 3);
    }
    let ask = ForwardMetadata { wants_report: true, ..ask(1) };
    let received = side.on_packet(2, &data(3, 2), &[], ask);
    assert_eq!(received.delivery, expected);
    assert_eq!(received.report.map(|report| report.balancer), held.then_some(BALANCER));
    assert!(!held || side.on_answer(60, answer(3)).report.is_none(), "told once");
}

/// Two upstreams have answered a caller's opening, one after the other was slow to. The caller has taken
/// the other's number. A balancer without memory asks here first: this upstream, with a flow that is half
/// open, would take the packet without a word, and the agent must not say that it holds the flow.
#[rstest]
#[case::of_this_upstream(1_001, true)]
#[case::after_an_answer(1_501, true)]
#[case::of_another(900_000, false)]
#[case::of_another_before(900, false)]
fn acknowledged_number_tells_the_holder(#[case] acknowledged: u32, #[case] held: bool) {
    let mut side = AgentCore::new(SERVICE);
    deliver(&mut side, 0, &opening(1, 0), 7);
    side.on_answer(1, Answer { sequence: 1_000, ..accepted(1) });
    side.on_answer(2, Answer { sequence: 1_001, ..answer(1) });
    let ask = ForwardMetadata { wants_report: true, ..ask(7) };
    let received = side.on_packet(3, &Segment { acknowledged, ..data(1, 1) }, &[], ask);
    let expected = if held { Delivery::Deliver } else { Delivery::NotHeld };
    assert_eq!((received.delivery, received.report.is_some()), (expected, held));
}

/// Bare acknowledgements at an upstream that holds the flow half open got no word: a balancer took the
/// upstream for the holder when that repeated its answer to the opening.
#[rstest]
#[case::of_this_upstream(1_501, true)]
#[case::of_another(900_000, false)]
fn bare_acknowledgement_tells_the_holder(#[case] acknowledged: u32, #[case] held: bool) {
    let mut side = AgentCore::new(SERVICE);
    deliver(&mut side, 0, &opening(1, 0), 7);
    side.on_answer(1, Answer { sequence: 1_000, ..accepted(1) });
    side.on_answer(2, Answer { sequence: 1_001, ..answer(1) });
    let segment = Segment { acknowledged, data_bytes: 0, ..data(1, 1) };
    let received =
        side.on_packet(3, &segment, &[], ForwardMetadata { wants_report: true, ..ask(7) });
    let expected = if held { Delivery::Deliver } else { Delivery::NotHeld };
    assert_eq!((received.delivery, received.report.is_some()), (expected, held));
    let repeated = side.on_answer(200, Answer { sequence: 1_000, ..accepted(1) });
    assert_eq!(repeated.report, None, "an answer to the opening says nothing about this packet");
}

/// The same port opens another flow: numbers of the first one say nothing about it.
#[test]
fn reopened_flow_counts_anew() {
    let mut side = AgentCore::new(SERVICE);
    for sequence in [1_000, 70_000] {
        deliver(&mut side, 0, &opening(1, 0), 7);
        side.on_answer(1, Answer { sequence, ..accepted(1) });
        let segment = Segment { acknowledged: sequence + 1, ..data(1, 1) };
        assert_eq!(deliver(&mut side, 2, &segment, 7), Delivery::Deliver);
    }
    let segment = Segment { acknowledged: 1_001, ..data(1, 1) };
    assert_eq!(deliver(&mut side, 3, &segment, 7), Delivery::NotHeld);
}

/// An agent restarts while a flow is open and hears the upstream's next packets only. The caller still
/// acknowledges what was under way before.
#[rstest]
#[case::just_before(49_000, true)]
#[case::just_after(65_000, true)]
#[case::of_another(1_000, false)]
#[case::of_another_far_ahead(95_000, false)]
fn restarted_agent_allows_for_what_it_has_not_seen(#[case] acknowledged: u32, #[case] held: bool) {
    let mut side = AgentCore::new(SERVICE);
    deliver(&mut side, 0, &data(1, 1), 7);
    side.on_answer(1, Answer { sequence: 50_000, ..answer(1) });
    let segment = Segment { acknowledged, ..data(1, 101) };
    assert_eq!(deliver(&mut side, 2, &segment, 7) == Delivery::Deliver, held);
}

/// Two upstreams have answered an opening, and the caller ends the flow at the other one through a balancer
/// that asks here first. This upstream takes the packet without a word, and so does its agent: the balancer goes on.
#[test]
fn ending_of_anothers_flow_gets_no_word() {
    let mut side = AgentCore::new(SERVICE);
    deliver(&mut side, 0, &opening(1, 0), 7);
    side.on_answer(1, Answer { sequence: 1_000, ..accepted(1) });
    let segment = Segment { acknowledged: 900_000, ..ending(1, 1) };
    let received =
        side.on_packet(3, &segment, &[], ForwardMetadata { wants_report: true, ..ask(7) });
    assert_eq!((received.delivery, received.report), (Delivery::Deliver, None));
}

/// An upstream is at work for a second on flows that its agent does not know, since it has just started. Balancers
/// that hear nothing would take both for dead: each is told once, after a while, that the agent lives.
#[rstest]
#[case::nothing_is_said(None, true)]
#[case::the_upstream_answers(Some(true), false)]
#[case::the_upstream_returns_it(Some(false), false)]
fn balancer_that_waits_learns_that_the_agent_lives(#[case] word: Option<bool>, #[case] told: bool) {
    let mut side = AgentCore::new(SERVICE);
    let ask = ForwardMetadata { wants_report: true, ..ask(7) };
    side.on_packet(0, &data(1, 1), &[], ask);
    side.on_packet(10, &data(2, 1), &[], ask);
    match word {
        Some(true) => drop(side.on_answer(20, answer(1))),
        Some(false) => side.note_reply_sent(BALANCER),
        None => {}
    }
    assert!(side.take_due_replies(40).is_empty());
    let expected: Vec<_> = told.then_some(BALANCER).into_iter().collect();
    assert_eq!(side.take_due_replies(60), expected);
    assert!(side.take_due_replies(200).is_empty(), "said once");
}

/// The balancer that asked about a flow is not told twice: it heard at once that the flow is here.
#[test]
fn balancer_that_was_told_waits_for_nothing() {
    let mut side = AgentCore::new(SERVICE);
    let ask = ForwardMetadata { wants_report: true, ..ask(7) };
    deliver(&mut side, 0, &opening(1, 0), 7);
    side.on_answer(1, accepted(1));
    assert!(
        side.on_packet(2, &Segment { acknowledged: 1, ..data(1, 1) }, &[], ask).report.is_some()
    );
    assert!(side.take_due_replies(200).is_empty());
}

/// An upstream sends the packets of an answer out of order, the one that ends the flow before others, and repeats one. Its caller
/// ends the flow too, with the number after all of them. The agent denied it, and the packet wandered through the whole
/// service for three seconds.
#[test]
fn ending_after_an_answer_out_of_order_is_delivered() {
    let mut side = AgentCore::new(SERVICE);
    deliver(&mut side, 0, &opening(1, 0), 7);
    side.on_answer(1, Answer { sequence: 1_000, ..accepted(1) });
    deliver(&mut side, 2, &data(1, 1), 7);
    side.on_answer(3, Answer { sequence: 15_401, last: true, ..answer(1) });
    deliver(&mut side, 4, &Segment { data_bytes: 0, acknowledged: 8_001, ..data(1, 101) }, 7);
    side.on_answer(5, Answer { sequence: 8_001, ..answer(1) });
    let segment = Segment { acknowledged: 15_902, ..ending(1, 101) };
    assert_eq!(deliver(&mut side, 6, &segment, 7), Delivery::Deliver);
}
