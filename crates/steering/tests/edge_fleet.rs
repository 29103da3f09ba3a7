//! Searches among the upstreams of a whole fleet, and how their length grows with it.

mod common;

use std::net::Ipv4Addr;

use common::{READY, data, packet, target, tick, verdict, view_of};
use rstest::rstest;
use steering::edge::{Action, Edge, RETRANSMIT_AFTER_MS, Trust, Verdict};
use steering::flow::{Millis, Segment};
use steering::view::View;

/// Time from a balancer with a small share of a processor to an agent and back.
const ROUND_TRIP_MS: Millis = 4;
const LENGTH_MS: Millis = 4_000;
/// When a caller sends its request, and repeats it.
const SENT_MS: [Millis; 3] = [0, 200, 600];

/// Packets more that the caller's repetitions bring: each goes to one upstream, and copies to three.
const REPEATED_MAX: usize = 12;

/// Who was asked, and when, until the flow was found or reset.
struct Searched {
    asked: Vec<(Millis, Ipv4Addr)>,
    ended_ms: Option<Millis>,
}

/// A flow that `holder` holds, if anybody does. The first packets for `lossy` get lost.
fn search(view: &View, holder: Option<Ipv4Addr>, lossy: Option<Ipv4Addr>) -> Searched {
    let (mut edge, segment) = (Edge::default(), data(1, 5));
    let mut searched = Searched { asked: Vec::new(), ended_ms: None };
    let mut answers: Vec<(Millis, Ipv4Addr)> = Vec::new();
    for now_ms in 0..LENGTH_MS {
        edge.set_trust(Trust { confirmed_ms: now_ms, complete_from_ms: 0 });
        let mut actions: Vec<Action> = Vec::new();
        for (_, from) in answers.extract_if(.., |(at_ms, _)| *at_ms == now_ms) {
            if Some(from) == holder {
                searched.ended_ms = Some(now_ms);
                return searched;
            }
            actions.extend(verdict(&mut edge, now_ms, view, from, Verdict::Denied, &segment));
        }
        if SENT_MS.contains(&now_ms) {
            actions.extend(packet(&mut edge, now_ms, view, &segment));
        }
        if now_ms % 20 == 0 {
            actions.extend(tick(&mut edge, now_ms, view));
        }
        if actions.iter().any(|action| matches!(action, Action::Reset { .. })) {
            searched.ended_ms = Some(now_ms);
            return searched;
        }
        for to in actions.iter().filter_map(target) {
            let is_first = !searched.asked.iter().any(|(_, asked)| *asked == to);
            searched.asked.push((now_ms, to));
            if Some(to) != lossy || !is_first {
                answers.push((now_ms + ROUND_TRIP_MS, to));
            }
        }
    }
    searched
}

/// The upstreams in the order in which they are asked.
fn ranks(view: &View) -> Vec<Ipv4Addr> {
    search(view, None, None).asked.into_iter().map(|(_, to)| to).collect()
}

fn fleet(upstreams: usize) -> View {
    view_of(&vec![READY; upstreams])
}

/// Five hundred and forty-three upstreams were asked one after the other: a lost flow took over two
/// seconds to prove.
#[rstest]
#[case::part(109)]
#[case::fleet(543)]
#[case::twice_the_fleet(1_086)]
fn lost_flow_is_proven_in_few_round_trips(#[case] upstreams: usize) {
    let searched = search(&fleet(upstreams), None, None);
    let ended_ms = searched.ended_ms.unwrap();
    let rounds = ended_ms / ROUND_TRIP_MS;
    assert!(rounds <= 16 + upstreams as u64 / 16, "{rounds} round trips");
    let packets = searched.asked.len();
    assert!(packets <= upstreams + REPEATED_MAX, "{packets} packets for {upstreams} upstreams");
}

#[rstest]
#[case::first_rank(0, 1)]
#[case::third_rank(2, 3)]
#[case::tenth_rank(9, 14)]
fn found_flow_costs_little_more_than_its_rank(#[case] rank: usize, #[case] expected: usize) {
    let view = fleet(543);
    let holder = ranks(&view)[rank];
    let searched = search(&view, Some(holder), None);
    assert!(searched.ended_ms.is_some());
    assert!(searched.asked.len() <= expected, "{} packets", searched.asked.len());
}

/// The packet for the upstream that holds the flow gets lost: it came again after all others had been
/// asked, two seconds later, and a living flow counted as broken.
#[rstest]
#[case::part(109)]
#[case::fleet(543)]
#[case::twice_the_fleet(1_086)]
fn upstream_whose_packet_got_lost_is_asked_again_soon(#[case] upstreams: usize) {
    let view = fleet(upstreams);
    for rank in [0, 1, 2, 20] {
        let holder = ranks(&view)[rank];
        let searched = search(&view, Some(holder), Some(holder));
        let ended_ms = searched.ended_ms.unwrap();
        assert!(ended_ms < 400, "rank {rank}: found after {ended_ms} ms");
    }
}

/// No upstream is asked again while it has time to answer.
#[test]
fn upstream_that_is_at_work_gets_no_second_packet() {
    let view = fleet(543);
    let holder = ranks(&view)[0];
    let (mut edge, segment) = (Edge::default(), data(1, 5));
    let mut answers: Vec<(Millis, Ipv4Addr, Segment)> = Vec::new();
    let mut sent_to_holder = 0;
    for now_ms in 0..100 {
        edge.set_trust(Trust { confirmed_ms: now_ms, complete_from_ms: 0 });
        let mut actions: Vec<Action> = Vec::new();
        for (_, from, segment) in answers.extract_if(.., |(at_ms, ..)| *at_ms == now_ms) {
            actions.extend(verdict(&mut edge, now_ms, &view, from, Verdict::Denied, &segment));
        }
        if now_ms == 0 {
            actions.extend(packet(&mut edge, now_ms, &view, &segment));
        }
        if now_ms >= RETRANSMIT_AFTER_MS && now_ms % 20 == 0 {
            actions.extend(tick(&mut edge, now_ms, &view));
        }
        for to in actions.iter().filter_map(target) {
            match to == holder {
                true => sent_to_holder += 1,
                false => answers.push((now_ms + ROUND_TRIP_MS, to, segment)),
            }
        }
    }
    assert_eq!(sent_to_holder, 1);
}
