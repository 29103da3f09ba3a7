//! Replays of loads on upstreams of unequal speed, with placement by expected delay.
//!
//! Two upstreams in three have the speed factor 0.7, the others 1.7. Each has two slots.

mod common;

use std::ops::RangeInclusive;

use common::replay::{Measured, Setup, replay};
use rstest::rstest;

/// Upstreams of the service, and balancers that each know only the reports on their own flows.
const UPSTREAMS: u16 = 34;
const BALANCERS: u64 = 6;
/// Bounds in saturation of the flows at an upstream, relative to its share of the total speed.
///
/// An upstream gets flows for the length of the replay, 4 s, and for its delay at the end. If delays
/// lie between zero and twice the mean, and the mean is at most 0.7 s, flows deviate by no more
/// than 0.7 / 4.7, or 0.15; the rest is for the start, when no balancer knows anything.
const SATURATED_SHARES: RangeInclusive<f64> = 0.8..=1.2;
/// The same below saturation. At equal delays, a slow upstream has fewer requests than a fast one
/// in proportion to its speed, so that it gets no more than its share; the rest is for chance.
const SLOW_SHARES: RangeInclusive<f64> = 0.0..=1.1;
/// A fast upstream may get more than its share, but not so much that its utilization exceeds 0.9.
const FAST_SHARES: RangeInclusive<f64> = 0.0..=0.9 / 0.7;
/// Bound of the expected delay at an upstream, as a multiple of the mean over all upstreams. Below
/// saturation, the mean is about one service time, and four times that is within the SLO.
const DELAY_RATIO_MAX: f64 = 4.0;
const SATURATED_DELAY_RATIO_MAX: f64 = 2.5;

const STEADY: Setup = Setup {
    seed: 1,
    delay_placement: true,
    upstreams: UPSTREAMS,
    balancers: BALANCERS,
    load_percent: 70,
    for_ms: 4_000,
    lose_every: 0,
    late_ms: 0,
    balancer_restarts_ms: None,
    agent_restarts_ms: None,
};
const SATURATING: Setup = Setup { load_percent: 125, ..STEADY };

/// What exceeds the bounds.
#[derive(Debug, Default, PartialEq)]
struct Violations {
    shares: Vec<f64>,
    delays: Vec<f64>,
}

fn violations(setup: Setup, measured: &Measured) -> Violations {
    let saturated = setup.load_percent > 100;
    let total: u64 = measured.flows.iter().sum();
    let total_rate: f64 = (0..measured.flows.len()).map(Setup::rate).sum();
    let share = |(index, flows): (usize, &u64)| {
        let is_slow = Setup::rate(index) < Setup::rate(0);
        let bounds = match (saturated, is_slow) {
            (true, _) => SATURATED_SHARES,
            (false, true) => SLOW_SHARES,
            (false, false) => FAST_SHARES,
        };
        let share = *flows as f64 / total as f64 / (Setup::rate(index) / total_rate);
        (!bounds.contains(&share)).then_some(share)
    };
    let ratio_max = if saturated { SATURATED_DELAY_RATIO_MAX } else { DELAY_RATIO_MAX };
    let worst = |delays_ms: &Vec<f64>| {
        let mean_ms = delays_ms.iter().sum::<f64>() / delays_ms.len() as f64;
        delays_ms.iter().copied().fold(0.0, f64::max) / mean_ms
    };
    let delays = measured.delays_ms.iter().map(worst);
    Violations {
        shares: measured.flows.iter().enumerate().filter_map(share).collect(),
        delays: delays.filter(|ratio| *ratio > ratio_max).collect(),
    }
}

/// Slow upstreams got as many flows as fast ones, so that their callers waited while fast upstreams
/// had free slots. Each balancer knows only its own flows, and reports are late or get lost.
#[rstest]
#[case::steady(STEADY)]
#[case::steady_with_half_of_the_reports_lost(Setup { lose_every: 2, ..STEADY })]
#[case::steady_with_outdated_reports(Setup { late_ms: 50, ..STEADY })]
#[case::steady_with_both(Setup { lose_every: 3, late_ms: 50, ..STEADY })]
#[case::steady_with_one_balancer(Setup { balancers: 1, ..STEADY })]
#[case::saturating(SATURATING)]
#[case::saturating_with_half_of_the_reports_lost(Setup { lose_every: 2, ..SATURATING })]
#[case::saturating_with_outdated_reports(Setup { late_ms: 50, ..SATURATING })]
#[case::saturating_with_very_outdated_reports(Setup { late_ms: 100, ..SATURATING })]
#[case::saturating_with_both(Setup { lose_every: 3, late_ms: 50, ..SATURATING })]
#[case::saturating_with_one_balancer(Setup { balancers: 1, ..SATURATING })]
#[case::balancer_restarts(Setup { balancer_restarts_ms: Some(2_000), ..SATURATING })]
#[case::agent_restarts(Setup { agent_restarts_ms: Some(2_000), ..SATURATING })]
fn flows_follow_the_speed_of_upstreams(#[case] setup: Setup) {
    let measured = replay(setup);
    assert_eq!(violations(setup, &measured), Violations::default());
}

/// If a placement that ignores queues and service times passed the check as well, the check would
/// show nothing.
#[rstest]
#[case::steady(STEADY, false)]
#[case::saturating(SATURATING, true)]
fn queue_blind_placement_fails_the_same_check(#[case] setup: Setup, #[case] delays_fail: bool) {
    let setup = Setup { delay_placement: false, ..setup };
    let found = violations(setup, &replay(setup));
    assert!(!found.shares.is_empty());
    assert!(!delays_fail || !found.delays.is_empty());
}

/// Ranks beyond the third make searches longer. Flows go there only while the first ranks cannot
/// answer within the SLO.
#[rstest]
#[case::steady(STEADY, false)]
#[case::saturating(SATURATING, true)]
fn further_ranks_are_used_only_in_saturation(#[case] setup: Setup, #[case] expected: bool) {
    assert_eq!(replay(setup).beyond_ranks > 0, expected);
}
