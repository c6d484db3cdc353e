//! What a submission changes.

use std::collections::BTreeMap;

use wisteriahitch_config::{Section, SectionHash, SectionName, Sections};

/// Returns what differs between the sections in force and those that are to be.
pub(super) fn changes(
    base: &Sections,
    merged: &Sections,
) -> BTreeMap<SectionName, Option<SectionHash>> {
    let names = base.iter().chain(merged.iter()).map(|(name, _)| name);
    let hash_in = |sections: &Sections, name| sections.get(name).map(Section::hash);
    names
        .filter(|name| hash_in(base, name) != hash_in(merged, name))
        .map(|name| (name.clone(), hash_in(merged, name)))
        .collect()
}
