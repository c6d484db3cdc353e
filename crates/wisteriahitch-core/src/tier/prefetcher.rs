//! Moves blocks from disk to memory before a predicted return.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use wisteriahitch_types::{BlockKey, BlockState, DurationUs, StoreId, Tier, TimeUs};

use super::context::Context;
use super::{
    BlockHandle, BlockLocation, BlockUse, FinishedRequest, TierCommand, TransferClass,
    TransferFailure, TransferId,
};

/// Fraction of the gap between uses by which a move precedes the predicted return.
const LEAD_FRACTION: f64 = 0.1;

/// Maximum number of predicted returns.
const MAX_PREDICTED_RETURNS: usize = 4_096;

/// Maximum number of blocks per predicted return.
const MAX_CHAIN_BLOCKS: usize = 64;

/// Maximum number of moves, queued or in progress.
const MAX_PENDING_MOVES: usize = 64;

/// Time after which an unanswered move counts as failed.
const CALL_TIMEOUT_US: DurationUs = DurationUs::from_ms(60_000);

/// Counts of predicted returns and prefetched blocks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct PrefetchCounts {
    /// Returns that were predicted.
    pub foreseen: u64,
    /// Blocks that were moved to memory.
    pub promoted: u64,
    /// Promoted blocks that a request used afterwards.
    pub promoted_used: u64,
    /// Moves that failed or weren't answered.
    pub failed: u64,
}

#[derive(Clone, Debug)]
struct Promotion {
    handle: BlockHandle,
    /// When the move was sent; `None` while it is queued for the link.
    call_sent_at_us: Option<TimeUs>,
}

/// Predicts the returns of chains with a regular gap between uses, and moves their blocks to memory
/// when the link is idle.
///
/// Disabled by default, since measurements showed no gain (`docs/design/links.md`).
#[derive(Debug, Default)]
pub struct Prefetcher {
    is_enabled: bool,
    /// Blocks to move, by the time of the move and the first block of the chain.
    predicted_returns: BTreeMap<(TimeUs, BlockKey), Vec<BlockKey>>,
    promotions: BTreeMap<TransferId, Promotion>,
    /// Promoted blocks that no request has used since.
    promoted_unused: BTreeSet<BlockKey>,
    counts: PrefetchCounts,
}

impl Prefetcher {
    /// Returns the counts of predictions and moves.
    pub fn counts(&self) -> PrefetchCounts {
        self.counts
    }

    pub(crate) fn set_enabled(&mut self, is_enabled: bool) {
        self.is_enabled = is_enabled;
        if !is_enabled {
            self.predicted_returns.clear();
        }
    }

    /// Schedules the prefetch of a chain that is used at regular gaps.
    pub(crate) fn request_finished(
        &mut self,
        request: &FinishedRequest,
        block_uses: &[BlockUse],
        now: TimeUs,
    ) {
        for block in &request.chain {
            self.counts.promoted_used += u64::from(self.promoted_unused.remove(&block.key));
        }
        let regular = block_uses
            .iter()
            .take(MAX_CHAIN_BLOCKS)
            .take_while(|block_use| block_use.is_regular);
        let len = regular.count();
        let gap = len.checked_sub(1).and_then(|last| block_uses[last].gap_us);
        let Some(gap) =
            gap.filter(|_| self.is_enabled && self.predicted_returns.len() < MAX_PREDICTED_RETURNS)
        else {
            return;
        };
        let lead = DurationUs::new((gap.as_f64() * LEAD_FRACTION) as u64);
        let keys: Vec<BlockKey> = request.chain[..len].iter().map(|block| block.key).collect();
        self.counts.foreseen += 1;
        self.predicted_returns
            .insert((now + (gap - lead), keys[0]), keys);
    }

    pub(crate) fn tick(&mut self, cx: &mut Context<'_>) {
        self.expire_unanswered(cx);
        while let Some(entry) = self.predicted_returns.first_entry() {
            if entry.key().0 > cx.now {
                return;
            }
            for key in entry.remove() {
                self.enqueue(key, cx);
            }
        }
    }

