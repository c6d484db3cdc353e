//! How generated runs are made.

use proptest::test_runner::{Config, RngSeed};

/// Returns how `cases` runs are generated: always from the same seed, and with no files written.
pub(crate) fn seeded_config(cases: u32, seed: u64) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}
