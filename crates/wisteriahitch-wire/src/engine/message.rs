//! Messages to and from a model engine.

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{
    AdapterName, AttemptNumber, BlockKey, ByteCount, DurationUs, Generation, ModelName, RequestId,
    TokenCount, TokenRate, WeightVersion,
};

/// Reference to the cache block of one complete piece of a prompt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BlockRef {
    /// Key of the block, derived from this piece and all pieces before it.
    pub key: BlockKey,
    /// Number of tokens in this piece, without those before it.
    pub tokens: TokenCount,
}

/// Request for a completion.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletionRequest {
    /// Id of the caller's request.
    pub request_id: RequestId,
    /// Number of this attempt at the request.
    pub attempt: AttemptNumber,
    /// Model to run.
    pub model: ModelName,
    /// Adapter on top of the model, if any.
    pub adapter: Option<AdapterName>,
    /// Weight version for which the request was routed to this engine.
    pub weight_version: WeightVersion,
    /// Prompt text.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: TokenCount,
    /// Priority at the engine; a higher one is served first.
    pub priority: u8,
    /// Position of the first token to return; above zero when a stream is resumed.
    pub position: u64,
    /// Cache blocks of the prompt's complete pieces, in order.
    pub blocks: Vec<BlockRef>,
}

/// Head of an answer: what the engine sends before the first token.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletionHead {
    /// Id of the request that is answered.
    pub request_id: RequestId,
    /// Number of the attempt that is answered.
    pub attempt: AttemptNumber,
    /// Weight version that runs the request.
    pub weight_version: WeightVersion,
    /// Number of prompt tokens that were found in the engine's cache.
    pub cached_tokens: TokenCount,
}

/// One token of an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Token {
    /// Id of the request that is answered.
    pub request_id: RequestId,
    /// Number of the attempt that is answered.
    pub attempt: AttemptNumber,
    /// Position in the answer, starting at 0.
    pub position: u64,
    /// Text of the token.
    pub text: String,
    /// Reason why the answer ends with this token; `None` if more tokens follow.
    pub finish_reason: Option<String>,
}

/// A loaded model, as reported by an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelReport {
    /// Name of the model.
    pub model: ModelName,
    /// Version of the weights that new requests run on.
    pub weight_version: WeightVersion,
    /// Adapters of the model that are loaded.
    pub adapters: Vec<AdapterName>,
    /// Whether the engine accepts requests for the model now.
    pub ready: bool,
}

/// Load report of an engine. It may lag behind the actual load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Time of the report, in milliseconds on the engine's own clock.
    pub made_at_ms: u64,
    /// Number of running requests.
    #[serde(deserialize_with = "crate::count::deserialize")]
    pub running: u64,
    /// Maximum number of requests that run at once.
    #[serde(deserialize_with = "crate::count::deserialize")]
    pub batch_slots: u64,
    /// Number of queued requests.
    #[serde(deserialize_with = "crate::count::deserialize")]
    pub queued: u64,
    /// Number of prompt tokens whose prefill is queued.
    pub queued_tokens: TokenCount,
    /// Number of tokens in the KV cache.
    pub kv_used_tokens: TokenCount,
    /// Capacity of the KV cache, in tokens.
    pub kv_capacity_tokens: TokenCount,
    /// Prefill throughput.
    pub prefill_tokens_per_s: TokenRate,
    /// Decode time per token of one answer.
    pub decode_us_per_token: DurationUs,
    /// Whether the endpoint is about to shut down.
    pub leaving: bool,
    /// Loaded models.
    pub models: Vec<ModelReport>,
    /// Role in which the endpoint serves.
    pub role: String,
    /// Whether the engine refuses orders with an outdated fencing number.
    pub checks_fence: bool,
}

/// Kind of a change to an engine's cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The block was computed or imported and is now cached.
    Stored,
    /// The block was removed from the cache.
    Evicted,
}

/// One change to an engine's cache.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; the engine numbers its events without gaps.
    pub number: u64,
    /// Kind of the change.
    pub kind: CacheEventKind,
    /// Key of the block that changed.
    pub key: BlockKey,
}

/// A consecutive range of cache events.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Incarnation of the engine. Sequence numbers of different incarnations are not comparable.
    pub incarnation: String,
    /// Sequence number of the oldest event that the engine still stores.
    pub first: u64,
    /// Sequence number that the next event will have.
    pub next: u64,
    /// Events in ascending order of their sequence numbers.
    pub events: Vec<CacheEvent>,
}

/// Keys of all blocks in an engine's cache.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheListing {
    /// Incarnation of the engine.
    pub incarnation: String,
    /// Sequence number of the first event after this listing.
    pub next: u64,
    /// Keys of the cached blocks.
    pub keys: Vec<BlockKey>,
}

/// Request to an engine to write a block to a store VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExportRequest {
    /// Block to write.
    pub key: BlockKey,
    /// URL of the reserved block at the store VM.
    pub to: String,
    /// Generation that the store assigned to the reservation.
    pub generation: Generation,
    /// Weight version that the block must have been computed with.
    pub weight_version: WeightVersion,
}

/// Result of an export: size and checksum of the block that was written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExportResult {
    /// Size of the block.
    pub bytes: ByteCount,
    /// CRC-32C checksum of the block.
    pub crc32c: u32,
}

/// Request to an engine to read a block from a store VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ImportRequest {
    /// Block to read.
    pub key: BlockKey,
    /// URL of the block at the store VM.
    pub from: String,
    /// Generation of the pinned block.
    pub generation: Generation,
    /// Id of the pin that keeps the block from being freed while it is read.
    pub pin: String,
    /// Weight version that the block must have been computed with.
    pub weight_version: WeightVersion,
    /// Size that the block must have.
    pub bytes: ByteCount,
    /// CRC-32C checksum that the block must have.
    pub crc32c: u32,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Order {
    /// Load a version of a model's weights, replacing the version that is loaded.
    LoadModel {
        /// Model to load.
        model: ModelName,
        /// Version to load.
        weight_version: WeightVersion,
    },
    /// Unload a model.
    UnloadModel {
        /// Model to unload.
        model: ModelName,
    },
    /// Load an adapter.
    LoadAdapter {
        /// Model that the adapter belongs to.
        model: ModelName,
        /// Adapter to load.
        adapter: AdapterName,
    },
    /// Unload an adapter.
    UnloadAdapter {
        /// Model that the adapter belongs to.
        model: ModelName,
        /// Adapter to unload.
        adapter: AdapterName,
    },
    /// Change the role in which the engine serves.
    SetRole {
        /// New role.
        role: String,
    },
}
