//! Configuration of property tests.

use proptest::test_runner::{Config, RngSeed};

/// Returns a configuration for `cases` test cases that are generated from a fixed seed. No failure
/// files are written.
pub(crate) fn seeded_config(cases: u32, seed: u64) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}
