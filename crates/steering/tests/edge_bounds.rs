//! Bounds on the packets that a balancer sends beyond those of its callers while replies are lost,
//! and retransmissions while replies are only late.

mod common;

use std::net::Ipv4Addr;

use common::{READY, all_ready_view, data, opening, packet, target, tick, verdict, view_of};
use rstest::rstest;
use steering::edge::{Edge, Verdict};
use steering::flow::{Millis, Segment};
use steering::view::View;

/// A balancer behind a slow link receives one reply in ten, while callers open flows and send on
/// flows that it does not know. Each unanswered packet is retransmitted to further upstreams, which
/// fills the link that drops the replies: without a bound, the balancer sent fifteen packets for
/// each flow that it was given. Three seconds after replies arrive again, it sends one packet for
/// each that it receives.
#[test]
fn extra_packets_are_bounded_if_replies_are_lost() {
    let (mut edge, view) = (Edge::default(), view_of(&[READY; 35]));
    let (from_callers, sent) = simulate_traffic(&mut edge, &view, 0..20_000, 10);
    let burst = 400;
    assert!(sent <= from_callers + from_callers / 10 + burst, "{sent} packets for {from_callers}");
    simulate_traffic(&mut edge, &view, 20_000..23_000, 1);
    let (from_callers, sent) = simulate_traffic(&mut edge, &view, 23_000..25_000, 1);
    assert!(sent <= from_callers + from_callers / 10, "{sent} packets for {from_callers}");
}

/// Passes a packet to the balancer each millisecond, alternately an opening and data of an unknown
/// flow. One in `packets_per_reply` of them is answered, at once. Returns the number of packets
/// received and sent.
fn simulate_traffic(
    edge: &mut Edge,
    view: &View,
    times_ms: std::ops::Range<Millis>,
    packets_per_reply: Millis,
) -> (usize, usize) {
    let (mut from_callers, mut sent) = (0, 0);
    for now_ms in times_ms {
        let number = now_ms as u16;
        let segment = if now_ms % 2 == 0 { opening(number, 0) } else { data(number, 5) };
        let actions = packet(edge, now_ms, view, &segment);
        from_callers += 1;
        sent += actions.len();
        if now_ms % (2 * packets_per_reply) < 2
            && let Some(to) = actions.first().and_then(target)
        {
            let reply = Verdict::Held { busy: 0, opening_sequence: None, load: None };
            sent += verdict(edge, now_ms, view, to, reply, &segment).len();
        }
        if now_ms % 20 == 0 {
            sent += tick(edge, now_ms, view).len();
        }
    }
    (from_callers, sent)
}

/// The same with acknowledgements of long answers on unknown flows, several for each flow. Even if
/// no upstream replies, the balancer sends no more extra packets than its callers send.
#[test]
fn extra_packets_for_long_answers_are_bounded() {
    let (mut edge, view) = (Edge::default(), view_of(&[READY; 35]));
    let (mut from_callers, mut sent) = (0, 0);
    for now_ms in 0..20_000 {
        let bare = Segment { data_bytes: 0, ..data((now_ms / 8) as u16, 5) };
        sent += packet(&mut edge, now_ms, &view, &bare).len();
        from_callers += 1;
        if now_ms % 20 == 0 {
            sent += tick(&mut edge, now_ms, &view).len();
        }
    }
    let burst = 400;
    assert!(sent <= 2 * from_callers + burst, "{sent} packets for {from_callers}");
}

/// Packets wait for 300 ms before this process reads them, so all replies are late. An opening
/// whose answer is still queued looks unanswered, and sending it to a second upstream lengthens the
/// backlog. Nothing is retransmitted until replies arrive promptly again.
#[rstest]
#[case::late_replies(300, false)]
#[case::upstream_does_not_reply(2, true)]
fn delayed_replies_suspend_retransmissions(#[case] round_trip_ms: Millis, #[case] repeats: bool) {
    let (mut edge, view) = (Edge::default(), all_ready_view());
    let mut awaited: Vec<(Millis, u16, Ipv4Addr)> = Vec::new();
    for now_ms in (0..1_000).step_by(10) {
        let number = now_ms as u16 + 1;
        let to = target(&packet(&mut edge, now_ms, &view, &opening(number, 0))[0]).unwrap();
        awaited.push((now_ms, number, to));
        for (_, number, from) in awaited.extract_if(.., |(at, ..)| *at + round_trip_ms <= now_ms) {
            let reply = Verdict::Held { busy: 0, opening_sequence: Some(1), load: None };
            verdict(&mut edge, now_ms, &view, from, reply, &opening(number, 0));
        }
    }
    packet(&mut edge, 1_000, &view, &opening(5_000, 0));
    assert_eq!(!tick(&mut edge, 1_070, &view).is_empty(), repeats);
}
