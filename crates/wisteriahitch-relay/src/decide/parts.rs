//! Estimates which prompt parts an endpoint has in its cache.

use lru::LruCache;
use serde::{Deserialize, Serialize};
use wisteriahitch_types::{DurationUs, ModelName, TimeUs, WeightNumber, WorkspaceId};
use xxhash_rust::xxh3::Xxh3;

use crate::site::PromptShape;

/// Minimum interval between two gossiped uses of the same part. Under full load, engines retain a
/// part for about two seconds after its last use.
pub(super) const USE_UPDATE_INTERVAL_US: DurationUs = DurationUs::from_ms(1_000);

/// Minimum assumed retention of a part after its last use.
const MIN_RETENTION_US: DurationUs = DurationUs::from_ms(200);

/// Maximum assumed retention, for an engine that is nearly idle. Requests of other daemons are
/// known by their load only, and the longer ago a part was used, the more of them have passed
/// through.
pub(super) const MAX_RETENTION_US: DurationUs = DurationUs::from_ms(20_000);

/// Key of a cached part. It binds the model, the weights, the workspace if that is isolated, and
/// the part.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PartKey(pub u64);

/// Computes the keys of parts of one model under one scope.
#[derive(Clone)]
pub struct PartKeyHasher(Xxh3);

impl PartKeyHasher {
    /// Prepares the hash for parts of `model` that are cached under `scope`.
    pub fn new(model: &ModelName, scope: &str) -> Self {
        let mut state = Xxh3::new();
        state.update(model.as_str().as_bytes());
        state.update(&[0]);
        state.update(scope.as_bytes());
        state.update(&[0]);
        Self(state)
    }

    /// Returns the key of a part.
    pub fn key(&self, part_id: u64) -> PartKey {
        let mut hasher = self.0.clone();
        hasher.update(&part_id.to_le_bytes());
        PartKey(hasher.digest())
    }
}

/// Returns the weights in a cache scope; `None` if [`cache_scope`] did not create it.
pub(crate) fn weights_of_scope(scope: &str) -> Option<WeightNumber> {
    let weights = scope.strip_prefix('w')?.split('.').next()?;
    weights.parse().ok()
}

/// Returns the scope under which engines store and find parts.
///
/// It contains the weights, since engines do not check under which weights a part was made: a part
/// from before a weight change would be used after it, and answers would be subtly wrong. It
/// contains the workspace if that is isolated and shares no cached parts.
pub(crate) fn cache_scope(
    weights: WeightNumber,
    isolated_workspace: Option<&WorkspaceId>,
) -> String {
    match isolated_workspace {
        Some(workspace) => format!("w{weights}.{workspace}"),
        None => format!("w{weights}"),
    }
}

/// Returns the keys of a prompt's parts under `scope`, with their sizes in tokens.
pub(crate) fn part_keys(scope: &str, prompt: &PromptShape) -> Vec<(PartKey, u64)> {
    let hasher = PartKeyHasher::new(&prompt.model, scope);
    let parts = prompt.parts.iter();
    parts
        .map(|part| (hasher.key(part.id), part.tokens.get()))
        .collect()
}

/// Estimates how long an engine retains a part after its last use.
///
/// Load pattern: long prompts, each with a few thousand tokens that no other request shares, so
/// that an engine's whole memory turns over every few seconds. The inflow is the tokens of running
/// requests over the time for which they run; it displaces the least recently used parts in the
/// rest of the memory. If retention is overestimated, a part is neither fetched nor found, but read
/// again.
pub(crate) fn estimated_retention(
    memory_tokens: u64,
    running_tokens: u64,
    duration_us: DurationUs,
) -> DurationUs {
    let unpinned_tokens = memory_tokens.saturating_sub(running_tokens);
    let turnovers = unpinned_tokens as f64 / (running_tokens as f64).max(1.0);
    let retention_us = DurationUs::from_secs_f64((duration_us.as_secs_f64() * turnovers).min(1e6));
    retention_us.clamp(MIN_RETENTION_US, MAX_RETENTION_US)
}

/// Maximum number of parts of one engine, the most recently used ones, in a snapshot for a daemon
/// that has just started. Only engines with much memory have more, and the others are requested
/// less often.
const MAX_SNAPSHOT_PARTS: usize = 100;

/// A part that an engine probably has cached, in a snapshot for a daemon that starts.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CachedPart {
    /// Key of the part.
    pub part: u64,
    /// Size of the part in tokens.
    pub tokens: u64,
    /// Time since its last use, in milliseconds.
    pub age_ms: u64,
}

/// Parts that one engine probably has cached, in a snapshot for a daemon that starts.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EngineMemory {
    /// Short name of the engine's instance.
    pub endpoint: u32,
    /// Parts, most recently used first.
    pub parts: Vec<CachedPart>,
}

