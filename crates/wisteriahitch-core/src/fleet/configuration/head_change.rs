//! What one version changed in the head.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use wisteriahitch_config::{SectionHash, SectionName};
use wisteriahitch_types::ConfigVersion;

use super::{HeadObject, HistoryEntry};

/// Takes a head from one version to a later one.
///
/// A whole head of 3,200 workspaces is hundreds of kilobytes; peers that hold the version before
/// need only what changed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HeadChange {
    /// Version that it starts from.
    pub base: ConfigVersion,
    /// Version that it leads to.
    pub version: ConfigVersion,
    /// Sections that are set, or removed where there is no hash.
    pub sections: BTreeMap<SectionName, Option<SectionHash>>,
    /// Acceptances since the base, the newest first.
    pub history: Vec<HistoryEntry>,
    /// Digest of the head that must come out.
    pub digest: SectionHash,
}

impl HeadChange {
    /// Compares two heads; `base` must be the older one.
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

    /// Returns the later head, unless `held` isn't the one that the change starts from.
    ///
    /// A change that starts from version 0 holds the whole head and fits whatever is held.
    pub fn try_apply(&self, held: Option<&HeadObject>) -> Option<HeadObject> {
        let is_whole = self.base == ConfigVersion::new(0);
        let base = match held.filter(|_| !is_whole) {
            Some(held) if held.version == self.base => held.clone(),
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
        // Two heads of one version can't differ as long as the platform keeps its word. A wrong
        // one would show as rules that decide differently on two daemons; so it is compared.
        (next.digest() == self.digest).then_some(next)
    }
}
