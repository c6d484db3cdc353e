//! Messages to and from a store VM.

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{
    BlockKey, BlockState, ByteCount, ByteRate, Generation, StoreIncarnation, Tier, TokenCount,
    WeightVersion, WorkspaceId,
};

/// Capacity and usage of one tier.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TierReport {
    /// Total capacity.
    pub capacity_bytes: ByteCount,
    /// Space in use.
    pub used_bytes: ByteCount,
}

/// State of the network link of a store VM.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LinkReport {
    /// Bandwidth of the link.
    pub rate_bytes_per_s: ByteRate,
    /// Bytes queued for transfer.
    pub queued_bytes: ByteCount,
    /// Bytes transferred since the store started.
    pub sent_bytes: ByteCount,
}

/// Status report of a store VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoreReport {
    /// Incarnation of the store. It changes when the store restarts empty.
    pub incarnation: StoreIncarnation,
    /// Usage of the memory tier.
    pub memory: TierReport,
    /// Usage of the disk tier.
    pub disk: TierReport,
    /// State of the store VM's link.
    pub link: LinkReport,
    /// Whether the VM is about to shut down.
    pub leaving: bool,
}

/// Request to reserve space for a block.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReserveRequest {
    /// Key of the block to be written.
    pub key: BlockKey,
    /// Number of tokens in the block.
    pub tokens: TokenCount,
    /// Size of the block.
    pub bytes: ByteCount,
    /// Weight version with which the block was computed.
    pub weight_version: WeightVersion,
    /// Tier to write the block to.
    pub tier: Tier,
    /// Workspace whose quota the block counts against.
    pub workspace: WorkspaceId,
}

/// Result of a reservation.
#[derive(Clone, Debug, PartialEq)]
pub enum Reserved {
    /// Space was reserved; the slot has this generation.
    Granted(Generation),
    /// The block already exists and is readable; its slot has this generation.
    AlreadyReadable(Generation),
    /// The block exists but is not readable, for example because another writer is writing it.
    InProgress,
}

/// Pin that keeps a block from being freed while it is read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pin {
    /// Id of the pin.
    pub pin: String,
    /// Generation of the pinned block's slot.
    pub generation: Generation,
    /// Size of the block.
    pub bytes: ByteCount,
    /// CRC-32C checksum of the block.
    pub crc32c: u32,
    /// Weight version with which the block was computed.
    pub weight_version: WeightVersion,
    /// Tier in which the block is stored.
    pub tier: Tier,
}

/// A block in the listing of a store VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredBlock {
    /// Key of the block.
    pub key: BlockKey,
    /// Generation of the block's slot.
    pub generation: Generation,
    /// Size of the block.
    pub bytes: ByteCount,
    /// Number of tokens in the block.
    pub tokens: TokenCount,
    /// Weight version with which the block was computed.
    pub weight_version: WeightVersion,
    /// Tier in which the block is stored.
    pub tier: Tier,
    /// State of the block.
    pub state: BlockState,
}

/// All blocks of a store VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BlockListing {
    /// Incarnation of the store.
    pub incarnation: StoreIncarnation,
    /// All blocks, in any state.
    pub blocks: Vec<StoredBlock>,
}
