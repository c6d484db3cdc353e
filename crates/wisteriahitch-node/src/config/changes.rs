//! What a submission changes.

use std::collections::BTreeMap;

use wisteriahitch_config::{Section, SectionHash, SectionName, Sections};

/// Returns the sections that differ from those in force, with the hashes that they are to have.
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
