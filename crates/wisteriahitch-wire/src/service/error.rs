//! Errors of a call to a plain service.

use std::fmt;

use wisteriahitch_types::Code;

/// Classes of service failures, by what they imply about the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServiceErrorKind {
    /// No byte of the request was sent.
    NotSent,
    /// The service stated that it did not run the request.
    NotRun,
    /// The connection broke after a byte may have been sent.
    Lost,
    /// No answer arrived before the deadline.
    Timeout,
    /// The answer violated the protocol or belonged to another request.
    Nonsense,
    /// The answer exceeds the size limit.
    TooLarge,
}

/// Error of a failed call to a plain service.
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

    /// Returns the class of the failure.
    pub fn kind(&self) -> ServiceErrorKind {
        self.kind
    }

    /// Returns whether it is certain that this attempt did not run the request.
    pub fn is_not_run(&self) -> bool {
        matches!(
            self.kind,
            ServiceErrorKind::NotSent | ServiceErrorKind::NotRun
        )
    }

    /// Returns the result code.
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
