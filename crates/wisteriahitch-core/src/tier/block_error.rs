//! Errors of operations on blocks.

use wisteriahitch_types::{BlockState, Code};

/// An operation that the state or the identity of a block doesn't allow.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum BlockError {
    /// The table has no such block, generation or store incarnation.
    #[error("the block, its generation or the incarnation of its store no longer exists")]
    Gone,
    /// The block's state doesn't allow the operation.
    #[error("the block is {0}")]
    State(BlockState),
    /// The block was computed for another weight version or another workspace.
    #[error("the block belongs to another weight version or workspace")]
    Foreign,
    /// The length or checksum differs from the known one.
    #[error("the block's length or checksum differs from the known one")]
    Corrupt,
    /// The location is used by another generation of the block.
    #[error("there is already a block at this location")]
    Taken,
    /// The table holds its maximum number of blocks.
    #[error("the block table is full")]
    TableFull,
}

impl BlockError {
    /// Returns the error code that callers see.
    pub const fn code(&self) -> Code {
        match self {
            BlockError::Gone | BlockError::State(_) | BlockError::Taken => Code::BlockGone,
            BlockError::Foreign | BlockError::Corrupt => Code::BlockCorrupt,
            BlockError::TableFull => Code::StoreFull,
        }
    }
}
