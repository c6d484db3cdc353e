//! What the shell tells the tier core.

use std::collections::BTreeSet;

use serde::Serialize;
use wisteriahitch_types::{
    BlockKey, BlockState, ByteCount, Code, Generation, StoreId, StoreIncarnation, Tier, TokenCount,
    WeightVersion,
};

use super::TransferId;

/// Says why a call for a transfer failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TransferFailure {
    /// The block, generation or pin is not there any more.
    Gone,
    /// Length, checksum or key is wrong.
    Corrupt,
    /// The endpoint runs another weight version.
    OtherVersion,
    /// The store has no room.
    Full,
    /// Somebody else writes the block now.
    InProgress,
    /// The store or endpoint can't be reached, or no answer came.
    Lost,
}

impl TransferFailure {
    /// Returns the numbered code.
    pub const fn code(self) -> Code {
        match self {
            TransferFailure::Gone | TransferFailure::InProgress => Code::BlockGone,
            TransferFailure::Corrupt | TransferFailure::OtherVersion => Code::BlockCorrupt,
            TransferFailure::Full => Code::StoreFull,
            TransferFailure::Lost => Code::StoreLost,
        }
    }
}

/// Holds a store's word that a block is pinned.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PinGrant {
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
    /// Tier that the block lies in.
    pub tier: Tier,
}

/// Holds an engine's word on what it wrote to a store.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ExportReceipt {
    /// Length that was written.
    pub bytes: ByteCount,
    /// Checksum of what was written.
    pub crc32c: u32,
}

/// Tells the core of an answer or of news from a store VM.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TierEvent {
    /// A store VM answered with its identity; another incarnation is another, empty store.
    StoreSeen {
        /// Store.
        store: StoreId,
        /// Incarnation.
        incarnation: StoreIncarnation,
        /// Room left in memory.
        memory_free_bytes: ByteCount,
        /// Room left on disk.
        disk_free_bytes: ByteCount,
        /// Bytes of every daemon that wait for the link.
        queued_bytes: ByteCount,
        /// Whether the VM will go away soon.
        is_leaving: bool,
    },
    /// A store VM can't be reached; its blocks aren't used until it is seen again.
    StoreLost {
        /// Store.
        store: StoreId,
    },
    /// A store VM lists a block.
    BlockListed {
        /// Store.
        store: StoreId,
        /// Incarnation that lists it.
        incarnation: StoreIncarnation,
        /// Block.
        key: BlockKey,
        /// Generation.
        generation: Generation,
        /// Length.
        bytes: ByteCount,
        /// Tokens.
        tokens: TokenCount,
        /// Weight version.
        weight_version: WeightVersion,
        /// Tier.
        tier: Tier,
        /// Step of its life.
        state: BlockState,
    },
    /// A store VM has listed all of its readable blocks; others are gone there.
    StoreListed {
        /// Store.
        store: StoreId,
        /// Incarnation that lists them.
        incarnation: StoreIncarnation,
        /// Blocks.
        keys: BTreeSet<BlockKey>,
    },
    /// Answers `Pin`.
    Pinned {
        /// Transfer.
        transfer: TransferId,
        /// Pin, or why there is none.
        result: Result<PinGrant, TransferFailure>,
    },
    /// Answers `Import`.
    Imported {
        /// Transfer.
        transfer: TransferId,
        /// Whether the endpoint now holds the block.
        result: Result<(), TransferFailure>,
    },
    /// Answers `Reserve`.
    Reserved {
        /// Transfer.
        transfer: TransferId,
        /// Room, or why there is none.
        result: Result<ReserveOutcome, TransferFailure>,
    },
    /// Answers `Export`.
    Exported {
        /// Transfer.
        transfer: TransferId,
        /// What was written, or why nothing was.
        result: Result<ExportReceipt, TransferFailure>,
    },
    /// Answers `Move`.
    Moved {
        /// Transfer.
        transfer: TransferId,
        /// Whether the block lies in the new tier.
        result: Result<(), TransferFailure>,
    },
    /// An endpoint evicted a block, which teaches how long blocks stay resident.
    EndpointEvicted {
        /// Block.
        key: BlockKey,
    },
}

/// Holds a store's answer to a reservation that didn't fail.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReserveOutcome {
    /// Room was taken under this generation.
    #[serde(rename = "room")]
    Granted(Generation),
    /// The block is there already and readable.
    AlreadyReadable(Generation),
}
