//! Tracks which prompt parts are stored at the part stores, and decides what to save, fetch and
//! free.
//!
//! A store frees nothing on its own and does not know its readers. Four rules keep readers from
//! fetching incomplete memory: a part counts as stored only after the store has reported it;
//! nothing is fetched on reports older than [`STORE_UPDATE_TTL_US`]; nothing is fetched without a
//! deadline, or under weights that may have been replaced long ago ([`WantedFreshness`]); and the parts
//! of replaced weights are freed only once no engine runs these and every fetch of the parts that any
//! daemon may have requested is past its deadline (`docs/design/platform.md`).
//!
//! [`WantedFreshness`]: super::wanted_weights::WantedFreshness

use std::collections::BTreeMap;
use std::net::SocketAddr;

use wisteriahitch_core::fleet::Rendezvous;
use wisteriahitch_types::{
    AvailabilityZone, ByteCount, DurationUs, ModelName, TimeUs, WeightNumber,
};

use super::endpoint_table::short_name;
use super::gossip_message::{StoreUpdate, StoredPartUpdate};
use super::part_store_row::{STORE_UPDATE_TTL_US, StoreRow, StoredPartEntry};
use super::parts::{PartKey, PartKeyHasher};
use crate::border::{PartChanges, PartListing, StoredPart};
use crate::site::{AllowedZones, EngineSpec, PartStore};

/// Timeout of a fetch, from the sending of its request. An engine discards a fetch that takes
/// longer.
pub(crate) const FETCH_TIMEOUT_US: DurationUs = DurationUs::from_ms(2_000);

/// Time after the last engine replaced its weights after which no fetch for the old ones is in
/// progress.
const FREE_DELAY_US: DurationUs = DurationUs::from_ms(2_000);

/// Time for which a requested save counts as pending. A save that was lost, for example because the
/// store was full, is requested again after that.
const SAVE_TIMEOUT_US: DurationUs = DurationUs::from_ms(3_000);

/// Minimum size of a saved part, in tokens: two blocks of an engine's memory. Short parts stand at
/// the start of prompts, and without them nothing that follows is of use to an engine.
const MIN_SAVED_TOKENS: u64 = 32;

/// Maximum number of newly stored parts that wait to be gossiped; a dropped one is read or saved
/// again.
const MAX_PENDING_UPDATES: usize = 2_000;

/// Bits per byte. Megabits per second are bits per microsecond.
const BITS_PER_BYTE: f64 = 8.0;

/// Factor on the transfer time between availability zones.
pub(super) const OTHER_ZONE_FACTOR: f64 = 2.0;

/// All stores.
#[derive(Debug, Default)]
pub struct PartStores {
    /// Newly stored parts to gossip to other daemons.
    pending_updates: Vec<StoredPartUpdate>,
    rows: BTreeMap<SocketAddr, StoreRow>,
    /// Lowest weights that any engine has, and since when, by model.
    lowest_weights: BTreeMap<ModelName, (WeightNumber, TimeUs)>,
}

/// Store from which a part can be fetched, and the time that takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreFetch {
    /// Address of the store; in estimates for engines, of the engine.
    pub source: SocketAddr,
    /// Estimated time over a link at its nominal rate, in milliseconds.
    pub nominal_ms: f64,
}

/// Parts to free at one store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FreeOrder {
    /// Address of the store.
    pub store: SocketAddr,
    /// Epoch of the store for which the order is valid.
    pub epoch: u64,
    /// Parts to free.
    pub parts: Vec<StoredPart>,
}

impl PartStores {
    /// Sets the configured stores and drops all others. Returns the new ones.
    pub fn configure(&mut self, stores: impl Iterator<Item = PartStore>) -> Vec<SocketAddr> {
        let stores: BTreeMap<SocketAddr, PartStore> =
            stores.map(|store| (store.address, store)).collect();
        self.rows.retain(|address, _| stores.contains_key(address));
        let mut new = Vec::new();
        for (address, spec) in stores {
            match self.rows.get_mut(&address) {
                Some(row) => row.spec = spec,
                None => {
                    self.rows.insert(address, StoreRow::new(spec));
                    new.push(address);
                }
            }
        }
        new
    }

    /// Returns whether the store is still configured.
    pub fn is_configured(&self, store: SocketAddr) -> bool {
        self.rows.contains_key(&store)
    }

