//! Storage tiers of a store VM.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Storage tier of a store VM in which a block is stored.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Tier {
    /// The VM's memory.
    Memory,
    /// The VM's disk.
    Disk,
}

impl fmt::Display for Tier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Tier::Memory => "memory",
            Tier::Disk => "disk",
        })
    }
}
