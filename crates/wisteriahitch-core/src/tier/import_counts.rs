//! Counts of imports.

use serde::Serialize;

/// Counts how imports ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ImportCounts {
    /// Imports that were started.
    pub started: u64,
    /// Steps that joined an import already under way.
    pub joined: u64,
    /// Imports after which the endpoint held the block.
    pub finished: u64,
    /// Blocks that were gone.
    pub gone: u64,
    /// Blocks that were corrupt or of another version, and were freed.
    pub corrupt: u64,
    /// Imports that failed since the store or endpoint was lost.
    pub lost: u64,
    /// Imports that found no room in a queue.
    pub refused: u64,
    /// Requests that went on because computing was faster.
    pub late: u64,
}
