//! The reported state of the store VMs.

use std::collections::BTreeMap;

use serde::Serialize;
use wisteriahitch_types::{ByteCount, DurationUs, StoreId, Tier, TimeUs};

/// How long no space is requested from a tier that was full.
const FULL_BACKOFF_US: DurationUs = DurationUs::from_ms(5_000);

/// The state of one store VM.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct StoreState {
    /// Whether the last call to the store was answered.
    pub is_reachable: bool,
    /// Whether the VM is about to be removed; nothing more is saved to it.
    pub is_leaving: bool,
    /// Free space in memory: the last report less what this daemon has reserved since.
    pub memory_free_bytes: ByteCount,
    /// Free space on disk: the last report less what this daemon has reserved since.
    pub disk_free_bytes: ByteCount,
    /// Time until which memory counts as full.
    pub memory_full_until_us: TimeUs,
    /// Time until which the disk counts as full.
    pub disk_full_until_us: TimeUs,
}

impl StoreState {
    /// Returns the free space in a tier.
    pub fn free_bytes(&self, tier: Tier) -> ByteCount {
        match tier {
            Tier::Memory => self.memory_free_bytes,
            Tier::Disk => self.disk_free_bytes,
        }
    }

    /// Returns whether a tier has `bytes` free and isn't marked as full.
    pub fn has_space(&self, tier: Tier, bytes: ByteCount, now: TimeUs) -> bool {
        let full_until = match tier {
            Tier::Memory => self.memory_full_until_us,
            Tier::Disk => self.disk_full_until_us,
        };
        now >= full_until && self.free_bytes(tier) >= bytes
    }

    fn reserve_space(&mut self, tier: Tier, bytes: ByteCount) {
        let free = self.free_bytes_mut(tier);
        *free = *free - bytes;
    }

    fn release_space(&mut self, tier: Tier, bytes: ByteCount) {
        *self.free_bytes_mut(tier) += bytes;
    }

    fn mark_full(&mut self, tier: Tier, now: TimeUs) {
        *self.free_bytes_mut(tier) = ByteCount::ZERO;
        match tier {
            Tier::Memory => self.memory_full_until_us = now + FULL_BACKOFF_US,
            Tier::Disk => self.disk_full_until_us = now + FULL_BACKOFF_US,
        }
    }

    fn free_bytes_mut(&mut self, tier: Tier) -> &mut ByteCount {
        match tier {
            Tier::Memory => &mut self.memory_free_bytes,
            Tier::Disk => &mut self.disk_free_bytes,
        }
    }
}

/// The state of every store VM that has reported.
#[derive(Clone, Debug, Default)]
pub struct StoreTable {
    stores: BTreeMap<StoreId, StoreState>,
}

impl StoreTable {
    /// Returns a store's state; `None` if it has never reported.
    pub fn get(&self, store: &StoreId) -> Option<&StoreState> {
        self.stores.get(store)
    }

    /// Returns every store that has reported.
    pub fn iter(&self) -> impl Iterator<Item = (&StoreId, &StoreState)> {
        self.stores.iter()
    }

    /// Returns whether the last call to a store was answered.
    pub fn is_reachable(&self, store: &StoreId) -> bool {
        self.get(store).is_some_and(|state| state.is_reachable)
    }

    /// Returns whether a store is reachable and not about to be removed.
    pub fn accepts_saves(&self, store: &StoreId) -> bool {
        self.get(store)
            .is_some_and(|state| state.is_reachable && !state.is_leaving)
    }

    /// Returns whether a store's tier has `bytes` free and isn't marked as full.
    pub fn has_space(&self, store: &StoreId, tier: Tier, bytes: ByteCount, now: TimeUs) -> bool {
        self.get(store)
            .is_some_and(|state| state.has_space(tier, bytes, now))
    }

    pub(crate) fn reserve_space(&mut self, store: &StoreId, tier: Tier, bytes: ByteCount) {
        if let Some(state) = self.stores.get_mut(store) {
            state.reserve_space(tier, bytes);
        }
    }

    pub(crate) fn release_space(&mut self, store: &StoreId, tier: Tier, bytes: ByteCount) {
        if let Some(state) = self.stores.get_mut(store) {
            state.release_space(tier, bytes);
        }
    }

    pub(crate) fn mark_full(&mut self, store: &StoreId, tier: Tier, now: TimeUs) {
        if let Some(state) = self.stores.get_mut(store) {
            state.mark_full(tier, now);
        }
    }

    pub(crate) fn record_report(
        &mut self,
        store: &StoreId,
        memory_free_bytes: ByteCount,
        disk_free_bytes: ByteCount,
        is_leaving: bool,
    ) {
        let state = self.stores.entry(store.clone()).or_default();
        state.is_reachable = true;
        state.is_leaving = is_leaving;
        state.memory_free_bytes = memory_free_bytes;
        state.disk_free_bytes = disk_free_bytes;
    }

    pub(crate) fn mark_unreachable(&mut self, store: &StoreId) {
        if let Some(state) = self.stores.get_mut(store) {
            state.is_reachable = false;
        }
    }
}
