//! What the stores of prompt parts keep, what is saved there, and what may be fetched.
//!
//! A store frees nothing on its own and doesn't know who reads. Three rules keep a reader from
//! taking memory that isn't whole: a part counts as kept only once the store has said so; nothing
//! is fetched on news that is older than [`NEWS_LIFE_US`]; and only parts of weights that nobody
//! uses any more are freed, after longer than a fetch may take (`docs/design/platform.md`).

use std::collections::BTreeMap;
use std::net::SocketAddr;

use wisteriahitch_core::fleet::Rendezvous;
use wisteriahitch_types::{
    AvailabilityZone, ByteCount, DurationUs, ModelName, TimeUs, WeightNumber,
};

use super::endpoint_table::short_name;
use super::gossip_message::{KeptPartUpdate, StoreUpdate};
use super::part_store_row::{Kept, NEWS_LIFE_US, StoreRow};
use super::parts::{PartKey, PartNamer};
use crate::border::{KeptPart, PartChanges, PartListing};
use crate::site::{AllowedZones, EngineSpec, PartStore};

/// Longest time for a fetch from the sending of its request. A fetch that takes longer is thrown
/// away by the engine.
pub(crate) const FETCH_TIMEOUT_US: DurationUs = DurationUs::from_ms(2_000);

/// Time after which weights that every engine has replaced are certainly no longer fetched for.
const FREE_AFTER_US: DurationUs = DurationUs::from_ms(2_000);

/// Time for which a save that was asked for is taken to be on its way. One that was lost, as for
/// want of room, is asked for again after that.
const SAVE_PENDING_US: DurationUs = DurationUs::from_ms(3_000);

/// Smallest part that is saved: two blocks of an engine's memory. Short parts stand at the start of
/// prompts, and without them nothing that follows is of use to an engine.
const MIN_SAVED_TOKENS: u64 = 32;

/// Most parts that wait to be told; one that is never told is read again or asked for again.
const MAX_WAITING_NEWS: usize = 2_000;

/// Bits in a byte, over the microseconds in a millisecond: megabits a second are bits a
/// microsecond.
const BITS_PER_BYTE: f64 = 8.0;

/// Factor on a transfer between availability zones.
pub(super) const OTHER_ZONE_FACTOR: f64 = 2.0;

/// All stores.
#[derive(Debug, Default)]
pub struct PartStores {
    /// Parts to tell other daemons of.
    news: Vec<KeptPartUpdate>,
    rows: BTreeMap<SocketAddr, StoreRow>,
    /// Since when no engine has weights below these, by model.
    lowest_weights: BTreeMap<ModelName, (WeightNumber, TimeUs)>,
}

/// Where a part can be fetched, and how long that takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fetch {
    /// Store.
    pub from: SocketAddr,
    /// Estimated time.
    pub took_ms: f64,
}

/// Parts to free at one store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FreeOrder {
    /// Store.
    pub store: SocketAddr,
    /// Life of the store that the order is for.
    pub epoch: u64,
    /// Parts.
    pub parts: Vec<KeptPart>,
}

