//! Limits of the table of keys.

use wisteriahitch_types::{ByteCount, DurationUs};

/// Limits of an [`IdempotencyTable`](super::IdempotencyTable).
#[derive(Clone, Copy, Debug)]
pub struct TableLimits {
    /// How long the outcome of a key is stored for repeats, counted from when it was settled.
    pub outcome_ttl_us: DurationUs,
    /// Maximum memory of settled keys and their stored answers.
    pub max_settled_bytes: ByteCount,
    /// Maximum number of callers that wait for the outcome of one key.
    pub max_waiters: usize,
}

impl Default for TableLimits {
    fn default() -> Self {
        Self {
            outcome_ttl_us: DurationUs::from_ms(24 * 3_600_000),
            max_settled_bytes: ByteCount::new(8 << 20),
            max_waiters: 64,
        }
    }
}
