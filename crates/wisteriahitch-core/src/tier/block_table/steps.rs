//! State changes of one block, each checked against the handle that it is called with.

use wisteriahitch_types::{BlockState, ByteCount, Tier, TimeUs};

use super::{BlockTable, is_same_generation};
use crate::tier::{Block, BlockError, BlockEvent, BlockHandle, BlockLocation, Reader};

impl BlockTable {
    /// Records that the writer starts to send content.
    ///
    /// # Errors
    ///
    /// [`BlockError::Gone`] or [`BlockError::State`].
    pub fn write(&mut self, handle: &BlockHandle) -> Result<(), BlockError> {
        self.apply(handle, BlockEvent::Write)
    }

    /// Records the final length and checksum.
    ///
    /// # Errors
    ///
    /// [`BlockError::Corrupt`] if the length differs from the reserved one, [`BlockError::Gone`] or
    /// [`BlockError::State`].
    pub fn seal(
        &mut self,
        handle: &BlockHandle,
        bytes: ByteCount,
        crc32c: u32,
    ) -> Result<(), BlockError> {
        if self.block_mut(handle)?.identity().bytes != bytes {
            return Err(BlockError::Corrupt);
        }
        self.apply(handle, BlockEvent::Seal)?;
        self.block_mut(handle)?.set_crc32c(crc32c);
        Ok(())
    }

    /// Makes the block readable.
    ///
    /// # Errors
    ///
    /// [`BlockError::Gone`] or [`BlockError::State`].
    pub fn publish(&mut self, handle: &BlockHandle) -> Result<(), BlockError> {
        self.apply(handle, BlockEvent::Publish)
    }

    /// Pins the current generation of a block for `reader`.
    ///
    /// # Errors
    ///
    /// [`BlockError::Foreign`] if the block has another weight version or workspace,
    /// [`BlockError::Gone`] or [`BlockError::State`].
    pub fn pin(
        &mut self,
        location: &BlockLocation,
        reader: &Reader,
    ) -> Result<BlockHandle, BlockError> {
        let block = self.blocks.get(location).ok_or(BlockError::Gone)?;
        if !block.is_for(reader) {
            return Err(BlockError::Foreign);
        }
        let handle = BlockHandle {
            location: location.clone(),
            incarnation: block.identity().incarnation.clone(),
            generation: block.identity().generation,
        };
        self.apply(&handle, BlockEvent::Pin)?;
        Ok(handle)
    }

    /// Releases a reader's pin. A block that was removed meanwhile has no pins left to release.
    ///
    /// # Errors
    ///
    /// [`BlockError::Gone`], or [`BlockError::State`] if the block has no pins.
    pub fn unpin(&mut self, handle: &BlockHandle) -> Result<(), BlockError> {
        self.apply(handle, BlockEvent::Unpin)
    }

    /// Returns whether the pinned generation still exists and may be read.
    pub fn is_pin_valid(&self, handle: &BlockHandle) -> bool {
        self.get(&handle.location).is_some_and(|block| {
            is_same_generation(block, handle)
                && block.pins() > 0
                && matches!(block.state(), BlockState::Readable | BlockState::Draining)
        })
    }

    /// Refuses further readers; those with a pin may finish.
    ///
    /// # Errors
    ///
    /// [`BlockError::Gone`] or [`BlockError::State`].
    pub fn drain(&mut self, handle: &BlockHandle) -> Result<(), BlockError> {
        self.apply(handle, BlockEvent::Drain)
    }

    /// Frees the block and removes it from the table.
    ///
    /// # Errors
    ///
    /// [`BlockError::State`] while the block is readable or has pins, and [`BlockError::Gone`].
    pub fn free(&mut self, handle: &BlockHandle) -> Result<(), BlockError> {
        self.apply(handle, BlockEvent::Free)?;
        self.remove_if_freed(&handle.location);
        Ok(())
    }

    /// Records that the store has moved the block to another tier.
    ///
    /// # Errors
    ///
    /// [`BlockError::Gone`].
    pub fn change_tier(&mut self, handle: &BlockHandle, tier: Tier) -> Result<(), BlockError> {
        self.block_mut(handle)?.set_tier(tier);
        Ok(())
    }

    /// Removes a block that its store no longer holds or that proved corrupt.
    ///
    /// Readers that have pinned it fail their next check.
    pub fn invalidate(&mut self, location: &BlockLocation) -> Option<BlockHandle> {
        let handle = self.handle(location)?;
        if let Some(block) = self.blocks.get_mut(location) {
            block.state_machine_mut().apply(BlockEvent::StoreDied);
        }
        self.remove_if_freed(location);
        Some(handle)
    }

    /// Excludes a block from imports until its store reports it again or until the time `until`,
    /// since a call for it got no answer.
    pub fn mark_suspect(&mut self, location: &BlockLocation, until: TimeUs) {
        if let Some(block) = self.blocks.get_mut(location) {
            block.set_suspect_until(until);
        }
    }

    pub(super) fn block_mut(&mut self, handle: &BlockHandle) -> Result<&mut Block, BlockError> {
        self.blocks
            .get_mut(&handle.location)
            .filter(|block| is_same_generation(block, handle))
            .ok_or(BlockError::Gone)
    }

    pub(super) fn apply(
        &mut self,
        handle: &BlockHandle,
        event: BlockEvent,
    ) -> Result<(), BlockError> {
        let block = self.block_mut(handle)?;
        if block.state_machine_mut().apply(event) {
            return Ok(());
        }
        Err(BlockError::State(block.state()))
    }
}
