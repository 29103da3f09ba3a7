//! Flows at upstreams that are not in the balancer's list yet, and what a read of the configuration
//! service proves.

mod common;

use std::net::Ipv4Addr;

use common::{READY, data, deny_all, packet, target, tick, upstream, verdict, view_of};
use rstest::rstest;
use steering::edge::{Action, Edge, Reason, Trust, Verdict};
use steering::flow::Millis;
use steering::view::View;

/// When the flow's first packet reaches the balancer.
const SENT_MS: Millis = 10_000;
const RESET: [Action; 1] = [Action::Reset { reason: Reason::Lost }];
const HELD: Verdict = Verdict::Held { busy: 0, opening_sequence: None, load: None };

fn edge_with_list_of(current_at_ms: Millis) -> Edge {
    let mut edge = Edge::default();
    edge.set_trust(Trust { current_at_ms, complete_from_ms: 0 });
    edge
}

/// Sends a packet of the flow, and lets every upstream that is asked deny it. Returns the actions
/// that ask none.
fn deny_everywhere(edge: &mut Edge, now_ms: Millis, view: &View, flow: u16) -> Vec<Action> {
    let segment = data(flow, 5);
    let actions = packet(edge, now_ms, view, &segment);
    deny_all(edge, now_ms, view, &segment, actions)
}

/// Lets this much time pass after `now_ms` in which nothing but ticks happens, and returns when it is
/// over. The first flow is not reset meanwhile.
fn wait(edge: &mut Edge, now_ms: Millis, for_ms: Millis, view: &View) -> Millis {
    for tick_ms in (now_ms..now_ms + for_ms).step_by(20) {
        let actions = tick(edge, tick_ms, view);
        assert!(!deny_all(edge, tick_ms, view, &data(1, 5), actions).contains(&RESET[0]));
    }
    now_ms + for_ms
}

/// Guards against the reset of an open flow whose upstream started after the balancer's list was
/// read, however short before: the balancer has the list read, and finds the flow.
#[rstest]
#[case::just_before(1)]
#[case::between_two_beacons(300)]
#[case::while_no_reader_is_known(4_900)]
fn flow_at_an_upstream_that_is_not_listed_yet_is_found(#[case] age_ms: Millis) {
    let (old, new) = (view_of(&[READY, READY]), view_of(&[READY, READY, READY]));
    let mut edge = edge_with_list_of(SENT_MS - age_ms);
    assert!(!deny_everywhere(&mut edge, SENT_MS, &old, 1).contains(&RESET[0]));
    assert_eq!(edge.take_wanted_read(), Some(SENT_MS));
    let read_ms = SENT_MS + 10;
    edge.set_trust(Trust { current_at_ms: read_ms, complete_from_ms: 0 });
    let holder: Ipv4Addr = upstream(3_u16, READY).address;
    let actions = packet(&mut edge, read_ms + 190, &new, &data(1, 5));
    assert_eq!(actions.iter().filter_map(target).collect::<Vec<_>>(), [holder]);
    assert_eq!(verdict(&mut edge, read_ms + 192, &new, holder, HELD, &data(1, 5)), []);
}

/// Guards against callers of a lost flow that are told late, and against a read for each flow: one
/// read answers for all flows that were in doubt when it began.
#[test]
fn lost_flows_are_reset_after_one_read() {
    const FLOWS: u16 = 50;
    let view = view_of(&[READY, READY]);
    let mut edge = edge_with_list_of(SENT_MS - 1);
    for flow in 1..=FLOWS {
        assert!(!deny_everywhere(&mut edge, SENT_MS + u64::from(flow), &view, flow).is_empty());
    }
    let read_from_ms = edge.take_wanted_read().expect("flows are in doubt");
    assert_eq!(read_from_ms, SENT_MS + u64::from(FLOWS));
    edge.set_trust(Trust { current_at_ms: read_from_ms, complete_from_ms: 0 });
    for flow in 1..=FLOWS {
        assert_eq!(deny_everywhere(&mut edge, SENT_MS + 200, &view, flow), RESET, "{flow}");
    }
    assert_eq!(edge.take_wanted_read(), None);
}

