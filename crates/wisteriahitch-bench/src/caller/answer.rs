//! Answers as a caller gets them.

use std::time::{Duration, Instant};

use wisteriahitch::types::{TokenCount, WeightVersion};

/// Holds the whole answer to a completion.
#[derive(Clone, Debug)]
pub struct CompletionAnswer {
    /// Text of all tokens.
    pub text: String,
    /// Weight version that answered.
    pub weight_version: WeightVersion,
    /// Tokens of the prompt.
    pub prompt_tokens: TokenCount,
    /// Tokens of the prompt that were not computed again.
    pub cached_tokens: TokenCount,
    /// Tokens that were generated.
    pub completion_tokens: TokenCount,
    /// Time from sending to the first token.
    pub first_token: Duration,
    /// When the first token came.
    pub first_token_at: Option<Instant>,
    /// Pauses between two tokens.
    pub gaps: Vec<Duration>,
}

/// Holds a plain service's answer.
#[derive(Clone, Debug)]
pub struct PlainAnswer {
    /// HTTP status.
    pub status: u16,
    /// Whole body.
    pub body: String,
}
