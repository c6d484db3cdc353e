//! Blocks of a store and the transitions between their states, see `docs/design/blocks.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;
use wisteriahitch_types::{BlockKey, ByteCount, Generation};
use wisteriahitch_wire::store::{
    BlockState, MoveBody, Pin, ReserveRequest, ReservedBody, StoredBlock, TierReport,
};

use super::block::{Block, BlockId};
use super::refusal::StoreRefusal;
use super::tier_capacity::TierCapacity;

/// Every block of a store, by key and generation.
pub(super) struct BlockTable {
    blocks: BTreeMap<BlockId, Block>,
    capacity: TierCapacity,
    next_generation: Generation,
    next_pin_number: u64,
    pin_timeout: Duration,
    reserve_timeout: Duration,
}

impl BlockTable {
    pub(super) fn new(options: &super::StoreOptions) -> Self {
        Self {
            blocks: BTreeMap::new(),
            capacity: TierCapacity::new(options.memory_bytes, options.disk_bytes),
            next_generation: Generation::new(1),
            next_pin_number: 1,
            pin_timeout: options.pin_timeout_us.into(),
            reserve_timeout: options.reserve_timeout_us.into(),
        }
    }

    /// Reserves space for a block, or returns the generation and state of the one that exists.
    pub(super) fn reserve(
        &mut self,
        request: ReserveRequest,
        now: Instant,
    ) -> Result<ReservedBody, StoreRefusal> {
        self.expire(now);
        let key = request.key;
        if let Some((id, state)) = self.find_current(key) {
            return Ok(ReservedBody {
                generation: id.1,
                state: Some(state),
            });
        }
        self.capacity.reserve(request.tier, request.bytes)?;
        let generation = self.next_generation;
        self.next_generation = generation.next();
        let block = Block::reserve(request, now + self.reserve_timeout);
        self.blocks.insert((key, generation), block);
        Ok(ReservedBody {
            generation,
            state: None,
        })
    }

    /// Begins to write a reserved block and returns the length that its content must have.
    pub(super) fn begin_write(&mut self, id: BlockId) -> Result<ByteCount, StoreRefusal> {
        let block = self.get_in_state(id, BlockState::Reserved)?;
        block.state = BlockState::Writing;
        Ok(block.bytes)
    }

    /// Seals a block that was written in full, makes it readable and returns its checksum.
    pub(super) fn finish_write(
        &mut self,
        id: BlockId,
        content: Bytes,
    ) -> Result<u32, StoreRefusal> {
        let block = self.get_in_state(id, BlockState::Writing)?;
        if content.len() as u64 != block.bytes.get() {
            return Err(StoreRefusal::WrongLength);
        }
        block.seal(content);
        Ok(block.crc32c)
    }

    /// Removes a block whose write was aborted and releases its space.
    pub(super) fn abandon_write(&mut self, id: BlockId) {
        if self.get_in_state(id, BlockState::Writing).is_ok() {
            self.remove(id);
        }
    }

    /// Pins a readable block for one reader.
    pub(super) fn pin(&mut self, key: BlockKey, now: Instant) -> Result<Pin, StoreRefusal> {
        let (id, _) = self.find_current(key).ok_or(StoreRefusal::Gone)?;
        let expires_at = now + self.pin_timeout;
        let name = format!("p{}", self.next_pin_number);
        let block = self.get_in_state(id, BlockState::Readable)?;
        block.pins.insert(name.clone(), expires_at);
        let pin = Pin {
            pin: name,
            generation: id.1,
            bytes: block.bytes,
            crc32c: block.crc32c,
            weight_version: block.weight_version.clone(),
            tier: block.tier,
        };
        self.next_pin_number += 1;
        Ok(pin)
    }

    /// Removes a pin; has no effect on one that has expired.
    pub(super) fn unpin(&mut self, key: BlockKey, pin: &str) {
        let range = block_range(key);
        let pinned_id = self
            .blocks
            .range_mut(range)
            .find_map(|(id, block)| block.pins.remove(pin).map(|_| *id));
        if let Some(id) = pinned_id {
            self.remove_if_drained(id);
        }
    }

