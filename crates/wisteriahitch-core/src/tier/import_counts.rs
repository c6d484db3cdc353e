//! Counts of import results.

use serde::Serialize;

/// Counts of imports by result.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ImportCounts {
    /// Imports started.
    pub started: u64,
    /// Steps that joined an import in progress.
    pub joined: u64,
    /// Imports after which the endpoint held the block.
    pub finished: u64,
    /// Imports whose block no longer existed or was being written.
    pub gone: u64,
    /// Imports whose block was corrupt or of another version; the block is freed.
    pub corrupt: u64,
    /// Imports that failed because the store or endpoint was lost or didn't answer.
    pub lost: u64,
    /// Imports refused because a queue or the block table was full, or because the endpoint runs
    /// another weight version.
    pub refused: u64,
    /// Requests released at their deadline, because recomputing was faster.
    pub late: u64,
}
