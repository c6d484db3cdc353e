//! Frees space in the tiers: moves the lowest-ranked blocks from memory to disk, and frees those on
//! disk.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use wisteriahitch_types::{ByteCount, DurationUs, StoreId, Tier, TimeUs};

use super::context::Context;
use super::{BlockHandle, BlockLocation, TierCommand, TransferFailure, TransferId, UseTable};

/// Fraction of a tier's capacity to keep free, so that a save rarely finds the store full.
const MIN_FREE_FRACTION: f64 = 0.1;

/// Maximum number of concurrent moves at one store.
const MAX_CONCURRENT_MOVES: usize = 4;

/// Maximum number of blocks considered for eviction or demotion per store, tier and tick.
const MAX_CANDIDATES: usize = 16;

/// Time after which an unanswered move counts as failed.
const CALL_TIMEOUT_US: DurationUs = DurationUs::from_ms(60_000);

/// Counts of demotions and evictions.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct CapacityCounts {
    /// Blocks moved from memory to disk.
    pub demoted: u64,
    /// Blocks evicted from their store.
    pub freed: u64,
    /// Moves that failed or weren't answered.
    pub failed: u64,
}

#[derive(Clone, Debug)]
struct Demotion {
    handle: BlockHandle,
    bytes: ByteCount,
    call_sent_at_us: TimeUs,
}

/// The configured capacity of one store.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct StoreCapacity {
    pub(crate) memory_bytes: ByteCount,
    pub(crate) disk_bytes: ByteCount,
}

/// Keeps a fraction of each tier free at the stores that this daemon manages.
#[derive(Debug, Default)]
pub struct CapacityManager {
    capacities: BTreeMap<StoreId, StoreCapacity>,
    /// Stores whose capacity this daemon manages; `None` means all of them.
    managed_stores: Option<BTreeSet<StoreId>>,
    demotions: BTreeMap<TransferId, Demotion>,
    counts: CapacityCounts,
}

impl CapacityManager {
    /// Returns the counts of demotions and evictions.
    pub fn counts(&self) -> CapacityCounts {
        self.counts
    }

    pub(crate) fn configure(&mut self, capacities: BTreeMap<StoreId, StoreCapacity>) {
        self.capacities = capacities;
    }

    /// Sets the stores whose capacity this daemon manages.
    ///
    /// If every daemon managed every store, each would free a tenth of it, the store would end up
    /// empty, and imports would find nothing.
    pub(crate) fn set_managed_stores(&mut self, managed_stores: BTreeSet<StoreId>) {
        self.managed_stores = Some(managed_stores);
    }

    pub(crate) fn tick(&mut self, uses: &mut UseTable, cx: &mut Context<'_>) {
        self.expire_unanswered(cx);
        let capacities: Vec<(StoreId, StoreCapacity)> = self
            .capacities
            .iter()
            .filter(|(store, _)| {
                self.managed_stores
                    .as_ref()
                    .is_none_or(|managed_stores| managed_stores.contains(store))
            })
            .filter(|(store, _)| cx.stores.is_reachable(store))
            .map(|(store, capacity)| (store.clone(), *capacity))
            .collect();
        for (store, capacity) in capacities {
            self.reclaim_disk(&store, capacity, uses, cx);
            self.reclaim_memory(&store, capacity, uses, cx);
        }
    }

    fn reclaim_disk(
        &mut self,
        store: &StoreId,
        capacity: StoreCapacity,
        uses: &mut UseTable,
        cx: &mut Context<'_>,
    ) {
        self.evict_lowest(store, Tier::Disk, capacity.disk_bytes, uses, cx);
    }

    fn reclaim_memory(
        &mut self,
        store: &StoreId,
        capacity: StoreCapacity,
        uses: &mut UseTable,
        cx: &mut Context<'_>,
    ) {
        if capacity.disk_bytes == ByteCount::ZERO {
            return self.evict_lowest(store, Tier::Memory, capacity.memory_bytes, uses, cx);
        }
        let moving: ByteCount = self
            .demotions
            .values()
            .filter(|demotion| demotion.handle.location.store == *store)
            .map(|demotion| demotion.bytes)
            .sum();
        let mut free = free_bytes(store, Tier::Memory, cx) + moving;
        for location in lowest_unpinned(store, Tier::Memory, cx) {
            let is_low = free.as_f64() < capacity.memory_bytes.as_f64() * MIN_FREE_FRACTION;
            if !is_low || self.pending_moves(store) >= MAX_CONCURRENT_MOVES {
                return;
            }
            free += self.demote(&location, cx);
        }
    }

