//! Failures of a platform call.

use std::fmt;

use wisteriahitch_types::{Code, DurationUs};

use crate::http_client::{HttpError, HttpErrorKind};

/// Sorts platform failures by what the caller of the trait may conclude.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlatformErrorKind {
    /// The object to create exists already; nothing was written.
    AlreadyExists,
    /// The object has another version than expected; nothing was written.
    Conflict,
    /// The object to update or delete doesn't exist; nothing was written.
    NotFound,
    /// The value is larger than the platform takes; nothing was written.
    TooLarge,
    /// The platform asked to slow down; nothing was written.
    RateLimited,
    /// The platform can't be reached or refused the call; nothing was written.
    Unavailable,
    /// The call was sent and no answer came; a write may have taken effect.
    AnswerLost,
    /// The answer doesn't parse; a write may have taken effect.
    Malformed,
}

/// Reports a failed platform call.
#[derive(Clone, Debug, thiserror::Error)]
pub struct PlatformError {
    kind: PlatformErrorKind,
    detail: String,
    retry_after_us: Option<DurationUs>,
}

/// Sorts a call that got no whole answer, by what may be concluded about a write.
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

    /// Adds where it happened, for the log.
    pub fn context(mut self, context: &str) -> Self {
        self.detail = format!("{}, {context}", self.detail);
        self
    }

    /// Adds when the platform wants to be asked again.
    pub fn with_retry_after_us(mut self, retry_after_us: DurationUs) -> Self {
        self.retry_after_us = Some(retry_after_us);
        self
    }

    /// Returns the sort of failure.
    pub fn kind(&self) -> PlatformErrorKind {
        self.kind
    }

    /// Returns when the platform wants to be asked again, if it said so.
    pub fn retry_after_us(&self) -> Option<DurationUs> {
        self.retry_after_us
    }

    /// Returns whether a write that met this error may have taken effect all the same.
    pub fn is_outcome_unknown(&self) -> bool {
        matches!(
            self.kind,
            PlatformErrorKind::AnswerLost | PlatformErrorKind::Malformed
        )
    }

    /// Returns the numbered code.
    pub fn code(&self) -> Code {
        match self.kind {
            PlatformErrorKind::AnswerLost => Code::PlatformAnswerLost,
            PlatformErrorKind::Malformed => Code::PlatformNonsense,
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
