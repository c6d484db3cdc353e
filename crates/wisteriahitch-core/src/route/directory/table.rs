//! The directory: which endpoint and which store VM tier holds which block.

use serde::Serialize;
use wisteriahitch_types::{BlockKey, EndpointId, StoreId, Tier, TokenCount};

use super::segment::{Fingerprint, SEGMENTS, Segment, segment_index};
use super::{ChainHolders, Holder, Holders, PlaceId, Places, Spill};
use crate::route::PieceChain;

/// Memory of one hash table slot, in bytes: fingerprint, holders and a control byte.
const SLOT_BYTES: usize = size_of::<(Fingerprint, Holders)>() + 1;

/// Maps blocks to the endpoints and store VM tiers that hold them.
///
/// All entries are hints: events arrive late and with gaps, so whoever uses a block checks that it
/// is still there. See `docs/design/routing.md`.
#[derive(Debug)]
pub struct Directory {
    segments: Vec<Segment>,
    spill: Spill,
    places: Places,
    /// Index of the segment that is swept next.
    next_sweep_segment: usize,
}

/// Size of a directory.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct DirectorySnapshot {
    /// Blocks with at least one holder, including retired ones until the next sweep.
    pub blocks: usize,
    /// Number of holders.
    pub holders: usize,
    /// Number of holders whose entries are suspect.
    pub suspect_holders: usize,
    /// Memory of the tables, in bytes.
    pub table_bytes: usize,
}

impl Default for Directory {
    fn default() -> Self {
        Self {
            segments: (0..SEGMENTS).map(|_| Segment::default()).collect(),
            spill: Spill::default(),
            places: Places::default(),
            next_sweep_segment: 0,
        }
    }
}

impl Directory {
    /// Records that an endpoint stored a block.
    pub fn record_stored(&mut self, endpoint: &EndpointId, key: &BlockKey) {
        self.insert_entry(&Holder::Endpoint(endpoint.clone()), key);
    }

    /// Records that an endpoint evicted a block.
    pub fn record_evicted(&mut self, endpoint: &EndpointId, key: &BlockKey) {
        if let Some(place) = self.places.endpoint_place(endpoint) {
            self.remove_entry(place, key);
        }
    }

    /// Replaces all entries of an endpoint by a complete listing, which ends its suspicion.
    pub fn replace_endpoint_listing(&mut self, endpoint: &EndpointId, keys: &[BlockKey]) {
        let holder = Holder::Endpoint(endpoint.clone());
        self.replace_entries(&holder, keys.iter());
    }

    /// Records a gap in an endpoint's events: its entries are ignored until its next listing.
    ///
    /// The lost events may include evictions. Entries that were still trusted would attract
    /// requests to an endpoint that computes everything again, and the recomputed share would
    /// exceed the estimate.
    pub fn mark_event_gap(&mut self, endpoint: &EndpointId) {
        let holder = Holder::Endpoint(endpoint.clone());
        if let Some(place) = self.places.get_or_add(&holder) {
            self.places.mark_suspect(place);
        }
    }

    /// Removes the blocks of an endpoint that was removed or has restarted.
    pub fn remove_endpoint(&mut self, endpoint: &EndpointId) {
        self.places.retire(&Holder::Endpoint(endpoint.clone()));
    }

    /// Records that a block is readable in a tier of a store VM.
    pub fn record_tier_stored(&mut self, store: &StoreId, tier: Tier, key: &BlockKey) {
        self.insert_entry(&Holder::Store(store.clone(), tier), key);
    }

    /// Records that a block is no longer in a tier of a store VM.
    pub fn record_tier_evicted(&mut self, store: &StoreId, tier: Tier, key: &BlockKey) {
        if let Some(place) = self.places.store_place(store, tier) {
            self.remove_entry(place, key);
        }
    }

    /// Replaces all entries of a store VM by a complete listing.
    pub fn replace_store_listing(&mut self, store: &StoreId, blocks: &[(BlockKey, Tier)]) {
        for tier in [Tier::Memory, Tier::Disk] {
            let holder = Holder::Store(store.clone(), tier);
            let in_tier = blocks.iter().filter(|(_, block_tier)| *block_tier == tier);
            self.replace_entries(&holder, in_tier.map(|(key, _)| key));
        }
    }

    /// Removes the blocks of a store VM that failed or came back as another incarnation.
    pub fn remove_store(&mut self, store: &StoreId) {
        for tier in [Tier::Memory, Tier::Disk] {
            self.places.retire(&Holder::Store(store.clone(), tier));
        }
    }

