//! How a balancer finds a flow without an entry in its table, and keeps one that it has found.

mod common;

use std::net::Ipv4Addr;

use common::{
    READY, all_ready_view, closing, data, flow, hops_to, opening, packet, target, tick, verdict,
    view_of,
};
use rstest::rstest;
use steering::edge::{Counters, Edge, RETRANSMIT_AFTER_MS, Verdict};
use steering::flow::{FlowKey, Millis, Segment};
use steering::policy::Policy;
use steering::view::View;

/// The fabric moves a caller's flow to a balancer that does not know it. Whichever upstream holds
/// the flow, it is found by asking each upstream once, and the next packet goes there directly.
#[rstest]
fn flow_without_an_entry_is_found(#[values(1, 2, 3, 4, 5)] holder: u8) {
    let (mut edge, view) = (Edge::default(), all_ready_view());
    let holder = Ipv4Addr::new(10, 0, 0, holder);
    assert!(hops_to(&mut edge, &view, &data(1, 5), Some(holder)).is_some());
    verdict(
        &mut edge,
        1,
        &view,
        holder,
        Verdict::Held { busy: 0, opening_sequence: None, load: None },
        &data(1, 5),
    );
    let actions = packet(&mut edge, 2, &view, &data(1, 105));
    assert_eq!(actions.iter().filter_map(target).collect::<Vec<_>>(), [holder]);
}

/// The caller retransmits its data because the agent of the flow's upstream is dead, or because the
/// entry is wrong. Copies go to other upstreams as well, so that the flow is found although the
/// target does not reply.
#[test]
fn retransmitted_data_is_copied_to_other_upstreams() {
    let (mut edge, view) = (Edge::default(), all_ready_view());
    packet(&mut edge, 0, &view, &data(1, 5));
    assert_eq!(packet(&mut edge, 20, &view, &data(1, 5)).len(), 1, "duplicated by the network");
    assert_eq!(packet(&mut edge, 200, &view, &data(1, 5)).len(), 4);
}

/// Packets of unknown flows take no more memory than the bound of the flow table allows.
#[test]
fn flow_table_is_bounded_in_a_flood() {
    let (mut edge, view) = (Edge::default(), all_ready_view());
    for number in 0..200_000_u32 {
        let caller = std::net::SocketAddrV4::new(
            Ipv4Addr::from_bits(number / 50_000),
            (number % 50_000) as u16,
        );
        let segment = Segment { flow: FlowKey { caller, ..flow(1) }, ..data(1, 5) };
        packet(&mut edge, 0, &view, &segment);
    }
    assert!(edge.flow_count() <= steering::edge::FLOWS_MAX);
}

/// Packets of unknown flows are kept for retransmission only up to the bound.
#[test]
fn packets_kept_for_retransmission_are_bounded_in_a_flood() {
    let (mut edge, view) = (Edge::default(), all_ready_view());
    for number in 1..20_000 {
        packet(&mut edge, 0, &view, &data(number, 5));
    }
    let repeated = tick(&mut edge, RETRANSMIT_AFTER_MS, &view);
    assert!(repeated.len() <= 3 * steering::edge::PENDING_BYTES_MAX / 36);
}

/// One of forty-six upstreams is busy with a request, and the balancer's copies of it are denied by
/// others. If each such denial led to another upstream, the search would multiply, the flow's next
/// packets would go elsewhere, and its upstream would receive none of them for two seconds.
#[test]
fn denied_copies_do_not_advance_the_search() {
    let (mut edge, view) = (Edge::default(), view_of(&[READY; 46]));
    let segment = data(1, 5);
    let holder = target(&packet(&mut edge, 0, &view, &segment)[0]).unwrap();
    let copies = packet(&mut edge, 200, &view, &segment);
    assert_eq!(target(&copies[0]), Some(holder));
    for copy in &copies[1..] {
        let from = target(copy).unwrap();
        let actions = verdict(&mut edge, 201, &view, from, Verdict::Denied, &segment);
        assert_eq!(actions, [], "copy denied by {from}");
    }
    assert_eq!(target(&packet(&mut edge, 300, &view, &data(1, 105))[0]), Some(holder));
}

