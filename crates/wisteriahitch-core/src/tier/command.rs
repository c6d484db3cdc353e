//! What the tier core asks of the shell.

use serde::Serialize;
use wisteriahitch_types::{
    BlockKey, ByteCount, EndpointId, Generation, RequestId, StoreId, StoreIncarnation, Tier,
    TokenCount, WeightVersion, WorkspaceId,
};

use super::TransferId;

/// Asks the shell for one call, or tells it that a request goes on.
///
/// Every command with a `transfer` is answered by the [`TierEvent`](super::TierEvent) that is
/// named with it; an answer that comes late or twice is dropped.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TierCommand {
    /// Pin a block at its store; answered by `Pinned`.
    Pin {
        /// Transfer it is for.
        transfer: TransferId,
        /// Store that holds the block.
        store: StoreId,
        /// Incarnation that the block is known under.
        incarnation: StoreIncarnation,
        /// Block.
        key: BlockKey,
    },
    /// Let the endpoint read a pinned block; answered by `Imported`.
    Import {
        /// Transfer it is for.
        transfer: TransferId,
        /// Endpoint that reads.
        endpoint: EndpointId,
        /// Store that holds the block.
        store: StoreId,
        /// Block.
        key: BlockKey,
        /// Generation that is pinned.
        generation: Generation,
        /// Name of the pin.
        pin: String,
        /// Weight version that the block was computed with.
        weight_version: WeightVersion,
        /// Length that the engine checks.
        bytes: ByteCount,
        /// Checksum that the engine checks.
        crc32c: u32,
    },
    /// Give up a pin; needs no answer.
    Unpin {
        /// Store that holds the block.
        store: StoreId,
        /// Block.
        key: BlockKey,
        /// Name of the pin.
        pin: String,
    },
    /// The request goes on at its endpoint: what wasn't imported is computed there.
    Proceed {
        /// Request.
        request: RequestId,
        /// Steps of its plan that the endpoint now holds, from the front.
        imported_steps: usize,
        /// Steps that it recomputes.
        recomputed_steps: usize,
    },
    /// Take room for a block at a store; answered by `Reserved`.
    Reserve {
        /// Transfer it is for.
        transfer: TransferId,
        /// Store.
        store: StoreId,
        /// Block.
        key: BlockKey,
        /// Tokens in the block.
        tokens: TokenCount,
        /// Length of the block.
        bytes: ByteCount,
        /// Weight version that it was computed with.
        weight_version: WeightVersion,
        /// Tier to write to.
        tier: Tier,
        /// Workspace that it counts against.
        workspace: WorkspaceId,
    },
    /// Let the endpoint write a block into its room; answered by `Exported`.
    Export {
        /// Transfer it is for.
        transfer: TransferId,
        /// Endpoint that writes.
        endpoint: EndpointId,
        /// Store.
        store: StoreId,
        /// Block.
        key: BlockKey,
        /// Generation of the room.
        generation: Generation,
        /// Weight version that the block was computed with.
        weight_version: WeightVersion,
    },
    /// Move a block to another tier of its store; answered by `Moved`.
    Move {
        /// Transfer it is for.
        transfer: TransferId,
        /// Store.
        store: StoreId,
        /// Block.
        key: BlockKey,
        /// Generation.
        generation: Generation,
        /// Tier to move to.
        tier: Tier,
    },
    /// Give back a block's room; needs no answer, since the store drains it by itself.
    Free {
        /// Store.
        store: StoreId,
        /// Block.
        key: BlockKey,
        /// Generation.
        generation: Generation,
    },
}
