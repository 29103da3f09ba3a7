//! An agent beside a busy, silent or restarted upstream.

mod common;

use common::agent::{SLO_MS, answer, deliver, metadata, open_flow, opening_answer};
use common::{SERVICE, data, flow, opening};
use rstest::rstest;
use steering::flow::{Millis, Segment, SegmentKind};
use steering::side::{AgentCore, Delivery, ForwardMetadata, PacketOutcome, SlowdownDetector};
use steering::view::ServiceStamp;

const OTHER_SERVICE: ServiceStamp = ServiceStamp(8);
/// A packet of a body that goes on.
fn full_packet(number: u16, sequence: u32) -> Segment {
    Segment { data_bytes: 1_200, ..data(number, sequence) }
}

/// One slot and one request ahead of it are taken by flows 1 and 2.
fn busy_agent(now_ms: Millis) -> AgentCore {
    let mut agent = AgentCore::new(SERVICE);
    for number in [1, 2] {
        assert_eq!(deliver(&mut agent, now_ms, &data(number, 1), 1), Delivery::Deliver);
    }
    agent
}

/// The first bytes of the requests that are released one after the other as answers come.
fn release_order(agent: &mut AgentCore, now_ms: Millis) -> Vec<u8> {
    let mut order = Vec::new();
    let mut answered = 1;
    loop {
        agent.on_answer(now_ms, answer(answered));
        let Some(released) = agent.next_released(now_ms) else { return order };
        assert!(agent.next_released(now_ms).is_none(), "one slot, one request");
        let first = released.packets[0][0];
        order.push(first);
        answered = u16::from(first);
    }
}

/// After an outage, callers' requests come faster than the upstream works. Worked off in the order
/// of arrival, every new request is late behind those that are late already. So the newest that can
/// still be on time goes first, and what is late follows, oldest first. A caller that sends its opening
/// again has waited for 200 or 600 ms already.
#[rstest]
#[case::newest_first(&[(3, 0, 0), (4, 0, 10), (5, 0, 20)], 30, &[5, 4, 3])]
#[case::late_last(&[(3, 2, 0), (4, 0, 10), (5, 2, 20)], 30, &[4, 3, 5])]
#[case::one_retransmission_is_late(&[(3, 1, 0), (4, 0, 10), (5, 2, 20)], 30, &[4, 3, 5])]
#[case::queued_too_long(&[(3, 0, 0), (4, 0, 10), (5, 0, 190)], 210, &[5, 3, 4])]
fn next_released_order(
    #[case] arrivals: &[(u16, u32, Millis)],
    #[case] at: Millis,
    #[case] order: &[u8],
) {
    let mut agent = busy_agent(0);
    for &(number, copy, at_ms) in arrivals {
        deliver(&mut agent, at_ms, &opening(number, copy), 1);
        agent.on_answer(at_ms, opening_answer(number));
        assert_eq!(deliver(&mut agent, at_ms, &data(number, 2), 1), Delivery::Queued);
    }
    assert_eq!(release_order(&mut agent, at), order);
}

/// Callers of another route want their answers within a second: what is late for some is hopeful for
/// them. Works of 100 ms leave that much less time to start in.
#[rstest]
#[case::short_slo_missed(200, 0, 250, &[3, 4])]
#[case::long_slo(1_000, 0, 250, &[5, 4])]
#[case::short_service_time(200, 0, 110, &[5, 4])]
#[case::long_service_time(200, 100, 110, &[3, 4])]
fn next_released_order_by_slo_and_service_time(
    #[case] slo_ms: u32,
    #[case] service_time_ms: Millis,
    #[case] elapsed_ms: Millis,
    #[case] order: &[u8],
) {
    let mut agent = AgentCore::new(SERVICE);
    let metadata = |slo_ms| ForwardMetadata { slo_ms, ..metadata(1) };
    for number in [1, 2] {
        agent.on_packet(0, &data(number, 1), &[], metadata(slo_ms));
    }
    agent.on_answer(service_time_ms, answer(1));
    agent.on_packet(service_time_ms, &data(1, 101), &[], metadata(slo_ms));
    for (number, at_ms) in
        [(3, service_time_ms), (4, service_time_ms + 1), (5, service_time_ms + 2)]
    {
        open_flow(&mut agent, at_ms, number);
        let bytes = [number as u8];
        let received = agent.on_packet(at_ms, &data(number, 2), &bytes, metadata(slo_ms));
        assert_eq!(received.delivery, Delivery::Queued);
    }
    let at_ms = service_time_ms + elapsed_ms;
    open_flow(&mut agent, at_ms, 6);
    agent.on_packet(at_ms, &data(6, 2), &[6], metadata(slo_ms));
    assert_eq!(&release_order(&mut agent, at_ms)[1..3], order);
}

