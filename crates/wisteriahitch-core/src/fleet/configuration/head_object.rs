//! The head: the one object whose conditional update accepts a configuration.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use wisteriahitch_config::{SectionHash, SectionName};
use wisteriahitch_types::{ConfigVersion, SubmissionId};

/// Names the sections of an accepted configuration.
///
/// ```
/// use wisteriahitch_config::{Section, SectionName};
/// use wisteriahitch_core::fleet::HeadObject;
///
/// let site = Section::new("[[rules]]");
/// let changes = [(SectionName::Site, Some(site.hash()))];
/// let head = HeadObject::default().with_changes(changes, "s-1".parse()?, 1_700_000_000_000);
/// assert_eq!(head.version.get(), 1);
/// assert!(head.find_submission(&"s-1".parse()?).is_some());
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct HeadObject {
    /// Version; the first accepted one is 1.
    pub version: ConfigVersion,
    /// Hash of every section.
    pub sections: BTreeMap<SectionName, SectionHash>,
    /// The last acceptances, the newest first; it settles a submission whose answer was lost.
    pub history: Vec<HistoryEntry>,
}

/// Holds one acceptance.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Version that was accepted.
    pub version: ConfigVersion,
    /// Submission that it came with.
    pub submission: SubmissionId,
    /// When it was accepted, in milliseconds since 1970 by the accepting daemon's clock; for
    /// people alone.
    pub accepted_at_unix_ms: u64,
}

impl HeadObject {
    /// Acceptances that are remembered.
    ///
    /// At 7,000 changes a day this is an hour, and takes some 25 KB of the object.
    pub const MAX_HISTORY: usize = 300;

    /// Returns the next version: sections given are set, those without a hash are removed.
    pub fn with_changes(
        &self,
        changes: impl IntoIterator<Item = (SectionName, Option<SectionHash>)>,
        submission: SubmissionId,
        accepted_at_unix_ms: u64,
    ) -> Self {
        let mut next = self.clone();
        next.version = self.version.next();
        for (name, hash) in changes {
            match hash {
                Some(hash) => next.sections.insert(name, hash),
                None => next.sections.remove(&name),
            };
        }
        let entry = HistoryEntry {
            version: next.version,
            submission,
            accepted_at_unix_ms,
        };
        next.history.insert(0, entry);
        next.history.truncate(Self::MAX_HISTORY);
        next
    }

    /// Returns the acceptance of a submission, if it is remembered.
    pub fn find_submission(&self, submission: &SubmissionId) -> Option<&HistoryEntry> {
        self.history
            .iter()
            .find(|entry| entry.submission == *submission)
    }

    /// Returns whether the history reaches back to the acceptance that followed `version`.
    pub fn remembers_since(&self, version: ConfigVersion) -> bool {
        let oldest = self.history.last().map(|entry| entry.version);
        oldest.is_none_or(|oldest| oldest <= version.next())
    }

    /// Returns a hash of the whole head, by which two daemons compare theirs.
    pub fn digest(&self) -> SectionHash {
        let mut bytes = Vec::new();
        let mut add = |part: &[u8]| {
            bytes.extend((part.len() as u64).to_le_bytes());
            bytes.extend(part);
        };
        add(&self.version.get().to_le_bytes());
        for (name, hash) in &self.sections {
            add(name.to_string().as_bytes());
            add(hash.to_string().as_bytes());
        }
        for entry in &self.history {
            add(&entry.version.get().to_le_bytes());
            add(entry.submission.as_str().as_bytes());
        }
        SectionHash::of(bytes)
    }
}
