//! Which parts of prompts an endpoint is believed to have in its memory.

use lru::LruCache;
use serde::{Deserialize, Serialize};
use wisteriahitch_types::{DurationUs, ModelName, TimeUs, WeightNumber, WorkspaceId};
use xxhash_rust::xxh3::Xxh3;

use crate::site::PromptShape;

/// Time for which a part that was used needn't be told again. Engines under full load keep a part
/// for about two seconds after its last use.
const USE_UPDATE_INTERVAL_US: DurationUs = DurationUs::from_ms(1_000);

/// Shortest time for which an engine is believed to keep what it has just used.
const MIN_RETENTION_US: DurationUs = DurationUs::from_ms(200);

/// Longest time, for an engine that is nearly idle. Other daemons' requests for it are known by
/// their load only, and the longer ago a part was used, the more of them have come and gone.
pub(super) const MAX_RETENTION_US: DurationUs = DurationUs::from_ms(20_000);

/// Names a cached part with everything that binds it: model, weights, wall and the part itself.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PartKey(pub u64);

/// Makes the keys of parts of one model under one scope.
#[derive(Clone)]
pub struct PartKeyHasher(Xxh3);

impl PartKeyHasher {
    /// Makes keys for parts of `model` that are kept under `scope`.
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

/// Returns the weights that a scope was made for; nothing where it isn't one of ours.
pub(crate) fn weights_of_scope(scope: &str) -> Option<WeightNumber> {
    let weights = scope.strip_prefix('w')?.split('.').next()?;
    weights.parse().ok()
}

/// Returns the text under which engines keep and find parts.
///
/// It holds the weights, since engines don't check under which ones a part was made: one that was
/// made before a change of weights would be used after it, and answers would be subtly wrong. It
/// holds the workspace where that shares nothing with others.
pub(crate) fn cache_scope(
    weights: WeightNumber,
    isolated_workspace: Option<&WorkspaceId>,
) -> String {
    match isolated_workspace {
        Some(workspace) => format!("w{weights}.{workspace}"),
        None => format!("w{weights}"),
    }
}

/// Returns the keys of a prompt's parts under `scope`, with their sizes.
pub(crate) fn part_keys(scope: &str, prompt: &PromptShape) -> Vec<(PartKey, u64)> {
    let hasher = PartKeyHasher::new(&prompt.model, scope);
    let parts = prompt.parts.iter();
    parts
        .map(|part| (hasher.key(part.id), part.tokens.get()))
        .collect()
}

/// Returns how long an engine keeps a part after its last use.
///
/// Load pattern: long prompts, each with a few thousand tokens that no other request shares, so
/// that an engine's whole memory is used anew every few seconds. The tokens of running requests,
/// over the time for which they run, are what comes in; the rest of the memory is what it
/// displaces, the least recently used first. Taken for kept any longer, a part is neither fetched
/// nor found, but read again.
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

/// Parts of one engine that a daemon tells another one which has just started: the ones that were used
/// last. More are kept only by engines with much memory, and asked for less.
const MAX_SNAPSHOT_PARTS: usize = 100;

/// A part that an engine is believed to keep, as daemons tell those that start.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CachedPart {
    /// Key of the part.
    pub part: u64,
    /// Size.
    pub tokens: u64,
    /// Time since its last use.
    pub age_ms: u64,
}

/// What one engine is believed to keep, as daemons tell those that start.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EngineMemory {
    /// Short name of the engine's life.
    pub endpoint: u32,
    /// Parts, the one that was used last first.
    pub parts: Vec<CachedPart>,
}

/// A part that an endpoint has read.
#[derive(Clone, Copy, Debug)]
struct CacheEntry {
    tokens: u64,
    used_at_us: TimeUs,
}

/// Guesses what one endpoint keeps, from what it was sent.
///
/// It is a hint: a wrong guess costs a prompt that is read again, never a wrong answer.
#[derive(Debug)]
pub struct PartCache {
    parts: LruCache<PartKey, CacheEntry>,
    cached_tokens: u64,
    capacity_tokens: u64,
}

impl PartCache {
    /// Starts empty for an engine with so much memory.
    pub fn new(memory_tokens: u64) -> Self {
        Self {
            parts: LruCache::unbounded(),
            cached_tokens: 0,
            capacity_tokens: memory_tokens,
        }
    }

    /// Returns how many parts at the start of a prompt were used since `since` without a gap.
    pub fn cached_prefix_len(&self, keys: &[(PartKey, u64)], since: TimeUs) -> usize {
        keys.iter()
            .take_while(|(key, _)| self.used_since(*key, since))
            .count()
    }

    /// Returns whether a part was used since `since`.
    pub fn used_since(&self, key: PartKey, since: TimeUs) -> bool {
        self.parts
            .peek(&key)
            .is_some_and(|part| part.used_at_us >= since)
    }

    /// Notes that a part was used, and returns whether that is news; the least recently used ones
    /// yield to it.
    pub fn record_use(&mut self, key: PartKey, tokens: u64, now: TimeUs) -> bool {
        let part = CacheEntry {
            tokens,
            used_at_us: now,
        };
        let previous = self.parts.put(key, part);
        if previous.is_none() {
            self.cached_tokens += tokens;
        }
        while self.cached_tokens > self.capacity_tokens {
            let Some((_, evicted_part)) = self.parts.pop_lru() else {
                break;
            };
            self.cached_tokens = self.cached_tokens.saturating_sub(evicted_part.tokens);
        }
        previous.is_none_or(|previous| now.since(previous.used_at_us) >= USE_UPDATE_INTERVAL_US)
    }

    /// Notes that the engine says it keeps a part, and returns whether that is news.
    pub fn record_reported(&mut self, key: PartKey, tokens: u64, now: TimeUs) -> bool {
        match self.parts.peek_mut(&key) {
            Some(part) => {
                part.tokens = tokens;
                false
            }
            None => self.record_use(key, tokens, now),
        }
    }

    /// Notes that the engine says it keeps no more of a part, and returns whether that is news.
    pub fn record_eviction(&mut self, key: PartKey) -> bool {
        let Some(part) = self.parts.pop(&key) else {
            return false;
        };
        self.cached_tokens = self.cached_tokens.saturating_sub(part.tokens);
        true
    }

    /// Lists the parts that were used last, the newest first.
    pub fn most_recent(&self, now: TimeUs) -> Vec<CachedPart> {
        let parts = self.parts.iter().take(MAX_SNAPSHOT_PARTS);
        let cached = parts.map(|(key, part)| CachedPart {
            part: key.0,
            tokens: part.tokens,
            age_ms: now.since(part.used_at_us).as_ms(),
        });
        cached.collect()
    }

    /// Takes over what another daemon knows of a part, unless more is known of it here.
    pub fn merge_peer_part(&mut self, cached: &CachedPart, now: TimeUs) {
        let age_us = DurationUs::from_ms(cached.age_ms);
        let used_at_us = TimeUs::new(now.get().saturating_sub(age_us.get()));
        let key = PartKey(cached.part);
        if self.parts.peek(&key).is_none() {
            self.record_use(key, cached.tokens, used_at_us);
        }
    }

    /// Forgets everything, as the endpoint does when its weights change.
    pub fn clear(&mut self) {
        self.parts.clear();
        self.cached_tokens = 0;
    }

    /// Returns how many parts it is believed to keep.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Returns whether it is believed to keep nothing.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }
}
