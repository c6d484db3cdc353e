//! The blocks that this daemon knows at the stores.

mod adopting;
mod lookup;
mod steps;

use std::collections::BTreeMap;

use wisteriahitch_types::{BlockState, ByteCount, StoreId, StoreIncarnation, Tier, WorkspaceId};

use super::{Block, BlockError, BlockEvent, BlockHandle, BlockIdentity, BlockLocation};

/// Maximum number of blocks, about 50 MB. With 380 daemons that share 4.7 million prompts, this
/// holds some twenty blocks of each prompt that a daemon serves.
const MAX_BLOCKS: usize = 262_144;

/// The state of every block known to this daemon, bound to the incarnation of its store.
///
/// A reader gets a [`BlockHandle`] with its pin, and each later step is checked against it. A
/// reader therefore never accesses a block that is freed, partly written, of another weight version
/// or of another workspace (`docs/design/blocks.md`).
///
/// ```
/// use wisteriahitch_core::tier::{BlockIdentity, BlockLocation, BlockTable, Reader};
/// use wisteriahitch_types::{BlockKey, ByteCount, Generation, Tier, TokenCount};
///
/// let mut table = BlockTable::default();
/// let store: wisteriahitch_types::StoreId = "hub-cache".parse()?;
/// table.record_incarnation(&store, &"i-1".parse()?);
/// let location = BlockLocation { store, key: BlockKey::from_bytes([7; 16]) };
/// let identity = BlockIdentity {
///     incarnation: "i-1".parse()?,
///     generation: Generation::new(1),
///     weight_version: "v1".parse()?,
///     workspace: Some("kandy".parse()?),
///     tokens: TokenCount::new(2_000),
///     bytes: ByteCount::new(4_096),
/// };
/// let reader = Reader { workspace: "kandy".parse()?, weight_version: "v1".parse()? };
///
/// let handle = table.reserve(location.clone(), identity, Tier::Memory)?;
/// table.write(&handle)?;
/// assert!(table.pin(&location, &reader).is_err(), "a partly written block has no reader");
/// table.seal(&handle, ByteCount::new(4_096), 0x1234)?;
/// table.publish(&handle)?;
/// let pinned = table.pin(&location, &reader)?;
/// table.drain(&pinned)?;
/// assert!(table.free(&handle).is_err(), "the reader still holds it");
/// table.unpin(&pinned)?;
/// table.free(&handle)?;
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug, Default)]
pub struct BlockTable {
    blocks: BTreeMap<BlockLocation, Block>,
    incarnations: BTreeMap<StoreId, StoreIncarnation>,
    workspace_bytes: BTreeMap<WorkspaceId, ByteCount>,
}

impl BlockTable {
    /// Records the incarnation of a store. If it changed, removes and returns the blocks of the
    /// earlier incarnation.
    ///
    /// A store VM may restart empty under its old name and address. If its old blocks were kept,
    /// readers would get other content under known generations, which at best fails with checksum
    /// errors.
    pub fn record_incarnation(
        &mut self,
        store: &StoreId,
        incarnation: &StoreIncarnation,
    ) -> Vec<BlockHandle> {
        if self.incarnation(store) == Some(incarnation) {
            return Vec::new();
        }
        let ended = self.remove_store_blocks(store);
        self.incarnations.insert(store.clone(), incarnation.clone());
        ended
    }

    /// Removes every block of a store whose incarnation has ended, and returns them.
    pub fn remove_store_blocks(&mut self, store: &StoreId) -> Vec<BlockHandle> {
        self.incarnations.remove(store);
        let handles = self.handles_at(store);
        for handle in &handles {
            if let Some(block) = self.blocks.get_mut(&handle.location) {
                block.state_machine_mut().apply(BlockEvent::StoreDied);
            }
            self.remove_if_freed(&handle.location);
        }
        handles
    }

    /// Returns the last known incarnation of a store.
    pub fn incarnation(&self, store: &StoreId) -> Option<&StoreIncarnation> {
        self.incarnations.get(store)
    }

    /// Adds a block for which its store has reserved space.
    ///
    /// # Errors
    ///
    /// [`BlockError::Gone`] if the store has another incarnation, [`BlockError::Taken`] if there is
    /// already a block at the location, and [`BlockError::TableFull`].
    pub fn reserve(
        &mut self,
        location: BlockLocation,
        identity: BlockIdentity,
        tier: Tier,
    ) -> Result<BlockHandle, BlockError> {
        if self.incarnations.get(&location.store) != Some(&identity.incarnation) {
            return Err(BlockError::Gone);
        }
        if self.blocks.contains_key(&location) {
            return Err(BlockError::Taken);
        }
        if self.blocks.len() >= MAX_BLOCKS {
            return Err(BlockError::TableFull);
        }
        let handle = BlockHandle {
            location: location.clone(),
            incarnation: identity.incarnation.clone(),
            generation: identity.generation,
        };
        self.count(identity.workspace.as_ref(), identity.bytes);
        self.blocks.insert(location, Block::new(identity, tier));
        Ok(handle)
    }

    fn handles_at(&self, store: &StoreId) -> Vec<BlockHandle> {
        self.blocks_at(store)
            .filter_map(|(location, _)| self.handle(location))
            .collect()
    }

    fn count(&mut self, workspace: Option<&WorkspaceId>, bytes: ByteCount) {
        if let Some(workspace) = workspace {
            *self.workspace_bytes.entry(workspace.clone()).or_default() += bytes;
        }
    }

    fn remove_if_freed(&mut self, location: &BlockLocation) {
        if self.blocks.get(location).map(Block::state) != Some(BlockState::Freed) {
            return;
        }
        let Some(block) = self.blocks.remove(location) else {
            return;
        };
        let Some(workspace) = &block.identity().workspace else {
            return;
        };
        if let Some(bytes) = self.workspace_bytes.get_mut(workspace) {
            *bytes = *bytes - block.identity().bytes;
            if *bytes == ByteCount::ZERO {
                self.workspace_bytes.remove(workspace);
            }
        }
    }
}

fn is_same_generation(block: &Block, handle: &BlockHandle) -> bool {
    block.identity().incarnation == handle.incarnation
        && block.identity().generation == handle.generation
}
