//! Prefix cache of a stand-in engine and the log of its events, published with a delay.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;
use wisteriahitch_types::{BlockKey, ModelName, TokenCount, WeightVersion};
use wisteriahitch_wire::engine::{BlockRef, CacheEvent, CacheEventKind, CacheEvents, CacheListing};

/// One block in the prefix cache.
#[derive(Clone, Debug)]
pub(super) struct CachedBlock {
    pub(super) tokens: TokenCount,
    pub(super) weight_version: WeightVersion,
    /// Model that computed the block; `None` for an imported block.
    pub(super) model: Option<ModelName>,
}

struct Entry {
    block: CachedBlock,
    last_use: u64,
}

/// Cached blocks of prompt prefixes by block key; the least recently used are evicted first.
pub(super) struct PrefixCache {
    entries: HashMap<BlockKey, Entry>,
    keys_by_last_use: BTreeMap<u64, BlockKey>,
    next_use_number: u64,
    used_tokens: TokenCount,
    capacity_tokens: TokenCount,
    events: CacheEventLog,
}

impl PrefixCache {
    pub(super) fn new(
        capacity_tokens: TokenCount,
        incarnation: String,
        publish_delay: Duration,
        max_events: usize,
    ) -> Self {
        Self {
            entries: HashMap::new(),
            keys_by_last_use: BTreeMap::new(),
            next_use_number: 0,
            used_tokens: TokenCount::ZERO,
            capacity_tokens,
            events: CacheEventLog::new(incarnation, publish_delay, max_events),
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

    /// Marks the longest cached prefix of `chain` as just used and returns its number of tokens.
    pub(super) fn use_cached_prefix(
        &mut self,
        chain: &[BlockRef],
        version: &WeightVersion,
    ) -> TokenCount {
        let is_cached = |block: &&BlockRef| {
            self.get(block.key).is_some_and(|cached| {
                cached.weight_version == *version && cached.tokens == block.tokens
            })
        };
        let length = chain.iter().take_while(is_cached).count();
        let cached = &chain[..length];
        // A later block is useless without those before it, so the first block is marked last and
        // evicted last.
        cached.iter().rev().for_each(|block| self.touch(block.key));
        cached.iter().map(|block| block.tokens).sum()
    }

    /// Stores a block and evicts others until it fits.
    ///
    /// Returns whether the block is cached now; one larger than the whole cache never is.
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
            self.evict_least_recently_used();
        }
        self.used_tokens += tokens;
        let last_use = self.next_use_number;
        self.entries.insert(key, Entry { block, last_use });
        self.keys_by_last_use.insert(last_use, key);
        self.next_use_number += 1;
        self.events.add(CacheEventKind::Stored, key);
        true
    }

    /// Evicts the blocks of `version` that become useless when `model` no longer runs on it.
    ///
    /// Imported blocks, whose model is unknown, are evicted too.
    pub(super) fn evict_version(&mut self, model: &ModelName, version: &WeightVersion) {
        let is_stale = |block: &CachedBlock| {
            let is_of_model = block.model.as_ref().is_none_or(|name| name == model);
            is_of_model && block.weight_version == *version
        };
        let stale = self.entries.iter().filter(|(_, e)| is_stale(&e.block));
        let stale: Vec<BlockKey> = stale.map(|(key, _)| *key).collect();
        stale.into_iter().for_each(|key| self.remove(key));
    }

    pub(super) fn events_after(&self, after: u64) -> CacheEvents {
        self.events.published_after(after)
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
            self.keys_by_last_use.remove(&entry.last_use);
            entry.last_use = self.next_use_number;
            self.keys_by_last_use.insert(self.next_use_number, key);
            self.next_use_number += 1;
        }
    }

    fn evict_least_recently_used(&mut self) {
        if let Some((_, key)) = self.keys_by_last_use.first_key_value() {
            self.remove(*key);
        }
    }

    fn remove(&mut self, key: BlockKey) {
        if let Some(entry) = self.entries.remove(&key) {
            self.keys_by_last_use.remove(&entry.last_use);
            self.used_tokens = self.used_tokens - entry.block.tokens;
            self.events.add(CacheEventKind::Evicted, key);
        }
    }
}

/// The most recent cache events, each published once it is `publish_delay` old.
struct CacheEventLog {
    incarnation: String,
    publish_delay: Duration,
    max_events: usize,
    events: VecDeque<(Instant, CacheEvent)>,
    /// Number of the next event; numbers start at 1.
    next: u64,
}

impl CacheEventLog {
    fn new(incarnation: String, publish_delay: Duration, max_events: usize) -> Self {
        Self {
            incarnation,
            publish_delay,
            max_events,
            events: VecDeque::new(),
            next: 1,
        }
    }

    fn add(&mut self, kind: CacheEventKind, key: BlockKey) {
        let number = self.next;
        self.next += 1;
        let event = CacheEvent { number, kind, key };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > self.max_events {
            self.events.pop_front();
        }
    }

    fn published_after(&self, after: u64) -> CacheEvents {
        let now = Instant::now();
        let is_published = |at: Instant| now.duration_since(at) >= self.publish_delay;
        let published = self.events.iter().take_while(|(at, _)| is_published(*at));
        let published: Vec<&CacheEvent> = published.map(|(_, event)| event).collect();
        let first = self.events.front().map_or(self.next, |(_, e)| e.number);
        let published_next = published.last().map_or(first, |event| event.number + 1);
        let requested_next = after.saturating_add(1).min(self.next);
        CacheEvents {
            incarnation: self.incarnation.clone(),
            first,
            next: published_next.max(requested_next),
            events: published
                .into_iter()
                .filter(|event| event.number > after)
                .cloned()
                .collect(),
        }
    }
}
