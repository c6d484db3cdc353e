//! Choice of the blocks of a chain to save, and of the store.

use std::collections::VecDeque;

use wisteriahitch_types::StoreId;

use super::SavePlanner;
use crate::tier::context::Context;
use crate::tier::save_job::{SaveBlock, SaveJob, SavePhase, SaveTransfer};
use crate::tier::save_room::readable_tier;
use crate::tier::save_value::{block_value, is_worth_saving};
use crate::tier::{BlockLocation, BlockUse, FinishedRequest, TransferClass, UseTable};

/// Maximum number of chains saved at once; a further one is skipped until its next use.
const MAX_CONCURRENT_JOBS: usize = 1_024;

/// Maximum number of blocks considered per chain.
const MAX_CHAIN_BLOCKS: usize = 256;

impl SavePlanner {
    /// Ranks the blocks that a request used, and starts to save those that are worth it.
    pub(crate) fn request_finished(
        &mut self,
        request: &FinishedRequest,
        block_uses: &[BlockUse],
        uses: &UseTable,
        cx: &mut Context<'_>,
    ) {
        let Some(store) = self.choose_store(request, cx) else {
            return;
        };
        let blocks = self.rank(request, block_uses, &store, uses, cx);
        let job = SaveJob {
            workspace: request.workspace.clone(),
            weight_version: request.weight_version.clone(),
            endpoint: request.endpoint.clone(),
            store,
            blocks,
        };
        self.enqueue_next(job, cx);
    }

    /// Updates the ranks of blocks that the store already holds, and returns the blocks to save,
    /// from the front of the chain.
    fn rank(
        &self,
        request: &FinishedRequest,
        block_uses: &[BlockUse],
        store: &StoreId,
        uses: &UseTable,
        cx: &mut Context<'_>,
    ) -> VecDeque<SaveBlock> {
        let mut min_value = f64::MAX;
        let mut blocks = VecDeque::new();
        let mut is_saving = true;
        let pairs = request.chain.iter().zip(block_uses).take(MAX_CHAIN_BLOCKS);
        for (depth, (block, block_use)) in pairs.enumerate() {
            // A block's value is capped by those in front of it, which it needs, so that chains are
            // evicted from their end.
            min_value = min_value.min(block_value(request, block, block_use, store, uses, cx));
            let location = BlockLocation {
                store: store.clone(),
                key: block.key,
            };
            if let Some(tier) = readable_tier(&location, cx) {
                cx.eviction_index
                    .touch(&location, tier, min_value, depth as u32);
                continue;
            }
            is_saving &= is_worth_saving(request.policy, min_value, block_use, store, cx)
                && !self.in_progress.contains(&location);
            if is_saving {
                blocks.push_back(SaveBlock {
                    block: *block,
                    depth: depth as u32,
                    value: min_value,
                });
            }
        }
        blocks
    }

    /// Chooses among the endpoint's stores the one that holds the longest prefix of the chain; of
    /// equal ones, the one with the shortest link queue.
    fn choose_store(&self, request: &FinishedRequest, cx: &Context<'_>) -> Option<StoreId> {
        let candidates = self.stores_by_endpoint.get(&request.endpoint)?;
        candidates
            .iter()
            .filter(|store| cx.stores.accepts_saves(store))
            .max_by_key(|store| {
                let readable_prefix = request.chain.iter().take_while(|block| {
                    let location = BlockLocation {
                        store: (*store).clone(),
                        key: block.key,
                    };
                    readable_tier(&location, cx).is_some()
                });
                let waiting = cx.links.get(store).map_or(0, |link| link.waiting().len());
                (readable_prefix.count(), std::cmp::Reverse(waiting))
            })
            .cloned()
    }

    pub(super) fn enqueue_next(&mut self, mut job: SaveJob, cx: &mut Context<'_>) {
        while let Some(front) = job.blocks.pop_front() {
            let location = BlockLocation {
                store: job.store.clone(),
                key: front.block.key,
            };
            if readable_tier(&location, cx).is_none() {
                return self.enqueue(job, front, false, cx);
            }
        }
    }

    pub(super) fn enqueue(
        &mut self,
        job: SaveJob,
        front: SaveBlock,
        is_retry: bool,
        cx: &mut Context<'_>,
    ) {
        if self.transfers.len() >= MAX_CONCURRENT_JOBS {
            return;
        }
        let id = cx.new_transfer_id();
        let bytes = front.block.bytes;
        if !cx
            .links
            .enqueue(&job.store, id, TransferClass::Save, bytes, cx.now)
        {
            return;
        }
        let transfer = SaveTransfer {
            job,
            front,
            phase: SavePhase::Queued,
            call_sent_at_us: cx.now,
            is_retry,
        };
        self.counts.queued += 1;
        self.in_progress.insert(transfer.location());
        self.transfers.insert(id, transfer);
    }
}
