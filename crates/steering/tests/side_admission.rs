//! Tests of openings that an agent returns without passing them to the upstream, because the
//! upstream accepts no new flows, or because it is cold and has reached its limit.

mod common;

use std::net::Ipv4Addr;

use common::agent::{metadata, opening_answer};
use common::{data, opening};
use rstest::rstest;
use steering::flow::{Millis, Segment};
use steering::side::{AgentCore, Delivery, ForwardMetadata};

/// Time after which a new agent no longer suspects that its upstream has just started, and has seen
/// every opening that counts.
const SETTLED_MS: Millis = 10_000;

fn settled() -> AgentCore {
    let mut agent = common::agent::new_agent();
    agent.on_tick(0);
    agent.on_tick(SETTLED_MS);
    agent
}

fn metadata_from(balancer: u8) -> ForwardMetadata {
    ForwardMetadata { balancer: Ipv4Addr::new(10, 1, 0, balancer), ..metadata(7) }
}

fn forward(
    agent: &mut AgentCore,
    now_ms: Millis,
    segment: &Segment,
    metadata: ForwardMetadata,
) -> Delivery {
    agent.on_packet(SETTLED_MS + now_ms, segment, &[0; 36], metadata).delivery
}

/// Like `forward`, beside an upstream that answers every opening it receives.
fn forward_and_answer(
    agent: &mut AgentCore,
    now_ms: Millis,
    number: u16,
    metadata: ForwardMetadata,
) -> Delivery {
    let delivery = forward(agent, now_ms, &opening(number, 0), metadata);
    if delivery == Delivery::Deliver {
        agent.on_answer(SETTLED_MS + now_ms, opening_answer(number));
    }
    delivery
}

/// Votes that balancers send with packets of open flows, and whether an opening from the first
/// balancer is then refused.
#[rstest]
#[case::no_balancer_knows(&[(1, false), (2, false)], false)]
#[case::two_others_know(&[(1, false), (2, true), (3, true)], true)]
#[case::one_of_two(&[(1, false), (2, true)], false)]
#[case::one_is_cut_off(&[(1, false), (2, false), (3, true)], false)]
fn on_packet_opening_majority_vote(#[case] votes: &[(u8, bool)], #[case] refused: bool) {
    let mut agent = settled();
    for (balancer, refuses) in votes {
        forward(
            &mut agent,
            0,
            &data(9, 5),
            ForwardMetadata { refuses_new_flows: *refuses, ..metadata_from(*balancer) },
        );
    }
    let expected = if refused { Delivery::NotAccepting } else { Delivery::Deliver };
    assert_eq!(forward(&mut agent, 5, &opening(1, 0), metadata_from(1)), expected);
}

/// Outdated votes do not keep openings out.
#[test]
fn on_packet_opening_votes_expire() {
    let mut agent = settled();
    for balancer in 2..5 {
        forward(
            &mut agent,
            0,
            &data(9, 5),
            ForwardMetadata { refuses_new_flows: true, ..metadata_from(balancer) },
        );
    }
    assert_eq!(
        forward(&mut agent, 1_999, &opening(1, 0), metadata_from(1)),
        Delivery::NotAccepting
    );
    assert_eq!(forward(&mut agent, 2_000, &opening(1, 0), metadata_from(1)), Delivery::Deliver);
}

/// A copy of an opening that the upstream has answered opens no flow, so it passes, and so do
/// packets of open flows.
#[test]
fn on_packet_not_accepting_open_flows_pass() {
    let mut agent = settled();
    forward(&mut agent, 0, &opening(1, 0), metadata_from(1));
    agent.on_answer(SETTLED_MS + 1, opening_answer(1));
    for balancer in 2..5 {
        forward(
            &mut agent,
            2,
            &data(9, 5),
            ForwardMetadata { refuses_new_flows: true, ..metadata_from(balancer) },
        );
    }
    assert_eq!(forward(&mut agent, 200, &opening(1, 1), metadata_from(1)), Delivery::Deliver);
    assert_eq!(forward(&mut agent, 210, &data(1, 5), metadata_from(1)), Delivery::Deliver);
    assert_eq!(forward(&mut agent, 210, &opening(2, 0), metadata_from(1)), Delivery::NotAccepting);
}

fn cold_metadata(balancer: u8, limit_per_ks: u32) -> ForwardMetadata {
    ForwardMetadata { limit_per_ks, cold: true, ..metadata_from(balancer) }
}

/// All balancers see a cold zone come back at the same moment, and each sends an upstream there a
/// flow every 20 ms. No window, wherever it begins, may contain more openings than the limit
/// allows.
#[rstest]
#[case::five_a_second(5_000, 5, 1_000)]
#[case::two_and_a_half_a_second(2_500, 2, 1_000)]
#[case::one_in_two_seconds(500, 1, 2_000)]
fn on_packet_cold_limit_all_balancers(
    #[case] limit_per_ks: u32,
    #[case] count: usize,
    #[case] span_ms: Millis,
) {
    let mut agent = settled();
    let mut admitted_ms = Vec::new();
    for (number, now_ms) in (0..4_000).step_by(20).enumerate() {
        for balancer in 0..16 {
            let flow = 100 + 16 * number as u16 + u16::from(balancer);
            let metadata = cold_metadata(balancer, limit_per_ks);
            if forward_and_answer(&mut agent, now_ms, flow, metadata) == Delivery::Deliver {
                admitted_ms.push(now_ms);
            }
        }
    }
    for window in admitted_ms.windows(count + 1) {
        assert!(window[count] - window[0] > span_ms, "{admitted_ms:?}");
    }
    let min_admitted = count * (4_000 / span_ms as usize) - count;
    assert!(admitted_ms.len() >= min_admitted, "too few openings admitted: {admitted_ms:?}");
}