    /// Replaces the state of a store with a complete listing.
    pub fn apply_listing(&mut self, store: SocketAddr, listing: PartListing, now: TimeUs) {
        let Some(row) = self.rows.get_mut(&store) else {
            return;
        };
        row.clear();
        row.epoch = listing.epoch;
        row.partial_tokens = listing.partial_tokens;
        for part in listing.parts {
            let key = PartKeyHasher::new(&part.model, &part.scope).key(part.id);
            row.insert_part(key, part.into());
        }
        row.updated_at_us = Some(now);
    }

    /// Applies changes that a store reports. Returns whether they follow on the known state; if
    /// not, the store has started anew or changes are missing, and it must be listed again.
    pub fn apply_changes(&mut self, store: SocketAddr, changes: PartChanges, now: TimeUs) -> bool {
        let Some(row) = self.rows.get_mut(&store) else {
            return true;
        };
        if changes.epoch != row.epoch || changes.has_gap {
            row.clear();
            return false;
        }
        row.store_clock = changes
            .clock_ms
            .map(|clock_ms| (clock_ms, now))
            .or(row.store_clock);
        for event in changes.events {
            let part = event.part;
            let key = PartKeyHasher::new(&part.model, &part.scope).key(part.id);
            match event.is_stored {
                true => {
                    let tokens = part.tokens.get();
                    if row.insert_part(key, part.into()) {
                        self.pending_updates
                            .push(stored_part_update(store, key, tokens));
                    }
                }
                false => row.remove_part(key),
            }
        }
        row.updated_at_us = Some(now);
        true
    }

    /// Clears the state of a store that does not answer. It may be down and come back empty, and a
    /// part that was complete before may then be in the middle of being written again.
    pub fn record_unreachable(&mut self, store: SocketAddr) {
        if let Some(row) = self.rows.get_mut(&store) {
            row.clear();
        }
    }

    /// Applies another daemon's updates on how recent its store reports are. Returns the stores
    /// that it reports and this daemon has no state for.
    ///
    /// A report is never considered more recent than at the daemon that queried the store, since
    /// the age adds up along the way.
    pub fn apply_store_updates(&mut self, updates: &[StoreUpdate], now: TimeUs) -> Vec<SocketAddr> {
        let mut unknown = Vec::new();
        for row in self.rows.values_mut() {
            let name = short_name(&row.spec.address.to_string());
            let Some(update) = updates.iter().find(|update| update.store == name) else {
                continue;
            };
            if update.epoch != row.epoch || row.updated_at_us.is_none() {
                row.clear();
                unknown.push(row.spec.address);
                continue;
            }
            let age_us = u64::from(update.age_ms) * 1_000;
            let reported_at_us = TimeUs::new(now.get().saturating_sub(age_us));
            row.updated_at_us = row.updated_at_us.max(Some(reported_at_us));
            row.store_clock = update
                .clock_ms
                .map(|clock_ms| (clock_ms, now))
                .or(row.store_clock);
        }
        unknown
    }

    /// Clears the state of stores that a daemon which reported them no longer reports.
    pub fn clear_unreported_stores(&mut self, updates: &[StoreUpdate]) {
        for row in self.rows.values_mut() {
            let name = short_name(&row.spec.address.to_string());
            if !updates.iter().any(|update| update.store == name) {
                row.clear();
            }
        }
    }

    /// Applies newly stored parts that another daemon reports.
    pub fn apply_stored_parts(&mut self, updates: &[StoredPartUpdate]) {
        for update in updates {
            let is_match = |row: &&mut StoreRow| {
                short_name(&row.spec.address.to_string()) == update.store
                    && row.updated_at_us.is_some()
            };
            let Some(row) = self.rows.values_mut().find(is_match) else {
                continue;
            };
            let entry = StoredPartEntry {
                tokens: u64::from(update.tokens),
                details: None,
            };
            if row.insert_part(PartKey(update.part), entry) {
                self.pending_updates.push(*update);
            }
        }
    }

    /// Returns how recent the report of each readable store is, to gossip to other daemons.
    pub fn store_updates(&self, now: TimeUs) -> Vec<StoreUpdate> {
        let readable = self.rows.values().filter(|row| row.is_readable(now));
        let updates = readable.filter_map(|row| {
            let age_us = now.since(row.updated_at_us?);
            Some(StoreUpdate {
                store: short_name(&row.spec.address.to_string()),
                epoch: row.epoch,
                age_ms: u32::try_from(age_us.as_ms()).unwrap_or(u32::MAX),
                clock_ms: row
                    .store_clock
                    .map(|(clock_ms, at)| clock_ms + now.since(at).as_ms()),
            })
        });
        updates.collect()
    }

