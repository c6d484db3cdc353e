//! Differences between the active and the submitted configuration.

use std::collections::BTreeMap;

use wisteriahitch_config::{Section, SectionHash, SectionName, Sections};

/// Returns the sections that differ from the active ones, with their new hashes; `None` for a
/// removed section.
pub(super) fn section_changes(
    base: &Sections,
    merged: &Sections,
) -> BTreeMap<SectionName, Option<SectionHash>> {
    let changes = base.changes_to(merged).into_iter();
    changes
        .map(|change| {
            let name = change.into_name();
            let hash = merged.get(&name).map(Section::hash);
            (name, hash)
        })
        .collect()
}
