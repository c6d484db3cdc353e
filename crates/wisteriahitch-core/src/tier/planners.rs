//! Dispatches each event to the planner that handles it.

use super::context::Context;
use super::{
    BlockIdentity, BlockLocation, CapacityManager, FinishedRequest, ImportPlanner, Prefetcher,
    SavePlanner, TierEvent, TransferFailure, UseTable,
};
use wisteriahitch_types::BlockState;

/// Maximum number of stale entries in the eviction index before they are pruned.
const MAX_STALE_RANKS: usize = 1_024;

/// Borrows the planners for handling one event.
pub(crate) struct Planners<'a> {
    pub(crate) imports: &'a mut ImportPlanner,
    pub(crate) saves: &'a mut SavePlanner,
    pub(crate) capacity: &'a mut CapacityManager,
    pub(crate) prefetch: &'a mut Prefetcher,
    pub(crate) uses: &'a mut UseTable,
}

impl Planners<'_> {
    pub(crate) fn request_finished(&mut self, request: &FinishedRequest, cx: &mut Context<'_>) {
        let block_uses = self
            .uses
            .record_chain_use(&request.workspace, &request.chain, cx.now);
        self.saves
            .request_finished(request, &block_uses, self.uses, cx);
        self.prefetch.request_finished(request, &block_uses, cx.now);
    }

    pub(crate) fn tick(&mut self, cx: &mut Context<'_>) {
        self.imports.tick(cx);
        self.saves.tick(cx);
        self.capacity.tick(self.uses, cx);
        self.prefetch.tick(cx);
        if cx.eviction_index.len() > cx.blocks.len() + MAX_STALE_RANKS {
            let blocks = &*cx.blocks;
            cx.eviction_index
                .retain(|location| blocks.get(location).is_some());
        }
    }

    pub(crate) fn handle_event(&mut self, event: TierEvent, cx: &mut Context<'_>) {
        match event {
            seen @ TierEvent::StoreSeen { .. } => self.store_seen(seen, cx),
            TierEvent::StoreLost { store } => {
                cx.stores.mark_unreachable(&store);
                self.imports.store_lost(&store, TransferFailure::Lost, cx);
                self.saves.store_lost(&store, cx);
                self.capacity.store_lost(&store);
                self.prefetch.store_lost(&store, cx);
            }
            listed @ TierEvent::BlockListed { .. } => adopt_listed(listed, cx),
            TierEvent::StoreListed {
                store,
                incarnation,
                keys,
            } => cx.prune_unlisted(&store, &incarnation, &keys),
            TierEvent::Pinned { transfer, result } => self.imports.pinned(transfer, result, cx),
            TierEvent::Imported { transfer, result } => {
                self.imports.imported(transfer, result, cx);
            }
            TierEvent::Reserved { transfer, result } => self.saves.reserved(transfer, result, cx),
            TierEvent::Exported { transfer, result } => self.saves.exported(transfer, result, cx),
            TierEvent::Moved { transfer, result } => {
                if !self.capacity.moved(transfer, result, cx) {
                    self.prefetch.moved(transfer, result, cx);
                }
            }
            TierEvent::EndpointEvicted { key } => self.uses.record_endpoint_eviction(&key, cx.now),
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
            cx.blocks.remove_store_blocks(&store);
            cx.eviction_index.remove_store(&store);
            self.imports.store_lost(&store, TransferFailure::Gone, cx);
            self.saves.store_lost(&store, cx);
            self.capacity.store_lost(&store);
            self.prefetch.store_lost(&store, cx);
        }
        cx.blocks.record_incarnation(&store, &incarnation);
        cx.links.record_store_backlog(&store, queued_bytes, cx.now);
        cx.stores
            .record_report(&store, memory_free_bytes, disk_free_bytes, is_leaving);
    }

    /// Starts queued transfers until the links are full. A transfer that fails to start frees its
    /// slot, so the links are checked again.
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
    let location = BlockLocation { store, key };
    // A listing is older than this daemon's own changes; an entry that contradicts them is ignored.
    if cx
        .blocks
        .adopt(location.clone(), identity, tier, None)
        .is_ok()
    {
        cx.eviction_index.record_listed(&location, tier);
    }
}
