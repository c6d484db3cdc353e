//! The chain of blocks that a finished request used.

use serde::Serialize;
use wisteriahitch_config::SavePolicy;
use wisteriahitch_types::{
    BlockKey, ByteCount, EndpointId, TokenCount, TokenRate, WeightVersion, WorkspaceId,
};

/// Holds one whole piece of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ChainBlock {
    /// Block.
    pub key: BlockKey,
    /// Tokens in it.
    pub tokens: TokenCount,
    /// Length.
    pub bytes: ByteCount,
}

/// Holds what the core needs to know of a request that has finished.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FinishedRequest {
    /// Workspace that it belongs to.
    pub workspace: WorkspaceId,
    /// Weight version that it ran with.
    pub weight_version: WeightVersion,
    /// Endpoint that it ran on and that now holds its blocks.
    pub endpoint: EndpointId,
    /// What the rule that decided says of saving.
    pub policy: SavePolicy,
    /// Speed at which the endpoint computes prompts.
    pub prefill_tokens_per_s: TokenRate,
    /// Whole pieces of its prompt, from the front.
    pub chain: Vec<ChainBlock>,
}
