//! Input and result of the decision after an attempt broke.

use wisteriahitch_types::{AttemptNumber, Code, EndpointId, WeightVersion};

/// What is known when an attempt breaks.
#[derive(Clone, Debug)]
pub struct StreamBreak {
    /// Why the attempt broke. The caller receives this code if it has received no token yet.
    pub code: Code,
    /// Weight version that the endpoint currently reports; `None` if it accepts no more work.
    pub endpoint_version: Option<WeightVersion>,
    /// Whether the request may be run again from the beginning.
    pub may_restart: bool,
    /// Whether the retry budget allows another attempt.
    pub may_retry: bool,
}

/// How a request continues after its attempt broke.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BreakDecision {
    /// Request the remaining tokens from the same endpoint.
    Resume {
        /// Number of the new attempt.
        attempt: AttemptNumber,
        /// Endpoint that ran the broken attempt.
        endpoint: EndpointId,
        /// Position of the first token to request.
        position: u64,
        /// Weight version that the answer began with.
        weight_version: WeightVersion,
    },
    /// Run the request again from the beginning on any endpoint. The caller does not notice, since
    /// it has received no token.
    RestartInvisible {
        /// Number of the new attempt.
        attempt: AttemptNumber,
    },
    /// End the answer with this code; the caller does not receive all of it.
    Incomplete(Code),
}
