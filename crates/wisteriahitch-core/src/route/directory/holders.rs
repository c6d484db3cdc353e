//! The holders of one block in eight bytes.

use super::PlaceId;

const INLINE_CAPACITY: usize = 4;
const EMPTY: u16 = u16::MAX;
/// Marks that the holders lie in [`Spill`], under the number in the next two slots.
const SPILLED: u16 = PlaceId::LIMIT;

/// Holds up to four places itself and more of them in a [`Spill`].
///
/// Most blocks lie at one endpoint and in one tier, so that a list of its own for each block
/// would take several times the room.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Holders([u16; INLINE_CAPACITY]);

/// Holds the sorted lists of the blocks that lie in more than four places.
#[derive(Debug, Default)]
pub(crate) struct Spill {
    lists: Vec<Vec<u16>>,
    free: Vec<u32>,
}

impl Holders {
    /// Holds no place.
    pub(crate) const NONE: Self = Self([EMPTY; INLINE_CAPACITY]);

    /// Iterates over the tiers of store VMs, without a look at the endpoints of a long list.
    pub(crate) fn store_places<'a>(
        &'a self,
        spill: &'a Spill,
    ) -> impl Iterator<Item = PlaceId> + 'a {
        let numbers = self.as_slice(spill);
        let visited = match self.spill_index() {
            Some(_) => numbers.partition_point(|number| PlaceId(*number).is_store()),
            None => numbers.len(),
        };
        let places = numbers[..visited].iter().map(|number| PlaceId(*number));
        places.filter(|place| place.is_store())
    }

    /// Returns the place at `index`, counted round.
    pub(crate) fn get_wrapping(&self, index: usize, spill: &Spill) -> Option<PlaceId> {
        let numbers = self.as_slice(spill);
        let index = index.checked_rem(numbers.len())?;
        numbers.get(index).map(|number| PlaceId(*number))
    }

    /// Returns how many places there are.
    pub(crate) fn len(&self, spill: &Spill) -> usize {
        self.as_slice(spill).len()
    }

    fn as_slice<'a>(&'a self, spill: &'a Spill) -> &'a [u16] {
        match self.spill_index() {
            Some(list) => &spill.lists[list],
            None => &self.0[..self.inline_len()],
        }
    }

    fn spill_index(&self) -> Option<usize> {
        let [mark, low, high, _] = self.0;
        (mark == SPILLED).then(|| usize::from(low) | usize::from(high) << u16::BITS)
    }

    fn inline_len(&self) -> usize {
        let is_empty = |number: &u16| *number == EMPTY;
        self.0.iter().position(is_empty).unwrap_or(INLINE_CAPACITY)
    }

    /// Returns whether there is no place.
    pub(crate) fn is_empty(&self, spill: &Spill) -> bool {
        self.as_slice(spill).is_empty()
    }

    /// Returns whether a place is among them.
    pub(crate) fn contains(&self, place: PlaceId, spill: &Spill) -> bool {
        match self.spill_index() {
            Some(list) => spill.lists[list].binary_search(&place.0).is_ok(),
            None => self.0.contains(&place.0),
        }
    }

    /// Adds a place, unless it is there.
    pub(crate) fn insert(&mut self, place: PlaceId, spill: &mut Spill) {
        if self.contains(place, spill) {
            return;
        }
        if let Some(list) = self.spill_index() {
            spill.insert_into(list, place.0);
            return;
        }
        let len = self.inline_len();
        if len < INLINE_CAPACITY {
            self.0[len] = place.0;
            return;
        }
        let mut list = self.0.to_vec();
        list.push(place.0);
        list.sort_unstable();
        self.0 = spill.add_list(list);
    }

    /// Keeps only the places for which `keep` holds.
    pub(crate) fn retain(&mut self, keep: impl Fn(PlaceId) -> bool, spill: &mut Spill) {
        let Some(list) = self.spill_index() else {
            let kept = self.0.into_iter().take(self.inline_len());
            *self = Self::inline(kept.filter(|number| keep(PlaceId(*number))));
            return;
        };
        spill.lists[list].retain(|number| keep(PlaceId(*number)));
        if spill.lists[list].len() <= INLINE_CAPACITY {
            let remaining = spill.remove_list(list);
            *self = Self::inline(remaining.into_iter());
        }
    }

    fn inline(numbers: impl Iterator<Item = u16>) -> Self {
        let mut slots = [EMPTY; INLINE_CAPACITY];
        for (slot, number) in slots.iter_mut().zip(numbers) {
            *slot = number;
        }
        Self(slots)
    }
}

impl Spill {
    fn add_list(&mut self, list: Vec<u16>) -> [u16; INLINE_CAPACITY] {
        let index = match self.free.pop() {
            Some(index) => {
                self.lists[index as usize] = list;
                index
            }
            None => {
                self.lists.push(list);
                (self.lists.len() - 1) as u32
            }
        };
        [SPILLED, index as u16, (index >> u16::BITS) as u16, EMPTY]
    }

    fn insert_into(&mut self, index: usize, number: u16) {
        let list = &mut self.lists[index];
        if let Err(position) = list.binary_search(&number) {
            list.insert(position, number);
        }
    }

    fn remove_list(&mut self, index: usize) -> Vec<u16> {
        self.free.push(index as u32);
        std::mem::take(&mut self.lists[index])
    }

    /// Returns the room that the lists take, in bytes.
    pub(crate) fn allocated_bytes(&self) -> usize {
        let lists: usize = self.lists.iter().map(|list| list.capacity() * 2).sum();
        lists + self.lists.capacity() * size_of::<Vec<u16>>()
    }
}