/// A caller repeats a request whose answer is on its way. Counted as a new request, it would stay at
/// work for seconds, and the agent would hold back requests beside an idle upstream.
#[test]
fn busy_retransmission_after_answer() {
    let mut agent = AgentCore::new(SERVICE);
    deliver(&mut agent, 0, &data(1, 1), 1);
    agent.on_answer(60, answer(1));
    assert_eq!(agent.busy(), 0);
    assert_eq!(deliver(&mut agent, 61, &data(1, 1), 1), Delivery::Deliver);
    assert_eq!(agent.busy(), 0);
    deliver(&mut agent, 80, &data(1, 101), 1);
    assert_eq!(agent.busy(), 1);
}

/// A balancer without memory looks for a flow and asks a busy upstream that does not hold it. If
/// the packet waited here for a slot, each busy upstream would cost the search some hundred
/// milliseconds, the caller's packets would go astray for seconds, and the strays would fill the
/// queue of those that wait. That holds for an agent that has just started too: after a loss of all
/// power, every open flow is looked for at once, and none is found.
#[rstest]
#[case::just_started(1_000, false, false)]
#[case::running_for_long(25_000, false, false)]
#[case::holds_this_flow(25_000, true, true)]
fn on_packet_queues_held_flows_only(
    #[case] at_ms: Millis,
    #[case] held: bool,
    #[case] queued: bool,
) {
    let mut agent = AgentCore::new(SERVICE);
    for now_ms in (0..=at_ms).step_by(50) {
        agent.on_tick(now_ms);
    }
    for number in [1, 2] {
        open_flow(&mut agent, at_ms, number);
        assert_eq!(deliver(&mut agent, at_ms, &data(number, 1), 1), Delivery::Deliver);
    }
    if held {
        open_flow(&mut agent, at_ms, 3);
    }
    let expected = if queued { Delivery::Queued } else { Delivery::Deliver };
    assert_eq!(deliver(&mut agent, at_ms, &data(3, 1), 1), expected);
}

/// Two uploads of 67 packets travel to an upstream with two slots, 16 packets a round trip. The
/// upstream is idle until the last packet of each, so a third caller's request must not wait behind
/// them. Counted as at work from their first packets on, they made it wait for up to 700 ms beside
/// an idle upstream, its caller repeated, and balancers took the wait for silence and searched.
#[test]
fn busy_upload_in_transit() {
    const SLOTS: u8 = 2;
    const PACKETS: u32 = 67;
    let mut agent = AgentCore::new(SERVICE);
    for number in 1..=4 {
        open_flow(&mut agent, 0, number);
    }
    for packet in 0..PACKETS - 1 {
        for number in [1, 2, 3] {
            let part = full_packet(number, 1 + packet * 1_200);
            assert_eq!(deliver(&mut agent, 1, &part, SLOTS), Delivery::Deliver);
        }
    }
    assert_eq!(agent.busy(), 0);
    assert_eq!(deliver(&mut agent, 2, &data(4, 1), SLOTS), Delivery::Deliver);
    for number in [1, 2] {
        let last = data(number, 1 + (PACKETS - 1) * 1_200);
        assert_eq!(deliver(&mut agent, 3, &last, SLOTS), Delivery::Deliver);
    }
    assert_eq!(agent.busy(), 3, "two slots and one ahead");
    let last = data(3, 1 + (PACKETS - 1) * 1_200);
    assert_eq!(deliver(&mut agent, 4, &last, SLOTS), Delivery::Queued);
}