    /// Returns the number of tokens of the longest prefix of `chain` that an endpoint holds.
    pub fn resident_prefix_tokens(&self, endpoint: &EndpointId, chain: &PieceChain) -> TokenCount {
        let holders = self.chain_holders(chain);
        let pieces = match self.places.endpoint_place(endpoint) {
            Some(place) => holders.resident_pieces(place),
            None => 0,
        };
        chain.prefix_tokens(pieces)
    }

    /// Returns for each piece of `chain` a store VM tier that holds it, memory before disk.
    pub fn tier_locations(&self, chain: &PieceChain) -> Vec<Option<(StoreId, Tier)>> {
        let holders = self.chain_holders(chain);
        (0..chain.blocks.len())
            .map(|piece| {
                let best = holders.store_tiers(piece).min_by_key(|(_, tier)| *tier);
                best.map(|(store, tier)| (store.clone(), tier))
            })
            .collect()
    }

    /// Looks up the holders of every piece once, for comparing candidates without further lookups.
    pub(crate) fn chain_holders(&self, chain: &PieceChain) -> ChainHolders<'_> {
        let pieces = chain
            .blocks
            .iter()
            .map(|piece| self.get(&piece.key))
            .collect();
        ChainHolders::new(pieces, &self.spill, &self.places)
    }

    /// Returns the place number of an endpoint, for use with [`Directory::chain_holders`].
    pub(crate) fn place_of(&self, endpoint: &EndpointId) -> Option<PlaceId> {
        self.places.endpoint_place(endpoint)
    }

    /// Removes entries of retired holders from the next `segments` of the 256 segments.
    ///
    /// Does nothing if no holder was retired. Called for a few segments each tick, it frees the
    /// memory of replaced listings without a long pause.
    pub fn sweep(&mut self, segments: usize) {
        for _ in 0..segments.min(SEGMENTS) {
            if self.places.needs_sweep() {
                self.sweep_next_segment();
            }
        }
    }

    fn sweep_next_segment(&mut self) {
        let segment = &mut self.segments[self.next_sweep_segment];
        let (places, spill) = (&self.places, &mut self.spill);
        segment.retain(|_, holders| {
            holders.retain(|place| places.is_live(place), spill);
            !holders.is_empty(spill)
        });
        if segment.len() < segment.capacity() / 4 {
            segment.shrink_to_fit();
        }
        self.next_sweep_segment = (self.next_sweep_segment + 1) % SEGMENTS;
        if self.next_sweep_segment == 0 {
            self.places.record_full_sweep();
        }
    }

    /// Returns the size of the directory.
    pub fn snapshot(&self) -> DirectorySnapshot {
        let (holders, suspect_holders) = self.places.counts();
        let slots: usize = self
            .segments
            .iter()
            .map(|segment| hash_table_slots(segment.capacity()))
            .sum();
        DirectorySnapshot {
            blocks: self.segments.iter().map(Segment::len).sum(),
            holders,
            suspect_holders,
            table_bytes: slots * SLOT_BYTES + self.spill.allocated_bytes(),
        }
    }

    fn get(&self, key: &BlockKey) -> Option<&Holders> {
        self.segments[segment_index(key)].get(&Fingerprint::of(key))
    }

    fn insert_entry(&mut self, holder: &Holder, key: &BlockKey) {
        if let Some(place) = self.places.get_or_add(holder) {
            self.insert_at(place, key);
        }
    }

    fn insert_at(&mut self, place: PlaceId, key: &BlockKey) {
        let segment = &mut self.segments[segment_index(key)];
        let holders = segment.entry(Fingerprint::of(key)).or_insert(Holders::NONE);
        if holders.contains(place, &self.spill) {
            return;
        }
        let places = &self.places;
        holders.retain(|other| places.is_live(other), &mut self.spill);
        holders.insert(place, &mut self.spill);
    }

    fn remove_entry(&mut self, place: PlaceId, key: &BlockKey) {
        let segment = &mut self.segments[segment_index(key)];
        let fingerprint = Fingerprint::of(key);
        let Some(holders) = segment.get_mut(&fingerprint) else {
            return;
        };
        holders.retain(|other| other != place, &mut self.spill);
        if holders.is_empty(&self.spill) {
            segment.remove(&fingerprint);
        }
    }

    fn replace_entries<'a>(&mut self, holder: &Holder, keys: impl Iterator<Item = &'a BlockKey>) {
        let Some(place) = self.places.reassign(holder) else {
            return;
        };
        for key in keys {
            self.insert_at(place, key);
        }
    }
}

/// Returns the number of slots of a hash table for `capacity` entries at a load factor of 7/8.
fn hash_table_slots(capacity: usize) -> usize {
    match capacity {
        0 => 0,
        _ => (capacity * 8 / 7).next_power_of_two(),
    }
}
