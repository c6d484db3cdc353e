//! Attempts that this daemon sent to endpoints and that have not ended.

use std::fmt;

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{DurationUs, TimeUs, TokenCount};

/// Identifier of an attempt, unique within this process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AttemptId(pub(crate) u64);

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Why an attempt ended without a whole answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptFailure {
    /// The endpoint said that it did not run the request: it is busy, leaving or has other models
    /// than it reported.
    Refused,
    /// The connection broke, or the answer was late or malformed.
    Broken,
    /// This daemon cancelled the attempt, such as for a caller that disconnected.
    Cancelled,
}

/// One attempt that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct InFlightAttempt {
    /// Row of the endpoint in the table.
    pub(crate) row: usize,
    /// Instance number of the row when the attempt was sent.
    pub(crate) instance_number: u64,
    /// When the attempt was sent.
    pub(crate) sent_at_us: TimeUs,
    /// Number of prompt tokens that the endpoint has to compute.
    pub(crate) prefill_tokens: TokenCount,
    /// Estimated time from the sending to the first token.
    pub(crate) expected_us: DurationUs,
    /// Whether the first token has arrived.
    pub(crate) has_first_token: bool,
}
