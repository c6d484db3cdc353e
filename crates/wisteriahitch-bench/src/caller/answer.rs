//! Answers that a caller receives.

use std::time::{Duration, Instant};

use wisteriahitch::types::{TokenCount, WeightVersion};

/// Complete answer to a completion request.
#[derive(Clone, Debug)]
pub struct CompletionAnswer {
    /// Text of all generated tokens.
    pub text: String,
    /// Weight version that generated the answer.
    pub weight_version: WeightVersion,
    /// Total tokens of the prompt.
    pub prompt_tokens: TokenCount,
    /// Prompt tokens that were taken from a cache.
    pub cached_tokens: TokenCount,
    /// Number of generated tokens.
    pub completion_tokens: TokenCount,
    /// Time from sending the request to the first token.
    pub first_token: Duration,
    /// Time at which the first token arrived; `None` if there was none.
    pub first_token_at: Option<Instant>,
    /// Times between consecutive tokens.
    pub gaps: Vec<Duration>,
}

/// Complete answer of a plain service.
#[derive(Clone, Debug)]
pub struct PlainAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body, with invalid UTF-8 replaced.
    pub body: String,
}
