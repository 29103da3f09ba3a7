//! Tests of the life of a request beside a busy upstream whose callers give up.

mod common;

use common::agent::{answer, deliver, new_agent, open_flow, opening_answer};
use common::{SERVICE, closing, data, opening};
use rstest::rstest;
use steering::flow::{Millis, Segment, SegmentKind};
use steering::side::{AgentCore, Delivery, GivenUpBy};

/// From then on, the caller of a request that arrived at 0 must have given up: six times the SLO.
const ABANDONED_MS: Millis = 1_200;
/// Maximum number of queued requests.
const QUEUE_MAX: u16 = 1_024;

/// An agent with one slot that has passed on as many requests as it may, those of flows 1 and 2.
fn busy_agent() -> AgentCore {
    let mut agent = AgentCore::new(SERVICE);
    for number in [1, 2] {
        open_flow(&mut agent, 0, number);
        assert_eq!(deliver(&mut agent, 0, &data(number, 1), 1), Delivery::Deliver);
    }
    agent
}

/// Lets the requests of flows 1 and 2 be the only ones in progress, and start now.
fn occupy(agent: &mut AgentCore, now_ms: Millis) {
    for number in [1, 2] {
        deliver(agent, now_ms, &reset(number), 1);
        open_flow(agent, now_ms, number);
        deliver(agent, now_ms, &data(number, 1), 1);
    }
    assert_eq!(agent.busy(), 2);
}

fn reset(number: u16) -> Segment {
    Segment { kind: SegmentKind::Reset, ..data(number, 101) }
}

/// Sequence numbers of the packets of the next released request, and whether its caller has ended
/// the flow.
fn released(agent: &mut AgentCore, now_ms: Millis) -> Option<(Vec<u8>, bool)> {
    let released = agent.next_released(now_ms)?;
    Some((released.packets.iter().map(|packet| packet[1]).collect(), released.ended))
}

fn given_up(agent: &mut AgentCore) -> Vec<(u16, Millis, GivenUpBy)> {
    std::iter::from_fn(|| agent.take_given_up())
        .map(|request| (request.flow.caller.port(), request.waited_ms, request.by))
        .collect()
}

/// What happens to flow 3, whose upstream is busy.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A caller's packet that is queued.
    Queued(Segment),
    /// A caller's packet that goes straight to the upstream.
    Passed(Segment),
    /// The next released request: its sequence numbers, and whether its caller ended the flow.
    Released(&'static [u8], bool),
    /// No request is released.
    NoneReleased,
    /// The upstream answers the opening of flow 3.
    Opened,
    /// The upstream answers the request of flow 1, which frees a place.
    Answered,
    /// The process is replaced by one that knows no flow, and flows 1 and 2 are passed on again.
    Restarted,
}

use GivenUpBy::{End, Time};
use Step::{Answered, NoneReleased, Opened, Passed, Queued, Released, Restarted};

fn ends_with(number: u16, sequence: u32) -> Segment {
    Segment { last: true, ..data(number, sequence) }
}

fn full(sequence: u32) -> Segment {
    Segment { data_bytes: 1_200, ..data(3, sequence) }
}

fn other_opening() -> Segment {
    Segment { sequence: 900, ..opening(3, 0) }
}

/// Callers end their flows while their requests are queued. The end went to the upstream and the
/// request was released later. The upstream discarded it without an answer, and it occupied a slot
/// for three seconds, in which the callers of other queued requests gave up too.
///
/// `busy` is the number of requests in progress at the end, of which flows 1 and 2 have two at the
/// start.
#[rstest]
#[case::fin(&[Queued(data(3, 1)), Passed(closing(3, 101)), Released(&[1], true), NoneReleased],
    2, &[(3, 10, End)])]
#[case::fin_repeated(&[Queued(data(3, 1)), Passed(closing(3, 101)), Released(&[1], true),
    Passed(closing(3, 101)), NoneReleased], 2, &[(3, 10, End)])]
#[case::fin_twice_before_release(&[Queued(data(3, 1)), Passed(closing(3, 101)),
    Passed(closing(3, 101)), Released(&[1], true), NoneReleased], 2, &[(3, 10, End)])]
#[case::fin_lost_then_repeated(&[Queued(data(3, 1)), Queued(data(3, 1)), Passed(closing(3, 101)),
    Released(&[1], true), NoneReleased], 2, &[(3, 20, End)])]
#[case::several_packets_in_order(&[Queued(data(3, 1)), Queued(data(3, 101)),
    Passed(closing(3, 201)), Released(&[1, 101], true)], 2, &[(3, 20, End)])]
#[case::full_packets_before(&[Passed(full(1)), Queued(data(3, 177)), Passed(closing(3, 21)),
    Released(&[177], true)], 2, &[(3, 10, End)])]
