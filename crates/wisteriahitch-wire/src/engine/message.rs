//! Messages to and from a model engine.

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{
    AdapterName, AttemptNumber, BlockKey, ByteCount, DurationUs, Generation, ModelName, RequestId,
    TokenCount, TokenRate, WeightVersion,
};

/// Names one whole piece of a prompt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BlockRef {
    /// Key of the block, which binds everything before it too.
    pub key: BlockKey,
    /// Tokens in this piece alone.
    pub tokens: TokenCount,
}

/// Asks for a completion.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletionRequest {
    /// The caller's request.
    pub request_id: RequestId,
    /// Number of this attempt at it.
    pub attempt: AttemptNumber,
    /// Model to run.
    pub model: ModelName,
    /// Adapter on top of the model, if any.
    pub adapter: Option<AdapterName>,
    /// Weight version that the decision was made for.
    pub weight_version: WeightVersion,
    /// Prompt text.
    pub prompt: String,
    /// Most tokens to generate.
    pub max_tokens: TokenCount,
    /// Higher goes first at the engine.
    pub priority: u8,
    /// First token wanted, above zero when a stream is resumed.
    pub position: u64,
    /// Chain of the prompt's whole pieces.
    pub blocks: Vec<BlockRef>,
}

/// Holds what the engine says before the first token.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletionHead {
    /// Request that the answer is for.
    pub request_id: RequestId,
    /// Attempt that the answer is for.
    pub attempt: AttemptNumber,
    /// Weight version that runs it.
    pub weight_version: WeightVersion,
    /// Prompt tokens that were not computed again.
    pub cached_tokens: TokenCount,
}

/// Holds one token of an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Token {
    /// Request that the token is for.
    pub request_id: RequestId,
    /// Attempt that the token is for.
    pub attempt: AttemptNumber,
    /// Place in the answer, from zero.
    pub position: u64,
    /// Text of the token.
    pub text: String,
    /// Why the answer ends here, or nothing where it goes on.
    pub finish_reason: Option<String>,
}

/// Holds one model as an engine reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelReport {
    /// Name of the model.
    pub model: ModelName,
    /// Version of the weights that new requests run on.
    pub weight_version: WeightVersion,
    /// Adapters that are loaded.
    pub adapters: Vec<AdapterName>,
    /// Whether requests are taken now.
    pub ready: bool,
}

/// Holds a lagging report of an engine's load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// When the report was made, in milliseconds on the engine's own clock.
    pub made_at_ms: u64,
    /// Requests that run now.
    #[serde(deserialize_with = "crate::count::deserialize")]
    pub running: u64,
    /// Requests that can run at once.
    #[serde(deserialize_with = "crate::count::deserialize")]
    pub batch_slots: u64,
    /// Requests that wait.
    #[serde(deserialize_with = "crate::count::deserialize")]
    pub queued: u64,
    /// Prompt tokens that wait to be computed.
    pub queued_tokens: TokenCount,
    /// Tokens whose KV cache is held.
    pub kv_used_tokens: TokenCount,
    /// Tokens whose KV cache can be held.
    pub kv_capacity_tokens: TokenCount,
    /// Speed of reading prompts.
    pub prefill_tokens_per_s: TokenRate,
    /// Time between two tokens of one answer.
    pub decode_us_per_token: DurationUs,
    /// Whether the endpoint will go away soon.
    pub leaving: bool,
    /// Models that are loaded.
    pub models: Vec<ModelReport>,
    /// Role that the endpoint serves in.
    pub role: String,
    /// Whether the engine refuses orders with an old fencing number.
    pub checks_fence: bool,
}

/// Says what happened to a block in an engine's cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The block was computed or imported.
    Stored,
    /// The block was dropped.
    Evicted,
}

/// Holds one change of an engine's cache.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Place in the engine's sequence, without holes at the engine.
    pub number: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// Block that it happened to.
    pub key: BlockKey,
}

/// Holds a run of cache events.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Life of the engine; numbers of two lives can't be compared.
    pub incarnation: String,
    /// Number of the oldest event that is still kept.
    pub first: u64,
    /// Number that the next event will have.
    pub next: u64,
    /// Events in the order of their numbers.
    pub events: Vec<CacheEvent>,
}

/// Holds every block key in an engine's cache.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheListing {
    /// Life of the engine.
    pub incarnation: String,
    /// Number of the first event after this listing.
    pub next: u64,
    /// Keys held.
    pub keys: Vec<BlockKey>,
}

/// Asks an engine to write a block to a store VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExportRequest {
    /// Block to write.
    pub key: BlockKey,
    /// URL of the reserved block at the store VM.
    pub to: String,
    /// Generation that was reserved.
    pub generation: Generation,
    /// Weight version that the block must have been computed with.
    pub weight_version: WeightVersion,
}

/// Holds what an engine wrote.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExportResult {
    /// Length of the block.
    pub bytes: ByteCount,
    /// Checksum of the block.
    pub crc32c: u32,
}

/// Asks an engine to read a block from a store VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ImportRequest {
    /// Block to read.
    pub key: BlockKey,
    /// URL of the block at the store VM.
    pub from: String,
    /// Generation that was pinned.
    pub generation: Generation,
    /// Pin that keeps the block while it is read.
    pub pin: String,
    /// Weight version that the block must have.
    pub weight_version: WeightVersion,
    /// Length that the block must have.
    pub bytes: ByteCount,
    /// Checksum that the block must have.
    pub crc32c: u32,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Order {
    /// Load a version of a model's weights, in place of the one that is loaded.
    LoadModel {
        /// Model to load.
        model: ModelName,
        /// Version to load.
        weight_version: WeightVersion,
    },
    /// Drop a model.
    UnloadModel {
        /// Model to drop.
        model: ModelName,
    },
    /// Load an adapter.
    LoadAdapter {
        /// Model that the adapter belongs to.
        model: ModelName,
        /// Adapter to load.
        adapter: AdapterName,
    },
    /// Drop an adapter.
    UnloadAdapter {
        /// Model that the adapter belongs to.
        model: ModelName,
        /// Adapter to drop.
        adapter: AdapterName,
    },
    /// Serve in another role.
    SetRole {
        /// Role to serve in.
        role: String,
    },
}
