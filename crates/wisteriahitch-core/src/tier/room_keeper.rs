//! Room in the tiers: the least valuable blocks go from memory to disk and from disk away.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use wisteriahitch_types::{ByteCount, DurationUs, StoreId, Tier, TimeUs};

use super::context::Context;
use super::{BlockHandle, Place, TierCommand, TransferFailure, TransferId, UseTable};

/// Part of a tier that is kept free, so that a save seldom meets a full store.
const FREE_PART: f64 = 0.1;

/// Bounds the moves under way at one store.
const MAX_MOVES: usize = 4;

/// Bounds the blocks that are freed at one store in one tick.
const MAX_FREED: usize = 16;

/// Longest wait for the answer to a move.
const ANSWER_LIMIT_US: DurationUs = DurationUs::from_ms(60_000);

/// Counts what was done for room.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct RoomCounts {
    /// Blocks moved from memory to disk.
    pub demoted: u64,
    /// Blocks freed.
    pub freed: u64,
    /// Moves that failed.
    pub failed: u64,
}

#[derive(Clone, Debug)]
struct Demotion {
    handle: BlockHandle,
    bytes: ByteCount,
    asked_at_us: TimeUs,
}

/// Holds the configured room of one store.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct StoreRoom {
    pub(crate) memory_bytes: ByteCount,
    pub(crate) disk_bytes: ByteCount,
}

/// Keeps a part of each tier free.
#[derive(Debug, Default)]
pub struct RoomKeeper {
    rooms: BTreeMap<StoreId, StoreRoom>,
    /// Stores that this daemon keeps room at; `None` stands for all of them.
    mine: Option<BTreeSet<StoreId>>,
    demotions: BTreeMap<TransferId, Demotion>,
    counts: RoomCounts,
}

impl RoomKeeper {
    /// Returns what was done for room.
    pub fn counts(&self) -> RoomCounts {
        self.counts
    }

    pub(crate) fn configure(&mut self, rooms: BTreeMap<StoreId, StoreRoom>) {
        self.rooms = rooms;
    }

    /// Takes the stores that this daemon keeps room at.
    ///
    /// If every daemon did so for every store, each would free a tenth, and the store would be
    /// emptied, seen as imports that find nothing.
    pub(crate) fn set_mine(&mut self, mine: BTreeSet<StoreId>) {
        self.mine = Some(mine);
    }

    pub(crate) fn tick(&mut self, uses: &mut UseTable, cx: &mut Context<'_>) {
        self.give_up_unanswered(cx);
        let rooms: Vec<(StoreId, StoreRoom)> = self
            .rooms
            .iter()
            .filter(|(store, _)| self.mine.as_ref().is_none_or(|mine| mine.contains(store)))
            .filter(|(store, _)| cx.stores.is_reachable(store))
            .map(|(store, room)| (store.clone(), *room))
            .collect();
        for (store, room) in rooms {
            self.free_disk(&store, room, uses, cx);
            self.empty_memory(&store, room, uses, cx);
        }
    }

    fn free_disk(
        &mut self,
        store: &StoreId,
        room: StoreRoom,
        uses: &mut UseTable,
        cx: &mut Context<'_>,
    ) {
        self.free_lowest(store, Tier::Disk, room.disk_bytes, uses, cx);
    }

    fn empty_memory(
        &mut self,
        store: &StoreId,
        room: StoreRoom,
        uses: &mut UseTable,
        cx: &mut Context<'_>,
    ) {
        if room.disk_bytes == ByteCount::ZERO {
            return self.free_lowest(store, Tier::Memory, room.memory_bytes, uses, cx);
        }
        let moving: ByteCount = self
            .demotions
            .values()
            .filter(|demotion| demotion.handle.place.store == *store)
            .map(|demotion| demotion.bytes)
            .sum();
        let mut free = free_bytes(store, Tier::Memory, cx) + moving;
        for place in idle_lowest(store, Tier::Memory, cx) {
            let is_low = free.as_f64() < room.memory_bytes.as_f64() * FREE_PART;
            if !is_low || self.moves_at(store) >= MAX_MOVES {
                return;
            }
            free += self.demote(&place, cx);
        }
    }

