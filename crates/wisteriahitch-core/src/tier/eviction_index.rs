//! Which block of a store's tier is worth least.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use wisteriahitch_types::{BlockKey, StoreId, Tier};

use super::BlockLocation;

/// Ranks a block: its value when last used, above the ranks of the blocks that had to go before.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) struct Rank(u64);

impl Rank {
    /// Keeps the value as its bits, which order like the value as long as it isn't negative.
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

/// Orders the blocks of each tier by rank, deeper ones of equal rank first.
///
/// A use ranks the whole chain, and a rank never falls, so a block always ranks at least as high
/// as those behind it in its chain: chains are evicted from their end, and what is left can be
/// read (`docs/design/blocks.md`).
#[derive(Debug, Default)]
pub struct EvictionIndex {
    entries: BTreeMap<BlockLocation, Entry>,
    orders: BTreeMap<(StoreId, Tier), RankOrder>,
    /// Highest rank of a block that was freed or left memory for room, by store: an unused block
    /// ages against it.
    clocks: BTreeMap<StoreId, f64>,
}

impl EvictionIndex {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Ranks a block that was used or saved now.
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

    /// Ranks a block that a store lists, if nothing is known of it.
    ///
    /// A listing knows neither depth nor use; were it to rank known blocks, the front of a chain
    /// would go before its end, seen as imports that stop at the first block.
    pub(crate) fn record_listed(&mut self, location: &BlockLocation, tier: Tier) {
        match self.entries.get(location).map(|entry| entry.tier) {
            None => self.touch(location, tier, 0.0, 0),
            Some(known) if known != tier => self.change_ranked_tier(location, tier),
            Some(_) => {}
        }
    }

    /// Returns whether a block is worth less than one of `value` that is saved now.
    pub(crate) fn ranks_below(&self, location: &BlockLocation, value: f64) -> bool {
        let clock = self.clocks.get(&location.store).copied().unwrap_or(0.0);
        self.entries
            .get(location)
            .is_some_and(|entry| entry.rank < Rank::new(clock + value))
    }

    /// Notes that a block lies in another tier.
    pub(crate) fn change_ranked_tier(&mut self, location: &BlockLocation, tier: Tier) {
        if let Some(entry) = self.remove(location) {
            self.insert(location.clone(), Entry { tier, ..entry });
        }
    }

    /// Notes that a block left memory for room, and ages all others against it.
    ///
    /// As long as the disk has room nothing is freed. Were only freed blocks counted, a block that
    /// was once worth much would stay in memory for ever, and all later ones would go to disk.
    pub(crate) fn record_demotion(&mut self, location: &BlockLocation) {
        self.change_ranked_tier(location, Tier::Disk);
        if let Some(entry) = self.entries.get(location).copied() {
            self.advance_clock(location, entry.rank);
        }
    }

    /// Forgets a block that was freed for room, and ages all others against it.
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

    /// Forgets the blocks that `is_known` denies.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&BlockLocation) -> bool) {
        let gone: Vec<BlockLocation> = self
            .entries
            .keys()
            .filter(|location| !is_known(location))
            .cloned()
            .collect();
        gone.iter().for_each(|location| self.remove_block(location));
    }

    /// Returns the blocks of a tier, the one that is worth least first.
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
