//! Known state of one store of prompt parts.

use std::collections::HashMap;

use wisteriahitch_types::{DurationUs, TimeUs};

use super::parts::PartKey;
use crate::border::StoredPart;
use crate::site::PartStore;

/// Age of a store's last report after which nothing is fetched from it. Reports are requested
/// continuously and arrive at least twice a second; in a large fleet gossip forwards them over up
/// to three hops of a quarter of a second each. A store that is down is noticed at once by its
/// broken connection; this bound only limits what a daemon does that is cut off.
pub(super) const STORE_UPDATE_TTL_US: DurationUs = DurationUs::from_ms(2_000);

/// Share of a store's capacity that is filled; the store's own accounting rounds each part up to
/// whole blocks.
const MAX_FILL_RATIO: f64 = 0.97;

/// State of one store.
#[derive(Debug)]
pub(super) struct StoreRow {
    pub(super) spec: PartStore,
    pub(super) epoch: u64,
    /// Time of the last report; `None` until the store was listed in its current epoch.
    pub(super) updated_at_us: Option<TimeUs>,
    pub(super) store_clock: Option<(u64, TimeUs)>,
    /// Parts that are stored completely. Their details are unknown if another daemon reported them.
    pub(super) stored: HashMap<PartKey, StoredPartEntry>,
    pub(super) stored_tokens: u64,
    pub(super) partial_tokens: u64,
    pub(super) pending_saves: HashMap<PartKey, (u64, TimeUs)>,
}

impl StoreRow {
    pub(super) fn new(spec: PartStore) -> Self {
        Self {
            spec,
            epoch: 0,
            updated_at_us: None,
            store_clock: None,
            stored: HashMap::new(),
            stored_tokens: 0,
            partial_tokens: 0,
            pending_saves: HashMap::new(),
        }
    }

    pub(super) fn is_readable(&self, now: TimeUs) -> bool {
        self.updated_at_us
            .is_some_and(|at| now.since(at) < STORE_UPDATE_TTL_US)
    }

    pub(super) fn has_capacity(&self, tokens: u64) -> bool {
        let pending_tokens: u64 = self.pending_saves.values().map(|(tokens, _)| tokens).sum();
        let used = self.stored_tokens + self.partial_tokens + pending_tokens + tokens;
        used as f64 <= self.spec.capacity_tokens.as_f64() * MAX_FILL_RATIO
    }

    /// Adds a stored part. Returns whether it is new.
    pub(super) fn insert_part(&mut self, key: PartKey, entry: StoredPartEntry) -> bool {
        self.pending_saves.remove(&key);
        let tokens = entry.tokens;
        let is_new = self.stored.insert(key, entry).is_none();
        if is_new {
            self.stored_tokens += tokens;
        }
        is_new
    }

    pub(super) fn remove_part(&mut self, key: PartKey) {
        if let Some(part) = self.stored.remove(&key) {
            self.stored_tokens = self.stored_tokens.saturating_sub(part.tokens);
        }
    }

    pub(super) fn identified_parts(&self) -> impl Iterator<Item = &StoredPart> {
        self.stored
            .values()
            .filter_map(|entry| entry.details.as_ref())
    }

    pub(super) fn clear(&mut self) {
        self.stored.clear();
        self.pending_saves.clear();
        self.stored_tokens = 0;
        self.partial_tokens = 0;
        self.updated_at_us = None;
    }
}

/// A part that a store has completely.
#[derive(Clone, Debug)]
pub(super) struct StoredPartEntry {
    pub(super) tokens: u64,
    pub(super) details: Option<StoredPart>,
}

impl From<StoredPart> for StoredPartEntry {
    fn from(part: StoredPart) -> Self {
        Self {
            tokens: part.tokens.get(),
            details: Some(part),
        }
    }
}
