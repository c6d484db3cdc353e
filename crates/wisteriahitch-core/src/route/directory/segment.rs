//! Segments of the directory's hash table.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

use wisteriahitch_types::BlockKey;

use super::Holders;

/// Number of segments of the table.
///
/// A hash table that grows moves all its entries at once. With a single table of 5 million entries
/// the daemon would pause meanwhile, and decisions would take much longer.
pub(crate) const SEGMENTS: usize = 256;

/// Shortened block key in the table: half of the key.
///
/// Two blocks with the same fingerprint cause at most a wrong hint, because engines and stores use
/// the whole key.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Fingerprint(u64);

impl Fingerprint {
    /// Returns the fingerprint of a key.
    pub(crate) fn of(key: &BlockKey) -> Self {
        let [a, b, c, d, e, f, g, h, ..] = *key.as_bytes();
        Self(u64::from_le_bytes([a, b, c, d, e, f, g, h]))
    }
}

/// Returns the segment index of a key, taken from a byte outside its fingerprint.
pub(crate) fn segment_index(key: &BlockKey) -> usize {
    usize::from(key.as_bytes()[15]) % SEGMENTS
}

/// Uses a fingerprint as its own hash, since it is part of a hash already.
#[derive(Default)]
pub(crate) struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, number: u64) {
        self.0 = number;
    }
}

/// One segment: maps fingerprints to holders.
pub(crate) type Segment = HashMap<Fingerprint, Holders, BuildHasherDefault<IdentityHasher>>;
