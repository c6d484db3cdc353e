//! The eviction order of the blocks in each tier of a store.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use wisteriahitch_types::{BlockKey, StoreId, Tier};

use super::BlockLocation;

/// The eviction rank of a block: its value when it was last used, plus the store's clock at that
/// time.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) struct Rank(u64);

impl Rank {
    /// Stores the bits of the value, which sort like the value itself as long as it isn't negative.
    fn new(value: f64) -> Self {
        Self(value.max(0.0).to_bits())
    }

    fn get(self) -> f64 {
        f64::from_bits(self.0)
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    tier: Tier,
    rank: Rank,
    depth: u32,
}

type RankOrder = BTreeSet<(Rank, Reverse<u32>, BlockKey)>;

/// The blocks of each tier by ascending rank; of two with equal rank, the deeper one in its chain
/// comes first.
///
/// A use ranks the whole chain, and a rank never falls, so a block always ranks at least as high as
/// the blocks behind it in its chain. Chains are therefore evicted from their end, and what is left
/// can still be read (`docs/design/blocks.md`).
#[derive(Debug, Default)]
pub struct EvictionIndex {
    entries: BTreeMap<BlockLocation, Entry>,
    orders: BTreeMap<(StoreId, Tier), RankOrder>,
    /// Highest rank of a block that was evicted or demoted, by store. A new rank adds the block's
    /// value to this clock, so unused blocks sink in the order.
    clocks: BTreeMap<StoreId, f64>,
}

impl EvictionIndex {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Ranks a block that has just been used or saved.
    pub(crate) fn touch(&mut self, location: &BlockLocation, tier: Tier, value: f64, depth: u32) {
        let clock = self.clocks.get(&location.store).copied().unwrap_or(0.0);
        let known = self.remove(location);
        let rank = Rank::new(clock + value);
        let entry = Entry {
            tier,
            rank: known.map_or(rank, |known| known.rank.max(rank)),
            depth,
        };
        self.insert(location.clone(), entry);
    }

    /// Updates the tier of a block that a store lists; an unknown block is added with a value of
    /// zero.
    ///
    /// A listing contains neither depth nor use. If it changed the ranks of known blocks, the front
    /// of a chain could be evicted before its end, and imports would stop at the first block.
    pub(crate) fn record_listed(&mut self, location: &BlockLocation, tier: Tier) {
        match self.entries.get(location).map(|entry| entry.tier) {
            None => self.touch(location, tier, 0.0, 0),
            Some(known) if known != tier => self.change_ranked_tier(location, tier),
            Some(_) => {}
        }
    }

    /// Returns whether a block ranks below one of `value` that is saved now.
    pub(crate) fn ranks_below(&self, location: &BlockLocation, value: f64) -> bool {
        let clock = self.clocks.get(&location.store).copied().unwrap_or(0.0);
        self.entries
            .get(location)
            .is_some_and(|entry| entry.rank < Rank::new(clock + value))
    }

    /// Records that a block is in another tier; its rank stays.
    pub(crate) fn change_ranked_tier(&mut self, location: &BlockLocation, tier: Tier) {
        if let Some(entry) = self.remove(location) {
            self.insert(location.clone(), Entry { tier, ..entry });
        }
    }

    /// Records that a block was moved from memory to disk to free space, and advances the clock to
    /// its rank.
    ///
    /// As long as the disk has free space, nothing is evicted. If only evictions advanced the
    /// clock, a block that was once valuable would stay in memory forever, and all later ones would
    /// go to disk.
    pub(crate) fn record_demotion(&mut self, location: &BlockLocation) {
        self.change_ranked_tier(location, Tier::Disk);
        if let Some(entry) = self.entries.get(location).copied() {
            self.advance_clock(location, entry.rank);
        }
    }

    /// Removes a block that was evicted, and advances the clock to its rank.
    pub(crate) fn record_eviction(&mut self, location: &BlockLocation) {
        if let Some(entry) = self.remove(location) {
            self.advance_clock(location, entry.rank);
        }
    }

    fn advance_clock(&mut self, location: &BlockLocation, rank: Rank) {
        let clock = self.clocks.entry(location.store.clone()).or_default();
        *clock = clock.max(rank.get());
    }

    pub(crate) fn remove_block(&mut self, location: &BlockLocation) {
        self.remove(location);
    }

    pub(crate) fn remove_store(&mut self, store: &StoreId) {
        self.entries.retain(|location, _| location.store != *store);
        self.orders.retain(|(known, _), _| known != store);
        self.clocks.remove(store);
    }

    /// Removes the blocks for which `is_known` returns `false`.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&BlockLocation) -> bool) {
        let unknown: Vec<BlockLocation> = self
            .entries
            .keys()
            .filter(|location| !is_known(location))
            .cloned()
            .collect();
        unknown
            .iter()
            .for_each(|location| self.remove_block(location));
    }

    /// Returns the blocks of a tier by ascending rank.
    pub(crate) fn lowest_ranked(
        &self,
        store: &StoreId,
        tier: Tier,
    ) -> impl Iterator<Item = BlockLocation> {
        self.orders
            .get(&(store.clone(), tier))
            .into_iter()
            .flatten()
            .map(|(_, _, key)| BlockLocation {
                store: store.clone(),
                key: *key,
            })
    }

    fn insert(&mut self, location: BlockLocation, entry: Entry) {
        self.orders
            .entry((location.store.clone(), entry.tier))
            .or_default()
            .insert((entry.rank, Reverse(entry.depth), location.key));
        self.entries.insert(location, entry);
    }

    fn remove(&mut self, location: &BlockLocation) -> Option<Entry> {
        let entry = self.entries.remove(location)?;
        if let Some(order) = self.orders.get_mut(&(location.store.clone(), entry.tier)) {
            order.remove(&(entry.rank, Reverse(entry.depth), location.key));
        }
        Some(entry)
    }
}
