//! Errors of calls.

use wisteriahitch::types::{Code, DurationUs, Meaning};

/// A call that returned no complete answer.
#[derive(Clone, Debug, thiserror::Error)]
pub enum CallError {
    /// The system refused the request or stopped processing it.
    #[error("{code} ({meaning}), come back in {retry_after_us:?}")]
    Refused {
        /// Code of the refusal.
        code: Code,
        /// Whether the request has not run or its outcome is unknown.
        meaning: Meaning,
        /// Time after which to retry, if the refusal contained one.
        retry_after_us: Option<DurationUs>,
        /// Id that the system assigned to the request.
        request_id: Option<String>,
    },
    /// No connection could be opened, and nothing was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The stream ended without an error but before its last event.
    #[error("cut off: the stream ended early")]
    CutOff,
    /// The connection broke, or the answer is malformed.
    #[error("broken: {0}")]
    Broken(String),
}
