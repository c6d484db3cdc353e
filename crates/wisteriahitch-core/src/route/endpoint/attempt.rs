//! Requests that this daemon has sent to an endpoint and that have not ended.

use std::fmt;

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{DurationUs, TimeUs, TokenCount};

/// Names one attempt that was sent to an endpoint, within this process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AttemptId(pub(crate) u64);

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Says how an attempt ended that brought no whole answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptFailure {
    /// The endpoint said that it did not run it: it is busy, leaving or has other models than it
    /// reported.
    Refused,
    /// The connection broke, the answer was late or it was wrong.
    Broken,
    /// This daemon gave it up, such as for a caller that went away.
    Cancelled,
}

/// Holds one attempt that was sent and has not ended.
#[derive(Clone, Debug)]
pub(crate) struct InFlightAttempt {
    /// Row of the endpoint.
    pub(crate) row: usize,
    /// Life of the row's endpoint that the attempt was sent to.
    pub(crate) instance_number: u64,
    /// When it was sent.
    pub(crate) sent_at_us: TimeUs,
    /// Prompt tokens that the endpoint was to compute.
    pub(crate) prefill_tokens: TokenCount,
    /// Time to the first token that had been estimated.
    pub(crate) expected_us: DurationUs,
    /// Whether the first token has come.
    pub(crate) has_first_token: bool,
}
