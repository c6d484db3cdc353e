//! The directory: which endpoint and which tier holds which block, as a hint.

use serde::Serialize;
use wisteriahitch_types::{BlockKey, EndpointId, StoreId, Tier, TokenCount};

use super::segment::{Fingerprint, SEGMENTS, Segment, segment_index};
use super::{ChainHolders, Holder, Holders, PlaceId, Places, Spill};
use crate::route::PieceChain;

/// Room that the hash table takes for one slot, in bytes: key, holders and a control byte.
const SLOT_BYTES: usize = size_of::<(Fingerprint, Holders)>() + 1;

/// Says which endpoint and which tier of a store VM holds which block.
///
/// Everything here is a hint: events come late and with gaps, and whoever uses a block checks it
/// again where it lies. See `docs/design/routing.md`.
#[derive(Debug)]
pub struct Directory {
    segments: Vec<Segment>,
    spill: Spill,
    places: Places,
    next_sweep_segment: usize,
}

/// Shows the size of a directory.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct DirectorySnapshot {
    /// Blocks with at least one holder, dead ones included until the next sweep.
    pub blocks: usize,
    /// Holders in use.
    pub holders: usize,
    /// Holders whose entries are suspect.
    pub suspect_holders: usize,
    /// Room that the tables take, in bytes.
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

    /// Replaces everything known of an endpoint by a whole listing, which ends its suspicion.
    pub fn replace_endpoint_listing(&mut self, endpoint: &EndpointId, keys: &[BlockKey]) {
        let holder = Holder::Endpoint(endpoint.clone());
        self.replace_entries(&holder, keys.iter());
    }

    /// Records a gap in an endpoint's events: its entries count no more until it is listed.
    ///
    /// Evictions may be among the lost events. Trusted entries would then draw requests to an
    /// endpoint that computes everything again, which shows as a recomputed share above the
    /// estimate.
    pub fn mark_event_gap(&mut self, endpoint: &EndpointId) {
        let holder = Holder::Endpoint(endpoint.clone());
        if let Some(place) = self.places.get_or_add(&holder) {
            self.places.mark_suspect(place);
        }
    }

    /// Forgets an endpoint's blocks, because it is gone or has started again.
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

    /// Replaces everything known of a store VM by a whole listing.
    pub fn replace_store_listing(&mut self, store: &StoreId, blocks: &[(BlockKey, Tier)]) {
        for tier in [Tier::Memory, Tier::Disk] {
            let holder = Holder::Store(store.clone(), tier);
            let in_tier = blocks.iter().filter(|(_, block_tier)| *block_tier == tier);
            self.replace_entries(&holder, in_tier.map(|(key, _)| key));
        }
    }

    /// Forgets a store VM's blocks, because it died or came back with another incarnation.
    pub fn remove_store(&mut self, store: &StoreId) {
        for tier in [Tier::Memory, Tier::Disk] {
            self.places.retire(&Holder::Store(store.clone(), tier));
        }
    }

    /// Returns the tokens of the longest prefix of `chain` that an endpoint holds whole.
    pub fn resident_prefix_tokens(&self, endpoint: &EndpointId, chain: &PieceChain) -> TokenCount {
        let holders = self.chain_holders(chain);
        let pieces = match self.places.endpoint_place(endpoint) {
            Some(place) => holders.resident_pieces(place),
            None => 0,
        };
        chain.prefix_tokens(pieces)
    }

    /// Returns for each piece of `chain` where a store VM holds it, memory before disk.
    pub fn tier_locations(&self, chain: &PieceChain) -> Vec<Option<(StoreId, Tier)>> {
        let holders = self.chain_holders(chain);
        (0..chain.blocks.len())
            .map(|piece| {
                let best = holders.store_tiers(piece).min_by_key(|(_, tier)| *tier);
                best.map(|(store, tier)| (store.clone(), tier))
            })
            .collect()
    }

    /// Reads the holders of every piece once, so that candidates are compared without the table.
    pub(crate) fn chain_holders(&self, chain: &PieceChain) -> ChainHolders<'_> {
        let pieces = chain
            .blocks
            .iter()
            .map(|piece| self.get(&piece.key))
            .collect();
        ChainHolders::new(pieces, &self.spill, &self.places)
    }

    /// Returns the number of an endpoint in the answers of [`Directory::chain_holders`].
    pub(crate) fn place_of(&self, endpoint: &EndpointId) -> Option<PlaceId> {
        self.places.endpoint_place(endpoint)
    }

    /// Drops entries of dead holders from the next `segments` of 256 parts of the table.
    ///
    /// It does nothing where no holder has died. Called with a few parts each tick, it gives the room of replaced listings back without a
    /// long stop.
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

    /// Shows the size of the directory.
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

/// Returns the slots of a hash table that can hold `capacity` entries at a load of 7/8.
fn hash_table_slots(capacity: usize) -> usize {
    match capacity {
        0 => 0,
        _ => (capacity * 8 / 7).next_power_of_two(),
    }
}
