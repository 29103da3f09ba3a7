//! Short campaigns with fixed seeds, so that every run has the same result.

use fuzzing::campaign::{self, Limits};
use fuzzing::world::Defects;
use rstest::rstest;

fn check(steps: usize, seed: u64) {
    let report = campaign::run(Limits { steps, failures: 1 }, seed, Defects::default());
    let broken = report.failures.iter().map(|(episode, violation)| (episode.seed, violation));
    assert_eq!(broken.collect::<Vec<_>>(), []);
    assert!(report.steps >= steps);
}

#[rstest]
#[case::seed_1(1)]
#[case::seed_1001(1_001)]
#[case::seed_2001(2_001)]
#[case::seed_3001(3_001)]
fn promises_over_steps(#[case] seed: u64) {
    check(4_000, seed);
}

#[test]
fn same_seed_same_run() {
    let episode = campaign::draw(5);
    let run = || {
        let (outcome, world) = campaign::play(&episode, Defects::default(), true);
        (outcome.steps, outcome.violation, world.timeline(true))
    };
    assert_eq!(run(), run());
}
