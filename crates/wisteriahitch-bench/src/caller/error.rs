//! Failed calls as a caller sees them.

use wisteriahitch::types::{Code, DurationUs, Meaning};

/// Reports a call that brought no whole answer.
#[derive(Clone, Debug, thiserror::Error)]
pub enum CallError {
    /// The system refused the request or gave it up.
    #[error("{code} ({meaning}), come back in {retry_after_us:?}")]
    Refused {
        /// Numbered code.
        code: Code,
        /// What the refusal means.
        meaning: Meaning,
        /// When to come back, if that was said.
        retry_after_us: Option<DurationUs>,
        /// Id that the system gave the request.
        request_id: Option<String>,
    },
    /// No connection could be opened, so that nothing was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The answer ended as if it were whole, but is not.
    #[error("cut off: the stream ended early")]
    CutOff,
    /// The connection broke, or the answer isn't one.
    #[error("broken: {0}")]
    Broken(String),
}