    fn demote(&mut self, place: &Place, cx: &mut Context<'_>) -> ByteCount {
        let is_moving = self
            .demotions
            .values()
            .any(|demotion| demotion.handle.place == *place);
        let Some(handle) = cx.blocks.handle(place).filter(|_| !is_moving) else {
            return ByteCount::ZERO;
        };
        let bytes = cx
            .blocks
            .get(place)
            .map_or(ByteCount::ZERO, |block| block.identity().bytes);
        if !cx.stores.has_room(&place.store, Tier::Disk, bytes, cx.now) {
            return ByteCount::ZERO;
        }
        cx.stores.take(&place.store, Tier::Disk, bytes);
        let id = cx.new_transfer();
        cx.send(TierCommand::Move {
            transfer: id,
            store: place.store.clone(),
            key: place.key,
            generation: handle.generation,
            tier: Tier::Disk,
        });
        let demotion = Demotion {
            handle,
            bytes,
            asked_at_us: cx.now,
        };
        self.demotions.insert(id, demotion);
        bytes
    }

    fn free_lowest(
        &mut self,
        store: &StoreId,
        tier: Tier,
        capacity: ByteCount,
        uses: &mut UseTable,
        cx: &mut Context<'_>,
    ) {
        for place in idle_lowest(store, tier, cx) {
            let free = free_bytes(store, tier, cx);
            if free.as_f64() >= capacity.as_f64() * FREE_PART {
                return;
            }
            uses.note_store_eviction(&place.key, cx.now);
            cx.evict(&place);
            self.counts.freed += 1;
        }
    }

    /// Takes the answer to a move; `false` if the move isn't one of these.
    pub(crate) fn moved(
        &mut self,
        id: TransferId,
        result: Result<(), TransferFailure>,
        cx: &mut Context<'_>,
    ) -> bool {
        let Some(demotion) = self.demotions.remove(&id) else {
            return false;
        };
        let place = &demotion.handle.place;
        if let Err(failure) = result {
            self.counts.failed += 1;
            cx.stores.give(&place.store, Tier::Disk, demotion.bytes);
            cx.move_failed(&demotion.handle, Tier::Disk, failure);
            return true;
        }
        if cx.blocks.moved(&demotion.handle, Tier::Disk).is_ok() {
            cx.ranks.demoted(place);
            cx.stores.give(&place.store, Tier::Memory, demotion.bytes);
            self.counts.demoted += 1;
        }
        true
    }

    pub(crate) fn store_lost(&mut self, store: &StoreId) {
        self.demotions
            .retain(|_, demotion| demotion.handle.place.store != *store);
    }

    fn give_up_unanswered(&mut self, cx: &mut Context<'_>) {
        let late: Vec<TransferId> = self
            .demotions
            .iter()
            .filter(|(_, demotion)| cx.now.since(demotion.asked_at_us) >= ANSWER_LIMIT_US)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.moved(id, Err(TransferFailure::Lost), cx);
        }
    }

    fn moves_at(&self, store: &StoreId) -> usize {
        self.demotions
            .values()
            .filter(|demotion| demotion.handle.place.store == *store)
            .count()
    }
}

fn free_bytes(store: &StoreId, tier: Tier, cx: &Context<'_>) -> ByteCount {
    cx.stores
        .get(store)
        .map_or(ByteCount::MAX, |state| state.free_bytes(tier))
}

/// Returns the least valuable blocks of a tier that nobody reads.
fn idle_lowest(store: &StoreId, tier: Tier, cx: &Context<'_>) -> Vec<Place> {
    cx.ranks
        .lowest(store, tier)
        .filter(|place| cx.blocks.get(place).is_none_or(|block| block.pins() == 0))
        .take(MAX_FREED)
        .collect()
}