/// A part that an endpoint has read or used.
#[derive(Clone, Copy, Debug)]
struct CacheEntry {
    tokens: u64,
    used_at_us: TimeUs,
}

/// Estimates which parts one endpoint has cached, from the requests that were sent to it.
///
/// It is a hint: a wrong estimate costs reading a prompt again, never a wrong answer.
#[derive(Debug)]
pub struct PartCache {
    /// `None` while no part is known. Most endpoints of a large fleet are idle, and even an empty
    /// cache takes some hundred bytes.
    parts: Option<Box<LruCache<PartKey, CacheEntry>>>,
    cached_tokens: u64,
    capacity_tokens: u64,
}

impl PartCache {
    /// Creates an empty estimate for an engine with a memory of `memory_tokens`.
    pub fn new(memory_tokens: u64) -> Self {
        Self {
            parts: None,
            cached_tokens: 0,
            capacity_tokens: memory_tokens,
        }
    }

    /// Returns the number of leading parts of a prompt that were all used since `since`.
    pub fn cached_prefix_len(&self, keys: &[(PartKey, u64)], since: TimeUs) -> usize {
        keys.iter()
            .take_while(|(key, _)| self.used_since(*key, since))
            .count()
    }

    /// Returns whether a part was used since `since`.
    pub fn used_since(&self, key: PartKey, since: TimeUs) -> bool {
        self.entry(key).is_some_and(|part| part.used_at_us >= since)
    }

    /// Returns when a part was last used, if that is known.
    pub fn last_use(&self, key: PartKey) -> Option<TimeUs> {
        self.entry(key).map(|part| part.used_at_us)
    }

    fn entry(&self, key: PartKey) -> Option<&CacheEntry> {
        self.parts.as_ref()?.peek(&key)
    }

    /// Records the use of a part and evicts the least recently used ones beyond the capacity.
    /// Returns whether the use is to be gossiped.
    pub fn record_use(&mut self, key: PartKey, tokens: u64, now: TimeUs) -> bool {
        let part = CacheEntry {
            tokens,
            used_at_us: now,
        };
        let unbounded = || Box::new(LruCache::unbounded());
        let parts = self.parts.get_or_insert_with(unbounded);
        let previous = parts.put(key, part);
        if previous.is_none() {
            self.cached_tokens += tokens;
        }
        while self.cached_tokens > self.capacity_tokens {
            let Some((_, evicted_part)) = parts.pop_lru() else {
                break;
            };
            self.cached_tokens = self.cached_tokens.saturating_sub(evicted_part.tokens);
        }
        previous.is_none_or(|previous| now.since(previous.used_at_us) >= USE_UPDATE_INTERVAL_US)
    }

    /// Records that the engine reported a part as cached. Returns whether that is new.
    pub fn record_reported(&mut self, key: PartKey, tokens: u64, now: TimeUs) -> bool {
        let parts = self.parts.as_mut();
        match parts.and_then(|parts| parts.peek_mut(&key)) {
            Some(part) => {
                part.tokens = tokens;
                false
            }
            None => self.record_use(key, tokens, now),
        }
    }

    /// Records that the engine reported a part as evicted. Returns whether it was known.
    pub fn record_eviction(&mut self, key: PartKey) -> bool {
        let parts = self.parts.as_mut();
        let Some(part) = parts.and_then(|parts| parts.pop(&key)) else {
            return false;
        };
        self.cached_tokens = self.cached_tokens.saturating_sub(part.tokens);
        true
    }

    /// Returns the most recently used parts, newest first.
    pub fn most_recent(&self, now: TimeUs) -> Vec<CachedPart> {
        let parts = self.parts.iter().flat_map(|parts| parts.iter());
        let parts = parts.take(MAX_SNAPSHOT_PARTS);
        let cached = parts.map(|(key, part)| CachedPart {
            part: key.0,
            tokens: part.tokens,
            age_ms: now.since(part.used_at_us).as_ms(),
        });
        cached.collect()
    }

    /// Adds a part from another daemon's snapshot, unless the part is already known here.
    pub fn merge_peer_part(&mut self, cached: &CachedPart, now: TimeUs) {
        let age_us = DurationUs::from_ms(cached.age_ms);
        let used_at_us = TimeUs::new(now.get().saturating_sub(age_us.get()));
        let key = PartKey(cached.part);
        if self.entry(key).is_none() {
            self.record_use(key, cached.tokens, used_at_us);
        }
    }

    /// Removes all parts, as the endpoint does when its weights change.
    pub fn clear(&mut self) {
        self.parts = None;
        self.cached_tokens = 0;
    }

    /// Returns the number of parts that are probably cached.
    pub fn len(&self) -> usize {
        self.parts.as_ref().map_or(0, |parts| parts.len())
    }

    /// Returns whether no part is probably cached.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
