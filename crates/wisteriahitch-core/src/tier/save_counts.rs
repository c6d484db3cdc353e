//! Counts of save results.

use serde::Serialize;
use wisteriahitch_types::ByteCount;

/// Counts of saves by result, in blocks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct SaveCounts {
    /// Blocks queued for a link.
    pub queued: u64,
    /// Blocks that became readable.
    pub finished: u64,
    /// Total length of the blocks that became readable.
    pub finished_bytes: ByteCount,
    /// Blocks that the store already held.
    pub already_there: u64,
    /// Blocks whose save was retried.
    pub retried: u64,
    /// Blocks abandoned because the store or endpoint was lost or didn't answer.
    pub lost: u64,
    /// Blocks that the endpoint had evicted before the export.
    pub evicted_before: u64,
    /// Blocks for which the store had no free space.
    pub full: u64,
    /// Blocks that exceeded their workspace's quota.
    pub over_quota: u64,
    /// Blocks that were written with the wrong length.
    pub corrupt: u64,
}
