//! The caller's side of the completions form.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use wisteriahitch_types::{AdapterName, Code, ModelName, RequestId, TokenCount, WeightVersion};

use super::Refusal;

const OBJECT_NAME: &str = "text_completion";
const DEFAULT_MAX_TOKENS: TokenCount = TokenCount::new(16);

/// A completion as the caller asks for it.
///
/// A field that isn't known is refused instead of dropped: an answer that ignores what was asked
/// for isn't the answer to the caller's own request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct CompletionBody {
    /// Model to run.
    pub(crate) model: ModelName,
    /// Adapter on top of the model.
    #[serde(default)]
    pub(crate) adapter: Option<AdapterName>,
    /// Prompt text.
    pub(crate) prompt: String,
    /// Most tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub(crate) max_tokens: TokenCount,
    /// Whether tokens are sent as they come.
    #[serde(default)]
    pub(crate) stream: bool,
    /// The caller's own name for its user; it plays no part.
    #[serde(default, rename = "user")]
    _user: Option<String>,
}

fn default_max_tokens() -> TokenCount {
    DEFAULT_MAX_TOKENS
}

impl CompletionBody {
    /// Reads the JSON of a request.
    ///
    /// An answer of no tokens is refused here: an engine's refusal of it would count as the
    /// endpoint's failure, and one workspace's mistake would eject endpoints for all others.
    pub(crate) fn try_parse(body: &[u8]) -> Result<Self, Refusal> {
        let parsed: Self = serde_json::from_slice(body)
            .map_err(|error| Refusal::new(Code::BadJson).with_message(error.to_string()))?;
        match parsed.max_tokens {
            TokenCount::ZERO => {
                Err(Refusal::new(Code::BadJson).with_message("max_tokens must be at least 1"))
            }
            _ => Ok(parsed),
        }
    }
}

/// Counts the prompt's tokens in an answer.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Usage {
    /// Tokens of the prompt.
    pub(crate) prompt_tokens: TokenCount,
    /// Tokens of the prompt that were not computed again.
    pub(crate) cached_tokens: TokenCount,
    /// Tokens that were generated.
    pub(crate) completion_tokens: TokenCount,
}

/// Names the answer that chunks belong to.
#[derive(Clone, Debug)]
pub(crate) struct AnswerIdentity {
    /// The request.
    pub(crate) request_id: RequestId,
    /// Model that answers.
    pub(crate) model: ModelName,
    /// Weight version that answers.
    pub(crate) weight_version: WeightVersion,
}

#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a RequestId,
    object: &'static str,
    model: &'a ModelName,
    weight_version: &'a WeightVersion,
    position: u64,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    text: &'a str,
    finish_reason: Option<&'a str>,
}

/// Renders text of an answer: one token of a stream, or the whole.
pub(crate) fn render(
    name: &AnswerIdentity,
    position: u64,
    text: &str,
    finish_reason: Option<&str>,
    usage: Option<Usage>,
) -> Bytes {
    let chunk = Chunk {
        id: &name.request_id,
        object: OBJECT_NAME,
        model: &name.model,
        weight_version: &name.weight_version,
        position,
        choices: [Choice {
            index: 0,
            text,
            finish_reason,
        }],
        usage,
    };
    Bytes::from(serde_json::to_vec(&chunk).unwrap_or_default())
}
