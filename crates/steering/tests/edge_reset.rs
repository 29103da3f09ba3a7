//! When a balancer may reset a flow as lost.

mod common;

use std::net::Ipv4Addr;

use common::{
    READY, all_ready_view, data, hops_to, opening, packet, target, tick, verdict, view_of,
};
use rstest::rstest;
use steering::edge::{Action, Edge, RETRANSMIT_AFTER_MS, Reason, Trust, Verdict};
use steering::flow::Millis;
use steering::view::{Standing, View};

/// All upstreams have crashed and restarted, and every one denies the flow. Without a reset, the
/// caller would retransmit its request until its timeout; after a reset it can send it again at
/// once.
#[test]
fn flow_denied_by_all_upstreams_is_reset() {
    let (mut edge, view) = (Edge::default(), all_ready_view());
    assert_eq!(hops_to(&mut edge, &view, &data(1, 5), None), None);
}

/// A reset is sent only if it is proven that no upstream holds the flow. An upstream whose entry
/// lapsed recently may still run, a missing reply is no denial, and right after an outage of the
/// configuration service the list may lack upstreams.
#[rstest]
#[case::all_deny(all_ready_view(), 0, true)]
#[case::one_lapsed_recently(view_of(&[READY, READY, Standing::Missing { since_ms: 0, drained: false }]), 1, false)]
#[case::one_draining(view_of(&[READY, Standing::Draining, READY]), 1, false)]
#[case::empty_view(View::default(), 0, false)]
fn reset_requires_proof(
    #[case] view: View,
    #[case] unresponsive_count: usize,
    #[case] reset: bool,
) {
    let mut edge = Edge::default();
    let segment = data(1, 5);
    let mut actions = packet(&mut edge, 0, &view, &segment);
    let unresponsive: Vec<Ipv4Addr> = view
        .upstreams()
        .iter()
        .filter(|upstream| upstream.standing != READY)
        .map(|upstream| upstream.address)
        .collect();
    assert_eq!(unresponsive.len(), unresponsive_count);
    let mut all_actions = Vec::new();
    for _ in 0..20 {
        let Some(to) = actions.first().and_then(target) else { break };
        all_actions.extend(actions.iter().copied());
        if unresponsive.contains(&to) {
            break;
        }
        actions = verdict(&mut edge, 0, &view, to, Verdict::Denied, &segment);
    }
    all_actions.extend(actions.iter().copied());
    let is_reset = |action: &Action| matches!(action, Action::Reset { .. });
    assert_eq!(all_actions.iter().any(is_reset), reset, "{all_actions:?}");
}

/// A denial holds only for the moment at which it was sent: the upstream may have been overloaded,
/// or the packet may have overtaken the opening.
#[test]
fn denials_expire() {
    let (mut edge, view) = (Edge::default(), view_of(&[READY, READY]));
    let segment = data(1, 5);
    let first = target(&packet(&mut edge, 0, &view, &segment)[0]).unwrap();
    let second =
        target(&verdict(&mut edge, 0, &view, first, Verdict::Denied, &segment)[0]).unwrap();
    let actions = verdict(&mut edge, 1_500, &view, second, Verdict::Denied, &segment);
    assert_eq!(actions.iter().filter_map(target).collect::<Vec<_>>(), [first]);
}

/// All instances lost power and restart one after the other. A request of a lost flow is denied by
/// four upstreams, and the fifth is still down. Once that one is up and denies the flow too, the
/// caller gets a reset without having to retransmit its request first.
#[test]
fn flow_is_reset_when_the_last_upstream_returns() {
    let (mut edge, view) = (Edge::default(), all_ready_view());
    let segment = data(1, 5);
    let down = Ipv4Addr::new(10, 0, 0, 3);
    let mut actions = packet(&mut edge, 0, &view, &segment);
    while let Some(to) = actions.first().and_then(target) {
        if to == down {
            // No reply comes; other upstreams are asked only when the packet is retransmitted.
            actions = tick(&mut edge, RETRANSMIT_AFTER_MS, &view);
            actions.retain(|action| target(action) != Some(down));
            continue;
        }
        actions = verdict(&mut edge, RETRANSMIT_AFTER_MS, &view, to, Verdict::Denied, &segment);
        if actions.first().and_then(target) == Some(down) && actions.len() == 1 {
            break;
        }
    }
    for now_ms in (RETRANSMIT_AFTER_MS..900).step_by(20) {
        for action in tick(&mut edge, now_ms, &view) {
            assert!(target(&action).is_some(), "not proven lost yet: {action:?}");
            if let Some(to) = target(&action).filter(|to| *to != down) {
                verdict(&mut edge, now_ms, &view, to, Verdict::Denied, &segment);
            }
        }
    }
    edge.set_trust(Trust { current_at_ms: 900, complete_from_ms: 0 });
    let actions = verdict(&mut edge, 900, &view, down, Verdict::Denied, &segment);
    assert_eq!(actions, [Action::Reset { reason: Reason::Lost }]);
}