    /// Removes and returns at most `max_count` newly stored parts to gossip; the rest goes into the
    /// next message.
    pub fn take_part_updates(&mut self, max_count: usize) -> Vec<StoredPartUpdate> {
        let count = self.pending_updates.len().min(max_count);
        let overflow = self
            .pending_updates
            .len()
            .saturating_sub(MAX_PENDING_UPDATES);
        self.pending_updates.drain(..overflow);
        let count = count.min(self.pending_updates.len());
        self.pending_updates.drain(..count).collect()
    }

    /// Returns the epoch of a store and the keys and sizes of all its parts, for a daemon that has
    /// no state for the store; `None` if this daemon has none either.
    pub fn stored_parts_at(&self, store: SocketAddr) -> Option<(u64, Vec<(u64, u64)>)> {
        let row = self.rows.get(&store)?;
        row.updated_at_us?;
        let parts = row.stored.iter().map(|(key, entry)| (key.0, entry.tokens));
        Some((row.epoch, parts.collect()))
    }

    /// Replaces the state of a store with the snapshot of another daemon.
    pub fn apply_snapshot(
        &mut self,
        store: SocketAddr,
        epoch: u64,
        parts: &[(u64, u64)],
        now: TimeUs,
    ) {
        let Some(row) = self.rows.get_mut(&store) else {
            return;
        };
        row.clear();
        row.epoch = epoch;
        for (key, tokens) in parts {
            let entry = StoredPartEntry {
                tokens: *tokens,
                details: None,
            };
            row.insert_part(PartKey(*key), entry);
        }
        // Dated so far back that nothing is fetched until the sender's next update says how recent
        // it is.
        row.updated_at_us = Some(TimeUs::new(
            now.get().saturating_sub(STORE_UPDATE_TTL_US.get()),
        ));
    }

    /// Returns the fastest fetch of a part for an engine in `zone`; `None` as well if a fetch could
    /// carry no deadline, since the part may be freed some time after its weights are replaced.
    pub fn fetch(
        &self,
        key: PartKey,
        tokens: u64,
        engine: &EngineSpec,
        zone: &AvailabilityZone,
        now: TimeUs,
    ) -> Option<StoreFetch> {
        self.fetch_deadline_ms(now)?;
        let holders = self
            .rows
            .values()
            .filter(|row| row.is_readable(now) && row.stored.contains_key(&key));
        let fetches = holders.map(|row| {
            let rate = engine.link_mbps.min(row.spec.link_mbps);
            let factor = if row.spec.zone == *zone {
                1.0
            } else {
                OTHER_ZONE_FACTOR
            };
            let first_ms = row.spec.first_byte_delay.as_secs_f64() * 1_000.0;
            StoreFetch {
                source: row.spec.address,
                nominal_ms: first_ms + factor * transfer_ms(tokens, engine.token_bytes, rate),
            }
        });
        fetches.min_by(|a, b| a.nominal_ms.total_cmp(&b.nominal_ms))
    }

    /// Returns the store at which a part is to be saved, and marks the save as pending there.
    /// `None` if the part is too small, is already stored or pending, or if no store has capacity.
    pub fn choose_save_target(
        &mut self,
        key: PartKey,
        tokens: u64,
        allowed_zones: &AllowedZones,
        now: TimeUs,
    ) -> Option<SocketAddr> {
        if tokens < MIN_SAVED_TOKENS {
            return None;
        }
        for row in self.rows.values_mut() {
            row.pending_saves
                .retain(|_, (_, since)| now.since(*since) < SAVE_TIMEOUT_US);
        }
        let is_stored_or_pending =
            |row: &StoreRow| row.stored.contains_key(&key) || row.pending_saves.contains_key(&key);
        if self.rows.values().any(is_stored_or_pending) {
            return None;
        }
        // All daemons choose the same store for equal parts, so that none is saved twice.
        let rank = Rendezvous::new("part", &key.0.to_string());
        let score = |row: &&mut StoreRow| {
            let address = row.spec.address.to_string();
            rank.weighted_score(address.as_bytes(), row.spec.capacity_tokens.as_f64())
        };
        let row = self
            .rows
            .values_mut()
            .filter(|row| allowed_zones.contains(&row.spec.zone))
            .filter(|row| row.spec.is_managed && row.is_readable(now) && row.has_capacity(tokens))
            .min_by(|a, b| score(a).total_cmp(&score(b)))?;
        row.pending_saves.insert(key, (tokens, now));
        Some(row.spec.address)
    }

