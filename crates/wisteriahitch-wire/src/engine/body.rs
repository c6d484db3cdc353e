//! JSON bodies and header names of the engine protocol that no other module needs.

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{
    AdapterName, AttemptNumber, FenceNumber, ModelName, RequestId, TokenCount, WeightVersion,
};

use super::{BlockRef, CompletionRequest, Order};

/// Header that names the request an answer is for.
pub const HEADER_REQUEST_ID: &str = "x-request-id";
/// Header that numbers the attempt an answer is for.
pub const HEADER_ATTEMPT: &str = "x-attempt";
/// Header that names the weight version that runs a request.
pub const HEADER_WEIGHT_VERSION: &str = "x-weight-version";
/// Header that counts the prompt tokens that were not computed again.
pub const HEADER_CACHED_TOKENS: &str = "x-cached-tokens";

/// Data of the event after the last token.
pub const DONE: &str = "[DONE]";

/// Body of a completion request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletionBody {
    /// Model to run.
    pub model: ModelName,
    /// Prompt text.
    pub prompt: String,
    /// Most tokens to generate.
    pub max_tokens: TokenCount,
    /// Whether the answer comes as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// What the usual form lacks.
    pub wisteriahitch: CompletionExtension,
}

/// Part of a completion request that the usual form lacks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletionExtension {
    /// The caller's request.
    pub request_id: RequestId,
    /// Number of this attempt at it.
    pub attempt: AttemptNumber,
    /// Higher goes first at the engine.
    pub priority: u8,
    /// Adapter on top of the model, if any.
    pub adapter: Option<AdapterName>,
    /// Weight version that the decision was made for.
    pub weight_version: WeightVersion,
    /// First token wanted.
    pub position: u64,
    /// Chain of the prompt's whole pieces.
    pub blocks: Vec<BlockRef>,
}

impl From<CompletionRequest> for CompletionBody {
    fn from(request: CompletionRequest) -> Self {
        Self {
            model: request.model,
            prompt: request.prompt,
            max_tokens: request.max_tokens,
            stream: true,
            wisteriahitch: CompletionExtension {
                request_id: request.request_id,
                attempt: request.attempt,
                priority: request.priority,
                adapter: request.adapter,
                weight_version: request.weight_version,
                position: request.position,
                blocks: request.blocks,
            },
        }
    }
}

/// Body of an answer that refuses something.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// Whether the engine says that it did not run the request.
    #[serde(default)]
    pub not_run: bool,
    /// Why, for the log.
    #[serde(default)]
    pub reason: String,
}

/// Body of an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrderBody {
    /// Fencing number of the one who gives the order.
    pub fence: FenceNumber,
    /// What to do.
    pub order: Order,
}
