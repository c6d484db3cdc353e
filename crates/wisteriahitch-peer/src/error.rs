//! Failures of a call to a peer.

use std::error::Error;

use tonic::{Code, ConnectError, Status};

/// Text of the status by which a daemon refuses a call meant for another incarnation.
pub(crate) const WRONG_INCARNATION: &str = "wrong incarnation";

/// Sorts the failures of a call by what the sender may conclude.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerErrorKind {
    /// No connection came about; the peer certainly has not seen the call.
    NotSent,
    /// The call may have reached the peer, and no answer came.
    Lost,
    /// Another incarnation answers at the address and has not acted on the call.
    WrongIncarnation,
    /// The peer refused the call without acting on it, for example because it is malformed.
    Refused,
    /// The answer came and isn't what the protocol allows.
    Malformed,
}

/// Reports a failed call to a peer.
#[derive(Clone, Debug, thiserror::Error)]
#[error("call to a peer failed ({kind:?}): {detail}")]
pub struct PeerError {
    kind: PeerErrorKind,
    detail: String,
}

impl PeerError {
    /// Builds an error of `kind` with a `detail` for the log.
    pub fn new(kind: PeerErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
        }
    }

    /// Returns the sort of failure.
    pub fn kind(&self) -> PeerErrorKind {
        self.kind
    }

    /// Returns whether the peer certainly has not acted on the call.
    pub fn is_not_run(&self) -> bool {
        matches!(
            self.kind,
            PeerErrorKind::NotSent | PeerErrorKind::WrongIncarnation | PeerErrorKind::Refused
        )
    }

    pub(crate) fn from_status(status: &Status) -> Self {
        Self::new(kind_of(status), status.to_string())
    }
}

fn kind_of(status: &Status) -> PeerErrorKind {
    if is_connect_failure(status) {
        return PeerErrorKind::NotSent;
    }
    match status.code() {
        Code::FailedPrecondition if status.message() == WRONG_INCARNATION => {
            PeerErrorKind::WrongIncarnation
        }
        Code::InvalidArgument | Code::Unimplemented => PeerErrorKind::Refused,
        // Everything else may come from the middle of a call: a status that the transport made up
        // looks like one that the peer sent. Taking it for "not run" would let a booking be sent
        // twice; the sender would see two answers for one key. So it counts as lost.
        _ => PeerErrorKind::Lost,
    }
}

/// Returns whether the transport failed before it had a connection to write the call to.
fn is_connect_failure(status: &Status) -> bool {
    let mut source = status.source();
    while let Some(error) = source {
        if error.is::<ConnectError>() {
            return true;
        }
        source = error.source();
    }
    false
}
