//! Events from the caller to the tier module: answers to commands and reports about stores.

use std::collections::BTreeSet;

use serde::Serialize;
use wisteriahitch_types::{
    BlockKey, BlockState, ByteCount, Code, Generation, StoreId, StoreIncarnation, Tier, TokenCount,
    WeightVersion,
};

use super::TransferId;

/// Why a call for a transfer failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TransferFailure {
    /// The block, its generation or the pin no longer exists.
    Gone,
    /// The length, checksum or key doesn't match.
    Corrupt,
    /// The endpoint runs another weight version.
    OtherVersion,
    /// The store has no free space.
    Full,
    /// Another daemon's save is writing the block.
    InProgress,
    /// The store or endpoint can't be reached, or no answer came.
    Lost,
}

impl TransferFailure {
    /// Returns the error code that callers see.
    pub const fn code(self) -> Code {
        match self {
            TransferFailure::Gone | TransferFailure::InProgress => Code::BlockGone,
            TransferFailure::Corrupt | TransferFailure::OtherVersion => Code::BlockCorrupt,
            TransferFailure::Full => Code::StoreFull,
            TransferFailure::Lost => Code::StoreLost,
        }
    }
}

/// A store's confirmation that a block is pinned.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PinGrant {
    /// Pin name, used for importing and unpinning.
    pub pin: String,
    /// Pinned generation.
    pub generation: Generation,
    /// Length of the block.
    pub bytes: ByteCount,
    /// Checksum of the block.
    pub crc32c: u32,
    /// Weight version that the block was computed with.
    pub weight_version: WeightVersion,
    /// Tier that stores the block.
    pub tier: Tier,
}

/// An engine's confirmation of what it wrote to a store.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ExportReceipt {
    /// Number of bytes written.
    pub bytes: ByteCount,
    /// Checksum of the bytes written.
    pub crc32c: u32,
}

/// The answer to a command, or a report about a store VM or an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TierEvent {
    /// A store VM reported its state. A changed incarnation means that the store restarted empty.
    StoreSeen {
        /// Store VM.
        store: StoreId,
        /// Current incarnation of the store.
        incarnation: StoreIncarnation,
        /// Free space in memory.
        memory_free_bytes: ByteCount,
        /// Free space on disk.
        disk_free_bytes: ByteCount,
        /// Bytes queued for the store's link by all daemons together.
        queued_bytes: ByteCount,
        /// Whether the VM is about to be removed.
        is_leaving: bool,
    },
    /// A store VM can't be reached; its blocks aren't used until the next `StoreSeen`.
    StoreLost {
        /// Store VM.
        store: StoreId,
    },
    /// A store VM lists one of its blocks.
    BlockListed {
        /// Store VM.
        store: StoreId,
        /// Store incarnation that listed the block.
        incarnation: StoreIncarnation,
        /// Key of the block.
        key: BlockKey,
        /// Generation of the block.
        generation: Generation,
        /// Length of the block.
        bytes: ByteCount,
        /// Number of tokens in the block.
        tokens: TokenCount,
        /// Weight version that the block was computed with.
        weight_version: WeightVersion,
        /// Tier that stores the block.
        tier: Tier,
        /// State of the block at the store; only readable blocks are adopted.
        state: BlockState,
    },
    /// A store VM has listed all of its readable blocks; it no longer holds any other.
    StoreListed {
        /// Store VM.
        store: StoreId,
        /// Store incarnation that listed the blocks.
        incarnation: StoreIncarnation,
        /// Keys of all readable blocks.
        keys: BTreeSet<BlockKey>,
    },
    /// Answers `Pin`.
    Pinned {
        /// Transfer of the command.
        transfer: TransferId,
        /// The pin, or why the store refused it.
        result: Result<PinGrant, TransferFailure>,
    },
    /// Answers `Import`.
    Imported {
        /// Transfer of the command.
        transfer: TransferId,
        /// `Ok` if the endpoint now holds the block.
        result: Result<(), TransferFailure>,
    },
    /// Answers `Reserve`.
    Reserved {
        /// Transfer of the command.
        transfer: TransferId,
        /// The reservation, or why the store refused it.
        result: Result<ReserveOutcome, TransferFailure>,
    },
    /// Answers `Export`.
    Exported {
        /// Transfer of the command.
        transfer: TransferId,
        /// What was written, or why the export failed.
        result: Result<ExportReceipt, TransferFailure>,
    },
    /// Answers `Move`.
    Moved {
        /// Transfer of the command.
        transfer: TransferId,
        /// `Ok` if the block is now in the new tier.
        result: Result<(), TransferFailure>,
    },
    /// An endpoint evicted a block; this is a sample of how long blocks stay resident there.
    EndpointEvicted {
        /// Key of the block.
        key: BlockKey,
    },
}

/// A store's answer to a reservation that succeeded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReserveOutcome {
    /// Space was reserved under this generation.
    #[serde(rename = "room")]
    Granted(Generation),
    /// The store already holds the block, and it is readable.
    AlreadyReadable(Generation),
}