#[case::data_repeated_after_fin(&[Queued(data(3, 1)), Passed(closing(3, 101)),
    Released(&[1], true), Passed(data(3, 1)), NoneReleased], 2, &[(3, 10, End)])]
#[case::fin_overtakes_all_data(&[Passed(closing(3, 101)), Passed(data(3, 1)), NoneReleased], 2,
    &[])]
#[case::fin_overtakes_last_data(&[Queued(data(3, 1)), Passed(closing(3, 201)),
    Released(&[1], true), Passed(data(3, 101)), NoneReleased], 2, &[(3, 10, End)])]
#[case::fin_overtakes_and_slot_is_free(&[Answered, Passed(closing(3, 101)), Passed(data(3, 1)),
    NoneReleased], 1, &[])]
#[case::fin_with_data_still_waits(&[Queued(ends_with(3, 1)), NoneReleased, Answered,
    Released(&[1], false)], 2, &[])]
#[case::fin_after_fin_with_data(&[Queued(ends_with(3, 1)), Passed(closing(3, 101)),
    Released(&[1], true)], 2, &[(3, 10, End)])]
#[case::fin_after_release(&[Queued(data(3, 1)), Answered, Released(&[1], false),
    Passed(closing(3, 101)), NoneReleased], 2, &[])]
#[case::reset(&[Queued(data(3, 1)), Passed(reset(3)), NoneReleased, Answered, NoneReleased], 1,
    &[(3, 10, End)])]
#[case::reset_after_fin(&[Queued(data(3, 1)), Passed(closing(3, 101)), Passed(reset(3)),
    NoneReleased], 2, &[(3, 10, End)])]
#[case::opened_again_after_fin(&[Queued(data(3, 1)), Passed(closing(3, 101)),
    Released(&[1], true), Passed(opening(3, 0)), Opened, Queued(data(3, 1)), Answered,
    Released(&[1], false)], 2, &[(3, 10, End)])]
#[case::opened_again_without_fin(&[Queued(data(3, 1)), Passed(other_opening()), Opened,
    NoneReleased, Queued(data(3, 133)), Answered, Released(&[133], false)], 2, &[(3, 10, End)])]
#[case::opening_repeated(&[Queued(data(3, 1)), Passed(opening(3, 0)), NoneReleased, Answered,
    Released(&[1], false)], 2, &[])]
#[case::opened_again_while_in_progress(&[Answered, Passed(data(3, 1)), Passed(closing(3, 101)),
    Passed(opening(3, 0)), Opened, Passed(data(3, 1))], 2, &[])]
#[case::agent_restart_then_fin(&[Queued(data(3, 1)), Restarted, Passed(closing(3, 101)),
    Passed(data(3, 1)), NoneReleased], 2, &[])]
fn request_of_ended_flow(
    #[case] steps: &[Step],
    #[case] busy: u32,
    #[case] expected: &[(u16, Millis, GivenUpBy)],
) {
    let mut agent = busy_agent();
    open_flow(&mut agent, 0, 3);
    for (step, now_ms) in steps.iter().zip((10..).step_by(10)) {
        match *step {
            Queued(segment) => {
                let delivery = deliver(&mut agent, now_ms, &segment, 1);
                assert_eq!(delivery, Delivery::Queued, "{step:?} at {now_ms}");
            }
            Passed(segment) => {
                let delivery = deliver(&mut agent, now_ms, &segment, 1);
                assert_eq!(delivery, Delivery::Deliver, "{step:?} at {now_ms}");
            }
            Released(packets, ended) => {
                assert_eq!(released(&mut agent, now_ms), Some((packets.to_vec(), ended)));
            }
            NoneReleased => assert_eq!(released(&mut agent, now_ms), None, "at {now_ms}"),
            Opened => {
                agent.on_answer(now_ms, opening_answer(3));
            }
            Answered => {
                agent.on_answer(now_ms, answer(1));
            }
            Restarted => agent = busy_agent(),
        }
    }
    assert_eq!(agent.busy(), busy);
    assert_eq!(given_up(&mut agent), expected);
}

/// A request was dropped when its caller must have given up, and queued again as a new one when its
/// packet was retransmitted. As the newest request, it then went first, and ran in vain. The
/// retransmission is now absorbed for three seconds more, and the upstream learns of the end of the
/// flow if the caller ends it.
#[rstest]
#[case::repeated(&[(1_300, data(3, 1), Delivery::Queued), (1_900, data(3, 1), Delivery::Queued)],
    None)]
#[case::repeated_after_it_left(&[(4_300, data(3, 1), Delivery::Queued)], None)]
#[case::ended(&[(1_500, closing(3, 101), Delivery::Deliver)], Some((vec![1], true)))]
#[case::repeated_and_ended(&[(1_500, data(3, 1), Delivery::Queued),
    (1_501, closing(3, 101), Delivery::Deliver)], Some((vec![1], true)))]
