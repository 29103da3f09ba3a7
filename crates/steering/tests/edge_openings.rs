//! Where a balancer sends openings, and when it retransmits or rejects them.

mod common;

use std::net::Ipv4Addr;

use common::{
    READY, all_ready_view, data, flow, hops_to, opening, packet, target, tick, verdict, view_of,
};
use rstest::rstest;
use steering::edge::{Action, Edge, RETRANSMIT_AFTER_MS, Reason, Verdict};
use steering::flow::{FlowKey, Millis, Segment};
use steering::view::{Standing, Upstream, View, ZoneStamp};

/// A balancer places an opening at one of the upstreams that other balancers, which do not know the
/// flow, ask first.
#[test]
fn placement_uses_the_first_ranks() {
    let view = all_ready_view();
    for number in 1..200 {
        let placed = target(&packet(&mut Edge::default(), 0, &view, &opening(number, 0))[0]);
        let hops = hops_to(&mut Edge::default(), &view, &data(number, 5), placed);
        assert!(hops.is_some_and(|hops| hops <= 3), "flow {number}: {hops:?}");
    }
}

/// An upstream and its agent are dead, so the opening is lost. Waiting for the caller's next copy
/// would take 200 ms, most of the time in which the caller wants an answer.
#[rstest]
#[case::answered(true, 0)]
#[case::unanswered(false, 1)]
fn unanswered_opening_is_retransmitted_to_another_upstream(
    #[case] answered: bool,
    #[case] retransmissions: usize,
) {
    let (mut edge, view) = (Edge::default(), all_ready_view());
    let first = target(&packet(&mut edge, 0, &view, &opening(1, 0))[0]).unwrap();
    if answered {
        verdict(
            &mut edge,
            2,
            &view,
            first,
            Verdict::Held { busy: 1, opening_sequence: None, load: None },
            &opening(1, 0),
        );
    }
    assert!(tick(&mut edge, RETRANSMIT_AFTER_MS - 1, &view).is_empty());
    let actions = tick(&mut edge, RETRANSMIT_AFTER_MS, &view);
    assert_eq!(actions.len(), retransmissions);
    assert!(actions.iter().all(|action| target(action) != Some(first)));
}

/// An upstream was unresponsive because it had crashed. It restarts under the same name and
/// address, and the list states its new incarnation. What was recorded about the previous
/// incarnation must not keep new flows away from it for seconds.
#[rstest]
#[case::same_incarnation(0, false)]
#[case::new_incarnation(9, true)]
fn restarted_upstream_gets_flows_at_once(#[case] born_ms: u64, #[case] gets_flows: bool) {
    let (mut edge, view) = (Edge::default(), view_of(&[READY, READY]));
    let unresponsive = target(&packet(&mut edge, 0, &view, &opening(1, 0))[0]).unwrap();
    tick(&mut edge, RETRANSMIT_AFTER_MS, &view);
    let listed = view.upstreams().iter().map(|upstream| match upstream.address == unresponsive {
        true => Upstream { born_ms, ..*upstream },
        false => *upstream,
    });
    let view = View::new(view.routes.clone(), listed.collect());
    let mut targets = (2..30)
        .map(|number| target(&packet(&mut edge, 70, &view, &opening(number, 0))[0]).unwrap());
    assert_eq!(targets.any(|to| to == unresponsive), gets_flows);
}

/// Bodies of 80 KB should not cross availability zones if a nearby upstream is equally idle. Load
/// takes precedence: the nearby upstream must not get all flows of its zone. No rank beyond the
/// first three is used, so that a balancer that does not know the flow finds it.
#[test]
fn upstream_in_own_zone_is_preferred_at_equal_load() {
    let here = ZoneStamp(7);
    let view = all_ready_view();
    let near = view.upstreams()[2].address;
    let zoned = view.upstreams().iter().map(|upstream| match upstream.address == near {
        true => Upstream { zone: here, ..*upstream },
        false => *upstream,
    });
    let zoned = View::new(view.routes.clone(), zoned.collect());
    let placed = |edge: &mut Edge, view: &View, number| {
        target(&packet(edge, 0, view, &opening(number, 0))[0]).unwrap()
    };
    let fresh = || Edge::default().in_zone(here);
    let chosen = (1..400).filter(|number| placed(&mut fresh(), &zoned, *number) == near).count();
    let by_rank_alone =
        (1..400).filter(|number| placed(&mut fresh(), &view, *number) == near).count();
    assert!((180..300).contains(&chosen), "three ranks of five: {chosen}");
    assert!((50..110).contains(&by_rank_alone), "one of five: {by_rank_alone}");
    let mut edge = fresh();
    let in_a_row = (1..400).filter(|number| placed(&mut edge, &zoned, *number) == near).count();
    assert!((50..130).contains(&in_a_row), "load decides: {in_a_row}");
}

