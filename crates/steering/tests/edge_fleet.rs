//! Searches among the upstreams of a whole fleet, and how their length grows with its size.

mod common;

use std::net::Ipv4Addr;

use common::{READY, data, packet, target, tick, verdict, view_of};
use rstest::rstest;
use steering::edge::{Action, Edge, RETRANSMIT_AFTER_MS, Trust, Verdict};
use steering::flow::{Millis, Segment};
use steering::view::View;

/// Round trip between an agent and a balancer with a small share of a processor.
const ROUND_TRIP_MS: Millis = 4;
const DURATION_MS: Millis = 4_000;
/// When a caller sends its request and retransmits it.
const CALLER_SENDS_MS: [Millis; 3] = [0, 200, 600];

/// Additional packets caused by the caller's retransmissions: each goes to one upstream, with
/// copies to three.
const EXTRA_PACKETS_MAX: usize = 12;

/// Which upstreams were asked and when, until the flow was found or reset.
struct SearchOutcome {
    asked: Vec<(Millis, Ipv4Addr)>,
    ended_ms: Option<Millis>,
}

/// Searches for a flow that `holder` holds, if it is given. The first packet sent to
/// `first_packet_lost` does not arrive.
fn search(
    view: &View,
    holder: Option<Ipv4Addr>,
    first_packet_lost: Option<Ipv4Addr>,
) -> SearchOutcome {
    let (mut edge, segment) = (Edge::default(), data(1, 5));
    let mut outcome = SearchOutcome { asked: Vec::new(), ended_ms: None };
    let mut replies: Vec<(Millis, Ipv4Addr)> = Vec::new();
    for now_ms in 0..DURATION_MS {
        edge.set_trust(Trust { current_at_ms: now_ms, complete_from_ms: 0 });
        let mut actions: Vec<Action> = Vec::new();
        for (_, from) in replies.extract_if(.., |(at_ms, _)| *at_ms == now_ms) {
            if Some(from) == holder {
                outcome.ended_ms = Some(now_ms);
                return outcome;
            }
            actions.extend(verdict(&mut edge, now_ms, view, from, Verdict::Denied, &segment));
        }
        if CALLER_SENDS_MS.contains(&now_ms) {
            actions.extend(packet(&mut edge, now_ms, view, &segment));
        }
        if now_ms % 20 == 0 {
            actions.extend(tick(&mut edge, now_ms, view));
        }
        if actions.iter().any(|action| matches!(action, Action::Reset { .. })) {
            outcome.ended_ms = Some(now_ms);
            return outcome;
        }
        for to in actions.iter().filter_map(target) {
            let is_first = !outcome.asked.iter().any(|(_, asked)| *asked == to);
            outcome.asked.push((now_ms, to));
            if Some(to) != first_packet_lost || !is_first {
                replies.push((now_ms + ROUND_TRIP_MS, to));
            }
        }
    }
    outcome
}

/// The upstreams in the order in which they are asked.
fn search_order(view: &View) -> Vec<Ipv4Addr> {
    search(view, None, None).asked.into_iter().map(|(_, to)| to).collect()
}

fn fleet(upstreams: usize) -> View {
    view_of(&vec![READY; upstreams])
}

/// Asking five hundred and forty-three upstreams one after the other took over two seconds to prove
/// a flow lost.
#[rstest]
#[case::largest_service(109)]
#[case::fleet(543)]
#[case::twice_the_fleet(1_086)]
fn lost_flow_is_reset_within_few_round_trips(#[case] upstreams: usize) {
    let outcome = search(&fleet(upstreams), None, None);
    let ended_ms = outcome.ended_ms.unwrap();
    let round_trips = ended_ms / ROUND_TRIP_MS;
    assert!(round_trips <= 16 + upstreams as u64 / 16, "{round_trips} round trips");
    let packets = outcome.asked.len();
    assert!(
        packets <= upstreams + EXTRA_PACKETS_MAX,
        "{packets} packets for {upstreams} upstreams"
    );
}

#[rstest]
#[case::first_rank(0, 1)]
#[case::third_rank(2, 3)]
#[case::tenth_rank(9, 14)]
fn search_sends_few_packets_beyond_the_holders_rank(#[case] rank: usize, #[case] expected: usize) {
    let view = fleet(543);
    let holder = search_order(&view)[rank];
    let outcome = search(&view, Some(holder), None);
    assert!(outcome.ended_ms.is_some());
    assert!(outcome.asked.len() <= expected, "{} packets", outcome.asked.len());
}

/// The packet to the upstream that holds the flow is lost. If it were sent again only after all
/// other upstreams had been asked, two seconds later, the open flow would look broken to its
/// caller.
#[rstest]
#[case::largest_service(109)]
#[case::fleet(543)]
#[case::twice_the_fleet(1_086)]
fn holder_is_asked_again_soon_after_packet_loss(#[case] upstreams: usize) {
    let view = fleet(upstreams);
    for rank in [0, 1, 2, 20] {
        let holder = search_order(&view)[rank];
        let outcome = search(&view, Some(holder), Some(holder));
        let ended_ms = outcome.ended_ms.unwrap();
        assert!(ended_ms < 400, "rank {rank}: found after {ended_ms} ms");
    }
}

/// An upstream is not asked again while it still has time to reply.
#[test]
fn upstream_within_its_reply_time_gets_no_second_packet() {
    let view = fleet(543);
    let holder = search_order(&view)[0];
    let (mut edge, segment) = (Edge::default(), data(1, 5));
    let mut replies: Vec<(Millis, Ipv4Addr, Segment)> = Vec::new();
    let mut sent_to_holder = 0;
    for now_ms in 0..100 {
        edge.set_trust(Trust { current_at_ms: now_ms, complete_from_ms: 0 });
        let mut actions: Vec<Action> = Vec::new();
        for (_, from, segment) in replies.extract_if(.., |(at_ms, ..)| *at_ms == now_ms) {
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
                false => replies.push((now_ms + ROUND_TRIP_MS, to, segment)),
            }
        }
    }
    assert_eq!(sent_to_holder, 1);
}
