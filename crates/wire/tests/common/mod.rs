//! What the property tests share.

use proptest::test_runner::{Config, RngSeed};

/// The same inputs in every run, so that a verdict never changes by itself.
pub(crate) fn fixed_seed() -> Config {
    Config { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Config::default() }
}
