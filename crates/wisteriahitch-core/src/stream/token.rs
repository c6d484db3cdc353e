//! Heads and tokens of an endpoint's answer, and the reasons for dropping them.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;
use wisteriahitch_types::{AttemptNumber, RequestId, WeightVersion};

/// The head of an endpoint's answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamHead {
    /// Request that the endpoint answers.
    pub request: RequestId,
    /// Attempt that the answer belongs to.
    pub attempt: AttemptNumber,
    /// Weight version that the endpoint runs the request with.
    pub weight_version: WeightVersion,
}

/// A token of an endpoint's answer, without its content.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamToken {
    /// Request that the token belongs to.
    pub request: RequestId,
    /// Attempt that produced the token.
    pub attempt: AttemptNumber,
    /// Position in the answer, starting at 0.
    pub position: u64,
    /// Whether this is the last token of the answer.
    pub is_last: bool,
}

/// Why a head or token of an endpoint's answer is not passed on.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DropReason {
    /// It belongs to another request.
    OtherRequest,
    /// It belongs to another attempt, usually an earlier one whose answer arrives late.
    OtherAttempt,
    /// The token at its position has already been passed on.
    Duplicate,
    /// It arrived before the head of its attempt was checked.
    BeforeHead,
    /// The attempt broke or the answer ended, or it is a second head of the attempt.
    AfterEnd,
}

impl fmt::Display for DropReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DropReason::OtherRequest => "other_request",
            DropReason::OtherAttempt => "other_attempt",
            DropReason::Duplicate => "duplicate",
            DropReason::BeforeHead => "before_head",
            DropReason::AfterEnd => "after_end",
        })
    }
}

/// Numbers of dropped heads and tokens, by reason.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct DropCounts(BTreeMap<DropReason, u64>);

impl DropCounts {
    /// Returns how many heads and tokens were dropped for `reason`.
    pub fn get(&self, reason: DropReason) -> u64 {
        self.0.get(&reason).copied().unwrap_or(0)
    }

    /// Returns the reasons that occurred, with their counts.
    pub fn iter(&self) -> impl Iterator<Item = (DropReason, u64)> {
        self.0.iter().map(|(reason, count)| (*reason, *count))
    }

    pub(crate) fn add(&mut self, reason: DropReason) {
        *self.0.entry(reason).or_default() += 1;
    }
}
