//! What a policy decides.

use serde::Serialize;
use wisteriahitch_types::{BlockKey, Code, DurationUs, EndpointId, StoreId, Tier, TokenCount};

/// Says where a request runs and what is done before.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Choice {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// What becomes of the prompt's pieces there.
    pub plan: Plan,
    /// Times that are expected.
    pub estimate: Estimate,
    /// Every candidate, the cheapest first; empty unless it was asked for.
    pub weighed: Vec<ScoredCandidate>,
}

/// Says what becomes of a prompt at its endpoint.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Plan {
    /// Tokens from the start that the endpoint holds, by the directory.
    pub resident_tokens: TokenCount,
    /// Pieces to import after those, in their order.
    pub import: Vec<ImportStep>,
    /// Tokens that are left to compute.
    pub recompute_tokens: TokenCount,
}

/// Names one piece to import.
///
/// The router knows pieces by their tokens and tiers; the bytes that cross a link are added for
/// [`tier::ImportStep`](crate::tier::ImportStep) by the shell, which knows the model's size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ImportStep {
    /// Block.
    pub key: BlockKey,
    /// Store VM that should hold it.
    pub store: StoreId,
    /// Tier that it should lie in.
    pub tier: Tier,
    /// Tokens in the piece.
    pub tokens: TokenCount,
}

/// Holds the times that are expected of a request at an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Estimate {
    /// Wait for a slot and for the prompts ahead.
    pub queue_us: DurationUs,
    /// Time of the imports, which run while the request would wait anyway.
    pub transfer_us: DurationUs,
    /// Time to read the rest of the prompt.
    pub prefill_us: DurationUs,
    /// Time from now to the first token.
    pub first_token_us: DurationUs,
}

/// Shows one candidate, for the operators' `explain`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ScoredCandidate {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Times expected there.
    pub estimate: Estimate,
    /// Cost in microseconds; the lowest is best.
    pub cost_us: f64,
}

/// Says why no endpoint was chosen; the request was not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, thiserror::Error)]
#[error("{code}: {}", code.summary())]
pub struct RouteRefusal {
    /// [`Code::UnknownModel`], [`Code::NoEndpoint`] or [`Code::DeadlineUnreachable`].
    pub code: Code,
    /// When it is worth coming back.
    pub retry_after_us: DurationUs,
}
