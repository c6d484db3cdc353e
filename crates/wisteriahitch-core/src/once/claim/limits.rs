//! Bounds for claims.

use wisteriahitch_types::{ByteCount, DurationUs};

const HOUR_MS: u64 = 3_600_000;

/// Bounds what claims take and how long they are waited for.
#[derive(Clone, Copy, Debug)]
pub struct ClaimLimits {
    /// For how long after its claim a key is promised to run at most once.
    pub guarantee_ms: u64,
    /// After how long a claim is dropped from its object.
    ///
    /// The span above the promise is the error that wall clocks of two daemons may have.
    pub retention_ms: u64,
    /// Largest object that is written; the platform itself takes 1 MB.
    pub max_object_bytes: ByteCount,
    /// Largest part of an object that one workspace may fill, so that it can't shut out others.
    pub max_workspace_bytes: ByteCount,
    /// Largest answer that is written down with its claim.
    pub max_answer_bytes: ByteCount,
    /// Writes that one request takes part in before it is given up as undecided.
    pub max_write_attempts: u32,
    /// Longest time that a request waits for its claim.
    pub claim_timeout_us: DurationUs,
    /// How long the platform is left alone after it failed to answer.
    pub outage_backoff_us: DurationUs,
    /// Most outcomes of one shard that wait to be written down.
    pub max_pending_outcomes: usize,
}

impl Default for ClaimLimits {
    fn default() -> Self {
        Self {
            guarantee_ms: 24 * HOUR_MS,
            retention_ms: 30 * HOUR_MS,
            max_object_bytes: ByteCount::new(900_000),
            max_workspace_bytes: ByteCount::new(225_000),
            max_answer_bytes: ByteCount::new(8_192),
            max_write_attempts: 6,
            claim_timeout_us: DurationUs::from_ms(2_000),
            outage_backoff_us: DurationUs::from_ms(500),
            max_pending_outcomes: 256,
        }
    }
}
