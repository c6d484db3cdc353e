//! What the planners share while they handle one event.

use std::collections::BTreeSet;

use wisteriahitch_types::{
    BlockKey, BlockState, DurationUs, StoreId, StoreIncarnation, Tier, TimeUs,
};

use super::{
    BlockHandle, BlockLocation, BlockTable, EvictionIndex, LinkTable, StoreTable, TierCommand,
    TransferFailure, TransferId,
};

/// How long a block is left alone after a call for it got no answer.
const SUSPECT_PERIOD_US: DurationUs = DurationUs::from_ms(10_000);

/// Lends the tables to a planner, and gathers its commands.
#[derive(Debug)]
pub(crate) struct Context<'a> {
    pub(crate) blocks: &'a mut BlockTable,
    pub(crate) links: &'a mut LinkTable,
    pub(crate) stores: &'a mut StoreTable,
    pub(crate) ranks: &'a mut EvictionIndex,
    pub(crate) last_transfer: &'a mut TransferId,
    pub(crate) commands: &'a mut Vec<TierCommand>,
    pub(crate) now: TimeUs,
}

impl Context<'_> {
    /// Draws a transfer id that was never used before.
    pub(crate) fn new_transfer_id(&mut self) -> TransferId {
        *self.last_transfer = self.last_transfer.next();
        *self.last_transfer
    }

    pub(crate) fn send(&mut self, command: TierCommand) {
        self.commands.push(command);
    }

    /// Leaves a block alone for a while, since a call for it got no answer.
    pub(crate) fn mark_suspect(&mut self, location: &BlockLocation) {
        self.blocks
            .mark_suspect(location, self.now + SUSPECT_PERIOD_US);
    }

    /// Frees a block for room: no new reader comes in, and its store waits for the present ones.
    pub(crate) fn evict(&mut self, location: &BlockLocation) {
        self.ranks.record_eviction(location);
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
        // With readers of this daemon the block goes when the last of them unpins.
        let _ = self.blocks.free(&handle);
        self.stores.release_space(&location.store, tier, bytes);
        self.send(TierCommand::Free {
            store: location.store.clone(),
            key: location.key,
            generation: handle.generation,
        });
    }

    /// Notes what a failed move to `tier` says of the block and the tier.
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
                self.ranks.remove_block(location);
            }
            _ => {}
        }
    }

    /// Forgets the readable blocks that their store no longer lists.
    ///
    /// Another daemon may have freed them. Were they kept, they would never be saved again, seen
    /// as chains that are recomputed at each return. One that became readable after the listing
    /// was taken is forgotten too, and known again by the next.
    pub(crate) fn prune_unlisted(
        &mut self,
        store: &StoreId,
        incarnation: &StoreIncarnation,
        keys: &BTreeSet<BlockKey>,
    ) {
        if self.blocks.incarnation(store) != Some(incarnation) {
            return;
        }
        let gone: Vec<BlockLocation> = self
            .blocks
            .blocks_at(store)
            .filter(|(location, _)| !keys.contains(&location.key))
            .filter(|(_, block)| block.state() == BlockState::Readable && block.pins() == 0)
            .map(|(location, _)| location.clone())
            .collect();
        for location in gone {
            self.blocks.invalidate(&location);
            self.ranks.remove_block(&location);
        }
    }

    /// Gives up a store's pin, and the table's if there is one.
    pub(crate) fn unpin(&mut self, store: &StoreId, acquired: Option<&BlockHandle>, pin: PinName) {
        if let Some(handle) = acquired {
            // The block may have ended meanwhile; then its pins ended with it.
            let _ = self.blocks.unpin(handle);
            // A draining block goes with its last reader; any other one refuses this.
            let _ = self.blocks.free(handle);
        }
        self.send(TierCommand::Unpin {
            store: store.clone(),
            key: pin.key,
            pin: pin.name,
        });
    }
}

/// Names a pin at a store.
#[derive(Clone, Debug)]
pub(crate) struct PinName {
    pub(crate) key: BlockKey,
    pub(crate) name: String,
}