/// After an outage, openings come several at a time. Three that have no answer yet in the same
/// millisecond are no silence: taken for one, they let go of everything that waited, sixteen
/// requests at once, and the upstream's own queue delayed all that came after. What is silent for
/// long lets go, so that balancers learn of it.
#[rstest]
#[case::several_at_once(10, 10, false)]
#[case::unresponsive(10, 120, true)]
fn next_released_unanswered_openings(
    #[case] opened_ms: Millis,
    #[case] at_ms: Millis,
    #[case] released: bool,
) {
    let mut agent = busy_agent(0);
    open_flow(&mut agent, 0, 3);
    assert_eq!(deliver(&mut agent, 1, &data(3, 1), 1), Delivery::Queued);
    for number in [4, 5, 6] {
        deliver(&mut agent, opened_ms, &opening(number, 0), 1);
    }
    (opened_ms..at_ms).step_by(40).for_each(|tick_ms| agent.on_tick(tick_ms));
    assert_eq!(agent.next_released(at_ms).is_some(), released);
}

/// The caller repeats a request while it waits here: the upstream must get it once.
#[test]
fn next_released_retransmission_stored_once() {
    let mut agent = busy_agent(0);
    open_flow(&mut agent, 0, 3);
    for at_ms in [0, 200] {
        assert_eq!(deliver(&mut agent, at_ms, &data(3, 1), 1), Delivery::Queued);
    }
    assert_eq!(deliver(&mut agent, 201, &data(3, 101), 1), Delivery::Queued);
    agent.on_answer(210, answer(1));
    let released = agent.next_released(210).unwrap();
    assert_eq!(released.waited_ms, 210);
    assert_eq!(released.packets.iter().map(|packet| packet[1]).collect::<Vec<u8>>(), [1, 101]);
}

/// A request waits beside an upstream that frees no slot. Handed on for having waited long, it
/// would sit in the upstream's own queue and delay all that comes after it. After six times the
/// time in which its caller wanted an answer, that one has given up, mostly without a word: worked
/// on, a burst of such requests kept the upstream from those that were awaited, and a third failed
/// for eight seconds after the burst.
#[rstest]
#[case::long(700, true)]
#[case::caller_gave_up(1_250, false)]
fn next_released_needs_free_slot(#[case] at_ms: Millis, #[case] released: bool) {
    let mut agent = busy_agent(0);
    open_flow(&mut agent, 0, 3);
    assert_eq!(deliver(&mut agent, 0, &data(3, 1), 1), Delivery::Queued);
    for now_ms in (0..=at_ms).step_by(50) {
        deliver(&mut agent, now_ms, &opening(9, 0), 1);
        agent.on_answer(now_ms, opening_answer(9));
        if now_ms < 2_900 {
            assert_eq!(agent.next_released(now_ms), None);
        }
    }
    agent.on_answer(at_ms, answer(1));
    assert_eq!(agent.next_released(at_ms).is_some(), released);
}

#[test]
fn on_packet_unknown_slots_not_queued() {
    let mut agent = AgentCore::new(SERVICE);
    for number in 1..50 {
        assert_eq!(deliver(&mut agent, 0, &data(number, 1), 0), Delivery::Deliver);
    }
}

#[test]
fn next_released_after_reset() {
    let mut agent = busy_agent(0);
    open_flow(&mut agent, 0, 3);
    deliver(&mut agent, 0, &data(3, 1), 1);
    deliver(&mut agent, 10, &Segment { kind: SegmentKind::Reset, ..data(3, 1) }, 1);
    agent.on_answer(20, answer(1));
    assert!(agent.next_released(20).is_none());
}

/// The upstream is dead and its agent alive: openings vanish. The balancers must learn it soon, to
/// ask others, but a pause of the agent itself must not look like silence of the upstream.
#[rstest]
#[case::unresponsive(&[0, 20, 60], 120, true)]
#[case::one_opening_may_get_lost(&[0], 120, false)]
#[case::too_soon(&[0, 20], 90, false)]
#[case::agent_was_paused(&[0, 20], 4_000, false)]
fn on_packet_unresponsive_upstream(
    #[case] openings: &[Millis],
    #[case] at_ms: Millis,
    #[case] unresponsive: bool,
) {
    let mut agent = AgentCore::new(SERVICE);
    for (number, &now_ms) in openings.iter().enumerate() {
        deliver(&mut agent, now_ms, &opening(number as u16 + 1, 0), 7);
    }
    if at_ms < 1_000 {
        (0..at_ms).step_by(40).for_each(|tick_ms| agent.on_tick(tick_ms));
    }
    let delivery = deliver(&mut agent, at_ms, &data(90, 1), 7);
    assert_eq!(
        matches!(delivery, Delivery::DeliverUnresponsive { .. }),
        unresponsive,
        "{delivery:?}"
    );
}

