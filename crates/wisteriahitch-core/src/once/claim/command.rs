//! Commands of the batcher and the results that are reported to it.

use std::sync::Arc;

use super::{ClaimObject, ClaimShard, ClaimVersion};
use crate::once::{ExistingClaim, IdempotencyKey};

/// Why a claim could not be decided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UndecidedCause {
    /// The platform cannot be reached.
    PlatformAway,
    /// All write attempts failed because of conflicting writes by other daemons or lost answers.
    Contended,
    /// The object, or the quota of the workspace in it, is full.
    ShardFull,
    /// The claim was not decided within [`ClaimLimits::claim_timeout_us`](super::ClaimLimits).
    HeldTooLong,
}

/// Requests a platform call, or reports how the claim on a key was decided.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimCommand {
    /// Read the object of the shard and pass the result to
    /// [`on_read`](super::ClaimBatcher::on_read).
    Read(ClaimShard),
    /// Write the object of the shard if it still has the expected version or, without one, if it
    /// does not exist. Pass the result to [`on_write`](super::ClaimBatcher::on_write).
    WriteGroup {
        /// Shard whose object is written.
        shard: ClaimShard,
        /// Version that the object must have; `None` if it must not exist.
        expected: Option<ClaimVersion>,
        /// Complete new content.
        content: Arc<ClaimObject>,
    },
    /// Wait for a random delay that grows with `tries`, then call
    /// [`retry`](super::ClaimBatcher::retry).
    Retry {
        /// Shard whose write failed with a conflict.
        shard: ClaimShard,
        /// Number of consecutive conflicts on this shard.
        tries: u32,
    },
    /// The claim of this daemon on the key is in the object store.
    Written(IdempotencyKey),
    /// The object store contains another claim on the key.
    Lost(IdempotencyKey, ExistingClaim),
    /// It is unknown who holds the claim on the key, and whether the claim of this daemon was
    /// written.
    Undecided(IdempotencyKey, UndecidedCause),
}

/// Result of a read.
#[derive(Clone, Debug)]
pub enum ReadResult {
    /// The version and content of the object.
    Found(ClaimVersion, ClaimObject),
    /// The object does not exist yet.
    Missing,
    /// No usable answer arrived.
    Unavailable,
}

/// Result of a conditional write.
#[derive(Clone, Copy, Debug)]
pub enum WriteResult {
    /// The write took effect and gave the object this version.
    Written(ClaimVersion),
    /// The object has another version or exists already. Nothing was written.
    Conflict,
    /// The answer was lost or malformed. The write may have taken effect, or may still do so.
    AnswerLost,
    /// The platform refused the call or was not reached. Nothing was written.
    Unavailable,
}
