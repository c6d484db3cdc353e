//! What the planners share while they handle one event.

use std::collections::BTreeSet;

use wisteriahitch_types::{
    BlockKey, BlockState, DurationUs, StoreId, StoreIncarnation, Tier, TimeUs,
};

use super::{
    BlockHandle, BlockTable, EvictionIndex, LinkTable, Place, StoreTable, TierCommand,
    TransferFailure, TransferId,
};

/// How long a block is left alone after a call for it got no answer.
const SUSPECT_US: DurationUs = DurationUs::from_ms(10_000);

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
    pub(crate) fn new_transfer(&mut self) -> TransferId {
        *self.last_transfer = self.last_transfer.next();
        *self.last_transfer
    }

    pub(crate) fn send(&mut self, command: TierCommand) {
        self.commands.push(command);
    }

    /// Leaves a block alone for a while, since a call for it got no answer.
    pub(crate) fn suspect(&mut self, place: &Place) {
        self.blocks.suspect(place, self.now + SUSPECT_US);
    }

    /// Frees a block for room: no new reader comes in, and its store waits for the present ones.
    pub(crate) fn evict(&mut self, place: &Place) {
        self.ranks.evicted(place);
        let Some(handle) = self.blocks.handle(place) else {
            return;
        };
        let Some((bytes, tier)) = self
            .blocks
            .get(place)
            .map(|block| (block.identity().bytes, block.tier()))
        else {
            return;
        };
        if self.blocks.drain(&handle).is_err() {
            return;
        }
        // With readers of this daemon the block goes when the last of them unpins.
        let _ = self.blocks.free(&handle);
        self.stores.give(&place.store, tier, bytes);
        self.send(TierCommand::Free {
            store: place.store.clone(),
            key: place.key,
            generation: handle.generation,
        });
    }

    /// Notes what a failed move to `tier` says of the block and the tier.
    pub(crate) fn move_failed(
        &mut self,
        handle: &BlockHandle,
        tier: Tier,
        failure: TransferFailure,
    ) {
        let place = &handle.place;
        match failure {
            TransferFailure::Full => self.stores.set_full(&place.store, tier, self.now),
            TransferFailure::Lost => self.suspect(place),
            _ if self.blocks.handle(place).as_ref() == Some(handle) => {
                self.blocks.end_life(place);
                self.ranks.forget(place);
            }
            _ => {}
        }
    }

    /// Forgets the readable blocks that their store no longer lists.
    ///
    /// Another daemon may have freed them. Were they kept, they would never be saved again, seen
    /// as chains that are recomputed at each return. One that became readable after the listing
    /// was taken is forgotten too, and known again by the next.
    pub(crate) fn keep_listed(
        &mut self,
        store: &StoreId,
        incarnation: &StoreIncarnation,
        keys: &BTreeSet<BlockKey>,
    ) {
        if self.blocks.incarnation(store) != Some(incarnation) {
            return;
        }
        let gone: Vec<Place> = self
            .blocks
            .blocks_at(store)
            .filter(|(place, _)| !keys.contains(&place.key))
            .filter(|(_, block)| block.state() == BlockState::Readable && block.pins() == 0)
            .map(|(place, _)| place.clone())
            .collect();
        for place in gone {
            self.blocks.end_life(&place);
            self.ranks.forget(&place);
        }
    }

    /// Gives up a store's pin, and the table's if there is one.
    pub(crate) fn unpin(&mut self, store: &StoreId, held: Option<&BlockHandle>, pin: PinName) {
        if let Some(handle) = held {
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
