//! What became of one request.

use wisteriahitch::types::{Code, DurationUs, Meaning};

use crate::load::PromptRequest;

/// Holds what became of one request.
#[derive(Clone, Debug)]
pub struct Record {
    /// When it was to be sent, from the start of the run.
    pub at_us: u64,
    /// Workspace, by its number.
    pub workspace: usize,
    /// What was asked.
    pub subject: Subject,
    /// How it ended.
    pub outcome: Outcome,
    /// When it ended, from the start of the run.
    pub ended_us: u64,
    /// Connections that broke or were refused before that.
    pub broken_tries: u64,
}

/// Says what was asked.
#[derive(Clone, Copy, Debug)]
pub enum Subject {
    /// A completion.
    Prompt(PromptRequest),
    /// A plain call.
    Plain,
}

/// Says how a request ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The whole answer came.
    Answered {
        /// From the intended time of sending to the first token or, of a plain call, the end.
        first_token_us: u64,
        /// Pauses between two tokens.
        gaps_us: Vec<u64>,
        /// Prompt tokens that were not computed again.
        cached_tokens: u64,
        /// Whether the answer is this request's own.
        is_right: bool,
    },
    /// The system refused it, or gave it up with a code.
    Refused {
        /// Code.
        code: Code,
        /// Meaning.
        meaning: Meaning,
        /// When to come back.
        retry_after_us: Option<DurationUs>,
        /// Id that the system gave it.
        request_id: Option<String>,
        /// From the intended time of sending to the refusal.
        after_us: u64,
    },
    /// The answer ended as if it were whole, but wasn't.
    CutOff,
    /// No try brought an answer or a code.
    Lost(String),
}