/// Guards against a caller that is never told because each of its packets requires another read: the
/// flow was open when it was first denied, and a read since then shows its upstream.
#[test]
fn later_packets_of_a_denied_flow_require_no_further_read() {
    let view = view_of(&[READY, READY]);
    let mut edge = edge_with_list_of(SENT_MS - 1);
    deny_everywhere(&mut edge, SENT_MS, &view, 1);
    let repeated_ms = wait(&mut edge, SENT_MS, 1_200, &view);
    deny_everywhere(&mut edge, repeated_ms, &view, 1);
    assert_eq!(edge.take_wanted_read(), Some(SENT_MS));
    edge.set_trust(Trust { current_at_ms: SENT_MS, complete_from_ms: 0 });
    assert_eq!(deny_everywhere(&mut edge, repeated_ms + 200, &view, 1), RESET);
}

/// Guards against a read from before a flow was found that counts when the flow is lost later.
#[test]
fn read_from_before_a_flow_was_found_proves_nothing() {
    let view = view_of(&[READY, READY]);
    let mut edge = edge_with_list_of(SENT_MS - 1);
    deny_everywhere(&mut edge, SENT_MS, &view, 1);
    edge.set_trust(Trust { current_at_ms: SENT_MS + 10, complete_from_ms: 0 });
    verdict(&mut edge, SENT_MS + 20, &view, upstream(1_u16, READY).address, HELD, &data(1, 5));
    edge.take_wanted_read();
    let lost_ms = wait(&mut edge, SENT_MS + 20, 5_000, &view);
    assert!(!deny_everywhere(&mut edge, lost_ms, &view, 1).contains(&RESET[0]));
    assert_eq!(edge.take_wanted_read(), Some(lost_ms));
}

/// Guards against calls to the configuration service that can prove nothing, while running upstreams
/// may be missing from its list.
#[test]
fn no_read_is_wanted_while_the_list_may_lack_upstreams() {
    let view = view_of(&[READY, READY]);
    let mut edge = Edge::default();
    let complete_from_ms = SENT_MS + 300;
    edge.set_trust(Trust { current_at_ms: SENT_MS, complete_from_ms });
    deny_everywhere(&mut edge, SENT_MS, &view, 1);
    assert_eq!(edge.take_wanted_read(), None);
    let repeated_ms = wait(&mut edge, SENT_MS, 280, &view);
    assert_eq!(edge.take_wanted_read(), None);
    deny_everywhere(&mut edge, repeated_ms + 200, &view, 1);
    assert_eq!(edge.take_wanted_read(), Some(complete_from_ms));
}

/// Guards against callers of a lost flow that hear of it only when they repeat their request: the
/// balancer resets the flow once the answer to the read has arrived, whether it had found the flow
/// before or not.
#[rstest]
#[case::searched(false)]
#[case::found_before(true)]
fn lost_flow_is_reset_as_soon_as_the_list_was_read(#[case] found_before: bool) {
    let view = view_of(&[READY, READY]);
    let mut edge = edge_with_list_of(SENT_MS - 1);
    if found_before {
        let actions = packet(&mut edge, SENT_MS - 50, &view, &data(1, 4));
        let holder = actions.iter().find_map(target).unwrap();
        verdict(&mut edge, SENT_MS - 48, &view, holder, HELD, &data(1, 4));
    }
    deny_everywhere(&mut edge, SENT_MS, &view, 1);
    assert_eq!(edge.take_wanted_read(), Some(SENT_MS));
    edge.set_trust(Trust { current_at_ms: SENT_MS, complete_from_ms: 0 });
    assert_eq!(tick(&mut edge, SENT_MS + 10, &view), RESET);
}
