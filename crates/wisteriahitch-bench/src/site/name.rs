//! Which site.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Names a site of the brief.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SiteName {
    /// Chainline Lanka Cycle Care, lk-west.
    Chainline,
    /// Lanyu Frostline Software, tw-north.
    Lanyu,
}

impl fmt::Display for SiteName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Chainline => "chainline",
            Self::Lanyu => "lanyu",
        })
    }
}

impl FromStr for SiteName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "chainline" => Ok(Self::Chainline),
            "lanyu" => Ok(Self::Lanyu),
            _ => Err(format!("{text:?} is not one of chainline, lanyu")),
        }
    }
}
