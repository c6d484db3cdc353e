//! Canonical text of sections, independent of the spacing and key order of the submission.

use toml::{Table, Value};
use wisteriahitch_types::WorkspaceId;

use super::{Section, SectionName};
use crate::draft::{REMOVED_WORKSPACES_KEY, WORKSPACES_KEY};

const ID_KEY: &str = "id";

/// Splits a submission into sections of canonical text: keys are sorted, comments removed, and
/// lists keep their order. The submission must have passed reading without problems.
pub(super) fn split(text: &str) -> Result<Vec<(SectionName, Section)>, toml::de::Error> {
    let mut top: Table = toml::from_str(text)?;
    let workspaces = top.remove(WORKSPACES_KEY);
    top.remove(REMOVED_WORKSPACES_KEY);
    let mut sections = Vec::new();
    if !top.is_empty() {
        sections.push((SectionName::Site, Section::new(top.to_string())));
    }
    let Some(Value::Array(workspaces)) = workspaces else {
        return Ok(sections);
    };
    for workspace in workspaces {
        sections.extend(workspace_section(workspace));
    }
    Ok(sections)
}

fn workspace_section(workspace: Value) -> Option<(SectionName, Section)> {
    let id: WorkspaceId = workspace.get(ID_KEY)?.as_str()?.parse().ok()?;
    let mut top = Table::new();
    top.insert(WORKSPACES_KEY.to_owned(), Value::Array(vec![workspace]));
    Some((SectionName::Workspace(id), Section::new(top.to_string())))
}
