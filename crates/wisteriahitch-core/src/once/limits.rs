//! Bounds for the table of keys.

use wisteriahitch_types::{ByteCount, DurationUs};

/// Bounds what the table holds.
#[derive(Clone, Copy, Debug)]
pub struct TableLimits {
    /// How long the outcome of a key is kept for its repeat.
    pub kept_us: DurationUs,
    /// Most memory that settled keys take.
    pub kept_bytes: ByteCount,
    /// Most callers that wait for one key.
    pub max_waiters: usize,
}

impl Default for TableLimits {
    fn default() -> Self {
        Self {
            kept_us: DurationUs::from_ms(24 * 3_600_000),
            kept_bytes: ByteCount::new(8 << 20),
            max_waiters: 64,
        }
    }
}