#[rstest]
#[case::returned(true)]
#[case::answered(false)]
fn on_packet_responsive_again(#[case] returned: bool) {
    let mut agent = AgentCore::new(SERVICE);
    for now_ms in [0, 40, 80, 110] {
        deliver(&mut agent, now_ms, &opening(now_ms as u16 + 1, 0), 7);
    }
    if returned {
        agent.on_returned(111, flow(1));
    } else {
        agent.on_answer(111, answer(1));
    }
    assert_eq!(deliver(&mut agent, 115, &opening(9, 0), 7), Delivery::Deliver);
}

/// An upstream's address went to another service while a balancer still had the old list: a packet
/// of the old service must not reach the new one.
#[test]
fn on_packet_other_service() {
    let mut agent = AgentCore::new(SERVICE);
    let metadata = ForwardMetadata { service: OTHER_SERVICE, ..metadata(7) };
    let received = agent.on_packet(0, &opening(1, 0), &[], metadata);
    assert_eq!(
        received,
        PacketOutcome { delivery: Delivery::Foreign { service: SERVICE }, report: None }
    );
    assert_eq!(agent.flow_count(), 0);
}

/// The upstream crashes with two requests at work and starts again within a second, under its name.
/// Its agent ran on: what was at work before must not keep the next request waiting beside an idle
/// upstream. A flow that the upstream closed since it was idle says nothing of the kind, nor does
/// one whose opening it answered beside another upstream, which holds it.
#[rstest]
#[case::restarted(500, true, 0)]
#[case::closed_an_idle_flow(2_500, true, 2)]
#[case::opened_elsewhere(500, false, 2)]
fn busy_restarted_upstream(#[case] returned_ms: Millis, #[case] answered: bool, #[case] busy: u32) {
    let mut agent = AgentCore::new(SERVICE);
    open_flow(&mut agent, 0, 3);
    if answered {
        deliver(&mut agent, 0, &data(3, 1), 7);
        agent.on_answer(1, answer(3));
    }
    let mut start_request = |number| {
        open_flow(&mut agent, returned_ms - 100, number);
        deliver(&mut agent, returned_ms - 100, &data(number, 1), 7);
    };
    [1, 2].into_iter().for_each(&mut start_request);
    agent.on_returned(returned_ms, flow(3));
    assert_eq!(agent.busy(), busy);
}

/// Two answers are lost with the link of the instance. Packets of other flows come all the time, so
/// the process never sleeps; the two requests must not count as at work forever.
#[test]
fn busy_lost_answers() {
    let mut agent = busy_agent(0);
    for now_ms in (0..5_000).step_by(10) {
        deliver(&mut agent, now_ms, &opening(7, 0), 1);
        agent.on_answer(now_ms, opening_answer(7));
    }
    assert_eq!(agent.busy(), 0);
}

#[test]
fn on_answer_service_time() {
    let mut agent = AgentCore::new(SERVICE);
    deliver(&mut agent, 10, &data(1, 1), 7);
    assert_eq!(agent.on_answer(75, answer(1)).service_time_ms, Some(65));
    assert_eq!(agent.on_answer(76, answer(1)).service_time_ms, None);
}

/// The on-call engineer finds late answers and nothing else in the logs: the upstream worked four
/// times as long as before, which no single answer shows.
#[rstest]
#[case::steady(&[(200, 40)], &[])]
#[case::uneven(&[(100, 40), (1, 330), (100, 40)], &[])]
#[case::slow_then_recovered(&[(200, 40), (60, 160), (60, 40)], &[true, false])]
#[case::slow_from_the_start(&[(30, 160), (200, 40)], &[])]
#[case::slow_for_long(&[(200, 40), (900, 160)], &[true])]
fn slowdown_detector_record(#[case] answers: &[(usize, Millis)], #[case] expected: &[bool]) {
    let mut detector = SlowdownDetector::default();
    let service_times_ms = answers
        .iter()
        .flat_map(|&(count, service_time_ms)| std::iter::repeat_n(service_time_ms, count));
    let changes: Vec<bool> = service_times_ms
        .filter_map(|service_time_ms| detector.record(service_time_ms))
        .map(|c| c.slow)
        .collect();
    assert_eq!(changes, expected);
}

