//! Every block that this daemon knows at the stores.

use std::collections::BTreeMap;

use wisteriahitch_types::{
    BlockKey, BlockState, ByteCount, StoreId, StoreIncarnation, Tier, TimeUs, WorkspaceId,
};

use super::{Block, BlockError, BlockHandle, BlockIdentity, LifeEvent, Place, Reader};

/// Bounds the table at about 50 MB: with 380 daemons that share 4.7 million prompts it holds
/// some twenty blocks of each of a daemon's own.
const MAX_BLOCKS: usize = 262_144;

/// Holds the life of every block known to this daemon, bound to the store's incarnation.
///
/// A reader gets a [`BlockHandle`] with its pin and is checked against it at each later step, so
/// that it never meets a block that is freed, partly written, of another version or of another
/// workspace (`docs/design/blocks.md`).
///
/// ```
/// use wisteriahitch_core::tier::{BlockIdentity, BlockTable, Place, Reader};
/// use wisteriahitch_types::{BlockKey, ByteCount, Generation, Tier, TokenCount};
///
/// let mut table = BlockTable::default();
/// let store: wisteriahitch_types::StoreId = "hub-cache".parse()?;
/// table.store_seen(&store, &"i-1".parse()?);
/// let place = Place { store, key: BlockKey::from_bytes([7; 16]) };
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
/// let handle = table.reserve(place.clone(), identity, Tier::Memory)?;
/// table.write(&handle)?;
/// assert!(table.pin(&place, &reader).is_err(), "a partly written block has no reader");
/// table.seal(&handle, ByteCount::new(4_096), 0x1234)?;
/// table.publish(&handle)?;
/// let pinned = table.pin(&place, &reader)?;
/// table.drain(&pinned)?;
/// assert!(table.free(&handle).is_err(), "the reader still holds it");
/// table.unpin(&pinned)?;
/// table.free(&handle)?;
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug, Default)]
pub struct BlockTable {
    blocks: BTreeMap<Place, Block>,
    incarnations: BTreeMap<StoreId, StoreIncarnation>,
    workspace_bytes: BTreeMap<WorkspaceId, ByteCount>,
}

impl BlockTable {
    /// Notes a store's incarnation, and returns the blocks that ended with an earlier one.
    ///
    /// A store VM may come back empty under its old name and address. Were its old blocks kept,
    /// readers would get other content under known generations, seen as checksum failures at
    /// best; so every block of the earlier incarnation is freed here.
    pub fn store_seen(
        &mut self,
        store: &StoreId,
        incarnation: &StoreIncarnation,
    ) -> Vec<BlockHandle> {
        if self.incarnation(store) == Some(incarnation) {
            return Vec::new();
        }
        let ended = self.store_died(store);
        self.incarnations.insert(store.clone(), incarnation.clone());
        ended
    }

    /// Frees every block of a store whose incarnation has ended, and returns them.
    pub fn store_died(&mut self, store: &StoreId) -> Vec<BlockHandle> {
        self.incarnations.remove(store);
        let handles = self.handles_at(store);
        for handle in &handles {
            if let Some(block) = self.blocks.get_mut(&handle.place) {
                block.life_mut().apply(LifeEvent::StoreDied);
            }
            self.forget_if_freed(&handle.place);
        }
        handles
    }

    /// Returns the incarnation under which a store was last seen.
    pub fn incarnation(&self, store: &StoreId) -> Option<&StoreIncarnation> {
        self.incarnations.get(store)
    }

    /// Adds a block for which a store has taken room.
    ///
    /// # Errors
    ///
    /// [`BlockError::Gone`] if the store has another incarnation, [`BlockError::Taken`] if the
    /// place holds a block already, and [`BlockError::TableFull`].
    pub fn reserve(
        &mut self,
        place: Place,
        identity: BlockIdentity,
        tier: Tier,
    ) -> Result<BlockHandle, BlockError> {
        if self.incarnations.get(&place.store) != Some(&identity.incarnation) {
            return Err(BlockError::Gone);
        }
        if self.blocks.contains_key(&place) {
            return Err(BlockError::Taken);
        }
        if self.blocks.len() >= MAX_BLOCKS {
            return Err(BlockError::TableFull);
        }
        let handle = BlockHandle {
            place: place.clone(),
            incarnation: identity.incarnation.clone(),
            generation: identity.generation,
        };
        self.count(identity.workspace.as_ref(), identity.bytes);
        self.blocks.insert(place, Block::new(identity, tier));
        Ok(handle)
    }

