//! What the batcher asks of the shell, and what it hears back.

use std::sync::Arc;

use super::{ClaimObject, ClaimShard, ClaimVersion};
use crate::once::{ExistingClaim, IdempotencyKey};

/// Says why a claim could not be decided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UndecidedCause {
    /// The platform can't be reached.
    PlatformAway,
    /// Other daemons' writes or lost answers kept getting in the way.
    Contended,
    /// The object, or the workspace's part of it, is full.
    ShardFull,
    /// The platform took too long.
    HeldTooLong,
}

/// Asks the shell for a platform call, or tells it how a key was decided.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimCommand {
    /// Read the shard's object and pass the result to
    /// [`on_read`](super::ClaimBatcher::on_read).
    Read(ClaimShard),
    /// Write the shard's object, only if it still has the expected version or, without one, only
    /// if it doesn't exist, and pass the result to [`on_write`](super::ClaimBatcher::on_write).
    WriteGroup {
        /// Object to write.
        shard: ClaimShard,
        /// Version that the object must still have.
        expected: Option<ClaimVersion>,
        /// Whole new content.
        content: Arc<ClaimObject>,
    },
    /// Wait for a random time that grows with `tries`, then call
    /// [`retry`](super::ClaimBatcher::retry).
    Retry {
        /// Shard whose write met a conflict.
        shard: ClaimShard,
        /// Conflicts in a row.
        tries: u32,
    },
    /// Our claim on the key stands.
    Written(IdempotencyKey),
    /// Another claim on the key stands.
    Lost(IdempotencyKey, ExistingClaim),
    /// Nobody knows whose claim on the key stands, nor whether ours was written.
    Undecided(IdempotencyKey, UndecidedCause),
}

/// Reports how a read ended.
#[derive(Clone, Debug)]
pub enum ReadResult {
    /// The object's content at a version.
    Found(ClaimVersion, ClaimObject),
    /// The object doesn't exist yet.
    Missing,
    /// No usable answer came.
    Unavailable,
}

/// Reports how a conditional write ended.
#[derive(Clone, Copy, Debug)]
pub enum WriteResult {
    /// It took effect and gave the object this version.
    Written(ClaimVersion),
    /// The object has another version, or exists already; nothing was written.
    Conflict,
    /// The answer was lost or made no sense; the write may have taken effect, or still may.
    AnswerLost,
    /// The platform refused or wasn't reached; nothing was written.
    Unavailable,
}
