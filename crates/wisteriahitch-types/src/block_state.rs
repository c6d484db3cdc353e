//! States of a cache block; the names are those of the model `specs/block_life.pml`.

use std::fmt;

use serde::{Deserialize, Serialize};

/// State of a cache block in a store VM, as described in `docs/design/blocks.md`.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BlockState {
    /// Space is reserved in the store; no content has been written.
    Reserved,
    /// Content is being written. A reader would see incomplete content.
    Writing,
    /// Writing has finished; length and checksum are final.
    Sealed,
    /// Readers may pin the block.
    Readable,
    /// Readers that hold a pin may finish; no new pin is granted.
    Draining,
    /// The block no longer exists, even if a directory or a reader still refers to it.
    Freed,
}

impl fmt::Display for BlockState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BlockState::Reserved => "reserved",
            BlockState::Writing => "writing",
            BlockState::Sealed => "sealed",
            BlockState::Readable => "readable",
            BlockState::Draining => "draining",
            BlockState::Freed => "freed",
        })
    }
}
