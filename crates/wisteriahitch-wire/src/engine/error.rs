//! Errors of a call to a model engine.

use std::fmt;

use wisteriahitch_types::Code;

/// Classes of engine failures, by what they imply about the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineErrorKind {
    /// No byte of the request was sent.
    NotSent,
    /// The engine stated that it did not run the request.
    NotRun,
    /// The engine has another weight version and stated that it did not run the request.
    OtherVersion,
    /// The engine rejected the request as invalid, which implies nothing about the engine's health.
    /// It did not state that the request was not run.
    Rejected,
    /// The connection broke after a byte may have been sent.
    Lost,
    /// No answer arrived before the deadline.
    Timeout,
    /// The answer violated the protocol or belonged to another request.
    Nonsense,
    /// The block no longer exists.
    Gone,
    /// The block's length, checksum, key or version is wrong.
    Corrupt,
    /// The engine refused the order because its fencing number is too old.
    Fenced,
}

/// Error of a failed call to a model engine.
#[derive(Clone, Debug, thiserror::Error)]
pub struct EngineError {
    kind: EngineErrorKind,
    detail: String,
}

impl EngineError {
    /// Builds an error of `kind` with a `detail` for the log.
    pub fn new(kind: EngineErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
        }
    }

    /// Returns the class of the failure.
    pub fn kind(&self) -> EngineErrorKind {
        self.kind
    }

    /// Returns whether it is certain that this attempt did not run the request.
    pub fn is_not_run(&self) -> bool {
        matches!(
            self.kind,
            EngineErrorKind::NotSent | EngineErrorKind::NotRun | EngineErrorKind::OtherVersion
        )
    }

    /// Returns the result code.
    pub fn code(&self) -> Code {
        match self.kind {
            EngineErrorKind::NotSent => Code::NoEndpoint,
            EngineErrorKind::NotRun | EngineErrorKind::OtherVersion => Code::EndpointRefused,
            EngineErrorKind::Lost => Code::EndpointLost,
            EngineErrorKind::Timeout => Code::EndpointTimeout,
            EngineErrorKind::Nonsense | EngineErrorKind::Rejected => Code::EndpointNonsense,
            EngineErrorKind::Gone => Code::BlockGone,
            EngineErrorKind::Corrupt => Code::BlockCorrupt,
            EngineErrorKind::Fenced => Code::OrderFenced,
        }
    }
}

impl fmt::Display for EngineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "engine call failed ({:?}): {}", self.kind, self.detail)
    }
}
