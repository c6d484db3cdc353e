//! Names of sections.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{ParseIdError, WorkspaceId};

const SITE: &str = "site";
const WORKSPACE_PREFIX: &str = "workspace/";

/// Name of a section of a configuration: `site`, or `workspace/ID`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum SectionName {
    /// The section of everything but the workspaces.
    Site,
    /// The section of one workspace.
    Workspace(WorkspaceId),
}

impl fmt::Display for SectionName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SectionName::Site => f.write_str(SITE),
            SectionName::Workspace(id) => write!(f, "{WORKSPACE_PREFIX}{id}"),
        }
    }
}

impl FromStr for SectionName {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text == SITE {
            return Ok(SectionName::Site);
        }
        let id = text.strip_prefix(WORKSPACE_PREFIX).unwrap_or_default();
        id.parse().map(SectionName::Workspace)
    }
}

impl TryFrom<String> for SectionName {
    type Error = ParseIdError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<SectionName> for String {
    fn from(name: SectionName) -> Self {
        name.to_string()
    }
}