    /// Begins a read under a pin; the block is retained until [`BlockTable::end_read`].
    ///
    /// Returns the content, and whether this is the first read of the block.
    pub(super) fn begin_read(
        &mut self,
        id: BlockId,
        pin: &str,
        now: Instant,
    ) -> Result<(Bytes, bool), StoreRefusal> {
        self.expire(now);
        let block = self.blocks.get_mut(&id).ok_or(StoreRefusal::Gone)?;
        let has_content = matches!(block.state, BlockState::Readable | BlockState::Draining);
        if !has_content || !block.pins.contains_key(pin) {
            return Err(StoreRefusal::Gone);
        }
        block.readers += 1;
        let is_first = !block.was_read;
        block.was_read = true;
        Ok((block.content.clone(), is_first))
    }

    /// Ends a read, and removes the block if it was draining and this was its last user.
    pub(super) fn end_read(&mut self, id: BlockId) {
        if let Some(block) = self.blocks.get_mut(&id) {
            block.readers -= 1;
        }
        self.remove_if_drained(id);
    }

    /// Starts to drain a block, and removes it at once if nobody uses it.
    ///
    /// A write in progress fails with [`StoreRefusal::Gone`] when it ends.
    pub(super) fn free(&mut self, id: BlockId, now: Instant) -> Result<(), StoreRefusal> {
        self.expire(now);
        let block = self.blocks.get_mut(&id).ok_or(StoreRefusal::Gone)?;
        block.state = BlockState::Draining;
        self.remove_if_drained(id);
        Ok(())
    }

    /// Moves a readable block to another tier.
    pub(super) fn move_to(&mut self, key: BlockKey, body: MoveBody) -> Result<(), StoreRefusal> {
        let id = (key, body.generation);
        let block = self.get_in_state(id, BlockState::Readable)?;
        let (from, bytes) = (block.tier, block.bytes);
        if from == body.tier {
            return Ok(());
        }
        self.capacity.reserve(body.tier, bytes)?;
        self.capacity.release(from, bytes);
        self.get_in_state(id, BlockState::Readable)?.tier = body.tier;
        Ok(())
    }

    /// Returns every block, draining ones included.
    pub(super) fn list(&mut self, now: Instant) -> Vec<StoredBlock> {
        self.expire(now);
        let blocks = self.blocks.iter();
        blocks
            .map(|(id, block)| block.to_stored_block(*id))
            .collect()
    }

    /// Returns capacity and use of memory and disk, in this order.
    pub(super) fn report(&mut self, now: Instant) -> (TierReport, TierReport) {
        self.expire(now);
        self.capacity.report()
    }

    /// Removes expired pins and reservations, and the blocks that only they retained.
    fn expire(&mut self, now: Instant) {
        let mut to_check = Vec::new();
        for (id, block) in &mut self.blocks {
            block.pins.retain(|_, expires_at| *expires_at > now);
            match block.state {
                BlockState::Reserved if block.reserved_until <= now => {
                    block.state = BlockState::Draining;
                    to_check.push(*id);
                }
                BlockState::Draining => to_check.push(*id),
                _ => {}
            }
        }
        for id in to_check {
            self.remove_if_drained(id);
        }
    }

    fn find_current(&self, key: BlockKey) -> Option<(BlockId, BlockState)> {
        let (id, block) = self.blocks.range(block_range(key)).next_back()?;
        (block.state != BlockState::Draining).then_some((*id, block.state))
    }

    fn get_in_state(&mut self, id: BlockId, state: BlockState) -> Result<&mut Block, StoreRefusal> {
        let block = self.blocks.get_mut(&id).ok_or(StoreRefusal::Gone)?;
        if block.state != state {
            return Err(StoreRefusal::Gone);
        }
        Ok(block)
    }

    fn remove_if_drained(&mut self, id: BlockId) {
        let is_drained = self
            .blocks
            .get(&id)
            .is_some_and(|block| block.state == BlockState::Draining && !block.is_in_use());
        if is_drained {
            self.remove(id);
        }
    }

    fn remove(&mut self, id: BlockId) {
        if let Some(block) = self.blocks.remove(&id) {
            self.capacity.release(block.tier, block.bytes);
        }
    }
}

fn block_range(key: BlockKey) -> std::ops::RangeInclusive<BlockId> {
    (key, Generation::new(0))..=(key, Generation::new(u64::MAX))
}
