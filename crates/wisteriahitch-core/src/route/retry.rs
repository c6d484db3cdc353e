//! When the system itself repeats a request, and how often in all.

use serde::{Deserialize, Serialize};
use wisteriahitch_types::Code;

/// Retries that may follow a quiet start before requests have paid for them.
const FIRST_RETRIES: f64 = 3.0;
/// Most retries that can be saved up, so that a quiet hour doesn't pay for a burst.
const MAX_SAVED: f64 = 20.0;

/// Keeps retries a bounded share of the requests.
///
/// Without it, a fault of all endpoints would multiply the load by the number of attempts, which
/// keeps them down; one would notice by attempts growing while answers fall.
#[derive(Clone, Debug, Serialize)]
pub struct RetryBudget {
    share: f64,
    saved: f64,
    granted: u64,
    denied: u64,
}

impl RetryBudget {
    /// Builds a budget of `share` retries a request; a value outside 0 to 1 counts as the nearer.
    pub fn new(share: f64) -> Self {
        Self {
            share: share.clamp(0.0, 1.0),
            saved: FIRST_RETRIES,
            granted: 0,
            denied: 0,
        }
    }

    /// Takes over another share.
    pub fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.0, 1.0);
    }

    /// Records a request of a caller; retries are not counted here.
    pub fn request(&mut self) {
        self.saved = (self.saved + self.share).min(MAX_SAVED);
    }

    /// Takes one retry out of the budget, if there is one left.
    pub fn try_take(&mut self) -> bool {
        let is_granted = self.share > 0.0 && self.saved >= 1.0;
        match is_granted {
            true => {
                self.saved -= 1.0;
                self.granted += 1;
            }
            false => self.denied += 1,
        }
        is_granted
    }
}

/// Says what is known when an attempt has failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct FailedAttempt {
    /// Whether a byte of an answer has reached the caller.
    pub reached_caller: bool,
    /// Whether the endpoint itself said that it did not run the request, or nothing was sent.
    pub was_not_run: bool,
    /// Whether the request may be repeated.
    pub may_repeat: bool,
    /// Whether the caller brought a ticket or an idempotency key.
    pub is_keyed: bool,
    /// Attempts made so far.
    pub attempts: u32,
    /// Most attempts at one request.
    pub max_attempts: u32,
    /// Whether the deadline still leaves time.
    pub has_time: bool,
    /// What the caller is told where there is no retry.
    pub code: Code,
}

/// Says what follows from a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryDecision {
    /// Another endpoint is tried, if the budget has a retry left.
    Retry,
    /// The caller gets this code.
    GiveUp(Code),
}

/// Decides whether the system repeats a request; the budget is asked only after this says so.
///
/// A keyed request is never repeated, even where the endpoint said that it was not run: whoever
/// decides for its key may send it once (`docs/design/routing.md`).
pub fn retry_decision(failed: &FailedAttempt) -> RetryDecision {
    let is_safe = failed.was_not_run || failed.may_repeat;
    let is_wanted = failed.has_time && failed.attempts < failed.max_attempts;
    let is_unseen = !failed.reached_caller;
    if is_safe && is_wanted && is_unseen && !failed.is_keyed {
        return RetryDecision::Retry;
    }
    RetryDecision::GiveUp(failed.code)
}
