//! Failures of a call to a model engine.

use std::fmt;

use wisteriahitch_types::Code;

/// Sorts engine failures by what may be concluded from them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineErrorKind {
    /// No byte of the request left for the engine.
    NotSent,
    /// The engine itself said that it did not run the request.
    NotRun,
    /// The engine has another weight version, and said that it did not run the request.
    OtherVersion,
    /// The engine found fault with the request itself, which says nothing of the engine's health;
    /// it did not say that it ran nothing.
    Rejected,
    /// The connection broke after a byte may have left.
    Lost,
    /// No answer came in time.
    Timeout,
    /// The answer broke the protocol, or was another request's.
    Nonsense,
    /// The block is not there any more.
    Gone,
    /// The block's length, checksum, key or version is wrong.
    Corrupt,
    /// The engine refused an order with an old fencing number.
    Fenced,
}

/// Reports a failed call to a model engine.
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

    /// Returns the sort of failure.
    pub fn kind(&self) -> EngineErrorKind {
        self.kind
    }

    /// Returns whether the request certainly was not run by this attempt.
    pub fn is_not_run(&self) -> bool {
        matches!(
            self.kind,
            EngineErrorKind::NotSent | EngineErrorKind::NotRun | EngineErrorKind::OtherVersion
        )
    }

    /// Returns the numbered code.
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
