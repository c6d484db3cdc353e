//! Where blocks can lie, as small numbers, so that an entry of the directory stays small.

use std::collections::HashMap;
use std::hash::Hash;

use wisteriahitch_types::{EndpointId, StoreId, Tier};

use super::place_allocator::{Place, PlaceAllocator, SWEEPS_TO_FREE};

/// Names one holder of blocks.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Holder {
    /// An endpoint's accelerator memory.
    Endpoint(EndpointId),
    /// A tier of a store VM.
    Store(StoreId, Tier),
}

/// Stands for one listing of one holder; a new listing has a new number.
///
/// Tiers of store VMs have the low numbers, so that in a sorted list they come first and are
/// found without a look at the endpoints.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct PlaceId(pub(crate) u16);

impl PlaceId {
    /// First number that stands for no place; see [`Holders`](super::Holders).
    pub(crate) const LIMIT: u16 = u16::MAX - 1;
    /// First number that stands for an endpoint.
    const FIRST_ENDPOINT: u16 = 4_096;

    /// Returns whether the place is a tier of a store VM.
    pub(crate) fn is_store(self) -> bool {
        self.0 < Self::FIRST_ENDPOINT
    }
}

/// Gives numbers to the holders.
#[derive(Debug)]
pub(crate) struct Places {
    store_ids: PlaceAllocator,
    endpoint_ids: PlaceAllocator,
    endpoints: HashMap<EndpointId, PlaceId>,
    stores: HashMap<(StoreId, Tier), PlaceId>,
    /// Dead places whose entries may still be in the table.
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
    /// Returns the live number of an endpoint.
    pub(crate) fn endpoint_place(&self, endpoint: &EndpointId) -> Option<PlaceId> {
        self.endpoints.get(endpoint).copied()
    }

    /// Returns the live number of a store's tier.
    pub(crate) fn store_place(&self, store: &StoreId, tier: Tier) -> Option<PlaceId> {
        self.stores.get(&(store.clone(), tier)).copied()
    }

    /// Returns the number of a holder, a new one where it has none, or nothing where all are used.
    pub(crate) fn get_or_add(&mut self, holder: &Holder) -> Option<PlaceId> {
        let known = match holder {
            Holder::Endpoint(endpoint) => self.endpoint_place(endpoint),
            Holder::Store(store, tier) => self.store_place(store, *tier),
        };
        known.or_else(|| self.add(holder))
    }

    /// Gives a holder a new number; what lies under its old one counts no more.
    pub(crate) fn reassign(&mut self, holder: &Holder) -> Option<PlaceId> {
        self.retire(holder);
        self.add(holder)
    }

    /// Takes a holder's number away.
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

    /// Makes a holder's entries count for nothing until they are listed again.
    pub(crate) fn mark_suspect(&mut self, id: PlaceId) {
        self.get_mut(id).is_suspect = true;
    }

    /// Returns whether entries under this number are in use, suspect or not.
    pub(crate) fn is_live(&self, id: PlaceId) -> bool {
        self.get(id).sweeps_left.is_none()
    }

    /// Returns whether entries under this number count.
    pub(crate) fn is_trusted(&self, id: PlaceId) -> bool {
        let place = self.get(id);
        place.sweeps_left.is_none() && !place.is_suspect
    }

    /// Returns the holder that a number stands for.
    pub(crate) fn holder(&self, id: PlaceId) -> &Holder {
        &self.get(id).holder
    }

    /// Returns how many numbers are in use and how many of those are suspect.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let places = self.store_ids.places.iter();
        let places = places.chain(&self.endpoint_ids.places);
        let live = places.filter(|place| place.sweeps_left.is_none());
        let suspect = live.clone().filter(|place| place.is_suspect);
        (live.count(), suspect.count())
    }

    /// Returns whether entries of dead places may be left in the table.
    pub(crate) fn needs_sweep(&self) -> bool {
        self.unfreed_retired > 0
    }

    /// Records that a sweep has passed the whole table.
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
