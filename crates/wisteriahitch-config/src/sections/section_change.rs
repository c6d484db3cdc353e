//! Differences between two sets of sections.

use std::fmt;

use serde::Serialize;

use super::SectionName;

/// A difference in one section between two configurations.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SectionChange {
    /// The section was added.
    Added(SectionName),
    /// The content of the section changed.
    Changed(SectionName),
    /// The section was removed.
    Removed(SectionName),
}

impl SectionChange {
    /// Returns the name of the section.
    pub fn into_name(self) -> SectionName {
        match self {
            SectionChange::Added(name)
            | SectionChange::Changed(name)
            | SectionChange::Removed(name) => name,
        }
    }
}

impl fmt::Display for SectionChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SectionChange::Added(name) => write!(f, "added {name}"),
            SectionChange::Changed(name) => write!(f, "changed {name}"),
            SectionChange::Removed(name) => write!(f, "removed {name}"),
        }
    }
}
