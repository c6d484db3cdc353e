//! Numbers for places, which are used again once no entry names them.

use super::{Holder, PlaceId};

/// Holds what is known of one number.
#[derive(Debug)]
pub(crate) struct Place {
    /// Who it stands for.
    pub(crate) holder: Holder,
    /// Sweeps that must still pass before the number is free again; nothing while it is in use.
    pub(crate) sweeps_left: Option<u8>,
    /// Whether entries under it count for nothing until a listing.
    pub(crate) is_suspect: bool,
}

/// Whole passes over the table after which no entry names a dead place any more: one may have
/// begun before the place died.
pub(crate) const SWEEPS_TO_FREE: u8 = 2;

/// Gives numbers from a range.
#[derive(Debug)]
pub(crate) struct PlaceAllocator {
    first: u16,
    limit: u16,
    /// Numbers that were given, in their order.
    pub(crate) places: Vec<Place>,
    free: Vec<PlaceId>,
}

impl PlaceAllocator {
    /// Gives numbers from `first` to before `limit`.
    pub(crate) fn new(first: u16, limit: u16) -> Self {
        Self {
            first,
            limit,
            places: Vec::new(),
            free: Vec::new(),
        }
    }

    /// Returns what a number stands for.
    pub(crate) fn get(&self, id: PlaceId) -> &Place {
        &self.places[usize::from(id.0 - self.first)]
    }

    /// Returns what a number stands for, to change it.
    pub(crate) fn get_mut(&mut self, id: PlaceId) -> &mut Place {
        &mut self.places[usize::from(id.0 - self.first)]
    }

    /// Gives a number, unless all are used.
    pub(crate) fn allocate(&mut self, place: Place) -> Option<PlaceId> {
        if let Some(id) = self.free.pop() {
            *self.get_mut(id) = place;
            return Some(id);
        }
        let used = u16::try_from(self.places.len()).ok()?;
        let number = self.first.checked_add(used)?;
        if number >= self.limit {
            return None;
        }
        self.places.push(place);
        Some(PlaceId(number))
    }

    /// Counts a whole sweep and returns how many places became free by it.
    pub(crate) fn record_full_sweep(&mut self) -> usize {
        let free_before = self.free.len();
        for (number, place) in (self.first..).zip(&mut self.places) {
            match place.sweeps_left {
                Some(0) | None => {}
                Some(1) => {
                    place.sweeps_left = Some(0);
                    self.free.push(PlaceId(number));
                }
                Some(left) => place.sweeps_left = Some(left - 1),
            }
        }
        self.free.len() - free_before
    }
}
