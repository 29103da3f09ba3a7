//! Assignment of openings to upstreams.

use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

use super::*;
use crate::agent::assign::{
    Candidate, Policy, least_loaded, prefer_local, two_choices_prefer_local,
};

/// Each case gives the candidates' loads in flows, the local one first, and the index of the
/// expected choice.
#[rstest]
#[case::local_busier(prefer_local, &[9, 0, 0], 0)]
#[case::least(least_loaded, &[9, 3, 0], 2)]
#[case::least_local_among_equals(least_loaded, &[0, 0, 0], 0)]
#[case::local_slightly_busier(two_choices_prefer_local, &[2, 0, 0], 0)]
fn policy_choice(#[case] policy: Policy, #[case] flows: &[u64], #[case] expected: usize) {
    let step = 100;
    let candidates: Vec<Candidate> = (0..)
        .zip(flows)
        .map(|(index, flows)| Candidate {
            upstream: id(index),
            load: flows * step,
            step,
            local: index == 0,
            same_zone: true,
        })
        .collect();
    let mut random = Pcg64Mcg::seed_from_u64(1);
    assert_eq!(policy(&candidates, &mut random), expected);
}

/// No upstream may get far more than its share when many flows are opened in a short time.
#[rstest]
#[case::local_preferred(two_choices_prefer_local, 115)]
#[case::least(least_loaded, 130)]
fn policy_imbalance(#[case] policy: Policy, #[case] max_over_mean_percent: usize) {
    let mut fleet = Fleet::settled(&Spec::new(WhenInDoubt::Admit, 5));
    fleet.agents.iter_mut().for_each(|agent| agent.set_policy(policy));
    for number in 0..1_000 {
        fleet.send(number as usize % 5, flow(number), opening(1));
        fleet.send(number as usize % 5, flow(number), PacketKind::Middle);
        if number % 10 == 9 {
            fleet.advance(MAX_TICK_INTERVAL_MS);
        }
    }
    let most = fleet.agents.iter().map(Agent::open_flows).max().expect("agents");
    assert!(
        most * 5 * 100 <= 1_000 * max_over_mean_percent,
        "the busiest upstream holds {most} flows"
    );
}

/// A cold upstream reports its age, and its share grows slowly. A report that stays at a low age
/// must not keep the share low forever.
#[rstest]
#[case::cold(0, 0, 10)]
#[case::half_way(0, 5_000, 55)]
#[case::frozen_report(0, 20_000, 100)]
#[case::warm(60_000, 0, 100)]
fn heartbeat_ramp_percent(#[case] age_ms: u64, #[case] elapsed_ms: u64, #[case] percent: u8) {
    let mut fleet = Fleet::settled(&Spec::new(WhenInDoubt::Admit, 2));
    let cold = UpstreamReport { age_ms: Some(age_ms), ..report() };
    fleet.handle_event(0, Event::Upstream(cold));
    fleet.advance(elapsed_ms);
    fleet.handle_event(0, Event::Upstream(cold));
    let mut out = Vec::new();
    fleet.agents[0].handle(fleet.now, Event::Leave, &mut out);
    let announced = out.iter().find_map(|action| match action {
        Action::Send { message: Message::Heartbeat(heartbeat), .. } => Some(heartbeat.ramp_percent),
        _ => None,
    });
    assert_eq!(announced, Some(percent));
}
