//! The transfer of one block over the link of a store VM.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{ByteCount, ParseIdError, TimeUs};

/// Identifies one transfer of this daemon; ids are never reused.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TransferId(u64);

impl TransferId {
    /// Creates an id from its number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number of the id.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the next id.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for TransferId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "t{}", self.0)
    }
}

impl FromStr for TransferId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.strip_prefix('t')
            .and_then(|digits| digits.parse().ok())
            .map(Self)
            .ok_or(ParseIdError::BadNumber)
    }
}

/// The purpose of a transfer, which decides its priority on a link.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TransferClass {
    /// An import that a caller waits for.
    #[serde(rename = "wait")]
    Import,
    /// The save of a block after its use.
    Save,
    /// The move of a block to memory before its predicted return.
    Prefetch,
}

/// A transfer that is queued for a link or in progress.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Transfer {
    /// Id of the transfer.
    pub id: TransferId,
    /// Purpose of the transfer.
    pub class: TransferClass,
    /// Length of the block.
    pub bytes: ByteCount,
    /// Time when the transfer was queued.
    pub queued_at_us: TimeUs,
}
