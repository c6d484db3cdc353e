//! Rendezvous hashing: assigns a subject to one of many candidates without coordination.

use xxhash_rust::xxh3::Xxh3;

const MANTISSA_BITS: u32 = 53;

/// Ranks candidates for a subject by hash. All daemons with the same candidates agree on the
/// ranking, and removing a candidate moves only the subjects that were assigned to it.
///
/// ```
/// use wisteriahitch_core::fleet::Rendezvous;
///
/// let rank = Rendezvous::new("watcher", "colombo-a");
/// let first = rank.first(&["entry-1", "entry-2", "entry-3"], |name| name.as_bytes());
/// assert!(first.is_some());
/// ```
#[derive(Clone)]
pub struct Rendezvous {
    seeded_hasher: Xxh3,
}

impl Rendezvous {
    /// Creates a ranking for `subject`. `purpose` separates the rankings of different uses from
    /// each other.
    pub fn new(purpose: &str, subject: &str) -> Self {
        let mut seeded_hasher = Xxh3::new();
        seeded_hasher.update(purpose.as_bytes());
        seeded_hasher.update(&[0]);
        seeded_hasher.update(subject.as_bytes());
        seeded_hasher.update(&[0]);
        Self { seeded_hasher }
    }

    /// Returns the score of a candidate; the candidate with the highest score is responsible.
    pub fn score(&self, candidate: &[u8]) -> u64 {
        let mut hasher = self.seeded_hasher.clone();
        hasher.update(candidate);
        hasher.digest()
    }

    /// Returns a score under which a candidate of twice the `weight` wins twice as often; the
    /// lowest score wins.
    pub fn weighted_score(&self, candidate: &[u8], weight: f64) -> f64 {
        let mantissa = (self.score(candidate) >> (u64::BITS - MANTISSA_BITS)) as f64;
        let uniform = (mantissa + 0.5) / (1_u64 << MANTISSA_BITS) as f64;
        -uniform.ln() / weight.max(f64::MIN_POSITIVE)
    }

    /// Returns the responsible candidate, or `None` if there are no candidates.
    pub fn first<'a, T>(&self, candidates: &'a [T], name: impl Fn(&T) -> &[u8]) -> Option<&'a T> {
        candidates.iter().max_by_key(|item| self.score(name(item)))
    }

    /// Returns the `count` candidates with the highest scores, best first.
    pub fn top<T: Clone>(
        &self,
        candidates: impl IntoIterator<Item = T>,
        count: usize,
        name: impl Fn(&T) -> Vec<u8>,
    ) -> Vec<T> {
        let scored = candidates
            .into_iter()
            .map(|item| (self.score(&name(&item)), item));
        let mut scored: Vec<(u64, T)> = scored.collect();
        scored.sort_by_key(|(score, _)| std::cmp::Reverse(*score));
        scored
            .into_iter()
            .take(count)
            .map(|(_, item)| item)
            .collect()
    }
}
