//! Every safeguard that is taken out is missed: the fuzzing breaks a promise within bounded steps.
//! Runs with `--features mutants` only, in a step of its own.
#![cfg(feature = "mutants")]

use decision::agent::Mutant;
use fuzzing::mutants::{STEPS_MAX, hunt};
use rstest::rstest;

#[rstest]
#[case::promise_not_kept(Mutant::PromiseNotKept, "3")]
fn caught(#[case] mutant: Mutant, #[case] promise: &str) {
    let catch = hunt(mutant).expect("a broken promise");
    println!("{mutant:?} caught after {} steps: {}", catch.steps, catch.promise);
    assert!(catch.steps <= STEPS_MAX);
    assert!(catch.promise.starts_with(promise));
}