/// Sixteen balancers are refused with different retry delays, so that they do not all contend for
/// the next free admission.
#[test]
fn on_packet_cold_limit_staggered_retries() {
    let mut agent = settled();
    let mut due_ms = [0; 16];
    let (mut admitted, mut refused) = (0, 0);
    for now_ms in (0..3_000).step_by(5) {
        for balancer in 0..16_u8 {
            let due_ms = &mut due_ms[usize::from(balancer)];
            if now_ms < *due_ms {
                continue;
            }
            let flow = 100 + now_ms as u16 + u16::from(balancer) * 3_000;
            match forward_and_answer(&mut agent, now_ms, flow, cold_metadata(balancer, 10_000)) {
                Delivery::Deliver => admitted += 1,
                Delivery::RateLimited { for_ms } => {
                    refused += 1;
                    *due_ms = now_ms + for_ms;
                }
                other => panic!("{other:?}"),
            }
        }
    }
    assert!((20..=30).contains(&admitted), "ten per second for three seconds: {admitted}");
    assert!(refused < 4 * admitted, "{refused} refusals for {admitted} admissions");
}

/// A balancer that is cut off has an outdated view and takes the upstream for a warm one. The limit
/// holds for its openings too while enough others report the upstream as cold.
#[rstest]
#[case::two_informed(2, true)]
#[case::none_informed(0, false)]
fn on_packet_cold_limit_outdated_view(#[case] informed: u8, #[case] limited: bool) {
    let mut agent = settled();
    let (mut admitted, limit_per_ks) = (0, 5_000);
    for number in 0..20 {
        let balancer = number as u8 % (informed + 1);
        let metadata =
            ForwardMetadata { cold: balancer < informed, ..cold_metadata(balancer, limit_per_ks) };
        let flow = opening(100 + number, 0);
        admitted +=
            u32::from(forward(&mut agent, u64::from(number), &flow, metadata) == Delivery::Deliver);
    }
    assert_eq!(admitted, if limited { 5 } else { 20 });
}

/// Lists show the previous incarnation of an upstream that has just restarted, and the agent may
/// have started with it. Therefore an upstream that no balancer reports as cold counts as cold for
/// a while. If a balancer does report it as cold, admissions by the agent's previous incarnation
/// during the last second count as well.
#[rstest]
#[case::not_reported_cold(0, false, 5)]
#[case::reported_cold(0, true, 0)]
#[case::reported_cold_after_a_second(1_000, true, 5)]
#[case::not_reported_after_two_seconds(2_000, false, 20)]
fn on_packet_cold_limit_after_agent_start(
    #[case] at_ms: Millis,
    #[case] reported_cold: bool,
    #[case] expected: usize,
) {
    let mut agent = common::agent::new_agent();
    agent.on_tick(SETTLED_MS);
    let metadata = ForwardMetadata { cold: reported_cold, ..cold_metadata(1, 5_000) };
    let admitted = (0..20)
        .filter(|n| forward(&mut agent, at_ms, &opening(100 + n, 0), metadata) == Delivery::Deliver)
        .count();
    assert_eq!(admitted, expected);
}

/// After a complete power failure, the agent is back a second before its upstream, and most
/// balancers that reach it are cut off with an outdated view. The upstream counts as cold from its
/// first packet on.
#[rstest]
#[case::still_suspected(1_300 + 1_900, 5)]
#[case::no_longer_suspected(1_300 + 2_000, 20)]
fn on_packet_cold_limit_upstream_starts_later(#[case] at_ms: Millis, #[case] expected: usize) {
    let mut agent = common::agent::new_agent();
    agent.on_tick(SETTLED_MS);
    let warm = ForwardMetadata { cold: false, ..cold_metadata(1, 5_000) };
    forward(&mut agent, 1_250, &opening(1, 0), warm);
    agent.on_answer(SETTLED_MS + 1_300, opening_answer(1));
    let admitted = (0..20)
        .filter(|n| forward(&mut agent, at_ms, &opening(100 + n, 0), warm) == Delivery::Deliver)
        .count();
    assert_eq!(admitted, expected);
}

/// An upstream that responds again after a period without replies may have restarted, while its
/// agent kept running.
#[test]
fn on_packet_cold_limit_after_unresponsiveness() {
    let mut agent = settled();
    let warm = ForwardMetadata { cold: false, ..cold_metadata(1, 5_000) };
    for number in 0..4 {
        forward(&mut agent, u64::from(number) * 60, &opening(100 + number, 0), warm);
    }
    agent.on_answer(SETTLED_MS + 200, opening_answer(103));
    let admitted = (0..20)
        .filter(|n| forward(&mut agent, 1_300, &opening(200 + n, 0), warm) == Delivery::Deliver)
        .count();
    assert_eq!(admitted, 5);
}

/// A cold upstream of a service without a limit accepts every opening.
#[test]
fn on_packet_cold_without_limit() {
    let mut agent = settled();
    let all = (0..50).all(|n| {
        forward(&mut agent, 0, &opening(100 + n, 0), cold_metadata(1, 0)) == Delivery::Deliver
    });
    assert!(all);
}