    /// Adds a block that its store says is readable, in place of any older generation.
    ///
    /// # Errors
    ///
    /// As [`BlockTable::reserve`]; also [`BlockError::Gone`] for a generation that is older than
    /// the known one, and [`BlockError::State`] while the known one drains.
    pub fn adopt(
        &mut self,
        place: Place,
        identity: BlockIdentity,
        tier: Tier,
        crc32c: Option<u32>,
    ) -> Result<BlockHandle, BlockError> {
        let known = self.blocks.get(&place).map(Block::identity);
        let known_generation = known.map(|known| known.generation);
        let bytes = identity.bytes;
        if known.is_some_and(|known| known.incarnation != identity.incarnation) {
            return Err(BlockError::Gone);
        }
        if known_generation.is_some_and(|known| known > identity.generation) {
            return Err(BlockError::Gone);
        }
        if known_generation.is_some_and(|known| known < identity.generation) {
            // The store has given the place to new content, so the old generation is gone there.
            self.end_life(&place);
        }
        let handle = if self.blocks.contains_key(&place) {
            self.adopt_known(&place, identity)?
        } else {
            self.reserve(place, identity, tier)?
        };
        self.publish_adopted(&handle, bytes, crc32c)?;
        Ok(handle)
    }

    fn adopt_known(
        &mut self,
        place: &Place,
        identity: BlockIdentity,
    ) -> Result<BlockHandle, BlockError> {
        let block = self.blocks.get_mut(place).ok_or(BlockError::Gone)?;
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
            place: place.clone(),
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
        for event in [LifeEvent::Write, LifeEvent::Seal, LifeEvent::Publish] {
            block.life_mut().apply(event);
        }
        match block.state() {
            BlockState::Readable => Ok(()),
            state => Err(BlockError::State(state)),
        }
    }

    /// Notes that content starts to arrive.
    ///
    /// # Errors
    ///
    /// [`BlockError::Gone`] or [`BlockError::State`].
    pub fn write(&mut self, handle: &BlockHandle) -> Result<(), BlockError> {
        self.apply(handle, LifeEvent::Write)
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
        self.apply(handle, LifeEvent::Seal)?;
        self.block_mut(handle)?.set_crc32c(crc32c);
        Ok(())
    }

    /// Lets readers in.
    ///
    /// # Errors
    ///
    /// [`BlockError::Gone`] or [`BlockError::State`].
    pub fn publish(&mut self, handle: &BlockHandle) -> Result<(), BlockError> {
        self.apply(handle, LifeEvent::Publish)
    }

    /// Gives `reader` a right to the block's present generation.
    ///
    /// # Errors
    ///
    /// [`BlockError::Foreign`] for another version or workspace, [`BlockError::Gone`] or
    /// [`BlockError::State`].
    pub fn pin(&mut self, place: &Place, reader: &Reader) -> Result<BlockHandle, BlockError> {
        let block = self.blocks.get(place).ok_or(BlockError::Gone)?;
        if !block.is_for(reader) {
            return Err(BlockError::Foreign);
        }
        let handle = BlockHandle {
            place: place.clone(),
            incarnation: block.identity().incarnation.clone(),
            generation: block.identity().generation,
        };
        self.apply(&handle, LifeEvent::Pin)?;
        Ok(handle)
    }

    /// Gives a reader's right back; that of a block that ended meanwhile is gone already.
    ///
    /// # Errors
    ///
    /// [`BlockError::Gone`], or [`BlockError::State`] if nobody holds the block.
    pub fn unpin(&mut self, handle: &BlockHandle) -> Result<(), BlockError> {
        self.apply(handle, LifeEvent::Unpin)
    }

