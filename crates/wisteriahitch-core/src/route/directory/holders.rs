//! The holders of one block, in eight bytes.

use super::PlaceId;

/// Number of places that are stored without a list.
const INLINE_CAPACITY: usize = 4;
/// Marks an unused slot.
const EMPTY: u16 = u16::MAX;
/// First slot of holders that are stored in a [`Spill`] list, whose index is in the next two slots.
const SPILLED: u16 = PlaceId::LIMIT;

/// The places that hold one block: up to four inline, more in a [`Spill`] list.
///
/// Most blocks are held by one endpoint and one tier. A list per block would take several times the
/// memory.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Holders([u16; INLINE_CAPACITY]);

/// The sorted place lists of blocks with more than four holders.
#[derive(Debug, Default)]
pub(crate) struct Spill {
    lists: Vec<Vec<u16>>,
    /// Indexes of unused lists.
    free: Vec<u32>,
}

impl Holders {
    /// No places.
    pub(crate) const NONE: Self = Self([EMPTY; INLINE_CAPACITY]);

    /// Iterates over the places that are store VM tiers, without visiting the endpoints of a long
    /// list.
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

    /// Returns the place at `index` modulo the number of places, or `None` if there is none.
    pub(crate) fn get_wrapping(&self, index: usize, spill: &Spill) -> Option<PlaceId> {
        let numbers = self.as_slice(spill);
        let index = index.checked_rem(numbers.len())?;
        numbers.get(index).map(|number| PlaceId(*number))
    }

    /// Returns the number of places.
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

    /// Returns whether there are no places.
    pub(crate) fn is_empty(&self, spill: &Spill) -> bool {
        self.as_slice(spill).is_empty()
    }

    /// Returns whether `place` is included.
    pub(crate) fn contains(&self, place: PlaceId, spill: &Spill) -> bool {
        match self.spill_index() {
            Some(list) => spill.lists[list].binary_search(&place.0).is_ok(),
            None => self.0.contains(&place.0),
        }
    }

    /// Adds a place unless it is included already.
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

    /// Keeps the places for which `keep` returns true.
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

    /// Returns the allocated memory of the lists, in bytes.
    pub(crate) fn allocated_bytes(&self) -> usize {
        let lists: usize = self.lists.iter().map(|list| list.capacity() * 2).sum();
        lists + self.lists.capacity() * size_of::<Vec<u16>>()
    }
}
