//! Data of a submission.

use std::collections::{BTreeMap, BTreeSet};

use wisteriahitch_config::{SectionHash, SectionName};
use wisteriahitch_types::{ConfigVersion, SubmissionId};

use super::{HeadObject, SubmissionCommand, SubmissionOutcome};

/// Number of failed or conflicting store calls after which a submission gives up.
const MAX_ATTEMPTS: u32 = 8;

/// Changes of a submission and the state of the head as last read.
#[derive(Debug, Default)]
pub(super) struct SubmissionTable {
    pub(super) id: Option<SubmissionId>,
    pub(super) changes: BTreeMap<SectionName, Option<SectionHash>>,
    /// Version that the submission must be based on; `None` accepts any version.
    pub(super) expected: Option<ConfigVersion>,
    pub(super) submitted_at_unix_ms: u64,
    /// Sections that are not known to be in the store yet.
    pub(super) unwritten_sections: BTreeSet<SectionHash>,
    /// Head as last read.
    pub(super) head: HeadObject,
    /// Version of the head object in the platform as last read.
    pub(super) object_version: u64,
    /// Head that contains the submission.
    pub(super) next: HeadObject,
    pub(super) accepted_version: ConfigVersion,
    /// Version of the head at the first read; an entry of this submission can only follow it.
    pub(super) first_read_version: Option<ConfigVersion>,
    /// Whether the answer to an update was lost, so that the update may have taken or still take
    /// effect.
    pub(super) has_lost_update: bool,
    pub(super) attempts: u32,
    pub(super) outcome: Option<SubmissionOutcome>,
    pub(super) commands: Vec<SubmissionCommand>,
}

impl SubmissionTable {
    pub(super) fn push_command(&mut self, command: SubmissionCommand) {
        self.commands.push(command);
    }

    pub(super) fn try_use_retry(&mut self) -> bool {
        self.attempts += 1;
        self.attempts < MAX_ATTEMPTS
    }

    pub(super) fn record_head(&mut self, head: Option<HeadObject>, object_version: u64) {
        self.head = head.unwrap_or_default();
        self.object_version = object_version;
        self.first_read_version.get_or_insert(self.head.version);
    }

    /// Returns whether the history contains this submission, and if so records the accepted
    /// version.
    pub(super) fn find_acceptance(&mut self) -> bool {
        let id = self.id.as_ref();
        let Some(entry) = id.and_then(|id| self.head.find_submission(id)) else {
            return false;
        };
        self.accepted_version = entry.version;
        self.next = self.head.clone();
        true
    }

    /// Returns the version of the head if the operator expected another one and no entry of this
    /// submission can be missing from the history.
    pub(super) fn find_conflicting_version(&self) -> Option<ConfigVersion> {
        // A lost update can still arrive. "No effect" is true only after the head has moved on from
        // the version that the update expects, because this makes a late update fail.
        let is_moved = self
            .expected
            .is_some_and(|version| version != self.head.version);
        (is_moved && !self.may_have_lost_entry()).then_some(self.head.version)
    }

    /// Returns whether an entry of this submission may already have been removed from the history.
    pub(super) fn may_have_lost_entry(&self) -> bool {
        let since = self.first_read_version.unwrap_or_default();
        self.has_lost_update && !self.head.history_covers(since)
    }

    pub(super) fn build_next(&mut self) -> HeadObject {
        let Some(id) = self.id.clone() else {
            return self.head.clone();
        };
        let changes = self.changes.clone();
        self.next = self
            .head
            .with_changes(changes, id, self.submitted_at_unix_ms);
        self.accepted_version = self.next.version;
        self.next.clone()
    }

    pub(super) fn push_head_update(&mut self) {
        self.push_command(SubmissionCommand::UpdateHead {
            head: self.next.clone(),
            expected: self.object_version,
        });
    }
}
