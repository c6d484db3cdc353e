//! Input events, output commands and outcomes of a submission.

use serde::Serialize;
use wisteriahitch_config::SectionHash;
use wisteriahitch_types::{Code, ConfigVersion};

use super::{HeadObject, HolderCounts};

/// Input of [`Submission::handle`](super::Submission::handle).
#[derive(Clone, Debug)]
pub enum SubmissionEvent {
    /// The submission starts.
    Start,
    /// A section is in the store, whether written now or earlier.
    SectionWritten(SectionHash),
    /// Writing a section failed, or its answer was lost.
    SectionFailed(SectionHash),
    /// The head was read.
    HeadRead {
        /// Head; `None` before the first accepted submission.
        head: Option<HeadObject>,
        /// Version of the head's object in the platform; 0 if there is none.
        object_version: u64,
    },
    /// The head cannot be read.
    HeadUnavailable,
    /// The resulting configuration was checked.
    Checked {
        /// Whether the configuration passed the checks.
        is_valid: bool,
    },
    /// The update of the head took effect.
    Updated,
    /// The update had no effect because the head has another version.
    Conflict,
    /// The update was sent but its answer was lost.
    UpdateLost,
    /// The update had no effect because the platform cannot be reached.
    UpdateUnavailable,
    /// The platform rejected the update because the head is too large.
    TooLarge,
    /// Number of peers that have stored the accepted version.
    Spread {
        /// Daemons and zones that have stored it.
        holders: HolderCounts,
        /// Whether these are enough or the wait has timed out.
        is_final: bool,
    },
}

/// Action that the caller of [`Submission::handle`](super::Submission::handle) must perform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SubmissionCommand {
    /// Create a section's object; success if it already exists.
    WriteSection(SectionHash),
    /// Read the head and its object version.
    ReadHead,
    /// Check the whole configuration that this head describes.
    Check(HeadObject),
    /// Write the head if its object still has the expected version.
    UpdateHead {
        /// Head to write.
        head: HeadObject,
        /// Expected version of the object; 0 if it must not exist yet.
        expected: u64,
    },
    /// Push the accepted version to peers and count those that have stored it.
    Spread(HeadObject),
    /// Report the outcome to the operator.
    Finish(SubmissionOutcome),
}

/// Outcome of a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum SubmissionOutcome {
    /// The submission is accepted.
    Accepted {
        /// Version that it created.
        version: ConfigVersion,
        /// Daemons and zones known to have stored it when the outcome was reported.
        holders: HolderCounts,
    },
    /// Another submission was accepted first; this one had no effect.
    Conflict {
        /// Version of the head that was found instead of the expected one.
        winner: ConfigVersion,
    },
    /// The resulting configuration fails the checks; the submission had no effect.
    Refused,
    /// The platform cannot be reached; the submission had no effect.
    Unavailable,
    /// Whether it was accepted is unknown; submitting again with the same id settles it.
    Unknown,
    /// The head is larger than the platform accepts; the submission had no effect.
    TooLarge,
}

impl SubmissionOutcome {
    /// Returns the error code of the outcome. `None` for an acceptance, and for a refusal, whose
    /// codes are part of the check's findings.
    pub const fn code(self) -> Option<Code> {
        match self {
            SubmissionOutcome::Accepted { .. } | SubmissionOutcome::Refused => None,
            SubmissionOutcome::Conflict { .. } => Some(Code::ConfigConflict),
            SubmissionOutcome::Unavailable => Some(Code::PlatformUnavailable),
            SubmissionOutcome::Unknown => Some(Code::ConfigUnknown),
            SubmissionOutcome::TooLarge => Some(Code::ConfigTooLarge),
        }
    }
}
