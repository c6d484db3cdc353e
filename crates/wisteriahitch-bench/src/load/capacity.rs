//! How a load is measured against the capacity of a site's endpoints.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Which prompt tokens count when a load is given as a share of the endpoints' capacity.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Capacity {
    /// All tokens of all prompts, as if nothing were cached.
    Computed,
    /// Only tokens that no earlier visit of the conversation had, as if everything were cached.
    Kept,
}

impl fmt::Display for Capacity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Computed => "computed",
            Self::Kept => "kept",
        })
    }
}

impl FromStr for Capacity {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "computed" => Ok(Self::Computed),
            "kept" => Ok(Self::Kept),
            _ => Err(format!("{text:?} is not one of computed, kept")),
        }
    }
}
