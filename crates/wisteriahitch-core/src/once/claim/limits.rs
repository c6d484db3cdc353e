//! Limits and timeouts of claims.

use wisteriahitch_types::{ByteCount, DurationUs};

const HOUR_MS: u64 = 3_600_000;

/// Limits and timeouts of claims in the object store.
#[derive(Clone, Copy, Debug)]
pub struct ClaimLimits {
    /// How long after its claim a key is guaranteed to run at most once, in milliseconds.
    pub guarantee_ms: u64,
    /// Age at which a claim is removed from its object, in milliseconds.
    ///
    /// The difference to `guarantee_ms` is the largest tolerated difference between the wall clocks
    /// of two daemons.
    pub retention_ms: u64,
    /// Maximum size of a claim object. The platform accepts up to 1 MB.
    pub max_object_bytes: ByteCount,
    /// Maximum size of one workspace's claims in an object, so that it cannot block others.
    pub max_workspace_bytes: ByteCount,
    /// Maximum length of an answer body, escaped as JSON, that is written to the claim.
    pub max_answer_bytes: ByteCount,
    /// Number of failed writes after which a request is reported as undecided.
    pub max_write_attempts: u32,
    /// Maximum time that a request waits for its claim.
    pub claim_timeout_us: DurationUs,
    /// How long the platform is not called after a call failed.
    pub outage_backoff_us: DurationUs,
    /// Maximum number of outcomes of one shard that wait to be written. Further ones are discarded.
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