/// After one opening stayed unanswered, the next flows are not placed at that upstream for a while.
#[test]
fn unresponsive_upstream_is_passed_over() {
    let (mut edge, view) = (Edge::default(), view_of(&[READY, READY]));
    let unresponsive = target(&packet(&mut edge, 0, &view, &opening(1, 0))[0]).unwrap();
    tick(&mut edge, RETRANSMIT_AFTER_MS, &view);
    for number in 2..30 {
        let actions = packet(&mut edge, 70, &view, &opening(number, 0));
        assert_ne!(target(&actions[0]), Some(unresponsive), "flow {number}");
    }
}

/// An opening never goes to an upstream that is draining, is gone or has denied it. If all have
/// denied it, the caller gets a reset at once instead of retransmitting the opening for 1.4 s.
#[rstest]
#[case::draining(&[Standing::Draining, READY], &[2])]
#[case::gone(&[Standing::Missing { since_ms: 0, drained: true }, READY], &[2])]
#[case::both(&[READY, READY], &[1, 2])]
#[case::all_lapsed(&[Standing::Missing { since_ms: 0, drained: false }], &[1])]
fn opening_goes_to_ready_upstreams(#[case] standings: &[Standing], #[case] expected: &[u8]) {
    let (mut edge, view) = (Edge::default(), view_of(standings));
    let segment = opening(1, 0);
    let mut asked = Vec::new();
    let mut actions = packet(&mut edge, 0, &view, &segment);
    while let Some(to) = actions.first().and_then(target) {
        asked.push(to.octets()[3]);
        actions = verdict(&mut edge, 0, &view, to, Verdict::Denied, &segment);
    }
    asked.sort_unstable();
    assert_eq!(asked, expected);
    assert_eq!(actions, [Action::Reset { reason: Reason::Refused }]);
}

#[rstest]
#[case::routes_known(all_ready_view(), Action::Reset { reason: Reason::NoRoute })]
#[case::nothing_known_yet(View::default(), Action::Drop { reason: Reason::Unknown })]
fn opening_without_route(#[case] view: View, #[case] expected: Action) {
    let endpoint = "198.18.0.9:443".parse().unwrap();
    let segment = Segment { flow: FlowKey { endpoint, ..flow(1) }, ..opening(1, 0) };
    assert_eq!(packet(&mut Edge::default(), 0, &view, &segment), [expected]);
}

/// Guards against the reset of an open flow by a balancer that does not know its route yet: another
/// one knows the route, and has opened the flow while this one was paused, or for an earlier copy.
#[rstest]
#[case::fresh(0, 200, true)]
#[case::queued_during_a_pause(0, 3, false)]
#[case::copy(1, 200, false)]
fn opening_on_an_unknown_route_is_refused_only_while_fresh(
    #[case] copy: u32,
    #[case] since_resumed_ms: Millis,
    #[case] refused: bool,
) {
    let (mut edge, view) = (Edge::default(), all_ready_view());
    tick(&mut edge, 1_000, &view);
    let resumed_ms = 4_000;
    for now_ms in (resumed_ms..=resumed_ms + since_resumed_ms).step_by(50) {
        tick(&mut edge, now_ms, &view);
    }
    let endpoint = "198.18.0.9:443".parse().unwrap();
    let segment = Segment { flow: FlowKey { endpoint, ..flow(1) }, ..opening(1, copy) };
    let actions = packet(&mut edge, resumed_ms + since_resumed_ms, &view, &segment);
    let is_reset = actions == [Action::Reset { reason: Reason::NoRoute }];
    assert_eq!(is_reset, refused, "{actions:?}");
}

