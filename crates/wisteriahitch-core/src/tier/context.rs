//! The state that the planners share while they handle one event.

use std::collections::BTreeSet;

use wisteriahitch_types::{
    BlockKey, BlockState, DurationUs, StoreId, StoreIncarnation, Tier, TimeUs,
};

use super::{
    BlockHandle, BlockLocation, BlockTable, EvictionIndex, LinkTable, StoreTable, TierCommand,
    TransferFailure, TransferId,
};

/// How long a block isn't imported after a call for it got no answer.
const SUSPECT_PERIOD_US: DurationUs = DurationUs::from_ms(10_000);

/// Gives a planner access to the tables and collects its commands.
#[derive(Debug)]
pub(crate) struct Context<'a> {
    pub(crate) blocks: &'a mut BlockTable,
    pub(crate) links: &'a mut LinkTable,
    pub(crate) stores: &'a mut StoreTable,
    pub(crate) eviction_index: &'a mut EvictionIndex,
    pub(crate) last_transfer: &'a mut TransferId,
    pub(crate) commands: &'a mut Vec<TierCommand>,
    pub(crate) now: TimeUs,
}

impl Context<'_> {
    /// Returns a transfer id that was never used before.
    pub(crate) fn new_transfer_id(&mut self) -> TransferId {
        *self.last_transfer = self.last_transfer.next();
        *self.last_transfer
    }

    pub(crate) fn send(&mut self, command: TierCommand) {
        self.commands.push(command);
    }

    /// Excludes a block from imports for [`SUSPECT_PERIOD_US`], since a call for it got no answer.
    pub(crate) fn mark_suspect(&mut self, location: &BlockLocation) {
        self.blocks
            .mark_suspect(location, self.now + SUSPECT_PERIOD_US);
    }

    /// Evicts a block: no new reader may pin it, and its store frees it after the last reader.
    pub(crate) fn evict(&mut self, location: &BlockLocation) {
        self.eviction_index.record_eviction(location);
        let Some(handle) = self.blocks.handle(location) else {
            return;
        };
        let Some((bytes, tier)) = self
            .blocks
            .get(location)
            .map(|block| (block.identity().bytes, block.tier()))
        else {
            return;
        };
        if self.blocks.drain(&handle).is_err() {
            return;
        }
        // Fails while readers of this daemon hold pins; the last unpin frees the block then.
        let _ = self.blocks.free(&handle);
        self.stores.release_space(&location.store, tier, bytes);
        self.send(TierCommand::Free {
            store: location.store.clone(),
            key: location.key,
            generation: handle.generation,
        });
    }

    /// Updates the block or the tier after a move to `tier` failed.
    pub(crate) fn handle_failed_move(
        &mut self,
        handle: &BlockHandle,
        tier: Tier,
        failure: TransferFailure,
    ) {
        let location = &handle.location;
        match failure {
            TransferFailure::Full => self.stores.mark_full(&location.store, tier, self.now),
            TransferFailure::Lost => self.mark_suspect(location),
            _ if self.blocks.handle(location).as_ref() == Some(handle) => {
                self.blocks.invalidate(location);
                self.eviction_index.remove_block(location);
            }
            _ => {}
        }
    }

    /// Removes the readable blocks that their store no longer lists.
    ///
    /// Another daemon may have freed them. Unless they are removed they are never saved again, and
    /// their chains are recomputed at each return. A block that became readable after the listing
    /// was taken is removed too, and added again by the next listing.
    pub(crate) fn prune_unlisted(
        &mut self,
        store: &StoreId,
        incarnation: &StoreIncarnation,
        keys: &BTreeSet<BlockKey>,
    ) {
        if self.blocks.incarnation(store) != Some(incarnation) {
            return;
        }
        let unlisted: Vec<BlockLocation> = self
            .blocks
            .blocks_at(store)
            .filter(|(location, _)| !keys.contains(&location.key))
            .filter(|(_, block)| block.state() == BlockState::Readable && block.pins() == 0)
            .map(|(location, _)| location.clone())
            .collect();
        for location in unlisted {
            self.blocks.invalidate(&location);
            self.eviction_index.remove_block(&location);
        }
    }

    /// Releases a store's pin, and the pin in the block table if there is one.
    pub(crate) fn unpin(&mut self, store: &StoreId, acquired: Option<&BlockHandle>, pin: PinName) {
        if let Some(handle) = acquired {
            // Fails if the block was removed meanwhile; its pins went with it.
            let _ = self.blocks.unpin(handle);
            // Frees a draining block after its last reader; in any other state this is refused.
            let _ = self.blocks.free(handle);
        }
        self.send(TierCommand::Unpin {
            store: store.clone(),
            key: pin.key,
            pin: pin.name,
        });
    }
}

/// Identifies a pin at a store.
#[derive(Clone, Debug)]
pub(crate) struct PinName {
    pub(crate) key: BlockKey,
    pub(crate) name: String,
}
