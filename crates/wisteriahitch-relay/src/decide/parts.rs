//! Which parts of prompts an endpoint is believed to have in its memory.

use lru::LruCache;
use wisteriahitch_types::ModelName;
use xxhash_rust::xxh3::Xxh3;

use crate::site::PromptShape;

/// Share of an engine's memory that cached parts are believed to keep; running requests use the
/// rest.
const CACHED_SHARE: f64 = 0.7;

/// Names a cached part with everything that binds it: model, weights, wall and the part itself.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PartKey(pub u64);

/// Makes the keys of parts of one model under one scope.
#[derive(Clone)]
pub struct PartNamer(Xxh3);

impl PartNamer {
    /// Makes keys for parts of `model` that are kept under `scope`.
    pub fn new(model: &ModelName, scope: &str) -> Self {
        let mut base = Xxh3::new();
        base.update(model.as_str().as_bytes());
        base.update(&[0]);
        base.update(scope.as_bytes());
        base.update(&[0]);
        Self(base)
    }

    /// Returns the key of a part.
    pub fn key(&self, part_id: u64) -> PartKey {
        let mut hasher = self.0.clone();
        hasher.update(&part_id.to_le_bytes());
        PartKey(hasher.digest())
    }
}

/// Returns the keys of a prompt's parts under `scope`, with their sizes.
pub(crate) fn part_keys(scope: &str, prompt: &PromptShape) -> Vec<(PartKey, u64)> {
    let namer = PartNamer::new(&prompt.model, scope);
    let parts = prompt.parts.iter();
    parts
        .map(|part| (namer.key(part.id), part.tokens.get()))
        .collect()
}

/// Guesses what one endpoint keeps, from what it was sent.
///
/// It is a hint: a wrong guess costs a prompt that is read again, never a wrong answer.
#[derive(Debug)]
pub struct PartCache {
    parts: LruCache<PartKey, u64>,
    held_tokens: u64,
    room_tokens: u64,
}

impl PartCache {
    /// Starts empty for an engine with so much memory.
    pub fn new(memory_tokens: u64) -> Self {
        Self {
            parts: LruCache::unbounded(),
            held_tokens: 0,
            room_tokens: (memory_tokens as f64 * CACHED_SHARE) as u64,
        }
    }

    /// Returns how many parts at the start of a prompt are there without a gap.
    pub fn held_prefix(&self, keys: &[(PartKey, u64)]) -> usize {
        keys.iter()
            .take_while(|(key, _)| self.parts.contains(key))
            .count()
    }

    /// Notes that a part was used, and returns whether that is new; the least recently used ones
    /// yield to it.
    pub fn used(&mut self, key: PartKey, tokens: u64) -> bool {
        let is_new = self.parts.put(key, tokens).is_none();
        if is_new {
            self.held_tokens += tokens;
        }
        while self.held_tokens > self.room_tokens {
            let Some((_, freed)) = self.parts.pop_lru() else {
                break;
            };
            self.held_tokens = self.held_tokens.saturating_sub(freed);
        }
        is_new
    }

    /// Forgets everything, as the endpoint does when its weights change.
    pub fn clear(&mut self) {
        self.parts.clear();
        self.held_tokens = 0;
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
