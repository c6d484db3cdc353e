//! Prefix cache of a stand-in engine, and the events that tell of it late.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;
use wisteriahitch_types::{BlockKey, ModelName, TokenCount, WeightVersion};
use wisteriahitch_wire::engine::{BlockRef, CacheEvent, CacheEventKind, CacheEvents, CacheListing};

/// Block in the cache.
#[derive(Clone, Debug)]
pub(super) struct CachedBlock {
    pub(super) tokens: TokenCount,
    pub(super) weight_version: WeightVersion,
    /// Model that computed the block, or nothing for one that was imported.
    pub(super) model: Option<ModelName>,
}

struct Entry {
    block: CachedBlock,
    used_number: u64,
}

/// Holds prompt prefixes by block key, the least recently used of which go first.
pub(super) struct PrefixCache {
    entries: HashMap<BlockKey, Entry>,
    by_use: BTreeMap<u64, BlockKey>,
    next_use: u64,
    used_tokens: TokenCount,
    capacity_tokens: TokenCount,
    events: EventLog,
}

impl PrefixCache {
    pub(super) fn new(
        capacity_tokens: TokenCount,
        incarnation: String,
        lag: Duration,
        keep: usize,
    ) -> Self {
        Self {
            entries: HashMap::new(),
            by_use: BTreeMap::new(),
            next_use: 0,
            used_tokens: TokenCount::ZERO,
            capacity_tokens,
            events: EventLog::new(incarnation, lag, keep),
        }
    }

    pub(super) fn used_tokens(&self) -> TokenCount {
        self.used_tokens
    }

    pub(super) fn capacity_tokens(&self) -> TokenCount {
        self.capacity_tokens
    }

    pub(super) fn get(&self, key: BlockKey) -> Option<&CachedBlock> {
        self.entries.get(&key).map(|entry| &entry.block)
    }

    /// Returns the tokens of the longest held start of `chain`, which counts as used now.
    pub(super) fn use_prefix(&mut self, chain: &[BlockRef], version: &WeightVersion) -> TokenCount {
        let is_held = |block: &&BlockRef| {
            self.get(block.key)
                .is_some_and(|held| held.weight_version == *version && held.tokens == block.tokens)
        };
        let length = chain.iter().take_while(is_held).count();
        let held = &chain[..length];
        // The end of a chain is worth nothing without its start, so the start counts as used last.
        held.iter().rev().for_each(|block| self.touch(block.key));
        held.iter().map(|block| block.tokens).sum()
    }

    /// Stores a block, and drops others until there is room.
    ///
    /// Returns whether the block is held now.
    pub(super) fn store(&mut self, key: BlockKey, block: CachedBlock) -> bool {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.block = block;
            self.touch(key);
            return true;
        }
        let tokens = block.tokens;
        if tokens > self.capacity_tokens {
            return false;
        }
        while self.used_tokens + tokens > self.capacity_tokens {
            self.drop_oldest();
        }
        self.used_tokens += tokens;
        let used_number = self.next_use;
        self.entries.insert(key, Entry { block, used_number });
        self.by_use.insert(used_number, key);
        self.next_use += 1;
        self.events.add(CacheEventKind::Stored, key);
        true
    }

    /// Drops the blocks that a swap of `model` away from `version` leaves without use.
    pub(super) fn drop_version(&mut self, model: &ModelName, version: &WeightVersion) {
        let is_stale = |block: &CachedBlock| {
            let is_of_model = block.model.as_ref().is_none_or(|name| name == model);
            is_of_model && block.weight_version == *version
        };
        let stale = self.entries.iter().filter(|(_, e)| is_stale(&e.block));
        let stale: Vec<BlockKey> = stale.map(|(key, _)| *key).collect();
        stale.into_iter().for_each(|key| self.remove(key));
    }

    pub(super) fn events_after(&self, after: u64) -> CacheEvents {
        self.events.get_after(after)
    }

    pub(super) fn listing(&self) -> CacheListing {
        let mut keys: Vec<BlockKey> = self.entries.keys().copied().collect();
        keys.sort_unstable();
        CacheListing {
            incarnation: self.events.incarnation.clone(),
            next: self.events.next,
            keys,
        }
    }

    fn touch(&mut self, key: BlockKey) {
        if let Some(entry) = self.entries.get_mut(&key) {
            self.by_use.remove(&entry.used_number);
            entry.used_number = self.next_use;
            self.by_use.insert(self.next_use, key);
            self.next_use += 1;
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, key)) = self.by_use.first_key_value() {
            self.remove(*key);
        }
    }

    fn remove(&mut self, key: BlockKey) {
        if let Some(entry) = self.entries.remove(&key) {
            self.by_use.remove(&entry.used_number);
            self.used_tokens = self.used_tokens - entry.block.tokens;
            self.events.add(CacheEventKind::Evicted, key);
        }
    }
}

/// Keeps the last events and tells of them late.
struct EventLog {
    incarnation: String,
    lag: Duration,
    keep: usize,
    events: VecDeque<(Instant, CacheEvent)>,
    /// Number of the next event; the first one has the number 1.
    next: u64,
}

impl EventLog {
    fn new(incarnation: String, lag: Duration, keep: usize) -> Self {
        Self {
            incarnation,
            lag,
            keep,
            events: VecDeque::new(),
            next: 1,
        }
    }

    fn add(&mut self, kind: CacheEventKind, key: BlockKey) {
        let number = self.next;
        self.next += 1;
        let event = CacheEvent { number, kind, key };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > self.keep {
            self.events.pop_front();
        }
    }

    fn get_after(&self, after: u64) -> CacheEvents {
        let now = Instant::now();
        let is_told = |at: Instant| now.duration_since(at) >= self.lag;
        let told = self.events.iter().take_while(|(at, _)| is_told(*at));
        let told: Vec<&CacheEvent> = told.map(|(_, event)| event).collect();
        let first = self.events.front().map_or(self.next, |(_, e)| e.number);
        let told_next = told.last().map_or(first, |event| event.number + 1);
        let known_next = after.saturating_add(1).min(self.next);
        CacheEvents {
            incarnation: self.incarnation.clone(),
            first,
            next: told_next.max(known_next),
            events: told
                .into_iter()
                .filter(|event| event.number > after)
                .cloned()
                .collect(),
        }
    }
}
