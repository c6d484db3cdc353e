//! JSON bodies of the completions API.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use wisteriahitch_types::{AdapterName, Code, ModelName, RequestId, TokenCount, WeightVersion};

use super::Refusal;

const OBJECT_NAME: &str = "text_completion";
const DEFAULT_MAX_TOKENS: TokenCount = TokenCount::new(16);

/// Body of a completion request.
///
/// Unknown fields are refused instead of ignored, because an answer that ignores a requested option
/// isn't the answer to the caller's request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct CompletionBody {
    /// Model to run.
    pub(crate) model: ModelName,
    /// Adapter to apply to the model.
    #[serde(default)]
    pub(crate) adapter: Option<AdapterName>,
    /// Prompt text.
    pub(crate) prompt: String,
    /// Maximum number of tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub(crate) max_tokens: TokenCount,
    /// Whether tokens are streamed as they are generated.
    #[serde(default)]
    pub(crate) stream: bool,
    /// The caller's own identifier of its end user; accepted and ignored.
    #[serde(default, rename = "user")]
    _user: Option<String>,
}

fn default_max_tokens() -> TokenCount {
    DEFAULT_MAX_TOKENS
}

impl CompletionBody {
    /// Parses the JSON body of a request.
    ///
    /// A `max_tokens` of 0 is refused here. An engine would refuse it too, but that refusal would
    /// count as a failure of the endpoint, and one workspace's mistake would eject endpoints for
    /// all others.
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

/// Token counts reported with the last part of an answer.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Usage {
    /// Tokens of the prompt.
    pub(crate) prompt_tokens: TokenCount,
    /// Prompt tokens served from a cache instead of being computed.
    pub(crate) cached_tokens: TokenCount,
    /// Tokens generated so far.
    pub(crate) completion_tokens: TokenCount,
}

/// Fields that identify an answer and are repeated in each chunk of it.
#[derive(Clone, Debug)]
pub(crate) struct AnswerIdentity {
    /// Id of the request.
    pub(crate) request_id: RequestId,
    /// Model that generates the answer.
    pub(crate) model: ModelName,
    /// Weight version of the model.
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

/// Renders one chunk of an answer as JSON: a single token of a stream, or the whole text.
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