    fn demote(&mut self, location: &BlockLocation, cx: &mut Context<'_>) -> ByteCount {
        let is_moving = self
            .demotions
            .values()
            .any(|demotion| demotion.handle.location == *location);
        let Some(handle) = cx.blocks.handle(location).filter(|_| !is_moving) else {
            return ByteCount::ZERO;
        };
        let bytes = cx
            .blocks
            .get(location)
            .map_or(ByteCount::ZERO, |block| block.identity().bytes);
        if !cx
            .stores
            .has_space(&location.store, Tier::Disk, bytes, cx.now)
        {
            return ByteCount::ZERO;
        }
        cx.stores.reserve_space(&location.store, Tier::Disk, bytes);
        let id = cx.new_transfer_id();
        cx.send(TierCommand::Move {
            transfer: id,
            store: location.store.clone(),
            key: location.key,
            generation: handle.generation,
            tier: Tier::Disk,
        });
        let demotion = Demotion {
            handle,
            bytes,
            call_sent_at_us: cx.now,
        };
        self.demotions.insert(id, demotion);
        bytes
    }

    fn evict_lowest(
        &mut self,
        store: &StoreId,
        tier: Tier,
        capacity: ByteCount,
        uses: &mut UseTable,
        cx: &mut Context<'_>,
    ) {
        for location in lowest_unpinned(store, tier, cx) {
            let free = free_bytes(store, tier, cx);
            if free.as_f64() >= capacity.as_f64() * MIN_FREE_FRACTION {
                return;
            }
            uses.record_store_eviction(&location.key, cx.now);
            cx.evict(&location);
            self.counts.freed += 1;
        }
    }

    /// Handles the answer to a move; returns `false` if the move was not started here.
    pub(crate) fn moved(
        &mut self,
        id: TransferId,
        result: Result<(), TransferFailure>,
        cx: &mut Context<'_>,
    ) -> bool {
        let Some(demotion) = self.demotions.remove(&id) else {
            return false;
        };
        let location = &demotion.handle.location;
        if let Err(failure) = result {
            self.counts.failed += 1;
            cx.stores
                .release_space(&location.store, Tier::Disk, demotion.bytes);
            cx.handle_failed_move(&demotion.handle, Tier::Disk, failure);
            return true;
        }
        if cx.blocks.change_tier(&demotion.handle, Tier::Disk).is_ok() {
            cx.eviction_index.record_demotion(location);
            cx.stores
                .release_space(&location.store, Tier::Memory, demotion.bytes);
            self.counts.demoted += 1;
        }
        true
    }

    pub(crate) fn store_lost(&mut self, store: &StoreId) {
        self.demotions
            .retain(|_, demotion| demotion.handle.location.store != *store);
    }

    fn expire_unanswered(&mut self, cx: &mut Context<'_>) {
        let timed_out: Vec<TransferId> = self
            .demotions
            .iter()
            .filter(|(_, demotion)| cx.now.since(demotion.call_sent_at_us) >= CALL_TIMEOUT_US)
            .map(|(id, _)| *id)
            .collect();
        for id in timed_out {
            self.moved(id, Err(TransferFailure::Lost), cx);
        }
    }

    fn pending_moves(&self, store: &StoreId) -> usize {
        self.demotions
            .values()
            .filter(|demotion| demotion.handle.location.store == *store)
            .count()
    }
}

fn free_bytes(store: &StoreId, tier: Tier, cx: &Context<'_>) -> ByteCount {
    cx.stores
        .get(store)
        .map_or(ByteCount::MAX, |state| state.free_bytes(tier))
}

/// Returns the lowest-ranked blocks of a tier that no reader of this daemon has pinned.
fn lowest_unpinned(store: &StoreId, tier: Tier, cx: &Context<'_>) -> Vec<BlockLocation> {
    cx.eviction_index
        .lowest_ranked(store, tier)
        .filter(|location| {
            cx.blocks
                .get(location)
                .is_none_or(|block| block.pins() == 0)
        })
        .take(MAX_CANDIDATES)
        .collect()
}
