//! The holders of one prompt's pieces, looked up once per decision.

use wisteriahitch_types::{EndpointId, StoreId, Tier};

use super::{Holder, Holders, PlaceId, Places, Spill};

/// The places that hold each piece of one prompt.
#[derive(Debug)]
pub(crate) struct ChainHolders<'a> {
    /// By piece index; `None` if no place holds the piece.
    pieces: Vec<Option<&'a Holders>>,
    spill: &'a Spill,
    places: &'a Places,
}

impl<'a> ChainHolders<'a> {
    /// Creates it from the holders of each piece.
    pub(crate) fn new(
        pieces: Vec<Option<&'a Holders>>,
        spill: &'a Spill,
        places: &'a Places,
    ) -> Self {
        Self {
            pieces,
            spill,
            places,
        }
    }

    /// Returns the number of leading pieces that a place holds without a gap.
    pub(crate) fn resident_pieces(&self, place: PlaceId) -> usize {
        if !self.places.is_trusted(place) {
            return 0;
        }
        let is_resident = |holders: &&Option<&Holders>| {
            holders.is_some_and(|holders| holders.contains(place, self.spill))
        };
        self.pieces.iter().take_while(is_resident).count()
    }

    /// Iterates over the store VM tiers that hold a piece.
    pub(crate) fn store_tiers(
        &self,
        piece: usize,
    ) -> impl Iterator<Item = (&'a StoreId, Tier)> + '_ {
        let holders = self.pieces.get(piece).copied().flatten();
        let (spill, places) = (self.spill, self.places);
        holders
            .into_iter()
            .flat_map(move |holders| holders.store_places(spill))
            .filter(move |place| places.is_trusted(*place))
            .filter_map(move |place| match places.holder(place) {
                Holder::Store(store, tier) => Some((store, *tier)),
                Holder::Endpoint(_) => None,
            })
    }

    /// Returns up to `max_count` endpoints that hold late pieces, those of the last piece first.
    ///
    /// `rotation` rotates the holders of each piece, so that all holders of a popular prefix are
    /// returned over time. At most twice `max_count` holders of a piece are visited, so that a
    /// prefix which every endpoint holds costs no more than one that a few hold.
    pub(crate) fn endpoints(&self, max_count: usize, rotation: usize) -> Vec<&'a EndpointId> {
        let mut found: Vec<&EndpointId> = Vec::new();
        for holders in self.pieces.iter().rev().flatten() {
            let visited = holders.len(self.spill).min(2 * max_count);
            for step in 0..visited {
                let Some(endpoint) = self.endpoint_at(holders, rotation.wrapping_add(step)) else {
                    continue;
                };
                if found.len() >= max_count {
                    return found;
                }
                if !found.contains(&endpoint) {
                    found.push(endpoint);
                }
            }
        }
        found
    }

    fn endpoint_at(&self, holders: &Holders, index: usize) -> Option<&'a EndpointId> {
        let place = holders.get_wrapping(index, self.spill)?;
        if !self.places.is_trusted(place) {
            return None;
        }
        match self.places.holder(place) {
            Holder::Endpoint(endpoint) => Some(endpoint),
            Holder::Store(..) => None,
        }
    }
}
