//! Messages to and from a store VM.

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{
    BlockKey, BlockState, ByteCount, ByteRate, Generation, StoreIncarnation, Tier, TokenCount,
    WeightVersion, WorkspaceId,
};

/// Holds the room of one tier.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TierReport {
    /// Room in all.
    pub capacity_bytes: ByteCount,
    /// Room that is taken.
    pub used_bytes: ByteCount,
}

/// Holds the state of the link to a store VM.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LinkReport {
    /// Speed of the link.
    pub rate_bytes_per_s: ByteRate,
    /// Bytes that wait to cross.
    pub queued_bytes: ByteCount,
    /// Bytes that have crossed since the store started.
    pub sent_bytes: ByteCount,
}

/// Holds what a store VM says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoreReport {
    /// Life of the store; another one means an empty store.
    pub incarnation: StoreIncarnation,
    /// Room in memory.
    pub memory: TierReport,
    /// Room on disk.
    pub disk: TierReport,
    /// State of its link.
    pub link: LinkReport,
    /// Whether the VM will go away soon.
    pub leaving: bool,
}

/// Asks for room for a block.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReserveRequest {
    /// Block to be written.
    pub key: BlockKey,
    /// Tokens in the block.
    pub tokens: TokenCount,
    /// Length of the block.
    pub bytes: ByteCount,
    /// Weight version that it was computed with.
    pub weight_version: WeightVersion,
    /// Tier to write to.
    pub tier: Tier,
    /// Workspace that it counts against.
    pub workspace: WorkspaceId,
}

/// Holds the answer to a reservation.
#[derive(Clone, Debug, PartialEq)]
pub enum Reserved {
    /// Room was taken under this generation.
    Room(Generation),
    /// The block is there already and readable.
    AlreadyReadable(Generation),
    /// Somebody else is writing the block now.
    InProgress,
}

/// Holds a reader's right to a block.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pin {
    /// Name of the pin.
    pub pin: String,
    /// Generation that is pinned.
    pub generation: Generation,
    /// Length of the block.
    pub bytes: ByteCount,
    /// Checksum of the block.
    pub crc32c: u32,
    /// Weight version that the block was computed with.
    pub weight_version: WeightVersion,
    /// Tier that it lies in.
    pub tier: Tier,
}

/// Holds one block as a store VM lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredBlock {
    /// Key of the block.
    pub key: BlockKey,
    /// Use of its place.
    pub generation: Generation,
    /// Length.
    pub bytes: ByteCount,
    /// Tokens.
    pub tokens: TokenCount,
    /// Weight version that it was computed with.
    pub weight_version: WeightVersion,
    /// Tier that it lies in.
    pub tier: Tier,
    /// Step of its life.
    pub state: BlockState,
}

/// Holds every block of a store VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BlockListing {
    /// Life of the store.
    pub incarnation: StoreIncarnation,
    /// Blocks.
    pub blocks: Vec<StoredBlock>,
}