/// Among the first ranks, the least loaded upstream gets the flow.
#[test]
fn load_decides_among_the_first_ranks() {
    let (mut edge, view) = (Edge::default(), view_of(&[READY, READY]));
    let busy = Ipv4Addr::new(10, 0, 0, 1);
    verdict(
        &mut edge,
        0,
        &view,
        busy,
        Verdict::Held { busy: 50, opening_sequence: None, load: None },
        &opening(1, 0),
    );
    for number in 2..30 {
        let actions = packet(&mut edge, 10, &view, &opening(number, 0));
        assert_ne!(target(&actions[0]), Some(busy), "flow {number}");
    }
}

/// Two copies of an opening were answered by two upstreams. The caller accepted one of the answers,
/// and its next packet acknowledges that one. The other upstream would take the flow's packets
/// without replying.
#[rstest]
#[case::first_answer(1_001, 0)]
#[case::second_answer(77_301, 1)]
#[case::second_answer_after_wraparound(2, 2)]
fn acknowledgement_selects_the_upstream_of_a_flow_opened_twice(
    #[case] acknowledged: u32,
    #[case] expected: usize,
) {
    let (mut edge, view) = (Edge::default(), all_ready_view());
    let first = target(&packet(&mut edge, 0, &view, &opening(1, 0))[0]).unwrap();
    let second = target(&packet(&mut edge, 200, &view, &opening(1, 1))[0]).unwrap();
    assert_ne!(first, second);
    let numbers = if expected == 2 { (70_000, u32::MAX) } else { (1_000, 77_000) };
    for (from, number) in [(first, numbers.0), (second, numbers.1)] {
        let held = Verdict::Held { busy: 0, opening_sequence: Some(number), load: None };
        verdict(&mut edge, 210, &view, from, held, &opening(1, 0));
    }
    let segment = Segment { acknowledged, ..data(1, 2) };
    let actions = packet(&mut edge, 215, &view, &segment);
    assert_eq!(target(&actions[0]), Some([first, second, second][expected]));
}

/// A delayed copy of an opening reaches the upstream that holds the open flow, which returns it
/// because it accepts no second opening. If this counted as a denial of the flow, the opening would
/// be placed elsewhere, and all further packets would go there for seconds.
#[test]
fn denied_copy_of_an_opening_does_not_move_the_open_flow() {
    let (mut edge, view) = (Edge::default(), all_ready_view());
    let holder = target(&packet(&mut edge, 0, &view, &opening(1, 0))[0]).unwrap();
    let held = Verdict::Held { busy: 0, opening_sequence: Some(1_000), load: None };
    verdict(&mut edge, 2, &view, holder, held, &opening(1, 0));
    let late = opening(1, 1);
    assert_eq!(target(&packet(&mut edge, 210, &view, &late)[0]), Some(holder));
    assert_eq!(verdict(&mut edge, 211, &view, holder, Verdict::Denied, &late), []);
    let segment = Segment { acknowledged: 1_001, ..data(1, 2) };
    assert_eq!(target(&packet(&mut edge, 220, &view, &segment)[0]), Some(holder));
}

