//! Differences between two sets of sections.

use std::fmt;

use serde::Serialize;

use super::SectionName;

/// A difference in one section between two configurations.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The section was added.
    Added(SectionName),
    /// The content of the section changed.
    Changed(SectionName),
    /// The section was removed.
    Removed(SectionName),
}

impl Change {
    /// Returns the name of the section.
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
