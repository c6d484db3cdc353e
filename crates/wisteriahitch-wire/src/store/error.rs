//! Errors of a call to a store VM.

use std::fmt;

use wisteriahitch_types::Code;

/// Classes of store failures.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreErrorKind {
    /// The block, generation, pin or incarnation no longer exists.
    Gone,
    /// The tier has not enough free space.
    Full,
    /// The store is unreachable or did not answer.
    Lost,
    /// The answer is invalid.
    Nonsense,
}

/// Error of a failed call to a store VM.
#[derive(Clone, Debug, thiserror::Error)]
pub struct StoreError {
    kind: StoreErrorKind,
    detail: String,
}

impl StoreError {
    /// Builds an error of `kind` with a `detail` for the log.
    pub fn new(kind: StoreErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
        }
    }

    /// Returns the class of the failure.
    pub fn kind(&self) -> StoreErrorKind {
        self.kind
    }

    /// Returns the result code.
    pub fn code(&self) -> Code {
        match self.kind {
            StoreErrorKind::Gone => Code::BlockGone,
            StoreErrorKind::Full => Code::StoreFull,
            StoreErrorKind::Lost => Code::StoreLost,
            StoreErrorKind::Nonsense => Code::BlockCorrupt,
        }
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "store call failed ({:?}): {}", self.kind, self.detail)
    }
}
