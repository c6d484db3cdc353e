//! Requests that wait for their claim.

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{KeyHash, TimeUs};

use crate::once::{ClaimNonce, Fingerprint, IdempotencyKey};

/// Version of a claim object. The platform counts its writes, and an object carries the number of
/// its last one.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimVersion(u64);

impl ClaimVersion {
    /// Wraps the platform's version number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the version number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// The current time on the two clocks that claims need.
#[derive(Clone, Copy, Debug)]
pub struct ClaimTime {
    /// Monotonic clock of the process, for timeouts.
    pub now: TimeUs,
    /// Wall clock in milliseconds since the Unix epoch, which is comparable between daemons.
    pub wall_ms: u64,
}

/// A request whose claim is being decided.
#[derive(Clone, Debug)]
pub(crate) struct ClaimRequest {
    pub(crate) key: IdempotencyKey,
    pub(crate) hash: KeyHash,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) nonce: ClaimNonce,
    pub(crate) requested_at: TimeUs,
    pub(crate) write_attempts: u32,
}
