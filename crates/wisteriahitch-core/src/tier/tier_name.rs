//! The tiers of a store VM.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use wisteriahitch_types::ParseIdError;

/// Names where in a store VM a block lies.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TierName {
    /// The VM's memory.
    Memory,
    /// The VM's disk.
    Disk,
}

impl fmt::Display for TierName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            TierName::Memory => "memory",
            TierName::Disk => "disk",
        })
    }
}

impl FromStr for TierName {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "memory" => Ok(TierName::Memory),
            "disk" => Ok(TierName::Disk),
            _ => Err(ParseIdError::BadCharacter(
                text.chars().next().unwrap_or(' '),
            )),
        }
    }
}
