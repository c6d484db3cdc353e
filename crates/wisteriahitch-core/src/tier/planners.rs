//! Hands each event to the planner that waits for it.

use super::context::Context;
use super::{
    BlockIdentity, FinishedRequest, ImportPlanner, Place, Prefetcher, RoomKeeper, SavePlanner,
    TierEvent, TransferFailure, UseTable,
};
use wisteriahitch_types::BlockState;

/// Stale entries that the index of ranks may hold before it is cleaned.
const MAX_STALE_RANKS: usize = 1_024;

/// Lends the planners to one step.
pub(crate) struct Planners<'a> {
    pub(crate) imports: &'a mut ImportPlanner,
    pub(crate) saves: &'a mut SavePlanner,
    pub(crate) rooms: &'a mut RoomKeeper,
    pub(crate) prefetch: &'a mut Prefetcher,
    pub(crate) uses: &'a mut UseTable,
}

impl Planners<'_> {
    pub(crate) fn finished(&mut self, request: &FinishedRequest, cx: &mut Context<'_>) {
        let block_uses = self.uses.note(&request.workspace, &request.chain, cx.now);
        self.saves.finished(request, &block_uses, self.uses, cx);
        self.prefetch.finished(request, &block_uses, cx.now);
    }

    pub(crate) fn tick(&mut self, cx: &mut Context<'_>) {
        self.imports.tick(cx);
        self.saves.tick(cx);
        self.rooms.tick(self.uses, cx);
        self.prefetch.tick(cx);
        if cx.ranks.len() > cx.blocks.len() + MAX_STALE_RANKS {
            let blocks = &*cx.blocks;
            cx.ranks.retain(|place| blocks.get(place).is_some());
        }
    }

    pub(crate) fn on(&mut self, event: TierEvent, cx: &mut Context<'_>) {
        match event {
            seen @ TierEvent::StoreSeen { .. } => self.store_seen(seen, cx),
            TierEvent::StoreLost { store } => {
                cx.stores.lost(&store);
                self.imports.store_lost(&store, TransferFailure::Lost, cx);
                self.saves.store_lost(&store, cx);
                self.rooms.store_lost(&store);
                self.prefetch.store_lost(&store, cx);
            }
            listed @ TierEvent::BlockListed { .. } => adopt_listed(listed, cx),
            TierEvent::StoreListed {
                store,
                incarnation,
                keys,
            } => cx.keep_listed(&store, &incarnation, &keys),
            TierEvent::Pinned { transfer, result } => self.imports.pinned(transfer, result, cx),
            TierEvent::Imported { transfer, result } => {
                self.imports.imported(transfer, result, cx);
            }
            TierEvent::Reserved { transfer, result } => self.saves.reserved(transfer, result, cx),
            TierEvent::Exported { transfer, result } => self.saves.exported(transfer, result, cx),
            TierEvent::Moved { transfer, result } => {
                if !self.rooms.moved(transfer, result, cx) {
                    self.prefetch.moved(transfer, result, cx);
                }
            }
            TierEvent::EndpointEvicted { key } => self.uses.note_endpoint_eviction(&key, cx.now),
        }
    }

    fn store_seen(&mut self, event: TierEvent, cx: &mut Context<'_>) {
        let TierEvent::StoreSeen {
            store,
            incarnation,
            memory_free_bytes,
            disk_free_bytes,
            queued_bytes,
            is_leaving,
        } = event
        else {
            return;
        };
        let known = cx.blocks.incarnation(&store);
        if known.is_some_and(|known| *known != incarnation) {
            cx.blocks.store_died(&store);
            cx.ranks.forget_store(&store);
            self.imports.store_lost(&store, TransferFailure::Gone, cx);
            self.saves.store_lost(&store, cx);
            self.rooms.store_lost(&store);
            self.prefetch.store_lost(&store, cx);
        }
        cx.blocks.store_seen(&store, &incarnation);
        cx.links.note_queued(&store, queued_bytes, cx.now);
        cx.stores
            .seen(&store, memory_free_bytes, disk_free_bytes, is_leaving);
    }

    /// Lets transfers cross the links until no more may; one that fails at its start makes room.
    pub(crate) fn start_transfers(&mut self, cx: &mut Context<'_>) {
        loop {
            let started = cx.links.start(cx.now);
            if started.is_empty() {
                return;
            }
            for start in started {
                self.imports.start(start.0, cx);
                self.saves.start(start.0, cx);
                self.prefetch.start(start.0, cx);
            }
        }
    }
}

fn adopt_listed(event: TierEvent, cx: &mut Context<'_>) {
    let TierEvent::BlockListed {
        store,
        incarnation,
        key,
        generation,
        bytes,
        tokens,
        weight_version,
        tier,
        state: BlockState::Readable,
    } = event
    else {
        return;
    };
    let identity = BlockIdentity {
        incarnation,
        generation,
        weight_version,
        workspace: None,
        tokens,
        bytes,
    };
    let place = Place { store, key };
    // A listing is older than what this daemon did since; what contradicts it is left out.
    if cx.blocks.adopt(place.clone(), identity, tier, None).is_ok() {
        cx.ranks.listed(&place, tier);
    }
}
