//! Helpers that the property tests share.

use proptest::test_runner::{Config, RngSeed};

/// Generates the same inputs in every run, so that results are reproducible.
pub(crate) fn fixed_seed() -> Config {
    Config { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Config::default() }
}
