//! One operator's submission, from its sections to a told outcome.

use std::collections::BTreeMap;

use serde::Serialize;
use statig::blocking::StateMachine;
use statig::prelude::*;
use wisteriahitch_config::{SectionHash, SectionName};
use wisteriahitch_types::{ConfigVersion, SubmissionId};

use super::submission_machine::SubmissionMachine;
use super::submission_table::SubmissionTable;
use super::{SubmissionCommand, SubmissionEvent, SubmissionOutcome};

/// Names the state of a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SubmissionStep {
    /// Nothing has been asked yet.
    Fresh,
    /// Section objects are being written.
    Writing,
    /// The head is being read.
    Reading,
    /// The whole configuration is being checked.
    Checking,
    /// The head is being updated.
    Updating,
    /// It is accepted, and peers are counted that hold it.
    Spreading,
    /// The outcome is told.
    Done,
}

/// Accepts a set of changed sections by one conditional update of the head.
///
/// An answer that was lost is settled by the history in the head; the same id may be submitted
/// any number of times and is accepted at most once.
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
    /// Submits `changes`: sections to set, or to remove where there is no hash.
    ///
    /// With `expected` it is accepted only on top of that version; without, on top of whichever
    /// is in the head then. The time is for people alone.
    pub fn new(
        id: SubmissionId,
        changes: impl IntoIterator<Item = (SectionName, Option<SectionHash>)>,
        expected: Option<ConfigVersion>,
        submitted_at_unix_ms: u64,
    ) -> Self {
        let changes: BTreeMap<_, _> = changes.into_iter().collect();
        let unwritten = changes.values().flatten().copied().collect();
        let table = SubmissionTable {
            id: Some(id),
            changes,
            expected,
            submitted_at_unix_ms,
            unwritten,
            ..SubmissionTable::default()
        };
        Self {
            table,
            machine: SubmissionMachine.state_machine(),
        }
    }

    /// Takes an event and returns what is to be done.
    pub fn handle(&mut self, event: &SubmissionEvent) -> Vec<SubmissionCommand> {
        self.machine.handle_with_context(event, &mut self.table);
        std::mem::take(&mut self.table.commands)
    }

    /// Returns the state.
    pub fn step(&self) -> SubmissionStep {
        self.machine.state().into()
    }

    /// Returns the outcome, once there is one.
    pub fn outcome(&self) -> Option<SubmissionOutcome> {
        self.table.outcome
    }
}
