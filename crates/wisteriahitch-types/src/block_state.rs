//! The steps of a block's life, by the names of the model `specs/block_life.pml`.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Names the steps of a block's life, as `docs/design/blocks.md` tells them.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BlockState {
    /// Room is taken at the store.
    Reserved,
    /// Content is arriving, so that a reader would see a part of it.
    Writing,
    /// Length and checksum are fixed.
    Sealed,
    /// Readers may pin it.
    Readable,
    /// Readers that hold a pin may finish, and no new one may start.
    Draining,
    /// It is gone, whatever still names it.
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