    fn enqueue(&mut self, key: BlockKey, cx: &mut Context<'_>) {
        let stores: Vec<StoreId> = cx.stores.iter().map(|(store, _)| store.clone()).collect();
        for store in stores {
            let location = BlockLocation { store, key };
            let Some(block) = cx.blocks.get(&location) else {
                continue;
            };
            let bytes = block.identity().bytes;
            let is_promotable = block.tier() == Tier::Disk && block.state() == BlockState::Readable;
            let Some(handle) = cx.blocks.handle(&location).filter(|_| is_promotable) else {
                continue;
            };
            if self.promotions.len() >= MAX_PENDING_MOVES {
                return;
            }
            let id = cx.new_transfer_id();
            if cx
                .links
                .enqueue(&location.store, id, TransferClass::Prefetch, bytes, cx.now)
            {
                let promotion = Promotion {
                    handle,
                    call_sent_at_us: None,
                };
                self.promotions.insert(id, promotion);
            }
        }
    }

    /// Sends the move once the link has nothing more urgent and memory has space.
    pub(crate) fn start(&mut self, id: TransferId, cx: &mut Context<'_>) {
        let Some(promotion) = self.promotions.get_mut(&id) else {
            return;
        };
        let handle = promotion.handle.clone();
        let location = &handle.location;
        let bytes = cx
            .blocks
            .get(location)
            .filter(|_| cx.blocks.handle(location).as_ref() == Some(&handle))
            .map(|block| block.identity().bytes);
        let has_space = bytes.is_some_and(|bytes| {
            cx.stores
                .has_space(&location.store, Tier::Memory, bytes, cx.now)
        });
        if !has_space {
            self.remove(id, cx);
            return;
        }
        promotion.call_sent_at_us = Some(cx.now);
        cx.send(TierCommand::Move {
            transfer: id,
            store: location.store.clone(),
            key: location.key,
            generation: handle.generation,
            tier: Tier::Memory,
        });
    }

    /// Handles the answer to a move; returns `false` if the move was not started here.
    pub(crate) fn moved(
        &mut self,
        id: TransferId,
        result: Result<(), TransferFailure>,
        cx: &mut Context<'_>,
    ) -> bool {
        let Some(promotion) = self.remove(id, cx) else {
            return false;
        };
        let handle = &promotion.handle;
        if let Err(failure) = result {
            self.counts.failed += 1;
            cx.handle_failed_move(handle, Tier::Memory, failure);
            return true;
        }
        if cx.blocks.change_tier(handle, Tier::Memory).is_ok() {
            let location = &handle.location;
            let block = cx.blocks.get(location).map(|block| block.identity().bytes);
            let bytes = block.unwrap_or_default();
            cx.eviction_index.change_ranked_tier(location, Tier::Memory);
            cx.stores
                .reserve_space(&location.store, Tier::Memory, bytes);
            cx.stores.release_space(&location.store, Tier::Disk, bytes);
            self.counts.promoted += 1;
            if self.promoted_unused.len() < MAX_PREDICTED_RETURNS {
                self.promoted_unused.insert(location.key);
            }
        }
        true
    }

    pub(crate) fn store_lost(&mut self, store: &StoreId, cx: &mut Context<'_>) {
        let lost: Vec<TransferId> = self
            .promotions
            .iter()
            .filter(|(_, promotion)| promotion.handle.location.store == *store)
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            self.remove(id, cx);
        }
    }

    fn expire_unanswered(&mut self, cx: &mut Context<'_>) {
        let timed_out: Vec<TransferId> = self
            .promotions
            .iter()
            .filter(|(_, promotion)| {
                promotion
                    .call_sent_at_us
                    .is_some_and(|asked| cx.now.since(asked) >= CALL_TIMEOUT_US)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in timed_out {
            self.moved(id, Err(TransferFailure::Lost), cx);
        }
    }

    fn remove(&mut self, id: TransferId, cx: &mut Context<'_>) -> Option<Promotion> {
        let promotion = self.promotions.remove(&id)?;
        cx.links
            .finish(&promotion.handle.location.store, id, false, cx.now);
        Some(promotion)
    }
}
