//! Allocation of place numbers, which are reused once no directory entry names them.

use super::{Holder, PlaceId};

/// The state of one place number.
#[derive(Debug)]
pub(crate) struct Place {
    /// Holder that the number stands for.
    pub(crate) holder: Holder,
    /// Full sweeps left until the number can be reused; `None` while it is in use.
    pub(crate) sweeps_left: Option<u8>,
    /// Whether entries with this number are ignored until the holder's next listing.
    pub(crate) is_suspect: bool,
}

/// Number of full sweeps after which no entry names a retired place.
///
/// Two are needed because a sweep may have started before the place was retired.
pub(crate) const SWEEPS_TO_FREE: u8 = 2;

/// Allocates place numbers from a range.
#[derive(Debug)]
pub(crate) struct PlaceAllocator {
    first: u16,
    limit: u16,
    /// All numbers ever allocated, in ascending order.
    pub(crate) places: Vec<Place>,
    free: Vec<PlaceId>,
}

impl PlaceAllocator {
    /// Creates an allocator for the numbers from `first` to before `limit`.
    pub(crate) fn new(first: u16, limit: u16) -> Self {
        Self {
            first,
            limit,
            places: Vec::new(),
            free: Vec::new(),
        }
    }

    /// Returns the state of a number.
    pub(crate) fn get(&self, id: PlaceId) -> &Place {
        &self.places[usize::from(id.0 - self.first)]
    }

    /// Returns the state of a number, mutably.
    pub(crate) fn get_mut(&mut self, id: PlaceId) -> &mut Place {
        &mut self.places[usize::from(id.0 - self.first)]
    }

    /// Allocates a number for `place`, or returns `None` if all are in use.
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

    /// Records a full sweep of the directory and returns how many numbers became reusable.
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
