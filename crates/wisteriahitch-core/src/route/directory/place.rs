//! Where blocks can lie, as small numbers, so that an entry of the directory stays small.

use std::collections::HashMap;
use std::hash::Hash;

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{EndpointId, StoreId};

/// Names where in a store VM a block lies.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Tier {
    /// The VM's memory.
    Memory,
    /// The VM's disk.
    Disk,
}

/// Names one holder of blocks.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Holder {
    /// An endpoint's accelerator memory.
    Endpoint(EndpointId),
    /// A tier of a store VM.
    Store(StoreId, Tier),
}

/// Stands for one listing of one holder; a new listing has a new number.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct PlaceId(pub(crate) u16);

impl PlaceId {
    /// First number that stands for no place; see [`Holders`](super::Holders).
    pub(crate) const LIMIT: u16 = u16::MAX - 1;
}

#[derive(Debug)]
struct Place {
    holder: Holder,
    /// Sweeps that must still pass before the number is free again; nothing while it is in use.
    sweeps_left: Option<u8>,
    is_suspect: bool,
}

/// Gives numbers to the holders.
#[derive(Debug, Default)]
pub(crate) struct Places {
    places: Vec<Place>,
    endpoints: HashMap<EndpointId, PlaceId>,
    stores: HashMap<(StoreId, Tier), PlaceId>,
    free: Vec<PlaceId>,
}

/// Whole passes over the table after which no entry names a dead place any more: one may have
/// begun before the place died.
const SWEEPS_TO_FREE: u8 = 2;

impl Places {
    /// Returns the live number of an endpoint.
    pub(crate) fn endpoint(&self, endpoint: &EndpointId) -> Option<PlaceId> {
        self.endpoints.get(endpoint).copied()
    }

    /// Returns the live number of a store's tier.
    pub(crate) fn store(&self, store: &StoreId, tier: Tier) -> Option<PlaceId> {
        self.stores.get(&(store.clone(), tier)).copied()
    }

    /// Returns the number of a holder, a new one where it has none, or nothing where all are used.
    pub(crate) fn get_or_add(&mut self, holder: &Holder) -> Option<PlaceId> {
        let known = match holder {
            Holder::Endpoint(endpoint) => self.endpoint(endpoint),
            Holder::Store(store, tier) => self.store(store, *tier),
        };
        known.or_else(|| self.add(holder))
    }

    /// Gives a holder a new number; what lies under its old one counts no more.
    pub(crate) fn renew(&mut self, holder: &Holder) -> Option<PlaceId> {
        self.kill(holder);
        self.add(holder)
    }

    /// Takes a holder's number away.
    pub(crate) fn kill(&mut self, holder: &Holder) {
        let dead = match holder {
            Holder::Endpoint(endpoint) => self.endpoints.remove(endpoint),
            Holder::Store(store, tier) => self.stores.remove(&(store.clone(), *tier)),
        };
        if let Some(id) = dead {
            self.places[usize::from(id.0)].sweeps_left = Some(SWEEPS_TO_FREE);
        }
    }

    fn add(&mut self, holder: &Holder) -> Option<PlaceId> {
        let place = Place {
            holder: holder.clone(),
            sweeps_left: None,
            is_suspect: false,
        };
        let id = self.put(place)?;
        match holder {
            Holder::Endpoint(endpoint) => self.endpoints.insert(endpoint.clone(), id),
            Holder::Store(store, tier) => self.stores.insert((store.clone(), *tier), id),
        };
        Some(id)
    }

    fn put(&mut self, place: Place) -> Option<PlaceId> {
        if let Some(id) = self.free.pop() {
            self.places[usize::from(id.0)] = place;
            return Some(id);
        }
        let number = u16::try_from(self.places.len()).ok()?;
        if number >= PlaceId::LIMIT {
            return None;
        }
        self.places.push(place);
        Some(PlaceId(number))
    }

    /// Makes a holder's entries count for nothing until they are listed again.
    pub(crate) fn suspect(&mut self, id: PlaceId) {
        self.places[usize::from(id.0)].is_suspect = true;
    }

    /// Returns whether entries under this number are in use, suspect or not.
    pub(crate) fn is_live(&self, id: PlaceId) -> bool {
        self.places[usize::from(id.0)].sweeps_left.is_none()
    }

    /// Returns whether entries under this number count.
    pub(crate) fn is_trusted(&self, id: PlaceId) -> bool {
        let place = &self.places[usize::from(id.0)];
        place.sweeps_left.is_none() && !place.is_suspect
    }

    /// Returns the holder that a number stands for.
    pub(crate) fn holder(&self, id: PlaceId) -> &Holder {
        &self.places[usize::from(id.0)].holder
    }

    /// Returns how many numbers are in use and how many of those are suspect.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let live = self
            .places
            .iter()
            .filter(|place| place.sweeps_left.is_none());
        let suspect = live.clone().filter(|place| place.is_suspect);
        (live.count(), suspect.count())
    }

    /// Records that a sweep has passed the whole table.
    pub(crate) fn swept(&mut self) {
        for (number, place) in (0..).zip(&mut self.places) {
            match place.sweeps_left {
                Some(0) | None => {}
                Some(1) => {
                    place.sweeps_left = Some(0);
                    self.free.push(PlaceId(number));
                }
                Some(left) => place.sweeps_left = Some(left - 1),
            }
        }
    }
}
