//! Bounds for the table of keys.

use wisteriahitch_types::{ByteCount, DurationUs};

/// Bounds what the table holds.
#[derive(Clone, Copy, Debug)]
pub struct TableLimits {
    /// How long the outcome of a key is kept for its repeat.
    pub outcome_ttl_us: DurationUs,
    /// Most memory that settled keys take.
    pub max_settled_bytes: ByteCount,
    /// Most callers that wait for one key.
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
