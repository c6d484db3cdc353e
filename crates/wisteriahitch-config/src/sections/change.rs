//! What a submission changes.

use std::fmt;

use serde::Serialize;

use super::SectionName;

/// Names a section that differs between two configurations.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The section is new.
    Added(SectionName),
    /// The section has another content.
    Changed(SectionName),
    /// The section is gone.
    Removed(SectionName),
}

impl Change {
    /// Returns the section's name.
    pub fn into_name(self) -> SectionName {
        match self {
            Change::Added(name) | Change::Changed(name) | Change::Removed(name) => name,
        }
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Change::Added(name) => write!(f, "added {name}"),
            Change::Changed(name) => write!(f, "changed {name}"),
            Change::Removed(name) => write!(f, "removed {name}"),
        }
    }
}
