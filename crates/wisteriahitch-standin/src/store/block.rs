//! One block of a store.

use std::collections::HashMap;

use bytes::Bytes;
use tokio::time::Instant;
use wisteriahitch_types::{BlockKey, ByteCount, Generation, TokenCount, WeightVersion};
use wisteriahitch_wire::store::{BlockState, ReserveRequest, StoredBlock, Tier};

/// Identifies one use of a block's place.
pub(super) type BlockId = (BlockKey, Generation);

/// One use of a block's place.
pub(super) struct Block {
    pub(super) state: BlockState,
    pub(super) tier: Tier,
    pub(super) bytes: ByteCount,
    pub(super) tokens: TokenCount,
    pub(super) weight_version: WeightVersion,
    pub(super) content: Bytes,
    pub(super) crc32c: u32,
    /// Pins by name, each with the time at which it lapses.
    pub(super) pins: HashMap<String, Instant>,
    /// Reads under way; they keep the block like a pin that doesn't lapse.
    pub(super) readers: u32,
    pub(super) was_read: bool,
    /// Time at which room that nobody writes to is given back.
    pub(super) reserved_until: Instant,
}

impl Block {
    /// Takes the place of a block that is to be written before `reserved_until`.
    pub(super) fn reserve(request: ReserveRequest, reserved_until: Instant) -> Self {
        Self {
            state: BlockState::Reserved,
            tier: request.tier,
            bytes: request.bytes,
            tokens: request.tokens,
            weight_version: request.weight_version,
            content: Bytes::new(),
            crc32c: 0,
            pins: HashMap::new(),
            readers: 0,
            was_read: false,
            reserved_until,
        }
    }

    /// Fixes content and checksum, and then lets readers pin the block.
    pub(super) fn seal(&mut self, content: Bytes) {
        self.crc32c = crc32c::crc32c(&content);
        self.content = content;
        // Length and checksum are fixed before anyone may pin the block. In the other order a
        // reader could take a block that is only partly written, which it would notice only by
        // wrong tokens.
        self.state = BlockState::Sealed;
        self.state = BlockState::Readable;
    }

    /// Describes the block for a listing.
    pub(super) fn to_stored_block(&self, (key, generation): BlockId) -> StoredBlock {
        StoredBlock {
            key,
            generation,
            bytes: self.bytes,
            tokens: self.tokens,
            weight_version: self.weight_version.clone(),
            tier: self.tier,
            state: self.state,
        }
    }

    /// Returns whether a pin or a read keeps the block.
    pub(super) fn is_in_use(&self) -> bool {
        !self.pins.is_empty() || self.readers > 0
    }
}
