//! Failures of a call to a store VM.

use std::fmt;

use wisteriahitch_types::Code;

/// Sorts store failures.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreErrorKind {
    /// The block, generation, pin or incarnation is not there any more.
    Gone,
    /// The tier has no room.
    Full,
    /// The store can't be reached, or no answer came.
    Lost,
    /// The answer doesn't parse.
    Nonsense,
}

/// Reports a failed call to a store VM.
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

    /// Returns the sort of failure.
    pub fn kind(&self) -> StoreErrorKind {
        self.kind
    }

    /// Returns the numbered code.
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
