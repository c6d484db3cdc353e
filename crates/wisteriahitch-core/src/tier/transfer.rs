//! One block's way over the link of a store VM.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{ByteCount, ParseIdError, TimeUs};

/// Identifies one transfer of this daemon; numbers are never used again.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TransferId(u64);

impl TransferId {
    /// Wraps a plain number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the plain number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the id that follows.
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

/// Sorts transfers by who waits for them.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TransferClass {
    /// An import that a caller waits for.
    #[serde(rename = "wait")]
    Import,
    /// A block that is saved after use.
    Save,
    /// A block that is moved before its foreseen return.
    Prefetch,
}

/// Holds a transfer that waits for its link.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Transfer {
    /// Id.
    pub id: TransferId,
    /// Who waits for it.
    pub class: TransferClass,
    /// Length of the block.
    pub bytes: ByteCount,
    /// When it joined the queue.
    pub queued_at_us: TimeUs,
}
