//! What a submission is told, asks for and ends with.

use serde::Serialize;
use wisteriahitch_config::SectionHash;
use wisteriahitch_types::{Code, ConfigVersion};

use super::{HeadObject, Holders};

/// Tells a submission what has happened.
#[derive(Clone, Debug)]
pub enum SubmissionEvent {
    /// The submission starts.
    Start,
    /// A section is in the store, written now or before.
    SectionWritten(SectionHash),
    /// A section could not be written, or its answer was lost.
    SectionFailed(SectionHash),
    /// The head was read.
    HeadRead {
        /// Head, or nothing before the first acceptance.
        head: Option<HeadObject>,
        /// The object's version in the platform, or 0.
        object_version: u64,
    },
    /// The head can't be read.
    HeadUnavailable,
    /// The whole configuration that would come out was checked.
    Checked {
        /// Whether it may be accepted.
        is_good: bool,
    },
    /// The update of the head took effect.
    Updated,
    /// The head had another version; the update had no effect.
    Conflict,
    /// The update was sent and no answer came.
    UpdateLost,
    /// The update certainly had no effect, because the platform can't be reached.
    UpdateUnavailable,
    /// The platform refused the update because the head is too large.
    TooLarge,
    /// Peers were counted that hold the accepted version.
    Spread {
        /// Who holds it.
        holders: Holders,
        /// Whether these are enough, or waiting has taken too long.
        is_final: bool,
    },
}

/// Asks the shell to do something.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SubmissionCommand {
    /// Create a section's object; one that exists already is as good.
    WriteSection(SectionHash),
    /// Read the head and its object version.
    ReadHead,
    /// Check the whole configuration of this head.
    Check(HeadObject),
    /// Write the head, if the object still has the expected version (0: doesn't exist yet).
    UpdateHead {
        /// Head to write.
        head: HeadObject,
        /// Object version that it must still have.
        expected: u64,
    },
    /// Hand the accepted version to peers and count who holds it.
    Spread(HeadObject),
    /// Tell the operator.
    Finish(SubmissionOutcome),
}

/// Says how a submission has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum SubmissionOutcome {
    /// It is accepted.
    Accepted {
        /// Version that it has.
        version: ConfigVersion,
        /// Who was known to hold it when this was said.
        holders: Holders,
    },
    /// Another submission won; this one had no effect.
    Conflict {
        /// Version that won.
        winner: ConfigVersion,
    },
    /// The whole configuration fails the checks; the submission had no effect.
    Refused,
    /// The platform can't be reached; the submission had no effect.
    Unavailable,
    /// Whether it was accepted can't be told now; asking again with the same id settles it.
    Unknown,
    /// The head is larger than the platform takes; the submission had no effect.
    TooLarge,
}

impl SubmissionOutcome {
    /// Returns the numbered code of an outcome that isn't an acceptance; a refusal's codes come
    /// with the findings of the check.
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
