//! The result of a routing decision.

use serde::Serialize;
use wisteriahitch_types::{BlockKey, Code, DurationUs, EndpointId, StoreId, Tier, TokenCount};

/// The endpoint chosen for a request, with the plan for its prompt.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Choice {
    /// Endpoint that the request is sent to.
    pub endpoint: EndpointId,
    /// Which pieces of the prompt are resident, imported and computed there.
    pub plan: Plan,
    /// Estimated times at this endpoint.
    pub estimate: Estimate,
    /// All candidates that were compared, the cheapest first; empty unless
    /// [`RouteRequest::explain`](super::RouteRequest::explain) is set.
    pub weighed: Vec<ScoredCandidate>,
}

/// How the KV cache of a prompt is obtained at its endpoint.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Plan {
    /// Tokens of the prefix that is in the endpoint's cache, according to the directory.
    pub resident_tokens: TokenCount,
    /// Pieces to import after the resident prefix, in prompt order.
    pub import: Vec<ImportStep>,
    /// Prompt tokens that the endpoint computes.
    pub recompute_tokens: TokenCount,
}

/// One piece to import from a store VM.
///
/// The router counts in tokens. The shell, which knows the model's size, adds the bytes to transfer
/// for [`tier::ImportStep`](crate::tier::ImportStep).
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ImportStep {
    /// Key of the piece's block.
    pub key: BlockKey,
    /// Store VM that holds the block, according to the directory.
    pub store: StoreId,
    /// Tier of the store VM that holds the block.
    pub tier: Tier,
    /// Number of tokens in the piece.
    pub tokens: TokenCount,
}

/// Estimated times of a request at one endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Estimate {
    /// Wait for a batch slot and for the prompts queued ahead.
    pub queue_us: DurationUs,
    /// Duration of the imports, which overlap with `queue_us`.
    pub transfer_us: DurationUs,
    /// Time to compute the part of the prompt that is neither resident nor imported.
    pub prefill_us: DurationUs,
    /// Time from the decision to the first token.
    pub first_token_us: DurationUs,
}

/// One candidate of a decision, shown by the operators' `explain` command.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ScoredCandidate {
    /// Endpoint of the candidate.
    pub endpoint: EndpointId,
    /// Estimated times at this endpoint.
    pub estimate: Estimate,
    /// Cost of the candidate's best plan in weighted microseconds; lower is better.
    pub cost_us: f64,
}

/// Why no endpoint was chosen. The request was not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, thiserror::Error)]
#[error("{code}: {}", code.summary())]
pub struct RouteRefusal {
    /// [`Code::UnknownModel`], [`Code::NoEndpoint`] or [`Code::DeadlineUnreachable`].
    pub code: Code,
    /// Time after which the caller may retry.
    pub retry_after_us: DurationUs,
}
