//! Whether a daemon manages the load of endpoints by learned rates and by shares of workspaces.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;

use crate::site::SiteConfig;

/// Where a daemon learns what endpoints can do, and divides it among ranks and workspaces.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(try_from = "String")]
pub enum LoadManagement {
    /// On if the configuration has engines with enough memory for a long prompt in each slot, and states
    /// how many tokens their events hold, without which the time of a first event can't be estimated.
    #[default]
    Auto,
    /// On for every configuration.
    Always,
    /// Off.
    Never,
}

/// A text that names no [`LoadManagement`].
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0:?} is not one of auto, always, never")]
pub struct LoadManagementError(String);

impl LoadManagement {
    /// Returns whether load is managed under a configuration.
    pub fn applies_to(self, config: &SiteConfig) -> bool {
        match self {
            LoadManagement::Auto => config.has_manageable_engines(),
            LoadManagement::Always => true,
            LoadManagement::Never => false,
        }
    }
}

impl fmt::Display for LoadManagement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LoadManagement::Auto => "auto",
            LoadManagement::Always => "always",
            LoadManagement::Never => "never",
        })
    }
}

impl FromStr for LoadManagement {
    type Err = LoadManagementError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "auto" => Ok(LoadManagement::Auto),
            "always" => Ok(LoadManagement::Always),
            "never" => Ok(LoadManagement::Never),
            _ => Err(LoadManagementError(text.to_owned())),
        }
    }
}

impl TryFrom<String> for LoadManagement {
    type Error = LoadManagementError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}
