//! Holders of blocks, represented by small numbers so that directory entries stay small.

use std::collections::HashMap;
use std::hash::Hash;

use wisteriahitch_types::{EndpointId, StoreId, Tier};

use super::place_allocator::{Place, PlaceAllocator, SWEEPS_TO_FREE};

/// A holder of blocks.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Holder {
    /// An endpoint, in its accelerator memory.
    Endpoint(EndpointId),
    /// A tier of a store VM.
    Store(StoreId, Tier),
}

/// Number of one listing of one holder; a new listing gets a new number.
///
/// Store VM tiers have the low numbers, so that they come first in a sorted list and are found
/// without visiting the endpoints.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct PlaceId(pub(crate) u16);

impl PlaceId {
    /// Exclusive upper bound of the place numbers; see [`Holders`](super::Holders).
    pub(crate) const LIMIT: u16 = u16::MAX - 1;
    /// Lowest number of an endpoint.
    const FIRST_ENDPOINT: u16 = 4_096;

    /// Returns whether the place is a tier of a store VM.
    pub(crate) fn is_store(self) -> bool {
        self.0 < Self::FIRST_ENDPOINT
    }
}

/// Assigns place numbers to holders.
#[derive(Debug)]
pub(crate) struct Places {
    store_ids: PlaceAllocator,
    endpoint_ids: PlaceAllocator,
    endpoints: HashMap<EndpointId, PlaceId>,
    stores: HashMap<(StoreId, Tier), PlaceId>,
    /// Number of retired places whose entries may still be in the table.
    unfreed_retired: usize,
}

impl Default for Places {
    fn default() -> Self {
        Self {
            store_ids: PlaceAllocator::new(0, PlaceId::FIRST_ENDPOINT),
            endpoint_ids: PlaceAllocator::new(PlaceId::FIRST_ENDPOINT, PlaceId::LIMIT),
            endpoints: HashMap::new(),
            stores: HashMap::new(),
            unfreed_retired: 0,
        }
    }
}

impl Places {
    /// Returns the number that an endpoint uses now.
    pub(crate) fn endpoint_place(&self, endpoint: &EndpointId) -> Option<PlaceId> {
        self.endpoints.get(endpoint).copied()
    }

    /// Returns the number that a tier of a store VM uses now.
    pub(crate) fn store_place(&self, store: &StoreId, tier: Tier) -> Option<PlaceId> {
        self.stores.get(&(store.clone(), tier)).copied()
    }

    /// Returns the holder's number, allocating one if it has none; `None` if all are in use.
    pub(crate) fn get_or_add(&mut self, holder: &Holder) -> Option<PlaceId> {
        let known = match holder {
            Holder::Endpoint(endpoint) => self.endpoint_place(endpoint),
            Holder::Store(store, tier) => self.store_place(store, *tier),
        };
        known.or_else(|| self.add(holder))
    }

    /// Gives a holder a new number, which invalidates the entries with its old one.
    pub(crate) fn reassign(&mut self, holder: &Holder) -> Option<PlaceId> {
        self.retire(holder);
        self.add(holder)
    }

    /// Retires a holder's number, which invalidates the entries with it.
    pub(crate) fn retire(&mut self, holder: &Holder) {
        let retired = match holder {
            Holder::Endpoint(endpoint) => self.endpoints.remove(endpoint),
            Holder::Store(store, tier) => self.stores.remove(&(store.clone(), *tier)),
        };
        if let Some(id) = retired {
            self.get_mut(id).sweeps_left = Some(SWEEPS_TO_FREE);
            self.unfreed_retired += 1;
        }
    }

    fn add(&mut self, holder: &Holder) -> Option<PlaceId> {
        let place = Place {
            holder: holder.clone(),
            sweeps_left: None,
            is_suspect: false,
        };
        match holder {
            Holder::Endpoint(endpoint) => {
                let id = self.endpoint_ids.allocate(place)?;
                self.endpoints.insert(endpoint.clone(), id);
                Some(id)
            }
            Holder::Store(store, tier) => {
                let id = self.store_ids.allocate(place)?;
                self.stores.insert((store.clone(), *tier), id);
                Some(id)
            }
        }
    }

    /// Ignores a holder's entries until it is listed again.
    pub(crate) fn mark_suspect(&mut self, id: PlaceId) {
        self.get_mut(id).is_suspect = true;
    }

    /// Returns whether the number is in use, suspect or not.
    pub(crate) fn is_live(&self, id: PlaceId) -> bool {
        self.get(id).sweeps_left.is_none()
    }

    /// Returns whether entries with this number are valid: in use and not suspect.
    pub(crate) fn is_trusted(&self, id: PlaceId) -> bool {
        let place = self.get(id);
        place.sweeps_left.is_none() && !place.is_suspect
    }

    /// Returns the holder that a number stands for.
    pub(crate) fn holder(&self, id: PlaceId) -> &Holder {
        &self.get(id).holder
    }

    /// Returns how many numbers are in use, and how many of those are suspect.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let places = self.store_ids.places.iter();
        let places = places.chain(&self.endpoint_ids.places);
        let live = places.filter(|place| place.sweeps_left.is_none());
        let suspect = live.clone().filter(|place| place.is_suspect);
        (live.count(), suspect.count())
    }

    /// Returns whether entries of retired places may remain in the table.
    pub(crate) fn needs_sweep(&self) -> bool {
        self.unfreed_retired > 0
    }

    /// Records a full sweep of the table.
    pub(crate) fn record_full_sweep(&mut self) {
        let freed = self.store_ids.record_full_sweep() + self.endpoint_ids.record_full_sweep();
        self.unfreed_retired -= freed;
    }

    fn get(&self, id: PlaceId) -> &Place {
        match id.is_store() {
            true => self.store_ids.get(id),
            false => self.endpoint_ids.get(id),
        }
    }

    fn get_mut(&mut self, id: PlaceId) -> &mut Place {
        match id.is_store() {
            true => self.store_ids.get_mut(id),
            false => self.endpoint_ids.get_mut(id),
        }
    }
}
