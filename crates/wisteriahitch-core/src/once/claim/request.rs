//! One request that waits for its claim.

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{KeyHash, TimeUs};

use crate::once::{ClaimNonce, Fingerprint, IdempotencyKey};

/// Counts the platform's writes; an object carries the number of its last one.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimVersion(u64);

impl ClaimVersion {
    /// Wraps a plain number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the plain number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// Gives the two clocks that claims need.
#[derive(Clone, Copy, Debug)]
pub struct ClaimTime {
    /// The process's own clock, for waiting.
    pub now: TimeUs,
    /// Wall clock in milliseconds, which other daemons can read.
    pub wall_ms: u64,
}

/// Holds a request whose claim is being decided.
#[derive(Clone, Debug)]
pub(crate) struct ClaimRequest {
    pub(crate) key: IdempotencyKey,
    pub(crate) hash: KeyHash,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) nonce: ClaimNonce,
    pub(crate) requested_at: TimeUs,
    pub(crate) write_attempts: u32,
}