impl PartStores {
    /// Takes over which stores there are, and returns those that are new.
    pub fn configured(&mut self, stores: impl Iterator<Item = PartStore>) -> Vec<SocketAddr> {
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

    /// Returns whether the store is still one of the site's.
    pub fn is_configured(&self, store: SocketAddr) -> bool {
        self.rows.contains_key(&store)
    }

    /// Takes over everything that a store keeps.
    pub fn listed(&mut self, store: SocketAddr, listing: PartListing, now: TimeUs) {
        let Some(row) = self.rows.get_mut(&store) else {
            return;
        };
        row.clear();
        row.epoch = listing.epoch;
        row.partial_tokens = listing.partial_tokens;
        for part in listing.parts {
            let key = PartNamer::new(&part.model, &part.scope).key(part.id);
            row.keep(key, part.into());
        }
        row.news_at_us = Some(now);
    }

    /// Takes changes over, and returns whether they follow on what is known. Otherwise the store
    /// must be listed: it has started anew, or changes are missing.
    pub fn changed(&mut self, store: SocketAddr, changes: PartChanges, now: TimeUs) -> bool {
        let Some(row) = self.rows.get_mut(&store) else {
            return true;
        };
        if changes.epoch != row.epoch || changes.has_gap {
            row.clear();
            return false;
        }
        row.clock = changes
            .clock_ms
            .map(|clock_ms| (clock_ms, now))
            .or(row.clock);
        for event in changes.events {
            let part = event.part;
            let key = PartNamer::new(&part.model, &part.scope).key(part.id);
            match event.is_kept {
                true => {
                    let tokens = part.tokens.get();
                    if row.keep(key, part.into()) {
                        self.news.push(kept_updates(store, key, tokens));
                    }
                }
                false => row.forget(key),
            }
        }
        row.news_at_us = Some(now);
        true
    }

    /// Notes that a store doesn't answer. It may be down and come back empty, and somebody may
    /// then be writing a part that was whole before.
    pub fn lost(&mut self, store: SocketAddr) {
        if let Some(row) = self.rows.get_mut(&store) {
            row.clear();
        }
    }

    /// Takes over how fresh another daemon's news of the stores is, and returns those of which it
    /// tells and nothing is known here.
    ///
    /// Nobody's news is fresher than that of the one who asked the store: the age adds up on its way.
    pub fn told(&mut self, news: &[StoreUpdate], now: TimeUs) -> Vec<SocketAddr> {
        let mut unknown = Vec::new();
        for row in self.rows.values_mut() {
            let name = short_name(&row.spec.address.to_string());
            let Some(told) = news.iter().find(|told| told.store == name) else {
                continue;
            };
            if told.epoch != row.epoch || row.news_at_us.is_none() {
                row.clear();
                unknown.push(row.spec.address);
                continue;
            }
            let age_us = u64::from(told.age_ms) * 1_000;
            let made_at_us = TimeUs::new(now.get().saturating_sub(age_us));
            row.news_at_us = row.news_at_us.max(Some(made_at_us));
            row.clock = told.clock_ms.map(|clock_ms| (clock_ms, now)).or(row.clock);
        }
        unknown
    }

    /// Clears what is known of stores that a daemon which told of them no longer tells of.
    pub fn forget_unreported(&mut self, news: &[StoreUpdate]) {
        for row in self.rows.values_mut() {
            let name = short_name(&row.spec.address.to_string());
            if !news.iter().any(|told| told.store == name) {
                row.clear();
            }
        }
    }

    /// Notes parts that another daemon tells of.
    pub fn apply_kept_parts(&mut self, news: &[KeptPartUpdate]) {
        for told in news {
            let is_it = |row: &&mut StoreRow| {
                short_name(&row.spec.address.to_string()) == told.store && row.news_at_us.is_some()
            };
            let Some(row) = self.rows.values_mut().find(is_it) else {
                continue;
            };
            let kept = Kept {
                tokens: u64::from(told.tokens),
                name: None,
            };
            if row.keep(PartKey(told.part), kept) {
                self.news.push(*told);
            }
        }
    }

    /// Returns how fresh the news of each store is, for other daemons.
    pub fn store_updates(&self, now: TimeUs) -> Vec<StoreUpdate> {
        let readable = self.rows.values().filter(|row| row.is_readable(now));
        let news = readable.filter_map(|row| {
            let age_us = now.since(row.news_at_us?);
            Some(StoreUpdate {
                store: short_name(&row.spec.address.to_string()),
                epoch: row.epoch,
                age_ms: u32::try_from(age_us.as_ms()).unwrap_or(u32::MAX),
                clock_ms: row
                    .clock
                    .map(|(clock_ms, at)| clock_ms + now.since(at).as_ms()),
            })
        });
        news.collect()
    }

    /// Takes at most `most` parts to tell other daemons of; the rest goes with the next message.
    pub fn take_updates(&mut self, most: usize) -> Vec<KeptPartUpdate> {
        let count = self.news.len().min(most);
        let overflow = self.news.len().saturating_sub(MAX_WAITING_NEWS);
        self.news.drain(..overflow);
        let count = count.min(self.news.len());
        self.news.drain(..count).collect()
    }

    /// Returns everything that is kept at one store, for a daemon that has just heard of it.
    pub fn kept_at(&self, store: SocketAddr) -> Option<(u64, Vec<(u64, u64)>)> {
        let row = self.rows.get(&store)?;
        row.news_at_us?;
        let kept = row.kept.iter().map(|(key, kept)| (key.0, kept.tokens));
        Some((row.epoch, kept.collect()))
    }

    /// Takes over everything that is kept at one store, as another daemon told it.
    pub fn apply_snapshot(
        &mut self,
        store: SocketAddr,
        epoch: u64,
        kept: &[(u64, u64)],
        now: TimeUs,
    ) {
        let Some(row) = self.rows.get_mut(&store) else {
            return;
        };
        row.clear();
        row.epoch = epoch;
        for (key, tokens) in kept {
            let kept = Kept {
                tokens: *tokens,
                name: None,
            };
            row.keep(PartKey(*key), kept);
        }
        // Old enough that nothing is fetched until the teller's next news says how fresh it is.
        row.news_at_us = Some(TimeUs::new(now.get().saturating_sub(NEWS_LIFE_US.get())));
    }

    /// Returns the quickest fetch of a part for an engine in `zone`.
    pub fn fetch(
        &self,
        key: PartKey,
        tokens: u64,
        engine: &EngineSpec,
        zone: &AvailabilityZone,
        now: TimeUs,
    ) -> Option<Fetch> {
        let holders = self
            .rows
            .values()
            .filter(|row| row.is_readable(now) && row.kept.contains_key(&key));
        let fetches = holders.map(|row| {
            let rate = engine.link_mbps.min(row.spec.link_mbps);
            let factor = if row.spec.zone == *zone {
                1.0
            } else {
                OTHER_ZONE_FACTOR
            };
            let first_ms = row.spec.first_byte_delay.as_secs_f64() * 1_000.0;
            Fetch {
                from: row.spec.address,
                took_ms: first_ms + factor * transfer_ms(tokens, engine.token_bytes, rate),
            }
        });
        fetches.min_by(|a, b| a.took_ms.total_cmp(&b.took_ms))
    }

    /// Returns the store that is to keep a part, and takes it to be on its way there; nothing where
    /// a store keeps it already, or where none has room.
    pub fn save(
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
            row.pending
                .retain(|_, (_, since)| now.since(*since) < SAVE_PENDING_US);
        }
        let is_there =
            |row: &StoreRow| row.kept.contains_key(&key) || row.pending.contains_key(&key);
        if self.rows.values().any(is_there) {
            return None;
        }
        // Equal parts go to the same store whichever daemon asks, so that none is saved twice.
        let rank = Rendezvous::new("part", &key.0.to_string());
        let score = |row: &&mut StoreRow| {
            let address = row.spec.address.to_string();
            rank.weighted_score(address.as_bytes(), row.spec.capacity_tokens.as_f64())
        };
        let row = self
            .rows
            .values_mut()
            .filter(|row| allowed_zones.contains(&row.spec.zone))
            .filter(|row| row.spec.is_managed && row.is_readable(now) && row.has_room(tokens))
            .min_by(|a, b| score(a).total_cmp(&score(b)))?;
        row.pending.insert(key, (tokens, now));
        Some(row.spec.address)
    }

