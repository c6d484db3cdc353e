//! What the planners share while they handle one event.

use wisteriahitch_types::{BlockKey, StoreId, TimeUs};

use super::{BlockHandle, BlockTable, LinkTable, StoreTable, TierCommand, TransferId};

/// Lends the tables to a planner, and gathers its commands.
#[derive(Debug)]
pub(crate) struct Context<'a> {
    pub(crate) blocks: &'a mut BlockTable,
    pub(crate) links: &'a mut LinkTable,
    pub(crate) stores: &'a mut StoreTable,
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
