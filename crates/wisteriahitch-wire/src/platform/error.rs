//! Errors of a platform call.

use std::fmt;

use wisteriahitch_types::{Code, DurationUs};

use crate::http_client::{HttpError, HttpErrorKind};

/// Classes of platform failures, by what they imply about a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlatformErrorKind {
    /// The object to create already exists; nothing was written.
    AlreadyExists,
    /// The object does not have the expected version; nothing was written.
    Conflict,
    /// The object to update or delete doesn't exist; nothing was written.
    NotFound,
    /// The object is larger than the platform accepts; nothing was written.
    TooLarge,
    /// The rate limit of the platform or of this process is exhausted; nothing was written.
    RateLimited,
    /// The platform is unreachable or refused the call; nothing was written.
    Unavailable,
    /// The call was sent but no complete answer arrived; a write may have taken effect.
    AnswerLost,
    /// The answer is invalid; a write may have taken effect.
    Malformed,
    /// The answer is larger than the caller asked for; a write may have taken effect.
    AnswerTooLarge,
}

/// What the error of a write implies about its effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailedWrite {
    /// Nothing was written, because the object isn't as the write expects it.
    Conflict,
    /// Nothing was written.
    NotWritten,
    /// It may have taken effect.
    Unknown,
}

/// Error of a failed platform call.
#[derive(Clone, Debug, thiserror::Error)]
pub struct PlatformError {
    kind: PlatformErrorKind,
    detail: String,
    retry_after_us: Option<DurationUs>,
}

/// Classifies a call without a complete answer by what it implies about a write.
impl From<HttpError> for PlatformError {
    fn from(error: HttpError) -> Self {
        let kind = match error.kind() {
            HttpErrorKind::NotSent => PlatformErrorKind::Unavailable,
            HttpErrorKind::Timeout | HttpErrorKind::Lost => PlatformErrorKind::AnswerLost,
            HttpErrorKind::Malformed | HttpErrorKind::TooLarge => PlatformErrorKind::Malformed,
        };
        Self::new(kind, error.to_string())
    }
}

impl PlatformError {
    /// Builds an error of `kind` with a `detail` for the log.
    pub fn new(kind: PlatformErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            retry_after_us: None,
        }
    }

    /// Appends `context` to the detail for the log.
    pub fn context(mut self, context: &str) -> Self {
        self.detail = format!("{}, {context}", self.detail);
        self
    }

    /// Sets the time after which the call may be retried.
    pub fn with_retry_after_us(mut self, retry_after_us: DurationUs) -> Self {
        self.retry_after_us = Some(retry_after_us);
        self
    }

    /// Returns the class of the failure.
    pub fn kind(&self) -> PlatformErrorKind {
        self.kind
    }

    /// Returns the time after which the call may be retried; `None` if unknown.
    pub fn retry_after_us(&self) -> Option<DurationUs> {
        self.retry_after_us
    }

    /// Returns whether a write that failed with this error may still have taken effect.
    pub fn is_outcome_unknown(&self) -> bool {
        self.failed_write() == FailedWrite::Unknown
    }

    /// Returns what this error implies about the effect of a write.
    pub fn failed_write(&self) -> FailedWrite {
        match self.kind {
            PlatformErrorKind::AlreadyExists
            | PlatformErrorKind::Conflict
            | PlatformErrorKind::NotFound => FailedWrite::Conflict,
            PlatformErrorKind::TooLarge
            | PlatformErrorKind::RateLimited
            | PlatformErrorKind::Unavailable => FailedWrite::NotWritten,
            PlatformErrorKind::AnswerLost
            | PlatformErrorKind::Malformed
            | PlatformErrorKind::AnswerTooLarge => FailedWrite::Unknown,
        }
    }

    /// Returns the result code.
    pub fn code(&self) -> Code {
        match self.kind {
            PlatformErrorKind::AnswerLost => Code::PlatformAnswerLost,
            PlatformErrorKind::Malformed | PlatformErrorKind::AnswerTooLarge => {
                Code::PlatformNonsense
            }
            PlatformErrorKind::RateLimited => Code::PlatformBudget,
            PlatformErrorKind::TooLarge => Code::ConfigTooLarge,
            _ => Code::PlatformUnavailable,
        }
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "platform call failed ({:?}): {}", self.kind, self.detail)
    }
}