/// The agent is told to stop while requests wait: they go to the upstream, which lives on.
#[test]
fn take_any_queued_on_exit() {
    let mut agent = busy_agent(0);
    for number in [3, 4] {
        open_flow(&mut agent, 0, number);
        deliver(&mut agent, 0, &data(number, 1), 1);
    }
    let released: Vec<u8> =
        std::iter::from_fn(|| agent.take_any_queued()).map(|p| p[0][0]).collect();
    assert_eq!(released, [3, 4]);
}

/// An upstream has more requests than it can work on. A caller gives up, and repeats its request
/// with the end of the flow. The agent kept that and forgot it again and again: the upstream held
/// the flow on, and for three seconds only other upstreams got its packets, from balancers that
/// looked for it. Once its time is over, what ends the flow is handed on.
#[rstest]
#[case::ends_the_flow(true)]
#[case::flow_goes_on(false)]
fn next_released_closing_request(#[case] last: bool) {
    let mut agent = busy_agent(0);
    open_flow(&mut agent, 0, 3);
    let request = Segment { last, ..data(3, 1) };
    assert_eq!(deliver(&mut agent, 0, &request, 1), Delivery::Queued);
    let abandoned_ms = 6 * Millis::from(SLO_MS);
    assert!(agent.next_released(abandoned_ms - 1).is_none());
    agent.on_tick(abandoned_ms);
    let released = agent.next_released(abandoned_ms);
    assert_eq!(released.is_some(), last);
    if last {
        assert_eq!(
            deliver(&mut agent, abandoned_ms + 1, &request, 1),
            Delivery::Deliver,
            "passed on again"
        );
    }
}

/// Requests wait for as long as their callers do, less the time that work takes: after an outage, those
/// that can still be answered are, and none is worked on for nobody.
#[rstest]
#[case::unknown(0, 0, 6 * 200)]
#[case::short(4, 0, 4 * 200)]
#[case::long(10, 0, 10 * 200)]
#[case::long_with_slow_service(10, 90, 10 * 200 - 3 * 90)]
fn next_released_until_caller_gives_up(
    #[case] wait_slos: u8,
    #[case] service_time_ms: Millis,
    #[case] expected_ms: Millis,
) {
    let metadata = ForwardMetadata { wait_slos, ..metadata(1) };
    let released_at = |at_ms: Millis| {
        let mut agent = AgentCore::new(SERVICE);
        agent.on_packet(0, &data(1, 1), &[1], metadata);
        agent.on_answer(service_time_ms, answer(1));
        open_flow(&mut agent, service_time_ms, 3);
        for number in [1, 2, 3] {
            agent.on_packet(service_time_ms, &data(number, 101), &[number as u8], metadata);
        }
        agent.on_answer(service_time_ms + at_ms, answer(1));
        agent.next_released(service_time_ms + at_ms).map(|released| released.packets[0][0])
    };
    assert_eq!(released_at(expected_ms - 1), Some(3));
    assert_eq!(released_at(expected_ms), None);
}

/// After an outage, feeds and confirmations wait together. Urgent requests go first among those that can be on
/// time, and first among those that are late.
#[rstest]
#[case::all_on_time(1, &[5, 4, 6, 3])]
#[case::all_late(SLO_MS as Millis + 50, &[4, 5, 3, 6])]
fn next_released_urgent_first(#[case] at_ms: Millis, #[case] expected: &[u8]) {
    let mut agent = busy_agent(0);
    for number in 3..=6 {
        let urgent = number == 4 || number == 5;
        agent.on_packet(0, &opening(number, 0), &[], ForwardMetadata { urgent, ..metadata(1) });
        agent.on_answer(0, opening_answer(number));
    }
    for number in 3..=6 {
        assert_eq!(deliver(&mut agent, 0, &data(number, 1), 1), Delivery::Queued);
    }
    assert_eq!(release_order(&mut agent, at_ms), expected);
}