/// The flow has been found when denials by upstreams that were asked before arrive.
#[test]
fn late_denials_do_not_move_a_found_flow() {
    let (mut edge, view) = (Edge::default(), all_ready_view());
    let segment = data(1, 5);
    let first = target(&packet(&mut edge, 0, &view, &segment)[0]).unwrap();
    let asked = tick(&mut edge, 150, &view);
    let holder = asked.iter().filter_map(target).find(|to| *to != first).unwrap();
    verdict(
        &mut edge,
        151,
        &view,
        holder,
        Verdict::Held { busy: 1, opening_sequence: None, load: None },
        &segment,
    );
    verdict(&mut edge, 152, &view, first, Verdict::Denied, &segment);
    let actions = packet(&mut edge, 153, &view, &data(1, 105));
    assert_eq!(actions.iter().filter_map(target).collect::<Vec<_>>(), [holder]);
}

/// Round trip between a balancer and an agent.
const ROUND_TRIP_MS: Millis = 2;

/// Searches for a flow whose first packet arrives at time zero. Every upstream denies it except the
/// unresponsive ones. Returns which upstreams receive a packet, and when.
fn search(
    edge: &mut Edge,
    view: &View,
    segment: &Segment,
    unresponsive: &[Ipv4Addr],
    until_ms: Millis,
) -> Vec<(Millis, Ipv4Addr)> {
    let mut sent = Vec::new();
    for now_ms in 0..until_ms {
        let mut actions = if now_ms == 0 { packet(edge, 0, view, segment) } else { Vec::new() };
        if now_ms % 20 == 0 {
            actions.extend(tick(edge, now_ms, view));
        }
        let due = |packet_sent: &&(Millis, Ipv4Addr)| packet_sent.0 + ROUND_TRIP_MS == now_ms;
        let due_replies: Vec<_> = sent.iter().filter(due).map(|(_, to)| *to).collect();
        for from in due_replies.into_iter().filter(|from| !unresponsive.contains(from)) {
            actions.extend(verdict(edge, now_ms, view, from, Verdict::Denied, segment));
        }
        sent.extend(actions.iter().filter_map(target).map(|to| (now_ms, to)));
    }
    sent
}

/// Among forty-six upstreams, the one that is asked first holds the flow and is busy for a while,
/// and its agent has just restarted. The search goes on, but packets must keep reaching the holder:
/// if they went elsewhere for two seconds, the flow would stall without any fault.
#[test]
fn busy_upstream_keeps_its_packets() {
    let (mut edge, view) = (Edge::default(), view_of(&[READY; 46]));
    let segment = data(1, 5);
    let holder = target(&packet(&mut Edge::default(), 0, &view, &segment)[0]).unwrap();
    let sent = search(&mut edge, &view, &segment, &[holder], 1_400);
    let sent_to_holder_ms: Vec<Millis> =
        sent.iter().filter(|(_, to)| *to == holder).map(|(at, _)| *at).collect();
    assert!(
        sent_to_holder_ms.windows(2).all(|pair| pair[1] - pair[0] < 1_000),
        "{sent_to_holder_ms:?}"
    );
    assert!(sent_to_holder_ms.len() >= 5, "{sent_to_holder_ms:?}");
    for (now_ms, sequence) in [(1_600, 5), (1_700, 105)] {
        let actions = packet(&mut edge, now_ms, &view, &data(1, sequence));
        assert!(actions.iter().filter_map(target).any(|to| to == holder), "{now_ms}");
    }
}

/// Among sixty upstreams, those that are asked first are dead with their instances, and any other
/// one may hold the flow. If only copies advanced the search, three at a time, it would exceed the
/// two seconds after which the flow looks broken to its caller. Each dead upstream must cost only
/// one pause.
#[rstest]
#[case::one(1, 400)]
#[case::three(3, 800)]
fn dead_upstreams_do_not_delay_the_search(#[case] dead: usize, #[case] within_ms: Millis) {
    let view = view_of(&[READY; 60]);
    let segment = data(1, 5);
    let mut asked: Vec<Ipv4Addr> = Vec::new();
    for _ in 0..dead {
        let sent = search(&mut Edge::default(), &view, &segment, &asked, 1_400);
        asked.extend(sent.iter().map(|(_, to)| *to).find(|to| !asked.contains(to)));
    }
    let sent = search(&mut Edge::default(), &view, &segment, &asked, within_ms);
    let mut reached: Vec<Ipv4Addr> = sent.iter().map(|(_, to)| *to).collect();
    reached.sort_unstable();
    reached.dedup();
    assert_eq!(reached.len(), 60);
}

