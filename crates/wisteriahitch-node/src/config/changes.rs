//! What a submission changes.

use std::collections::BTreeMap;

use wisteriahitch_config::Sections;
use wisteriahitch_core::fleet::{SectionHash, SectionName};

use super::objects::core_name;

/// Returns what differs between the sections in force and those that are to be.
pub(super) fn changes(
    base: &Sections,
    merged: &Sections,
) -> BTreeMap<SectionName, Option<SectionHash>> {
    let mut changes = BTreeMap::new();
    for (name, _) in base.iter().filter(|(name, _)| merged.get(name).is_none()) {
        changes.extend(core_name(name).map(|name| (name, None)));
    }
    for (name, section) in merged.iter() {
        if base.get(name).map(|known| known.hash()) == Some(section.hash()) {
            continue;
        }
        let hash = section.hash().to_string().parse().ok();
        changes.extend(core_name(name).map(|name| (name, hash)));
    }
    changes
}
