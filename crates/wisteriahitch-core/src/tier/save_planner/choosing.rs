//! What is saved of a chain, and in which order.

use std::collections::VecDeque;

use wisteriahitch_types::StoreId;

use super::SavePlanner;
use crate::tier::context::Context;
use crate::tier::save_job::{SaveBlock, SaveJob, SavePhase, SaveTransfer};
use crate::tier::save_room::readable_tier;
use crate::tier::save_value::{is_worth_saving, value};
use crate::tier::{BlockUse, FinishedRequest, Place, TransferClass, UseTable};

/// Bounds the chains that are being saved; a further one is left out until its next use.
const MAX_JOBS: usize = 1_024;

/// Bounds the blocks of one chain.
const MAX_CHAIN: usize = 256;

impl SavePlanner {
    /// Ranks the blocks that a request used, and starts to save those that are worth it.
    pub(crate) fn finished(
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
        self.next_block(job, cx);
    }

    /// Ranks the blocks that the store holds, and returns those that it is to get, from the front.
    fn rank(
        &self,
        request: &FinishedRequest,
        block_uses: &[BlockUse],
        store: &StoreId,
        uses: &UseTable,
        cx: &mut Context<'_>,
    ) -> VecDeque<SaveBlock> {
        let mut least = f64::MAX;
        let mut blocks = VecDeque::new();
        let mut is_saving = true;
        let pairs = request.chain.iter().zip(block_uses).take(MAX_CHAIN);
        for (depth, (block, block_use)) in pairs.enumerate() {
            // Deeper blocks never rank above those that they need, so chains go from their end.
            least = least.min(value(request, block, block_use, store, uses, cx));
            let place = Place {
                store: store.clone(),
                key: block.key,
            };
            if let Some(tier) = readable_tier(&place, cx) {
                cx.ranks.touch(&place, tier, least, depth as u32);
                continue;
            }
            is_saving &= is_worth_saving(request.policy, least, block_use, store, cx)
                && !self.under_way.contains(&place);
            if is_saving {
                blocks.push_back(SaveBlock {
                    block: *block,
                    depth: depth as u32,
                    value: least,
                });
            }
        }
        blocks
    }

    /// Chooses the endpoint's store that holds most of the chain's front, then the freest link.
    fn choose_store(&self, request: &FinishedRequest, cx: &Context<'_>) -> Option<StoreId> {
        let candidates = self.stores_of.get(&request.endpoint)?;
        candidates
            .iter()
            .filter(|store| cx.stores.takes_saves(store))
            .max_by_key(|store| {
                let held = request.chain.iter().take_while(|block| {
                    let place = Place {
                        store: (*store).clone(),
                        key: block.key,
                    };
                    readable_tier(&place, cx).is_some()
                });
                let waiting = cx.links.get(store).map_or(0, |link| link.waiting().len());
                (held.count(), std::cmp::Reverse(waiting))
            })
            .cloned()
    }

    pub(super) fn next_block(&mut self, mut job: SaveJob, cx: &mut Context<'_>) {
        while let Some(front) = job.blocks.pop_front() {
            let place = Place {
                store: job.store.clone(),
                key: front.block.key,
            };
            if readable_tier(&place, cx).is_none() {
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
        if self.transfers.len() >= MAX_JOBS {
            return;
        }
        let id = cx.new_transfer();
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
            asked_at_us: cx.now,
            is_retry,
        };
        self.counts.queued += 1;
        self.under_way.insert(transfer.place());
        self.transfers.insert(id, transfer);
    }
}
