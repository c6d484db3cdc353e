//! Adding blocks that their store reports as readable.

use wisteriahitch_types::{BlockState, ByteCount, Tier, TimeUs};

use super::BlockTable;
use crate::tier::{Block, BlockError, BlockEvent, BlockHandle, BlockIdentity, BlockLocation};

impl BlockTable {
    /// Adds a block that its store reports as readable, and replaces any older generation.
    ///
    /// # Errors
    ///
    /// The errors of [`BlockTable::reserve`] except [`BlockError::Taken`]; [`BlockError::Gone`]
    /// also for a generation older than the known one, [`BlockError::Foreign`] and
    /// [`BlockError::Corrupt`] if weight version, length or checksum differ from the known ones,
    /// and [`BlockError::State`] while the known block drains.
    pub fn adopt(
        &mut self,
        location: BlockLocation,
        identity: BlockIdentity,
        tier: Tier,
        crc32c: Option<u32>,
    ) -> Result<BlockHandle, BlockError> {
        let known = self.blocks.get(&location).map(Block::identity);
        let known_generation = known.map(|known| known.generation);
        let bytes = identity.bytes;
        if known.is_some_and(|known| known.incarnation != identity.incarnation) {
            return Err(BlockError::Gone);
        }
        if known_generation.is_some_and(|known| known > identity.generation) {
            return Err(BlockError::Gone);
        }
        if known_generation.is_some_and(|known| known < identity.generation) {
            // The store has reused the location, so it no longer holds the old generation.
            self.invalidate(&location);
        }
        let handle = if self.blocks.contains_key(&location) {
            self.adopt_known(&location, identity)?
        } else {
            self.reserve(location, identity, tier)?
        };
        self.publish_adopted(&handle, bytes, crc32c)?;
        Ok(handle)
    }

    fn adopt_known(
        &mut self,
        location: &BlockLocation,
        identity: BlockIdentity,
    ) -> Result<BlockHandle, BlockError> {
        let block = self.blocks.get_mut(location).ok_or(BlockError::Gone)?;
        if block.identity().weight_version != identity.weight_version {
            return Err(BlockError::Foreign);
        }
        if block.identity().bytes != identity.bytes {
            return Err(BlockError::Corrupt);
        }
        if let Some(workspace) = identity.workspace {
            let was_unknown = block.identity().workspace.is_none();
            block.set_workspace(workspace.clone());
            if was_unknown {
                self.count(Some(&workspace), identity.bytes);
            }
        }
        Ok(BlockHandle {
            location: location.clone(),
            incarnation: identity.incarnation,
            generation: identity.generation,
        })
    }

    fn publish_adopted(
        &mut self,
        handle: &BlockHandle,
        bytes: ByteCount,
        crc32c: Option<u32>,
    ) -> Result<(), BlockError> {
        let block = self.block_mut(handle)?;
        if let Some(crc32c) = crc32c {
            if block.crc32c().is_some_and(|known| known != crc32c) {
                return Err(BlockError::Corrupt);
            }
            block.set_crc32c(crc32c);
        }
        if bytes != block.identity().bytes {
            return Err(BlockError::Corrupt);
        }
        block.set_suspect_until(TimeUs::ZERO);
        for event in [BlockEvent::Write, BlockEvent::Seal, BlockEvent::Publish] {
            block.state_machine_mut().apply(event);
        }
        match block.state() {
            BlockState::Readable => Ok(()),
            state => Err(BlockError::State(state)),
        }
    }
}
