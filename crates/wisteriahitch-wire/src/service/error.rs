//! Failures of a call to a plain service.

use std::fmt;

use wisteriahitch_types::Code;

/// Sorts service failures by what may be concluded from them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServiceErrorKind {
    /// No byte of the request left for the service.
    NotSent,
    /// The service itself said that it did not run the request.
    NotRun,
    /// The connection broke after a byte may have left.
    Lost,
    /// No answer came in time.
    Timeout,
    /// The answer broke the protocol or was another request's.
    Nonsense,
    /// The answer is larger than the limit.
    TooLarge,
}

/// Reports a failed call to a plain service.
#[derive(Clone, Debug, thiserror::Error)]
pub struct ServiceError {
    kind: ServiceErrorKind,
    detail: String,
}

impl ServiceError {
    /// Builds an error of `kind` with a `detail` for the log.
    pub fn new(kind: ServiceErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
        }
    }

    /// Returns the sort of failure.
    pub fn kind(&self) -> ServiceErrorKind {
        self.kind
    }

    /// Returns whether the request certainly was not run by this attempt.
    pub fn is_not_run(&self) -> bool {
        matches!(
            self.kind,
            ServiceErrorKind::NotSent | ServiceErrorKind::NotRun
        )
    }

    /// Returns the numbered code.
    pub fn code(&self) -> Code {
        match self.kind {
            ServiceErrorKind::NotSent => Code::NoEndpoint,
            ServiceErrorKind::NotRun => Code::EndpointRefused,
            ServiceErrorKind::Lost => Code::EndpointLost,
            ServiceErrorKind::Timeout => Code::EndpointTimeout,
            ServiceErrorKind::Nonsense => Code::EndpointNonsense,
            ServiceErrorKind::TooLarge => Code::AnswerTooLarge,
        }
    }
}

impl fmt::Display for ServiceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "service call failed ({:?}): {}", self.kind, self.detail)
    }
}
