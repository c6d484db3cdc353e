//! The steps of one block's life, each checked against the handle that it was given for.

use wisteriahitch_types::{BlockState, ByteCount, Tier, TimeUs};

use super::{BlockTable, is_same_generation};
use crate::tier::{Block, BlockError, BlockEvent, BlockHandle, BlockLocation, Reader};

impl BlockTable {
    /// Notes that content starts to arrive.
    ///
    /// # Errors
    ///
    /// [`BlockError::Gone`] or [`BlockError::State`].
    pub fn write(&mut self, handle: &BlockHandle) -> Result<(), BlockError> {
        self.apply(handle, BlockEvent::Write)
    }

    /// Fixes length and checksum.
    ///
    /// # Errors
    ///
    /// [`BlockError::Corrupt`] if the length isn't the reserved one, [`BlockError::Gone`] or
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

    /// Lets readers in.
    ///
    /// # Errors
    ///
    /// [`BlockError::Gone`] or [`BlockError::State`].
    pub fn publish(&mut self, handle: &BlockHandle) -> Result<(), BlockError> {
        self.apply(handle, BlockEvent::Publish)
    }

    /// Gives `reader` a right to the block's present generation.
    ///
    /// # Errors
    ///
    /// [`BlockError::Foreign`] for another version or workspace, [`BlockError::Gone`] or
    /// [`BlockError::State`].
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

    /// Gives a reader's right back; that of a block that ended meanwhile is gone already.
    ///
    /// # Errors
    ///
    /// [`BlockError::Gone`], or [`BlockError::State`] if nobody holds the block.
    pub fn unpin(&mut self, handle: &BlockHandle) -> Result<(), BlockError> {
        self.apply(handle, BlockEvent::Unpin)
    }

    /// Returns whether a pinned block may still be read.
    pub fn is_pin_valid(&self, handle: &BlockHandle) -> bool {
        self.get(&handle.location).is_some_and(|block| {
            is_same_generation(block, handle)
                && block.pins() > 0
                && matches!(block.state(), BlockState::Readable | BlockState::Draining)
        })
    }

    /// Lets no new reader in.
    ///
    /// # Errors
    ///
    /// [`BlockError::Gone`] or [`BlockError::State`].
    pub fn drain(&mut self, handle: &BlockHandle) -> Result<(), BlockError> {
        self.apply(handle, BlockEvent::Drain)
    }

    /// Gives the room back.
    ///
    /// # Errors
    ///
    /// [`BlockError::State`] while the block is readable or a reader holds it, and
    /// [`BlockError::Gone`].
    pub fn free(&mut self, handle: &BlockHandle) -> Result<(), BlockError> {
        self.apply(handle, BlockEvent::Free)?;
        self.remove_if_freed(&handle.location);
        Ok(())
    }

    /// Notes that a block lies in another tier.
    ///
    /// # Errors
    ///
    /// [`BlockError::Gone`].
    pub fn change_tier(&mut self, handle: &BlockHandle, tier: Tier) -> Result<(), BlockError> {
        self.block_mut(handle)?.set_tier(tier);
        Ok(())
    }

    /// Ends a block's life here, because its store says that it is gone or it proved corrupt.
    ///
    /// Readers that hold it fail their next check.
    pub fn invalidate(&mut self, location: &BlockLocation) -> Option<BlockHandle> {
        let handle = self.handle(location)?;
        if let Some(block) = self.blocks.get_mut(location) {
            block.state_machine_mut().apply(BlockEvent::StoreDied);
        }
        self.remove_if_freed(location);
        Some(handle)
    }

    /// Notes that a call for a block got no answer: it isn't planned until its store names it
    /// again, or until the time `until`.
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
