//! What is known of one store of prompt parts.

use std::collections::HashMap;

use wisteriahitch_types::{DurationUs, TimeUs};

use super::parts::PartKey;
use crate::border::KeptPart;
use crate::site::PartStore;

/// Age of a store's news after which nothing is fetched from it. Its news is asked for without a
/// pause and comes at least twice a second; in a large fleet it is told on over up to three steps
/// of a quarter of a second. A store that is down is noticed at once by its broken connection; the
/// age only bounds what a daemon does that is cut off.
pub(super) const NEWS_LIFE_US: DurationUs = DurationUs::from_ms(2_000);

/// Share of a store's room that is filled; its own accounting rounds each part up to whole blocks.
const FILLED_SHARE: f64 = 0.97;

/// One store.
#[derive(Debug)]
pub(super) struct StoreRow {
    pub(super) spec: PartStore,
    pub(super) epoch: u64,
    /// Nothing until the store was listed in this life.
    pub(super) news_at_us: Option<TimeUs>,
    pub(super) clock: Option<(u64, TimeUs)>,
    /// Parts that are whole there; without their names where another daemon told of them.
    pub(super) kept: HashMap<PartKey, Kept>,
    pub(super) kept_tokens: u64,
    pub(super) partial_tokens: u64,
    pub(super) pending: HashMap<PartKey, (u64, TimeUs)>,
}

impl StoreRow {
    pub(super) fn new(spec: PartStore) -> Self {
        Self {
            spec,
            epoch: 0,
            news_at_us: None,
            clock: None,
            kept: HashMap::new(),
            kept_tokens: 0,
            partial_tokens: 0,
            pending: HashMap::new(),
        }
    }

    pub(super) fn is_readable(&self, now: TimeUs) -> bool {
        self.news_at_us
            .is_some_and(|at| now.since(at) < NEWS_LIFE_US)
    }

    pub(super) fn has_room(&self, tokens: u64) -> bool {
        let pending: u64 = self.pending.values().map(|(tokens, _)| tokens).sum();
        let used = self.kept_tokens + self.partial_tokens + pending + tokens;
        used as f64 <= self.spec.capacity_tokens.as_f64() * FILLED_SHARE
    }

    /// Notes a part, and returns whether it is new.
    pub(super) fn keep(&mut self, key: PartKey, kept: Kept) -> bool {
        self.pending.remove(&key);
        let tokens = kept.tokens;
        let is_new = self.kept.insert(key, kept).is_none();
        if is_new {
            self.kept_tokens += tokens;
        }
        is_new
    }

    pub(super) fn forget(&mut self, key: PartKey) {
        if let Some(part) = self.kept.remove(&key) {
            self.kept_tokens = self.kept_tokens.saturating_sub(part.tokens);
        }
    }

    pub(super) fn named(&self) -> impl Iterator<Item = &KeptPart> {
        self.kept.values().filter_map(|kept| kept.name.as_ref())
    }

    pub(super) fn clear(&mut self) {
        self.kept.clear();
        self.pending.clear();
        self.kept_tokens = 0;
        self.partial_tokens = 0;
        self.news_at_us = None;
    }
}

/// One part that a store keeps.
#[derive(Clone, Debug)]
pub(super) struct Kept {
    pub(super) tokens: u64,
    pub(super) name: Option<KeptPart>,
}

impl From<KeptPart> for Kept {
    fn from(part: KeptPart) -> Self {
        Self {
            tokens: part.tokens.get(),
            name: Some(part),
        }
    }
}
