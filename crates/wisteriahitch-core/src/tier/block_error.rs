//! Why a block can't be used or changed.

use wisteriahitch_types::{BlockState, Code};

/// Reports a step that a block's life or its identity doesn't allow.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum BlockError {
    /// The table knows no such block, generation or store incarnation.
    #[error("the block, its generation or its store's incarnation is gone")]
    Gone,
    /// The block's state doesn't allow the step.
    #[error("the block is {0}")]
    State(BlockState),
    /// The block was computed for another weight version or another workspace.
    #[error("the block belongs to another weight version or workspace")]
    Foreign,
    /// The length isn't the reserved one.
    #[error("the block's length is not the reserved one")]
    Corrupt,
    /// The place is taken by another life of the block.
    #[error("the location is taken")]
    Taken,
    /// The table holds as many blocks as it may.
    #[error("the table of blocks is full")]
    TableFull,
}

impl BlockError {
    /// Returns the numbered code.
    pub const fn code(&self) -> Code {
        match self {
            BlockError::Gone | BlockError::State(_) | BlockError::Taken => Code::BlockGone,
            BlockError::Foreign | BlockError::Corrupt => Code::BlockCorrupt,
            BlockError::TableFull => Code::StoreFull,
        }
    }
}