/// The list may lack upstreams: it was read before the flow opened, or this balancer has just started,
/// or the configuration service has just returned. All known upstreams deny a flow that is open at an
/// unknown one. Without a reset the caller loses time, with one it loses the flow.
#[rstest]
#[case::read_since_the_denials(10_000, 0, true)]
#[case::read_before_the_denials(9_999, 0, false)]
#[case::read_a_second_before(9_000, 0, false)]
#[case::cut_off(3_000, 0, false)]
#[case::list_may_be_incomplete(10_000, 10_001, false)]
#[case::read_before_it_was_complete_again(9_900, 10_000, false)]
#[case::read_since_it_is_complete_again(10_000, 10_000, true)]
fn reset_requires_a_trusted_list(
    #[case] current_at_ms: Millis,
    #[case] complete_from_ms: Millis,
    #[case] reset: bool,
) {
    let (mut edge, view) = (Edge::default(), view_of(&[READY]));
    edge.set_trust(Trust { current_at_ms, complete_from_ms });
    let now_ms = 10_000;
    (0..now_ms).step_by(50).for_each(|tick_ms| drop(tick(&mut edge, tick_ms, &view)));
    let segment = data(1, 5);
    let only = target(&packet(&mut edge, now_ms, &view, &segment)[0]).unwrap();
    let actions = verdict(&mut edge, now_ms, &view, only, Verdict::Denied, &segment);
    assert_eq!(actions == [Action::Reset { reason: Reason::Lost }], reset, "{actions:?}");
}

/// The balancer was paused for two seconds and resumes with packets queued. Its list is from before
/// the pause: an upstream may have started in the meantime, and may hold the flow. Denials by all
/// others prove the flow lost only after the list has been read again.
#[rstest]
#[case::read_before_the_pause(2_900, false)]
#[case::read_before_the_denial(5_001, false)]
#[case::read_since_the_denial(5_002, true)]
fn reset_after_a_pause_requires_a_list_from_after_it(
    #[case] current_at_ms: Millis,
    #[case] reset: bool,
) {
    let (mut edge, view) = (Edge::default(), view_of(&[READY]));
    (0..3_000).step_by(50).for_each(|tick_ms| drop(tick(&mut edge, tick_ms, &view)));
    let segment = data(1, 5);
    let only = target(&packet(&mut edge, 5_000, &view, &segment)[0]).unwrap();
    edge.set_trust(Trust { current_at_ms, complete_from_ms: 0 });
    let actions = verdict(&mut edge, 5_002, &view, only, Verdict::Denied, &segment);
    assert_eq!(actions == [Action::Reset { reason: Reason::Lost }], reset, "{actions:?}");
}

/// An upstream was briefly unresponsive, so the caller's opening was sent elsewhere, and then it
/// took the opening after all. The others deny the open flow. That it did not take the opening in
/// time must not count as its denial of the flow.
#[test]
fn denied_opening_does_not_count_as_denial_of_the_open_flow() {
    let (mut edge, view) = (Edge::default(), view_of(&[READY, READY]));
    let opened = opening(1, 0);
    let holder = target(&packet(&mut edge, 0, &view, &opened)[0]).unwrap();
    let unresponsive = Verdict::Unresponsive { for_ms: 120 };
    let other = target(&verdict(&mut edge, 5, &view, holder, unresponsive, &opened)[0]).unwrap();
    let segment = data(1, 5);
    packet(&mut edge, 10, &view, &segment);
    let actions = verdict(&mut edge, 12, &view, other, Verdict::Denied, &segment);
    assert_eq!(actions.iter().filter_map(target).collect::<Vec<_>>(), [holder]);
}