    /// Returns whether a pinned block may still be read.
    pub fn is_held(&self, handle: &BlockHandle) -> bool {
        self.get(&handle.place).is_some_and(|block| {
            is_same_life(block, handle)
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
        self.apply(handle, LifeEvent::Drain)
    }

    /// Gives the room back.
    ///
    /// # Errors
    ///
    /// [`BlockError::State`] while the block is readable or a reader holds it, and
    /// [`BlockError::Gone`].
    pub fn free(&mut self, handle: &BlockHandle) -> Result<(), BlockError> {
        self.apply(handle, LifeEvent::Free)?;
        self.forget_if_freed(&handle.place);
        Ok(())
    }

    /// Notes that a block lies in another tier.
    ///
    /// # Errors
    ///
    /// [`BlockError::Gone`].
    pub fn moved(&mut self, handle: &BlockHandle, tier: Tier) -> Result<(), BlockError> {
        self.block_mut(handle)?.set_tier(tier);
        Ok(())
    }

    /// Ends a block's life here, because its store says that it is gone or it proved corrupt.
    ///
    /// Readers that hold it fail their next check.
    pub fn end_life(&mut self, place: &Place) -> Option<BlockHandle> {
        let handle = self.handle(place)?;
        if let Some(block) = self.blocks.get_mut(place) {
            block.life_mut().apply(LifeEvent::StoreDied);
        }
        self.forget_if_freed(place);
        Some(handle)
    }

    /// Notes that a call for a block got no answer: it isn't planned until its store names it
    /// again, or until the time `until`.
    pub fn suspect(&mut self, place: &Place, until: TimeUs) {
        if let Some(block) = self.blocks.get_mut(place) {
            block.set_suspect_until(until);
        }
    }

    /// Returns the block at `place`.
    pub fn get(&self, place: &Place) -> Option<&Block> {
        self.blocks.get(place)
    }

    /// Returns the present generation at `place`.
    pub fn handle(&self, place: &Place) -> Option<BlockHandle> {
        self.blocks.get(place).map(|block| BlockHandle {
            place: place.clone(),
            incarnation: block.identity().incarnation.clone(),
            generation: block.identity().generation,
        })
    }

    /// Returns every block, ordered by store and key.
    pub fn iter(&self) -> impl Iterator<Item = (&Place, &Block)> {
        self.blocks.iter()
    }

    /// Returns how many blocks are known.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether no block is known.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Returns the bytes that the known blocks of a workspace take.
    pub fn workspace_bytes(&self, workspace: &WorkspaceId) -> ByteCount {
        self.workspace_bytes
            .get(workspace)
            .copied()
            .unwrap_or_default()
    }

    /// Returns the bytes that known blocks take, by workspace.
    pub fn bytes_by_workspace(&self) -> &BTreeMap<WorkspaceId, ByteCount> {
        &self.workspace_bytes
    }

    /// Returns the blocks of one store, ordered by key.
    pub fn blocks_at(&self, store: &StoreId) -> impl Iterator<Item = (&Place, &Block)> {
        let first = Place {
            store: store.clone(),
            key: BlockKey::from_bytes([0; 16]),
        };
        self.blocks
            .range(first..)
            .take_while(move |(place, _)| place.store == *store)
    }

    fn handles_at(&self, store: &StoreId) -> Vec<BlockHandle> {
        self.blocks_at(store)
            .filter_map(|(place, _)| self.handle(place))
            .collect()
    }

    fn block_mut(&mut self, handle: &BlockHandle) -> Result<&mut Block, BlockError> {
        self.blocks
            .get_mut(&handle.place)
            .filter(|block| is_same_life(block, handle))
            .ok_or(BlockError::Gone)
    }

    fn apply(&mut self, handle: &BlockHandle, event: LifeEvent) -> Result<(), BlockError> {
        let block = self.block_mut(handle)?;
        if block.life_mut().apply(event) {
            return Ok(());
        }
        Err(BlockError::State(block.state()))
    }

    fn count(&mut self, workspace: Option<&WorkspaceId>, bytes: ByteCount) {
        if let Some(workspace) = workspace {
            *self.workspace_bytes.entry(workspace.clone()).or_default() += bytes;
        }
    }

    fn forget_if_freed(&mut self, place: &Place) {
        if self.blocks.get(place).map(Block::state) != Some(BlockState::Freed) {
            return;
        }
        let Some(block) = self.blocks.remove(place) else {
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

fn is_same_life(block: &Block, handle: &BlockHandle) -> bool {
    block.identity().incarnation == handle.incarnation
        && block.identity().generation == handle.generation
}