/// A copy reaches the flow's upstream, which replies to it. The flow stays there.
#[test]
fn flow_found_by_a_copy_stays_there() {
    let (mut edge, view) = (Edge::default(), view_of(&[READY; 46]));
    let segment = data(1, 5);
    let dead = target(&packet(&mut Edge::default(), 0, &view, &segment)[0]).unwrap();
    let sent = search(&mut edge, &view, &segment, &[dead], 170);
    let copied = sent.iter().map(|(_, to)| *to).find(|to| *to != dead).unwrap();
    let found = Verdict::Held { busy: 0, opening_sequence: None, load: None };
    verdict(&mut edge, 160, &view, copied, found, &segment);
    assert_eq!(target(&packet(&mut edge, 161, &view, &data(1, 105))[0]), Some(copied));
}

/// The flow's upstream is known, and its request is queued there; the caller retransmits it. Copies
/// to other upstreams find nothing, and the flow looks broken if its own upstream receives no
/// packet for two seconds.
#[test]
fn packets_of_a_confirmed_flow_are_not_copied() {
    let (mut edge, view) = (Edge::default(), all_ready_view());
    let segment = data(1, 5);
    let holder = target(&packet(&mut edge, 0, &view, &segment)[0]).unwrap();
    let held = Verdict::Held { busy: 0, opening_sequence: None, load: None };
    verdict(&mut edge, 1, &view, holder, held, &segment);
    for now_ms in [4_000, 4_200, 4_600] {
        let actions = packet(&mut edge, now_ms, &view, &data(1, 105));
        assert_eq!(actions.iter().filter_map(target).collect::<Vec<_>>(), [holder], "{now_ms}");
    }
}

/// The balancer takes the flow for open at an upstream that holds it only half open and does not
/// reply to its packets. When the caller has retransmitted its request for the third time, 1.4 s
/// after it first sent it, copies go to other upstreams, and the flow's own upstream replies to one
/// of them.
#[test]
fn repeated_retransmissions_of_a_confirmed_flow_are_copied() {
    let (mut edge, view) = (Edge::default(), view_of(&[READY; 4]));
    let segment = data(1, 5);
    let unresponsive = target(&packet(&mut edge, 0, &view, &segment)[0]).unwrap();
    let held = Verdict::Held { busy: 0, opening_sequence: None, load: None };
    verdict(&mut edge, 1, &view, unresponsive, held, &segment);
    let copies = [1_000, 1_200, 1_600, 2_400]
        .map(|now_ms| packet(&mut edge, now_ms, &view, &data(1, 105)).len() - 1);
    assert_eq!(copies, [0, 0, 0, 3]);
}

/// Operators need to know how long searches are after balancers were replaced: the mean number of
/// upstreams asked for each flow that is found.
#[rstest]
#[case::found_at_the_first(1, Counters { flows_found: 1, upstreams_asked: 1, ..Counters::default() })]
#[case::found_at_the_third(3, Counters { flows_found: 1, upstreams_asked: 3, denials: 2, ..Counters::default() })]
fn counters_report_the_search_length(#[case] rank: u64, #[case] expected: Counters) {
    let (mut edge, view) = (Edge::default(), all_ready_view());
    let segment = data(1, 5);
    let mut asked = target(&packet(&mut edge, 0, &view, &segment)[0]).unwrap();
    for _ in 1..rank {
        let next = verdict(&mut edge, 0, &view, asked, Verdict::Denied, &segment);
        asked = target(&next[0]).unwrap();
    }
    let held = Verdict::Held { busy: 0, opening_sequence: None, load: None };
    verdict(&mut edge, 1, &view, asked, held, &segment);
    verdict(&mut edge, 2, &view, asked, held, &segment);
    assert_eq!(edge.counters(), expected);
}

/// A caller closes an idle flow through a balancer that does not know it. The upstream that is
/// first by rank is dead together with its agent, so no reply comes. The caller retransmits its
/// last packet six times within seven seconds. If all of these went to the dead upstream, the one
/// that holds the flow would receive none.
#[test]
fn closing_flow_is_searched_for_beyond_a_dead_upstream() {
    let (mut edge, view) = (Edge::default(), all_ready_view());
    let segment = closing(1, 105);
    let dead = target(&packet(&mut edge, 0, &view, &segment)[0]).unwrap();
    let sent = search(&mut edge, &view, &segment, &[dead], 1_000);
    let mut asked: Vec<Ipv4Addr> = sent.into_iter().map(|(_, to)| to).collect();
    asked.sort_unstable();
    asked.dedup();
    assert_eq!(asked.len(), 5, "{asked:?}");
}