    /// Returns the deadline of a fetch that is sent now, on the clock that stores and engines
    /// share; `None` if that clock is unknown.
    pub fn fetch_deadline_ms(&self, now: TimeUs) -> Option<u64> {
        Some(self.clock_ms(now)? + FETCH_TIMEOUT_US.as_ms())
    }

    /// Returns the time on the clock that stores and engines share, at the earliest; `None` if it is
    /// unknown.
    pub(crate) fn clock_ms(&self, now: TimeUs) -> Option<u64> {
        let newest = self
            .rows
            .values()
            .filter_map(|row| row.store_clock)
            .max_by_key(|(_, at)| *at);
        newest.map(|(clock_ms, at)| clock_ms + now.since(at).as_ms())
    }

    /// Returns whether one of the addresses is that of a store.
    pub(crate) fn has_any(&self, mut addresses: impl Iterator<Item = SocketAddr>) -> bool {
        addresses.any(|address| self.rows.contains_key(&address))
    }

    /// Returns the age of a store's last report; `None` if the address is no store, or if there is
    /// none.
    pub(crate) fn report_age(&self, store: SocketAddr, now: TimeUs) -> Option<DurationUs> {
        Some(now.since(self.rows.get(&store)?.updated_at_us?))
    }

    /// Returns the lowest weights that any engine has of a model, and since when.
    pub(crate) fn lowest_weights(&self, model: &ModelName) -> Option<(WeightNumber, TimeUs)> {
        self.lowest_weights.get(model).copied()
    }

    /// Records the lowest weights that any engine has of each model.
    pub fn record_lowest_weights(
        &mut self,
        lowest: &BTreeMap<ModelName, WeightNumber>,
        now: TimeUs,
    ) {
        for (model, weights) in lowest {
            let known = self.lowest_weights.get(model).map(|(known, _)| *known);
            if known != Some(*weights) {
                self.lowest_weights.insert(model.clone(), (*weights, now));
            }
        }
    }

    /// Returns the parts that were made under weights which no engine has had for `FREE_DELAY_US`
    /// and which `may_fetch_parts` no longer allows either: an engine that no daemon currently
    /// knows may come back with the weights that it had.
    ///
    /// If such parts were not freed, they would fill the stores after a few weight changes and
    /// nothing more could be saved. The symptom is prompts that are read again although they return
    /// soon.
    pub fn parts_to_free(
        &self,
        weights_of: impl Fn(&str) -> Option<WeightNumber>,
        may_fetch_parts: impl Fn(&ModelName, WeightNumber) -> bool,
        now: TimeUs,
    ) -> Vec<FreeOrder> {
        let is_unused = |part: &StoredPart| {
            let Some((lowest, since)) = self.lowest_weights.get(&part.model) else {
                return false;
            };
            let is_settled = now.since(*since) > FREE_DELAY_US;
            let is_replaced = |made| made < *lowest && !may_fetch_parts(&part.model, made);
            is_settled && weights_of(&part.scope).is_some_and(is_replaced)
        };
        let orders = self
            .rows
            .values()
            .filter(|row| row.is_readable(now))
            .map(|row| FreeOrder {
                store: row.spec.address,
                epoch: row.epoch,
                parts: row
                    .identified_parts()
                    .filter(|part| is_unused(part))
                    .cloned()
                    .collect(),
            });
        orders.filter(|order| !order.parts.is_empty()).collect()
    }

    /// Removes the parts of an order that the store has carried out.
    pub fn remove_freed_parts(&mut self, order: &FreeOrder) {
        let Some(row) = self.rows.get_mut(&order.store) else {
            return;
        };
        for part in &order.parts {
            row.remove_part(PartKeyHasher::new(&part.model, &part.scope).key(part.id));
        }
    }

    /// Returns the number of parts and tokens at each store.
    pub fn snapshot(&self) -> Vec<(SocketAddr, usize, u64)> {
        let rows = self.rows.values();
        rows.map(|row| (row.spec.address, row.stored.len(), row.stored_tokens))
            .collect()
    }
}

fn stored_part_update(store: SocketAddr, key: PartKey, tokens: u64) -> StoredPartUpdate {
    StoredPartUpdate {
        store: short_name(&store.to_string()),
        part: key.0,
        tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
    }
}

/// Returns the time to transfer `tokens` over a link, in milliseconds.
pub(crate) fn transfer_ms(tokens: u64, token_bytes: ByteCount, link_mbps: f64) -> f64 {
    if link_mbps <= 0.0 {
        return f64::INFINITY;
    }
    let bits = tokens as f64 * token_bytes.as_f64() * BITS_PER_BYTE;
    bits / link_mbps / 1_000.0
}
