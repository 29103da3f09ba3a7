//! Mutation tests: fuzzing without a safeguard violates the safeguard's promise within a bounded
//! number of steps. Built with `--features mutants` only, which runs as a separate step.
#![cfg(feature = "mutants")]

use decision::agent::Mutant;
use fuzzing::campaign::{self, Episode};
use fuzzing::mutants::{CASES, STEPS_MAX, detect};
use fuzzing::step::{Change, Profile, Step};
use fuzzing::world::{Defects, Setup};
use rstest::rstest;

#[rstest]
#[case::promise_not_kept(Mutant::PromiseNotKept)]
#[case::tombstone_forgotten(Mutant::TombstoneForgotten)]
#[case::abstain_forgotten(Mutant::AbstainForgotten)]
#[case::listed_witness_newborn(Mutant::ListedWitnessNewborn)]
#[case::older_settings_accepted(Mutant::OlderSettingsAccepted)]
#[case::redirects_forgotten(Mutant::RedirectsForgotten)]
#[case::redirects_not_reannounced(Mutant::RedirectsNotReannounced)]
#[case::duplicate_delivered(Mutant::DuplicateDelivered)]
#[case::quorum_of_one(Mutant::QuorumOfOne)]
#[case::drain_ignored(Mutant::DrainIgnored)]
#[case::adopt_always(Mutant::AdoptAlways)]
fn mutant_is_detected(#[case] mutant: Mutant) {
    let case = CASES.into_iter().find(|case| case.mutant == mutant).expect("an entry");
    let detection = detect(case, STEPS_MAX).expect("a broken promise");
    println!("{mutant:?} caught after {} steps: {}", detection.steps, detection.promise);
}

/// A balancer with outdated settings, which list an upstream whose host now runs another service,
/// forwards a caller's packets.
fn host_reused_by_other_service() -> Vec<Step> {
    let publish = |service, change| Step::Publish { service, change, pick: 0, lag_ms: 0 };
    let mut steps = vec![
        publish(0, Change::Drain),
        publish(0, Change::Retire),
        Step::Advance { ms: 500 },
        Step::EndRetired { pick: 0 },
        Step::Advance { ms: 3_500 },
        publish(1, Change::Add),
        Step::Advance { ms: 500 },
        Step::StaleBalancer { pick: 0, behind: 9 },
    ];
    steps.extend(std::iter::repeat_n(Step::Open { pick: 0 }, 20));
    steps.push(Step::Advance { ms: 1_000 });
    steps
}

/// All agents but one are paused, and the balancer sends everything to that one.
fn one_agent_running() -> Vec<Step> {
    let mut steps = vec![Step::Open { pick: 0 }; 10];
    steps.push(Step::Advance { ms: 2_000 });
    let pause = |host: u8| Step::Pause { pick: 1 + host, lasts_ms: 5_000 };
    steps.extend((0..6).map(pause));
    steps.push(Step::Suspect { pick: 0, down: 0b11_1111 });
    steps.extend((0..10).map(|pick| Step::Send { pick }));
    steps.push(Step::Advance { ms: 2_000 });
    steps
}

/// Fixed traces for mutants that random episodes do not detect within the bounded number of steps.
#[rstest]
#[case::service_not_checked(Mutant::ServiceNotChecked, vec![3, 3], host_reused_by_other_service(), "2")]
#[case::reset_in_doubt(Mutant::ResetInDoubt, vec![7], one_agent_running(), "1: an open flow")]
fn mutant_is_detected_by_trace(
    #[case] mutant: Mutant,
    #[case] sizes: Vec<usize>,
    #[case] steps: Vec<Step>,
    #[case] promise: &str,
) {
    let setup =
        Setup { seed: 1, sizes, balancers: 1, callers: 10, max_flows: 2_000, patient: false };
    let episode = Episode { seed: 0, setup, profile: Profile::ALL, steps };
    let (kept, _) = campaign::play(&episode, Defects::default(), false);
    assert_eq!(kept.violation, None);
    let (broken, _) = campaign::play(&episode, Defects { mutant: Some(mutant) }, false);
    let violation = broken.violation.expect("a broken promise");
    println!("{mutant:?} caught after {} steps: {}", broken.steps, violation.promise);
    assert!(violation.promise.starts_with(promise), "{}", violation.promise);
}
