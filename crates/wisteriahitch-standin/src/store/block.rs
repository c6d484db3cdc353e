//! One block of a store.

use std::collections::HashMap;

use bytes::Bytes;
use tokio::time::Instant;
use wisteriahitch_types::{BlockKey, ByteCount, Generation, TokenCount, WeightVersion};
use wisteriahitch_wire::store::{BlockState, ReserveRequest, StoredBlock, Tier};

/// Key and generation; the generation tells apart blocks written under the same key over time.
pub(super) type BlockId = (BlockKey, Generation);

/// One generation of a block.
pub(super) struct Block {
    pub(super) state: BlockState,
    pub(super) tier: Tier,
    pub(super) bytes: ByteCount,
    pub(super) tokens: TokenCount,
    pub(super) weight_version: WeightVersion,
    pub(super) content: Bytes,
    pub(super) crc32c: u32,
    /// Expiry time of each pin, by the pin's name.
    pub(super) pins: HashMap<String, Instant>,
    /// Reads in progress; each retains the block like a pin that doesn't expire.
    pub(super) readers: u32,
    pub(super) was_read: bool,
    /// Time at which a reservation that nobody has begun to write expires.
    pub(super) reserved_until: Instant,
}

impl Block {
    /// Builds a reserved block; its write must begin before `reserved_until`.
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

    /// Sets content and checksum, and then makes the block readable.
    pub(super) fn seal(&mut self, content: Bytes) {
        self.crc32c = crc32c::crc32c(&content);
        self.content = content;
        // Length and checksum are final before anyone may pin the block. In the other order a
        // reader could get a partly written block, which only wrong tokens would reveal.
        self.state = BlockState::Sealed;
        self.state = BlockState::Readable;
    }

    /// Builds the block's entry in a listing.
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

    /// Returns whether a pin or a read in progress retains the block.
    pub(super) fn is_in_use(&self) -> bool {
        !self.pins.is_empty() || self.readers > 0
    }
}
