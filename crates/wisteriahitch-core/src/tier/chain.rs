//! A finished request and the chain of blocks that it used.

use serde::Serialize;
use wisteriahitch_config::SavePolicy;
use wisteriahitch_types::{
    BlockKey, ByteCount, EndpointId, TokenCount, TokenRate, WeightVersion, WorkspaceId,
};

/// The block of one full piece of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ChainBlock {
    /// Key of the block.
    pub key: BlockKey,
    /// Number of tokens in the block.
    pub tokens: TokenCount,
    /// Length of the block.
    pub bytes: ByteCount,
}

/// What the tier module records of a finished request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FinishedRequest {
    /// Workspace that the request belongs to.
    pub workspace: WorkspaceId,
    /// Weight version that the request ran with.
    pub weight_version: WeightVersion,
    /// Endpoint that the request ran on and that now holds its blocks.
    pub endpoint: EndpointId,
    /// Save policy of the routing rule that matched the request.
    pub policy: SavePolicy,
    /// Rate at which the endpoint computes prompts.
    pub prefill_tokens_per_s: TokenRate,
    /// Blocks of the full pieces of the prompt, in order from the start.
    pub chain: Vec<ChainBlock>,
}
