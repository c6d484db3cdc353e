//! The head: the object whose conditional update accepts a configuration.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use wisteriahitch_config::{SectionHash, SectionName};
use wisteriahitch_types::{ConfigVersion, SubmissionId};

/// Version, section hashes and recent history of an accepted configuration.
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
    /// Version; the first accepted configuration has version 1.
    pub version: ConfigVersion,
    /// Hash of each section.
    pub sections: BTreeMap<SectionName, SectionHash>,
    /// Last accepted submissions, newest first. They settle a submission whose answer was lost.
    pub history: Vec<HistoryEntry>,
}

/// An accepted submission.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Version that the submission created.
    pub version: ConfigVersion,
    /// Id of the submission.
    pub submission: SubmissionId,
    /// Time of acceptance in milliseconds since 1970 on the accepting daemon's clock. Only for
    /// display.
    pub accepted_at_unix_ms: u64,
}

impl HeadObject {
    /// Maximum number of history entries.
    ///
    /// At 7,000 changes a day this covers an hour and takes some 25 KB of the object.
    pub const MAX_HISTORY: usize = 300;

    /// Returns the head of the next version. Sections with a hash are set, sections without one are
    /// removed.
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

    /// Returns the history entry of a submission, or `None` if the history does not contain it.
    pub fn find_submission(&self, submission: &SubmissionId) -> Option<&HistoryEntry> {
        self.history
            .iter()
            .find(|entry| entry.submission == *submission)
    }

    /// Returns whether the history still contains the entry that followed `version`.
    pub fn history_covers(&self, version: ConfigVersion) -> bool {
        let oldest = self.history.last().map(|entry| entry.version);
        oldest.is_none_or(|oldest| oldest <= version.next())
    }

    /// Returns a hash of the whole head, by which daemons compare their heads.
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
