//! Commands from the tier module to its caller.

use serde::Serialize;
use wisteriahitch_types::{
    BlockKey, ByteCount, EndpointId, Generation, RequestId, StoreId, StoreIncarnation, Tier,
    TokenCount, WeightVersion, WorkspaceId,
};

use super::TransferId;

/// A call to a store or an endpoint that the caller must make, or the release of a request.
///
/// Every command with a `transfer` is answered by the [`TierEvent`](super::TierEvent) that it
/// names. Late and repeated answers are ignored.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TierCommand {
    /// Pin a block at its store; answered by `Pinned`.
    Pin {
        /// Transfer that the answer must name.
        transfer: TransferId,
        /// Store that holds the block.
        store: StoreId,
        /// Store incarnation under which the block is known.
        incarnation: StoreIncarnation,
        /// Key of the block.
        key: BlockKey,
    },
    /// Have the endpoint read a pinned block from its store; answered by `Imported`.
    Import {
        /// Transfer that the answer must name.
        transfer: TransferId,
        /// Endpoint that reads the block.
        endpoint: EndpointId,
        /// Store that holds the block.
        store: StoreId,
        /// Key of the block.
        key: BlockKey,
        /// Pinned generation.
        generation: Generation,
        /// Pin name that the store gave out.
        pin: String,
        /// Weight version that the block was computed with.
        weight_version: WeightVersion,
        /// Expected length, which the engine checks.
        bytes: ByteCount,
        /// Expected checksum, which the engine checks.
        crc32c: u32,
    },
    /// Release a pin; not answered.
    Unpin {
        /// Store that holds the block.
        store: StoreId,
        /// Key of the block.
        key: BlockKey,
        /// Pin name that the store gave out.
        pin: String,
    },
    /// Let the request run at its endpoint, which computes whatever wasn't imported.
    Proceed {
        /// Request that may run.
        request: RequestId,
        /// Number of steps of its plan, from the front, whose blocks the endpoint now holds.
        imported_steps: usize,
        /// Number of steps that the endpoint recomputes.
        recomputed_steps: usize,
    },
    /// Reserve space for a block at a store; answered by `Reserved`.
    Reserve {
        /// Transfer that the answer must name.
        transfer: TransferId,
        /// Store VM that is called.
        store: StoreId,
        /// Key of the block.
        key: BlockKey,
        /// Number of tokens in the block.
        tokens: TokenCount,
        /// Length of the block.
        bytes: ByteCount,
        /// Weight version that the block was computed with.
        weight_version: WeightVersion,
        /// Tier in which the space is reserved.
        tier: Tier,
        /// Workspace whose quota the block counts against.
        workspace: WorkspaceId,
    },
    /// Have the endpoint write a block into its reserved space; answered by `Exported`.
    Export {
        /// Transfer that the answer must name.
        transfer: TransferId,
        /// Endpoint that writes the block.
        endpoint: EndpointId,
        /// Store VM that is called.
        store: StoreId,
        /// Key of the block.
        key: BlockKey,
        /// Generation under which the space is reserved.
        generation: Generation,
        /// Weight version that the block was computed with.
        weight_version: WeightVersion,
    },
    /// Move a block to another tier of its store; answered by `Moved`.
    Move {
        /// Transfer that the answer must name.
        transfer: TransferId,
        /// Store VM that is called.
        store: StoreId,
        /// Key of the block.
        key: BlockKey,
        /// Generation of the block.
        generation: Generation,
        /// Tier to move to.
        tier: Tier,
    },
    /// Free a block; not answered, since the store waits for its readers by itself.
    Free {
        /// Store VM that is called.
        store: StoreId,
        /// Key of the block.
        key: BlockKey,
        /// Generation of the block.
        generation: Generation,
    },
}
