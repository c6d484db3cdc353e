//! JSON bodies and header names of the engine protocol.

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{
    AdapterName, AttemptNumber, FenceNumber, ModelName, RequestId, TokenCount, WeightVersion,
};

use super::{BlockRef, CompletionRequest, Order};

/// Header with the id of the request that is answered.
pub const HEADER_REQUEST_ID: &str = "x-request-id";
/// Header with the number of the attempt that is answered.
pub const HEADER_ATTEMPT: &str = "x-attempt";
/// Header with the weight version that runs the request.
pub const HEADER_WEIGHT_VERSION: &str = "x-weight-version";
/// Header with the number of prompt tokens that were found in the engine's cache.
pub const HEADER_CACHED_TOKENS: &str = "x-cached-tokens";

/// Data of the event that follows the last token.
pub const DONE: &str = "[DONE]";

/// Body of a completion request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletionBody {
    /// Model to run.
    pub model: ModelName,
    /// Prompt text.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: TokenCount,
    /// Whether the answer is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Fields that the common completion API lacks.
    pub wisteriahitch: CompletionExtension,
}

/// Fields of a completion request that the common completion API lacks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletionExtension {
    /// Id of the caller's request.
    pub request_id: RequestId,
    /// Number of this attempt at the request.
    pub attempt: AttemptNumber,
    /// Priority at the engine; a higher one is served first.
    pub priority: u8,
    /// Adapter on top of the model, if any.
    pub adapter: Option<AdapterName>,
    /// Weight version for which the request was routed to this engine.
    pub weight_version: WeightVersion,
    /// Position of the first token to return.
    pub position: u64,
    /// Cache blocks of the prompt's complete pieces, in order.
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

/// Body of a refusal.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// Whether the engine states that it did not run the request.
    #[serde(default)]
    pub not_run: bool,
    /// Reason. Used in the log and to recognize orders with an old fencing number.
    #[serde(default)]
    pub reason: String,
}

/// Body of an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrderBody {
    /// Fencing number of the lease under which the order is given.
    pub fence: FenceNumber,
    /// Order to carry out.
    pub order: Order,
}