/// The flow of an opening may be open although every upstream, its own included, returns the
/// opening: the holder accepts no second one. This happens if the caller has opened the flow
/// through another balancer, because this one was paused with the opening in its queue or received
/// only a copy, or if an unresponsive upstream took the opening before it was retransmitted. A
/// refusal would reset the open flow.
#[rstest]
#[case::fresh(0, 200, 5, true)]
#[case::queued_during_a_pause(0, 3, 5, false)]
#[case::retransmitted(0, 200, 65, false)]
#[case::copy(1, 200, 5, false)]
fn opening_is_refused_only_while_fresh(
    #[case] copy: u32,
    #[case] since_resumed_ms: Millis,
    #[case] denied_after_ms: Millis,
    #[case] refused: bool,
) {
    let (mut edge, view) = (Edge::default(), all_ready_view());
    let run = |edge: &mut Edge, from_ms: Millis, to_ms: Millis| {
        (from_ms..=to_ms).step_by(50).for_each(|now_ms| drop(tick(edge, now_ms, &view)));
    };
    run(&mut edge, 0, 1_000);
    run(&mut edge, 4_000, 4_000 + since_resumed_ms);
    let arrived_ms = 4_000 + since_resumed_ms;
    let segment = opening(1, copy);
    let mut actions = packet(&mut edge, arrived_ms, &view, &segment);
    let now_ms = arrived_ms + denied_after_ms;
    actions.extend(tick(&mut edge, now_ms, &view));
    while let Some(to) = actions.first().and_then(target) {
        actions = verdict(&mut edge, now_ms, &view, to, Verdict::Denied, &segment);
    }
    let expected = if refused {
        Action::Reset { reason: Reason::Refused }
    } else {
        Action::Drop { reason: Reason::Unknown }
    };
    assert_eq!(actions, [expected]);
}

/// Packets are queued at the slow link of this balancer. A first opening may be old, and its flow
/// may be open through another balancer, so that a refusal would reset it.
#[rstest]
#[case::in_time(2, true)]
#[case::lagging(60, false)]
fn opening_is_not_refused_while_lagging(#[case] round_trip_ms: Millis, #[case] refused: bool) {
    let (mut edge, view) = (Edge::default(), all_ready_view());
    let held = Verdict::Held { busy: 0, opening_sequence: None, load: None };
    for number in 10..20 {
        let now_ms = Millis::from(number) * 5;
        let to = target(&packet(&mut edge, now_ms, &view, &opening(number, 0))[0]).unwrap();
        verdict(&mut edge, now_ms + round_trip_ms, &view, to, held, &opening(number, 0));
    }
    let segment = opening(1, 0);
    let mut actions = packet(&mut edge, 170, &view, &segment);
    while let Some(to) = actions.first().and_then(target) {
        actions = verdict(&mut edge, 171, &view, to, Verdict::Denied, &segment);
    }
    let expected = if refused {
        Action::Reset { reason: Reason::Refused }
    } else {
        Action::Drop { reason: Reason::Unknown }
    };
    assert_eq!(actions, [expected]);
}

/// A balancer is paused after the first copy of an opening and handles the second one when it
/// resumes. The flow may have been opened through another balancer in the meantime, and a refusal
/// would reset it.
#[rstest]
#[case::at_once(10, true)]
#[case::after_a_pause(3_000, false)]
fn old_opening_is_not_refused(#[case] denied_ms: Millis, #[case] refused: bool) {
    let (mut edge, view) = (Edge::default(), all_ready_view());
    packet(&mut edge, 0, &view, &opening(1, 0));
    let mut actions = packet(&mut edge, denied_ms, &view, &opening(1, 1));
    while let Some(from) = actions.first().and_then(target) {
        actions = verdict(&mut edge, denied_ms, &view, from, Verdict::Denied, &opening(1, 1));
    }
    let reset = actions.iter().any(|action| matches!(action, Action::Reset { .. }));
    assert_eq!(reset, refused, "{actions:?}");
}

/// A second packet of the first copy arrives while the first one has no reply, and all upstreams
/// are at their limit by now. The upstream that got the first packet may have opened the flow, and
/// a reset would end it.
#[test]
fn opening_without_a_reply_is_not_refused() {
    let (mut edge, view) = (Edge::default(), all_ready_view());
    packet(&mut edge, 0, &view, &opening(1, 0));
    let limited = Verdict::RateLimited { for_ms: 500 };
    for (listed, number) in view.upstreams().iter().zip(100..) {
        verdict(&mut edge, 1, &view, listed.address, limited, &opening(number, 0));
    }
    let other = packet(&mut edge, 2, &view, &opening(2, 0));
    assert_eq!(other, [Action::Reset { reason: Reason::ColdLimit }]);
    let again = packet(&mut edge, 2, &view, &opening(1, 0));
    assert_eq!(again, [Action::Drop { reason: Reason::Unknown }]);
}
