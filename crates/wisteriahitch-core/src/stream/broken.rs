//! What follows when an attempt breaks.

use wisteriahitch_types::{AttemptNumber, Code, EndpointId, WeightVersion};

/// Holds what is known when an attempt breaks.
#[derive(Clone, Debug)]
pub struct StreamBreak {
    /// Why it broke; the caller gets this code if nothing of the answer has reached it.
    pub code: Code,
    /// Weights that the endpoint now reports, or nothing where it takes no work any more.
    pub endpoint_version: Option<WeightVersion>,
    /// Whether the request may be run again from its start.
    pub may_restart: bool,
    /// Whether the budget for retries allows another attempt.
    pub may_retry: bool,
}

/// Says how a request goes on after its attempt broke.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BreakDecision {
    /// Ask the same endpoint for the rest.
    Resume {
        /// Attempt to name.
        attempt: AttemptNumber,
        /// Endpoint that ran the attempt before.
        endpoint: EndpointId,
        /// First token wanted.
        position: u64,
        /// Weights that the answer began with.
        weight_version: WeightVersion,
    },
    /// Start again anywhere; the caller sees nothing of it.
    RestartInvisible {
        /// Attempt to name.
        attempt: AttemptNumber,
    },
    /// Tell the caller by this code that it doesn't get the whole answer.
    Incomplete(Code),
}