#[case::ended_with_data(&[(1_500, ends_with(3, 1), Delivery::Queued)], None)]
#[case::next_request(&[(1_500, data(3, 101), Delivery::Queued)], Some((vec![1, 101], false)))]
fn request_abandoned_by_time(
    #[case] packets: &[(Millis, Segment, Delivery)],
    #[case] expected: Option<(Vec<u8>, bool)>,
) {
    let mut agent = busy_agent();
    open_flow(&mut agent, 0, 3);
    assert_eq!(deliver(&mut agent, 0, &data(3, 1), 1), Delivery::Queued);
    agent.on_tick(ABANDONED_MS - 1);
    assert_eq!((agent.queued(), agent.last_given_up_ms()), (1, None));
    agent.on_tick(ABANDONED_MS);
    assert_eq!((agent.queued(), agent.last_given_up_ms()), (0, Some(ABANDONED_MS)));
    for &(now_ms, segment, delivery) in packets {
        occupy(&mut agent, now_ms);
        assert_eq!(deliver(&mut agent, now_ms, &segment, 1), delivery, "at {now_ms}");
    }
    let last_ms = packets.last().unwrap().0;
    [1, 2].into_iter().for_each(|number| {
        deliver(&mut agent, last_ms, &reset(number), 1);
    });
    assert_eq!(agent.busy(), 0);
    assert_eq!(released(&mut agent, last_ms), expected);
    let mine = given_up(&mut agent).into_iter().filter(|(number, ..)| *number == 3);
    assert_eq!(mine.collect::<Vec<_>>(), [(3, ABANDONED_MS, Time)]);
}

/// Requests of callers who have vanished fill the queue. If they stayed, new requests would go
/// straight to the upstream's own queue. The one that was abandoned first makes room; without any,
/// a new request is passed on.
#[rstest]
#[case::some_abandoned(ABANDONED_MS + 1, Delivery::Queued)]
#[case::none_abandoned(ABANDONED_MS - 1, Delivery::Deliver)]
fn full_queue(#[case] now_ms: Millis, #[case] expected: Delivery) {
    let mut agent = busy_agent();
    for number in 3..3 + QUEUE_MAX {
        open_flow(&mut agent, 0, number);
        // The first half is abandoned a millisecond earlier.
        let arrived_ms = Millis::from(number >= 3 + QUEUE_MAX / 2);
        assert_eq!(deliver(&mut agent, arrived_ms, &data(number, 1), 1), Delivery::Queued);
    }
    let number = 3 + QUEUE_MAX;
    open_flow(&mut agent, now_ms, number);
    assert_eq!(deliver(&mut agent, now_ms, &data(number, 1), 1), expected);
    let queued = |agent: &mut AgentCore, number: u16| {
        deliver(agent, now_ms, &closing(number, 101), 1);
        agent.next_released(now_ms).is_some()
    };
    let evicted = expected == Delivery::Queued;
    assert_eq!([3, 4, 5].map(|number| queued(&mut agent, number)), [!evicted, true, true]);
}

/// A caller vanishes without ending its flow. Its request leaves the queue three seconds after it
/// was given up on, so that the process does not stay awake for it.
#[test]
fn request_of_vanished_caller() {
    let mut agent = busy_agent();
    open_flow(&mut agent, 0, 3);
    deliver(&mut agent, 0, &data(3, 1), 1);
    for (now_ms, pending) in [(ABANDONED_MS, true), (4_199, true), (4_200, false)] {
        agent.on_tick(now_ms);
        assert_eq!(agent.has_pending_work(), pending, "at {now_ms}");
        assert_eq!(agent.next_released(now_ms), None);
    }
    assert_eq!(given_up(&mut agent).len(), 1);
}

/// An upstream that crashes or discards requests never answers them. An agent that counted them for
/// seconds would hold back the requests queued beside an idle upstream.
#[rstest]
#[case::still_counted(399, false)]
#[case::counted_no_longer(400, true)]
fn next_released_after_lost_answers(#[case] after_ms: Millis, #[case] released: bool) {
    let mut agent = new_agent();
    open_flow(&mut agent, 0, 0);
    deliver(&mut agent, 0, &data(0, 1), 1);
    agent.on_answer(40, answer(0));
    for number in 1..=3 {
        open_flow(&mut agent, 100, number);
        deliver(&mut agent, 100, &data(number, 1), 1);
    }
    for now_ms in (110..100 + after_ms).step_by(40) {
        agent.on_tick(now_ms);
        assert!(agent.next_released(now_ms).is_none(), "released after {} ms", now_ms - 100);
    }
    agent.on_tick(100 + after_ms);
    assert_eq!(agent.next_released(100 + after_ms).is_some(), released);
}
