//! What is known of the store VMs themselves.

use std::collections::BTreeMap;

use serde::Serialize;
use wisteriahitch_types::{ByteCount, StoreId};

use super::TierName;

/// Holds the state of one store VM.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct StoreState {
    /// Whether it answered when it was last asked.
    pub is_reachable: bool,
    /// Whether the VM will go away soon; nothing more is saved to it.
    pub is_leaving: bool,
    /// Room left in memory, by its last report less what this daemon reserved since.
    pub memory_free_bytes: ByteCount,
    /// Room left on disk, counted likewise.
    pub disk_free_bytes: ByteCount,
}

impl StoreState {
    /// Returns the room left in a tier.
    pub fn free_bytes(&self, tier: TierName) -> ByteCount {
        match tier {
            TierName::Memory => self.memory_free_bytes,
            TierName::Disk => self.disk_free_bytes,
        }
    }
}

/// Holds the state of every store VM that was seen.
#[derive(Clone, Debug, Default)]
pub struct StoreTable {
    stores: BTreeMap<StoreId, StoreState>,
}

impl StoreTable {
    /// Returns a store's state, if it was seen.
    pub fn get(&self, store: &StoreId) -> Option<&StoreState> {
        self.stores.get(store)
    }

    /// Returns every store that was seen.
    pub fn iter(&self) -> impl Iterator<Item = (&StoreId, &StoreState)> {
        self.stores.iter()
    }

    /// Returns whether a store answered when it was last asked.
    pub fn is_reachable(&self, store: &StoreId) -> bool {
        self.get(store).is_some_and(|state| state.is_reachable)
    }

    pub(crate) fn seen(
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

    pub(crate) fn lost(&mut self, store: &StoreId) {
        if let Some(state) = self.stores.get_mut(store) {
            state.is_reachable = false;
        }
    }
}
