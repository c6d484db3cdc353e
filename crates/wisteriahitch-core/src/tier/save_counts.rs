//! Counts of saves.

use serde::Serialize;
use wisteriahitch_types::ByteCount;

/// Counts how saves ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct SaveCounts {
    /// Blocks that joined a link's queue.
    pub queued: u64,
    /// Blocks that became readable.
    pub finished: u64,
    /// Bytes of those.
    pub finished_bytes: ByteCount,
    /// Blocks that the store held already.
    pub already_there: u64,
    /// Blocks tried a second time.
    pub retried: u64,
    /// Blocks given up since the store or endpoint was lost.
    pub lost: u64,
    /// Blocks that the endpoint had evicted before.
    pub evicted_before: u64,
    /// Blocks for which there was no room.
    pub full: u64,
    /// Blocks over their workspace's quota.
    pub over_quota: u64,
    /// Blocks whose written length was wrong.
    pub corrupt: u64,
}