/// The same with bare acknowledgements, to which no upstream replies.
#[test]
fn acknowledgements_go_beyond_a_dead_upstream() {
    let (mut edge, view) = (Edge::default(), all_ready_view());
    let bare = Segment { data_bytes: 0, ..data(1, 105) };
    let dead = target(&packet(&mut edge, 0, &view, &bare)[0]).unwrap();
    let later: Vec<Ipv4Addr> = [200, 600, 1_400, 3_000]
        .iter()
        .flat_map(|at_ms| packet(&mut edge, *at_ms, &view, &bare))
        .filter_map(|action| target(&action))
        .collect();
    assert!(later.iter().any(|to| *to != dead), "{later:?}");
}

/// The upstream that is asked is dead, and its entry lapses while the caller waits. Further packets
/// of the caller must not go to the address that is no longer listed.
#[test]
fn unlisted_upstream_is_not_asked() {
    let (mut edge, view) = (Edge::default(), all_ready_view());
    let dead = target(&packet(&mut edge, 0, &view, &data(1, 5))[0]).unwrap();
    let rest = view.upstreams().iter().filter(|upstream| upstream.address != dead).copied();
    let shorter = View::new(std::sync::Arc::clone(&view.routes), rest.collect());
    let actions = packet(&mut edge, 100, &shorter, &data(1, 5));
    assert!(actions.iter().filter_map(target).all(|to| to != dead), "{actions:?}");
}

/// If the copies of a retransmitted packet started at an offset into the list of candidates, which
/// shrinks as upstreams deny the flow, they would skip the holder again and again.
#[test]
fn copies_skip_no_upstream() {
    let (mut edge, view) = (Edge::default(), view_of(&[READY; 24]));
    let bare = Segment { data_bytes: 0, ..data(1, 105) };
    let first = target(&packet(&mut edge, 0, &view, &bare)[0]).unwrap();
    let mut reached = vec![first];
    for now_ms in [200, 600, 1_000, 1_400] {
        for to in packet(&mut edge, now_ms, &view, &bare).iter().filter_map(target) {
            if to != first {
                verdict(&mut edge, now_ms + 2, &view, to, Verdict::Denied, &bare);
                reached.push(to);
            }
        }
    }
    let order = search(&mut Edge::default(), &view, &bare, &[], 100);
    let order: Vec<Ipv4Addr> = order.into_iter().map(|(_, to)| to).collect();
    assert_eq!(reached, order[..reached.len()], "by rank, each once");
    assert_eq!(reached.len(), 13);
}

/// All other upstreams have denied the flow, and its own was asked a moment ago. The caller's next
/// packets must go there instead of being dropped.
#[test]
fn packet_of_the_caller_goes_to_the_last_candidate() {
    let (mut edge, view) = (Edge::default(), view_of(&[READY; 3]));
    let holder = target(&packet(&mut Edge::default(), 0, &view, &data(1, 5))[0]).unwrap();
    search(&mut edge, &view, &data(1, 5), &[holder], 190);
    for sequence in [105, 205] {
        let actions = packet(&mut edge, 200, &view, &data(1, sequence));
        assert_eq!(actions.iter().filter_map(target).collect::<Vec<_>>(), [holder]);
    }
}

/// The upstream that answered the opening holds the flow half open and takes its packets without
/// replying. Even if no copies can be sent, queries must reach the flow's own upstream instead of
/// all going to the unresponsive one.
#[test]
fn unresponsive_upstream_of_an_opening_does_not_block_the_search() {
    let view = view_of(&[READY; 4]);
    let mut edge = Edge::with_policy(Policy { copies: false, ..Policy::default() });
    let unresponsive = target(&packet(&mut edge, 0, &view, &opening(1, 0))[0]).unwrap();
    let held = Verdict::Held { busy: 0, opening_sequence: Some(1_000), load: None };
    verdict(&mut edge, 1, &view, unresponsive, held, &opening(1, 0));
    let mut reached = Vec::new();
    for now_ms in 1_000..4_000 {
        let mut actions = Vec::new();
        if [1_000, 1_200, 1_600, 2_400].contains(&now_ms) {
            actions.extend(packet(&mut edge, now_ms, &view, &closing(1, 5)));
        }
        if now_ms % 20 == 0 {
            actions.extend(tick(&mut edge, now_ms, &view));
        }
        while let Some(to) = actions.pop().as_ref().and_then(target) {
            reached.push(to);
            if to != unresponsive {
                let denied = Verdict::Denied;
                actions.extend(verdict(&mut edge, now_ms, &view, to, denied, &closing(1, 5)));
            }
        }
    }
    reached.sort_unstable();
    reached.dedup();
    assert_eq!(reached.len(), 4);
}
