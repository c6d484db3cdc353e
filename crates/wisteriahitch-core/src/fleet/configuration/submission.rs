//! Submission of a changed configuration by an operator.

use std::collections::BTreeMap;

use serde::Serialize;
use statig::blocking::StateMachine;
use statig::prelude::*;
use wisteriahitch_config::{SectionHash, SectionName};
use wisteriahitch_types::{ConfigVersion, SubmissionId};

use super::submission_machine::SubmissionMachine;
use super::submission_table::SubmissionTable;
use super::{SubmissionCommand, SubmissionEvent, SubmissionOutcome};

/// State of a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SubmissionStep {
    /// The submission has not started.
    Fresh,
    /// Section objects are being written to the store.
    Writing,
    /// The head is being read.
    Reading,
    /// The resulting configuration is being checked.
    Checking,
    /// The head is being updated.
    Updating,
    /// The submission is accepted and is being pushed to peers.
    Spreading,
    /// The outcome has been reported.
    Done,
}

/// Accepts a set of changed sections by one conditional update of the head.
///
/// If the answer to the update is lost, the history in the head tells whether it took effect. The
/// same id may be submitted any number of times and is accepted at most once.
///
/// ```
/// use wisteriahitch_core::fleet::{Submission, SubmissionCommand, SubmissionEvent};
///
/// let mut submission = Submission::new("s-1".parse()?, [], None, 0);
/// let commands = submission.handle(&SubmissionEvent::Start);
/// assert_eq!(commands, [SubmissionCommand::ReadHead]);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub struct Submission {
    table: SubmissionTable,
    machine: StateMachine<SubmissionMachine>,
}

impl Submission {
    /// Creates a submission of `changes`: sections to set, or to remove if they have no hash.
    ///
    /// With `expected` it is accepted only on top of that version, without it on top of any
    /// version. `submitted_at_unix_ms` is stored only for display.
    pub fn new(
        id: SubmissionId,
        changes: impl IntoIterator<Item = (SectionName, Option<SectionHash>)>,
        expected: Option<ConfigVersion>,
        submitted_at_unix_ms: u64,
    ) -> Self {
        let changes: BTreeMap<_, _> = changes.into_iter().collect();
        let unwritten_sections = changes.values().flatten().copied().collect();
        let table = SubmissionTable {
            id: Some(id),
            changes,
            expected,
            submitted_at_unix_ms,
            unwritten_sections,
            ..SubmissionTable::default()
        };
        Self {
            table,
            machine: SubmissionMachine.state_machine(),
        }
    }

    /// Processes an event and returns the actions to perform.
    pub fn handle(&mut self, event: &SubmissionEvent) -> Vec<SubmissionCommand> {
        self.machine.handle_with_context(event, &mut self.table);
        std::mem::take(&mut self.table.commands)
    }

    /// Returns the current state.
    pub fn step(&self) -> SubmissionStep {
        self.machine.state().into()
    }

    /// Returns the outcome, or `None` while the submission is in progress.
    pub fn outcome(&self) -> Option<SubmissionOutcome> {
        self.table.outcome
    }
}
