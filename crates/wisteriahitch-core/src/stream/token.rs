//! What an endpoint's answer says of itself, and why a part of it is dropped.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;
use wisteriahitch_types::{AttemptNumber, RequestId, WeightVersion};

/// Holds what the head of an endpoint's answer names.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamHead {
    /// Request that the endpoint answers.
    pub request: RequestId,
    /// Attempt at that request.
    pub attempt: AttemptNumber,
    /// Weights that the endpoint runs it with.
    pub weight_version: WeightVersion,
}

/// Holds what a token of an endpoint's stream names.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamToken {
    /// Request that the token belongs to.
    pub request: RequestId,
    /// Attempt that produced it.
    pub attempt: AttemptNumber,
    /// Place in the answer, from 0.
    pub position: u64,
    /// Whether the answer ends with it.
    pub is_last: bool,
}

/// Says why a part of an endpoint's answer is not passed on.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DropReason {
    /// It belongs to another request.
    OtherRequest,
    /// It belongs to another attempt, mostly an earlier one whose answer comes late.
    OtherAttempt,
    /// Its position has been passed on already.
    Duplicate,
    /// It came before the head of its attempt was checked.
    BeforeHead,
    /// The attempt has broken, or the answer has ended.
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

/// Counts what was dropped, by reason.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct DropCounts(BTreeMap<DropReason, u64>);

impl DropCounts {
    /// Returns how often something was dropped for `reason`.
    pub fn get(&self, reason: DropReason) -> u64 {
        self.0.get(&reason).copied().unwrap_or(0)
    }

    /// Lists the reasons that occurred.
    pub fn iter(&self) -> impl Iterator<Item = (DropReason, u64)> {
        self.0.iter().map(|(reason, count)| (*reason, *count))
    }

    pub(crate) fn add(&mut self, reason: DropReason) {
        *self.0.entry(reason).or_default() += 1;
    }
}
