//! State machine of a submission, over [`SubmissionTable`].
//!
//! The model `specs/configuration_history.pml` has only what an operator can observe and none of
//! the individual calls. Its state `Ready` is a submission that has not started. `Sent` covers all
//! steps until the outcome, and also an unknown outcome, which the operator resolves by submitting
//! again with the same id. `Accepted` and `NotAccepted` are the reported outcomes.

#![allow(
    missing_docs,
    unreachable_pub,
    reason = "the attribute generates items without comments, and public where they needn't be"
)]

use statig::prelude::*;

use super::submission_table::SubmissionTable;
use super::{HolderCounts, SubmissionCommand, SubmissionEvent, SubmissionOutcome, SubmissionStep};

/// State machine that takes a submission from its sections to an outcome.
#[derive(Debug, Default)]
pub(super) struct SubmissionMachine;

#[state_machine(
    initial = "State::fresh()",
    state(derive(Debug, Clone, Copy, PartialEq, Eq))
)]
impl SubmissionMachine {
    #[state]
    fn fresh(context: &mut SubmissionTable, event: &SubmissionEvent) -> Outcome<State> {
        match event {
            SubmissionEvent::Start => Self::start(context),
            _ => Handled,
        }
    }

    /// Writes the sections before the head, because a head must never refer to a missing object.
    #[state]
    fn writing(context: &mut SubmissionTable, event: &SubmissionEvent) -> Outcome<State> {
        match event {
            SubmissionEvent::SectionWritten(hash) => {
                context.unwritten_sections.remove(hash);
                Self::start_reading_if_written(context)
            }
            SubmissionEvent::SectionFailed(hash) if context.try_use_retry() => {
                context.push_command(SubmissionCommand::WriteSection(*hash));
                Handled
            }
            SubmissionEvent::SectionFailed(_) => {
                Self::finish(context, SubmissionOutcome::Unavailable)
            }
            _ => Handled,
        }
    }

    #[state]
    fn reading(context: &mut SubmissionTable, event: &SubmissionEvent) -> Outcome<State> {
        match event {
            SubmissionEvent::HeadRead {
                head,
                object_version,
            } => {
                context.record_head(head.clone(), *object_version);
                Self::decide(context)
            }
            SubmissionEvent::HeadUnavailable => Self::finish_unavailable(context),
            _ => Handled,
        }
    }

    #[state]
    fn checking(context: &mut SubmissionTable, event: &SubmissionEvent) -> Outcome<State> {
        match event {
            SubmissionEvent::Checked { is_valid: true } => {
                context.push_head_update();
                Transition(State::updating())
            }
            SubmissionEvent::Checked { is_valid: false } => {
                Self::finish(context, SubmissionOutcome::Refused)
            }
            _ => Handled,
        }
    }

    #[state]
    fn updating(context: &mut SubmissionTable, event: &SubmissionEvent) -> Outcome<State> {
        match event {
            SubmissionEvent::Updated => Self::spread(context),
            // The head has another version, perhaps because of an own update whose answer was lost.
            SubmissionEvent::Conflict => Self::retry_read(context),
            SubmissionEvent::UpdateLost => {
                context.has_lost_update = true;
                Self::retry_read(context)
            }
            SubmissionEvent::UpdateUnavailable => Self::finish_unavailable(context),
            SubmissionEvent::TooLarge => Self::finish(context, SubmissionOutcome::TooLarge),
            _ => Handled,
        }
    }

    #[state]
    fn spreading(context: &mut SubmissionTable, event: &SubmissionEvent) -> Outcome<State> {
        match event {
            SubmissionEvent::Spread {
                holders,
                is_final: true,
            } => {
                let outcome = context.accepted(*holders);
                Self::finish(context, outcome)
            }
            _ => Handled,
        }
    }

    #[state]
    fn done() -> Outcome<State> {
        Handled
    }
}

impl SubmissionMachine {
    fn start(context: &mut SubmissionTable) -> Outcome<State> {
        let writes = context.unwritten_sections.iter().cloned();
        let writes: Vec<_> = writes.map(SubmissionCommand::WriteSection).collect();
        context.commands.extend(writes);
        match Self::start_reading_if_written(context) {
            Handled => Transition(State::writing()),
            transition => transition,
        }
    }

    fn start_reading_if_written(context: &mut SubmissionTable) -> Outcome<State> {
        if !context.unwritten_sections.is_empty() {
            return Handled;
        }
        context.push_command(SubmissionCommand::ReadHead);
        Transition(State::reading())
    }

    /// Selects the next step by the head that was read: already accepted, conflict, or update.
    fn decide(context: &mut SubmissionTable) -> Outcome<State> {
        if context.find_acceptance() {
            return Self::spread(context);
        }
        if let Some(winner) = context.find_conflicting_version() {
            return Self::finish(context, SubmissionOutcome::Conflict { winner });
        }
        if context.may_have_lost_entry() {
            return Self::finish(context, SubmissionOutcome::Unknown);
        }
        let next = context.build_next();
        context.push_command(SubmissionCommand::Check(next));
        Transition(State::checking())
    }

    fn retry_read(context: &mut SubmissionTable) -> Outcome<State> {
        if !context.try_use_retry() {
            return Self::finish_unavailable(context);
        }
        context.push_command(SubmissionCommand::ReadHead);
        Transition(State::reading())
    }

    /// Finishes because the platform is unavailable. A lost update may still take effect, so the
    /// outcome is then unknown.
    fn finish_unavailable(context: &mut SubmissionTable) -> Outcome<State> {
        let outcome = match context.has_lost_update {
            true => SubmissionOutcome::Unknown,
            false => SubmissionOutcome::Unavailable,
        };
        Self::finish(context, outcome)
    }

    fn spread(context: &mut SubmissionTable) -> Outcome<State> {
        let head = context.next.clone();
        context.push_command(SubmissionCommand::Spread(head));
        Transition(State::spreading())
    }

    fn finish(context: &mut SubmissionTable, outcome: SubmissionOutcome) -> Outcome<State> {
        context.outcome = Some(outcome);
        context.push_command(SubmissionCommand::Finish(outcome));
        Transition(State::done())
    }
}

impl SubmissionTable {
    fn accepted(&self, holders: HolderCounts) -> SubmissionOutcome {
        SubmissionOutcome::Accepted {
            version: self.accepted_version,
            holders,
        }
    }
}

impl From<&State> for SubmissionStep {
    fn from(state: &State) -> Self {
        match state {
            State::Fresh {} => SubmissionStep::Fresh,
            State::Writing {} => SubmissionStep::Writing,
            State::Reading {} => SubmissionStep::Reading,
            State::Checking {} => SubmissionStep::Checking,
            State::Updating {} => SubmissionStep::Updating,
            State::Spreading {} => SubmissionStep::Spreading,
            State::Done {} => SubmissionStep::Done,
        }
    }
}
