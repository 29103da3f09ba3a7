//! Plays in which a service loses all or most of its agents, in an order of events that random
//! steps hardly produce.

use fuzzing::campaign::{self, Episode};
use fuzzing::step::{Change, Profile, Step};
use fuzzing::world::{Defects, Setup};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

/// Plays of each kind.
const PLAYS: u64 = 60;

fn episode(seed: u64, patient: bool, steps: Vec<Step>) -> Episode {
    let sizes = vec![3, 3];
    let setup = Setup { seed, sizes, balancers: 2, callers: 8, max_flows: 2_000, patient };
    Episode { seed, setup, profile: Profile::ALL, steps }
}

/// Plays episodes that `steps` draws, and returns the promises that broke with their seeds.
fn broken(patient: bool, steps: impl Fn(&mut Pcg64Mcg) -> Vec<Step>) -> Vec<(u64, &'static str)> {
    let play = |seed: u64| {
        let steps = steps(&mut Pcg64Mcg::seed_from_u64(seed));
        let (outcome, _) =
            campaign::play(&episode(seed, patient, steps), Defects::default(), false);
        outcome.violation.map(|violation| (seed, violation.promise))
    };
    (0..PLAYS).filter_map(play).collect()
}

/// A calm minute, then openings over a network that loses, copies and delays packets. All hosts of
/// the service that refuses when in doubt die within a tenth of a second and start anew. Copies of
/// the openings come later.
fn whole_service_dies(random: &mut Pcg64Mcg) -> Vec<Step> {
    let mut steps = vec![Step::Idle { minutes: 1 }];
    steps.push(Step::Weather {
        loss_percent: random.random_range(0..40),
        copy_percent: random.random_range(0..60),
        delay_ms: random.random_range(0..20_000),
        lasts_ms: 400,
    });
    for _ in 0..random.random_range(4..12) {
        steps.push(Step::Open { pick: random.random() });
        steps.push(Step::Advance { ms: random.random_range(0..40) });
    }
    steps.push(Step::Advance { ms: random.random_range(0..400) });
    for _ in 0..3 {
        steps.push(Step::CrashHost { pick: 3, gap_ms: random.random_range(150..900) });
        steps.push(Step::Advance { ms: random.random_range(0..40) });
    }
    steps.push(Step::Advance { ms: 25_000 });
    steps
}

/// Nothing that a service has run may run again or be refused after all of its hosts were replaced
/// at once: the new agents know nothing of it, and that they are new does not show that the service
/// is.
#[test]
fn promises_hold_whole_service_dies() {
    assert_eq!(broken(false, whole_service_dies), []);
}

/// Two of three upstreams of the service that refuses when in doubt are drained, retired and ended,
/// all as planned. The last agent may be redeployed afterwards.
fn service_shrinks(random: &mut Pcg64Mcg) -> Vec<Step> {
    let mut steps = Vec::new();
    let lag_ms = if random.random() { 0 } else { 3_000 };
    for change in [Change::Drain, Change::Drain, Change::Retire, Change::Retire] {
        steps.push(Step::Publish { service: 1, change, pick: random.random(), lag_ms });
        steps.push(Step::Open { pick: random.random() });
        steps.push(Step::Advance { ms: random.random_range(0..2_000) });
        if change == Change::Retire {
            steps.push(Step::EndRetired { pick: 0 });
            steps.push(Step::Advance { ms: random.random_range(0..4_000) });
        }
    }
    if random.random_bool(0.3) {
        steps.push(Step::Advance { ms: random.random_range(3_000..20_000) });
        // The agents of the other service come first.
        steps.push(Step::RedeployAgent { pick: 3, gap_ms: random.random_range(0..3_000) });
    }
    steps
}

/// A service that shrinks as planned answers its openings at once, and not after two minutes.
#[test]
fn promises_hold_service_shrinks() {
    assert_eq!(broken(true, service_shrinks), []);
}
