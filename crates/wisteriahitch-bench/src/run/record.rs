//! Requests and their outcomes.

use wisteriahitch::types::{Code, DurationUs, Meaning};

use crate::load::PromptRequest;

/// A request that was sent, and its outcome.
#[derive(Clone, Debug)]
pub struct Record {
    /// Intended time of sending, in microseconds from the start of the run.
    pub at_us: u64,
    /// Index of the workspace.
    pub workspace: usize,
    /// Kind of request.
    pub subject: Subject,
    /// How the request ended.
    pub outcome: Outcome,
    /// Time of the end, in microseconds from the start of the run.
    pub ended_us: u64,
    /// Attempts that failed because the connection broke or the daemon accepted no new requests.
    pub broken_tries: u64,
}

/// Kind of a request that was sent.
#[derive(Clone, Copy, Debug)]
pub enum Subject {
    /// A completion request.
    Prompt(PromptRequest),
    /// A call to a plain service.
    Plain,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A complete answer arrived.
    Answered {
        /// Time from the intended sending to the first token, or to the end of a plain call.
        first_token_us: u64,
        /// Times between consecutive tokens.
        gaps_us: Vec<u64>,
        /// Prompt tokens that were taken from a cache.
        cached_tokens: u64,
        /// Whether the answer is the expected one.
        is_right: bool,
    },
    /// The system refused the request, or stopped processing it with a code.
    Refused {
        /// Code of the refusal.
        code: Code,
        /// Whether the request has not run or its outcome is unknown.
        meaning: Meaning,
        /// Time after which to retry, if given.
        retry_after_us: Option<DurationUs>,
        /// Id that the system assigned to the request.
        request_id: Option<String>,
        /// Time from the intended sending to the refusal.
        after_us: u64,
    },
    /// The stream ended without an error but before its last event.
    CutOff,
    /// No attempt returned an answer or a code; holds the last error.
    Lost(String),
}
