//! Openings that an agent gives back untried: its upstream takes no new flows, or is cold and has taken
//! what it bears.

mod common;

use std::net::Ipv4Addr;

use common::agent::{accepted, ask};
use common::{data, opening};
use rstest::rstest;
use steering::flow::{Millis, Segment};
use steering::side::{AgentCore, Delivery, ForwardMetadata};

/// Time after which a fresh agent has seen what counts, and suspects nothing any more.
const SETTLED_MS: Millis = 10_000;

fn settled() -> AgentCore {
    let mut side = common::agent::side();
    side.on_tick(0);
    side.on_tick(SETTLED_MS);
    side
}

fn from(balancer: u8) -> ForwardMetadata {
    ForwardMetadata { balancer: Ipv4Addr::new(10, 1, 0, balancer), ..ask(7) }
}

fn take(side: &mut AgentCore, now_ms: Millis, segment: &Segment, ask: ForwardMetadata) -> Delivery {
    side.on_packet(SETTLED_MS + now_ms, segment, &[0; 36], ask).delivery
}

/// The same beside an upstream that answers what it gets.
fn take_answered(
    side: &mut AgentCore,
    now_ms: Millis,
    number: u16,
    ask: ForwardMetadata,
) -> Delivery {
    let delivery = take(side, now_ms, &opening(number, 0), ask);
    if delivery == Delivery::Deliver {
        side.on_answer(SETTLED_MS + now_ms, accepted(number));
    }
    delivery
}

/// What the balancers with these numbers say with packets of open flows, and what becomes of an opening of
/// the first one.
#[rstest]
#[case::nobody_knows(&[(1, false), (2, false)], false)]
#[case::others_know(&[(1, false), (2, true), (3, true)], true)]
#[case::one_of_two(&[(1, false), (2, true)], false)]
#[case::one_is_cut_off(&[(1, false), (2, false), (3, true)], false)]
fn opening_goes_back_where_most_balancers_know(
    #[case] words: &[(u8, bool)],
    #[case] goes_back: bool,
) {
    let mut side = settled();
    for (balancer, turns_away) in words {
        take(
            &mut side,
            0,
            &data(9, 5),
            ForwardMetadata { refuses_new_flows: *turns_away, ..from(*balancer) },
        );
    }
    let expected = if goes_back { Delivery::NotAccepting } else { Delivery::Deliver };
    assert_eq!(take(&mut side, 5, &opening(1, 0), from(1)), expected);
}

/// What balancers said long ago keeps nothing out.
#[test]
fn words_on_new_flows_grow_old() {
    let mut side = settled();
    for balancer in 2..5 {
        take(
            &mut side,
            0,
            &data(9, 5),
            ForwardMetadata { refuses_new_flows: true, ..from(balancer) },
        );
    }
    assert_eq!(take(&mut side, 1_999, &opening(1, 0), from(1)), Delivery::NotAccepting);
    assert_eq!(take(&mut side, 2_000, &opening(1, 0), from(1)), Delivery::Deliver);
}

/// A copy of an opening that the upstream has answered opens nothing, and packets of open flows pass.
#[test]
fn flows_of_an_upstream_that_turns_away_stay() {
    let mut side = settled();
    take(&mut side, 0, &opening(1, 0), from(1));
    side.on_answer(SETTLED_MS + 1, accepted(1));
    for balancer in 2..5 {
        take(
            &mut side,
            2,
            &data(9, 5),
            ForwardMetadata { refuses_new_flows: true, ..from(balancer) },
        );
    }
    assert_eq!(take(&mut side, 200, &opening(1, 1), from(1)), Delivery::Deliver);
    assert_eq!(take(&mut side, 210, &data(1, 5), from(1)), Delivery::Deliver);
    assert_eq!(take(&mut side, 210, &opening(2, 0), from(1)), Delivery::NotAccepting);
}

fn cold(balancer: u8, limit_per_ks: u32) -> ForwardMetadata {
    ForwardMetadata { limit_per_ks, cold: true, ..from(balancer) }
}

/// All balancers see a cold zone come back at the same moment, and each sends an upstream there a flow every
/// 20 ms. No second, wherever it begins, has more openings than it bears.
#[rstest]
#[case::five_a_second(5_000, 5, 1_000)]
#[case::some_and_a_half(2_500, 2, 1_000)]
#[case::one_in_two_seconds(500, 1, 2_000)]
fn rush_of_all_balancers_is_held_to_the_limit(
    #[case] limit_per_ks: u32,
    #[case] count: usize,
    #[case] span_ms: Millis,
) {
    let mut side = settled();
    let mut taken_ms = Vec::new();
    for (number, now_ms) in (0..4_000).step_by(20).enumerate() {
        for balancer in 0..16 {
            let flow = 100 + 16 * number as u16 + u16::from(balancer);
            let ask = cold(balancer, limit_per_ks);
            if take_answered(&mut side, now_ms, flow, ask) == Delivery::Deliver {
                taken_ms.push(now_ms);
            }
        }
    }
    for window in taken_ms.windows(count + 1) {
        assert!(window[count] - window[0] > span_ms, "{taken_ms:?}");
    }
    let least = count * (4_000 / span_ms as usize) - count;
    assert!(taken_ms.len() >= least, "what it bears is used: {taken_ms:?}");
}

