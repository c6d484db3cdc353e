//! Difference between two versions of the head.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use wisteriahitch_config::{SectionHash, SectionName};
use wisteriahitch_types::ConfigVersion;

use super::{HeadObject, HistoryEntry};

/// Difference that turns a head into a later version.
///
/// A whole head of 3,200 workspaces takes hundreds of kilobytes; peers that have the previous
/// version need only the changes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HeadChange {
    /// Version that the change applies to; 0 if the change contains a whole head.
    pub base: ConfigVersion,
    /// Version of the resulting head.
    pub version: ConfigVersion,
    /// Changed sections; `None` removes a section.
    pub sections: BTreeMap<SectionName, Option<SectionHash>>,
    /// History entries since the base, newest first.
    pub history: Vec<HistoryEntry>,
    /// Expected digest of the resulting head.
    pub digest: SectionHash,
}

impl HeadChange {
    /// Returns the difference between two heads; `base` must be the older one.
    pub fn between(base: &HeadObject, next: &HeadObject) -> Self {
        let set = next
            .sections
            .iter()
            .filter(|(name, hash)| base.sections.get(*name) != Some(*hash))
            .map(|(name, hash)| (name.clone(), Some(*hash)));
        let removed = base
            .sections
            .keys()
            .filter(|name| !next.sections.contains_key(*name))
            .map(|name| (name.clone(), None));
        let history = next.history.iter();
        Self {
            base: base.version,
            version: next.version,
            sections: set.chain(removed).collect(),
            history: history
                .take_while(|entry| entry.version > base.version)
                .cloned()
                .collect(),
            digest: next.digest(),
        }
    }

    /// Returns the later head, or `None` if `stored` is not the base of the change or the digest
    /// differs.
    ///
    /// A change from version 0 contains the whole head and applies to any `stored` head.
    pub fn try_apply(&self, stored: Option<&HeadObject>) -> Option<HeadObject> {
        let is_whole = self.base == ConfigVersion::new(0);
        let base = match stored.filter(|_| !is_whole) {
            Some(stored) if stored.version == self.base => stored.clone(),
            None if is_whole => HeadObject::default(),
            _ => return None,
        };
        let mut next = base;
        next.version = self.version;
        for (name, hash) in &self.sections {
            match hash {
                Some(hash) => next.sections.insert(name.clone(), *hash),
                None => next.sections.remove(name),
            };
        }
        next.history.splice(0..0, self.history.iter().cloned());
        next.history.truncate(HeadObject::MAX_HISTORY);
        // Heads of the same version are identical as long as the platform's conditional update is
        // correct. A wrong head would make two daemons apply different rules, so its digest is
        // verified.
        (next.digest() == self.digest).then_some(next)
    }
}
