//! What a site's endpoints can do.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Says which prompt tokens count when a load is given as a part of the endpoints' capacity.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Capacity {
    /// Every token of every prompt, as if nothing were ever kept.
    Computed,
    /// Only those that no earlier visit had, as if everything were always kept.
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
