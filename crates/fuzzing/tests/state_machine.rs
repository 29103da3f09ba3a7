//! Drives the core with `proptest-state-machine`: each transition is a step of the fuzzer, each
//! invariant a promise of the oracle. Seeds are fixed, so that every run has the same result;
//! `cargo xtask fuzz` does longer runs.

use fuzzing::campaign;
use fuzzing::step::{self, Profile, Step};
use fuzzing::world::{Balancing, Defects, Setup, World};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

/// The part of the state that stays constant over a run. The oracle checks the promises.
#[derive(Clone, Debug)]
struct Reference {
    setup: Setup,
    profile: Profile,
}

impl ReferenceStateMachine for Reference {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self::State> {
        (campaign::setups(), step::profiles())
            .prop_map(|(setup, profile)| Self { setup, profile })
            .boxed()
    }

    fn transitions(state: &Self::State) -> BoxedStrategy<Self::Transition> {
        step::steps(state.profile)
    }

    fn apply(state: Self::State, _transition: &Self::Transition) -> Self::State {
        state
    }
}

struct Fuzzing;

impl StateMachineTest for Fuzzing {
    type SystemUnderTest = World;
    type Reference = Reference;

    fn init_test(state: &Reference) -> World {
        World::new(&state.setup, Balancing::Core, Defects::default())
    }

    fn apply(mut world: World, _state: &Reference, step: Step) -> World {
        world.apply(&step);
        world
    }

    fn check_invariants(world: &World, _state: &Reference) {
        assert_eq!(world.violation(), None);
    }

    fn teardown(mut world: World, _state: Reference) {
        world.heal();
        assert_eq!(world.violation(), None);
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 120,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn promises_under_any_steps(sequential 1..120 => Fuzzing);
}