    /// Returns when a fetch that is sent now must have ended, on the clock of stores and engines.
    pub fn fetch_until_ms(&self, now: TimeUs) -> Option<u64> {
        let newest = self
            .rows
            .values()
            .filter_map(|row| row.clock)
            .max_by_key(|(_, at)| *at);
        newest.map(|(clock_ms, at)| clock_ms + (now.since(at) + FETCH_TIMEOUT_US).as_ms())
    }

    /// Notes the lowest weights that any engine has of each model.
    pub fn saw_lowest_weights(&mut self, lowest: &BTreeMap<ModelName, WeightNumber>, now: TimeUs) {
        for (model, weights) in lowest {
            let known = self.lowest_weights.get(model).map(|(known, _)| *known);
            if known != Some(*weights) {
                self.lowest_weights.insert(model.clone(), (*weights, now));
            }
        }
    }

    /// Returns parts that were made under weights which no engine has had for a while, and which
    /// `may_be_fetched` no longer allows either: an engine that is known to nobody for the moment
    /// may come back with the weights that it had.
    ///
    /// Left there, they would fill the stores after a few changes of weights, and nothing would be
    /// kept any more; one would notice by prompts that are read again although they return soon.
    pub fn to_free(
        &self,
        weights_of: impl Fn(&str) -> Option<WeightNumber>,
        may_be_fetched: impl Fn(&ModelName, WeightNumber) -> bool,
        now: TimeUs,
    ) -> Vec<FreeOrder> {
        let is_unused = |part: &KeptPart| {
            let Some((lowest, since)) = self.lowest_weights.get(&part.model) else {
                return false;
            };
            let is_settled = now.since(*since) > FREE_AFTER_US;
            let is_over = |made| made < *lowest && !may_be_fetched(&part.model, made);
            is_settled && weights_of(&part.scope).is_some_and(is_over)
        };
        let orders = self
            .rows
            .values()
            .filter(|row| row.is_readable(now))
            .map(|row| FreeOrder {
                store: row.spec.address,
                epoch: row.epoch,
                parts: row
                    .named()
                    .filter(|part| is_unused(part))
                    .cloned()
                    .collect(),
            });
        orders.filter(|order| !order.parts.is_empty()).collect()
    }

    /// Forgets parts that were freed.
    pub fn freed(&mut self, order: &FreeOrder) {
        let Some(row) = self.rows.get_mut(&order.store) else {
            return;
        };
        for part in &order.parts {
            row.forget(PartNamer::new(&part.model, &part.scope).key(part.id));
        }
    }

    /// Shows how many parts and tokens each store keeps.
    pub fn snapshot(&self) -> Vec<(SocketAddr, usize, u64)> {
        let rows = self.rows.values();
        rows.map(|row| (row.spec.address, row.kept.len(), row.kept_tokens))
            .collect()
    }
}

fn kept_updates(store: SocketAddr, key: PartKey, tokens: u64) -> KeptPartUpdate {
    KeptPartUpdate {
        store: short_name(&store.to_string()),
        part: key.0,
        tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
    }
}

/// Returns how long so many tokens take over a link, in milliseconds.
pub(crate) fn transfer_ms(tokens: u64, token_bytes: ByteCount, link_mbps: f64) -> f64 {
    if link_mbps <= 0.0 {
        return f64::INFINITY;
    }
    let bits = tokens as f64 * token_bytes.as_f64() * BITS_PER_BYTE;
    bits / link_mbps / 1_000.0
}