/// Told apart from each other when to come again, sixteen balancers do not all come for the next place.
#[test]
fn balancers_are_told_to_come_one_after_the_other() {
    let mut side = settled();
    let mut due_ms = [0; 16];
    let (mut taken, mut given_back) = (0, 0);
    for now_ms in (0..3_000).step_by(5) {
        for balancer in 0..16_u8 {
            let due_ms = &mut due_ms[usize::from(balancer)];
            if now_ms < *due_ms {
                continue;
            }
            let flow = 100 + now_ms as u16 + u16::from(balancer) * 3_000;
            match take_answered(&mut side, now_ms, flow, cold(balancer, 10_000)) {
                Delivery::Deliver => taken += 1,
                Delivery::RateLimited { for_ms } => {
                    given_back += 1;
                    *due_ms = now_ms + for_ms;
                }
                other => panic!("{other:?}"),
            }
        }
    }
    assert!((20..=30).contains(&taken), "ten a second for three seconds: {taken}");
    assert!(given_back < 4 * taken, "{given_back} for {taken}");
}

/// A balancer that is cut off takes the upstream for a warm one.
#[rstest]
#[case::two_know(2, true)]
#[case::nobody_knows(0, false)]
fn limit_holds_for_a_balancer_with_an_old_view(#[case] knowing: u8, #[case] held: bool) {
    let mut side = settled();
    let (mut taken, limit_per_ks) = (0, 5_000);
    for number in 0..20 {
        let balancer = number as u8 % (knowing + 1);
        let word = ForwardMetadata { cold: balancer < knowing, ..cold(balancer, limit_per_ks) };
        let flow = opening(100 + number, 0);
        taken += u32::from(take(&mut side, u64::from(number), &flow, word) == Delivery::Deliver);
    }
    assert_eq!(taken, if held { 5 } else { 20 });
}

/// Lists name the earlier life of an upstream that has just started again, and the agent may have started
/// with it: what nobody knows to be cold is taken for cold for a while. Where it is known to be cold, what the
/// agent's predecessor took in the last second counts as well.
#[rstest]
#[case::not_known(0, false, 5)]
#[case::known(0, true, 0)]
#[case::known_after_a_second(1_000, true, 5)]
#[case::not_known_after_two(2_000, false, 20)]
fn agent_that_has_just_started_suspects_a_cold_upstream(
    #[case] at_ms: Millis,
    #[case] known: bool,
    #[case] expected: usize,
) {
    let mut side = common::agent::side();
    side.on_tick(SETTLED_MS);
    let ask = ForwardMetadata { cold: known, ..cold(1, 5_000) };
    let taken = (0..20)
        .filter(|n| take(&mut side, at_ms, &opening(100 + n, 0), ask) == Delivery::Deliver)
        .count();
    assert_eq!(taken, expected);
}

/// All lost power: the agent is back a second before its upstream, and most balancers that are heard are
/// cut off with an old view.
#[rstest]
#[case::cold_still(1_300 + 1_900, 5)]
#[case::warm_by_then(1_300 + 2_000, 20)]
fn upstream_that_starts_after_its_agent_is_suspected_from_its_first_word(
    #[case] at_ms: Millis,
    #[case] expected: usize,
) {
    let mut side = common::agent::side();
    side.on_tick(SETTLED_MS);
    let warm = ForwardMetadata { cold: false, ..cold(1, 5_000) };
    take(&mut side, 1_250, &opening(1, 0), warm);
    side.on_answer(SETTLED_MS + 1_300, accepted(1));
    let taken = (0..20)
        .filter(|n| take(&mut side, at_ms, &opening(100 + n, 0), warm) == Delivery::Deliver)
        .count();
    assert_eq!(taken, expected);
}

/// An upstream that was silent and answers again may have started anew, beside an agent that ran on.
#[test]
fn upstream_that_was_silent_is_suspected_to_be_cold() {
    let mut side = settled();
    let warm = ForwardMetadata { cold: false, ..cold(1, 5_000) };
    for number in 0..4 {
        take(&mut side, u64::from(number) * 60, &opening(100 + number, 0), warm);
    }
    side.on_answer(SETTLED_MS + 200, accepted(103));
    let taken = (0..20)
        .filter(|n| take(&mut side, 1_300, &opening(200 + n, 0), warm) == Delivery::Deliver)
        .count();
    assert_eq!(taken, 5);
}

/// Services whose cold upstreams are not limited take what comes.
#[test]
fn cold_upstream_without_a_limit_takes_what_comes() {
    let mut side = settled();
    let all =
        (0..50).all(|n| take(&mut side, 0, &opening(100 + n, 0), cold(1, 0)) == Delivery::Deliver);
    assert!(all);
}
