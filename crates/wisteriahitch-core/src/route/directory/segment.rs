//! One part of the directory's table.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

use wisteriahitch_types::BlockKey;

use super::Holders;

/// Parts that the table is cut into.
///
/// A hash table that grows moves all of its entries at once; with one table of 5 million entries
/// the daemon would stand still meanwhile, which would show as a jump in the time of decisions.
pub(crate) const SEGMENTS: usize = 256;

/// Stands for a block key in the table.
///
/// It is half of the key. Two blocks that share it cost a wrong hint and nothing more, because
/// engines and stores go by the whole key.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Fingerprint(u64);

impl Fingerprint {
    /// Returns the fingerprint of a key.
    pub(crate) fn of(key: &BlockKey) -> Self {
        let [a, b, c, d, e, f, g, h, ..] = *key.as_bytes();
        Self(u64::from_le_bytes([a, b, c, d, e, f, g, h]))
    }
}

/// Returns the number of the segment that a key belongs to, from bytes outside the fingerprint.
pub(crate) fn segment_index(key: &BlockKey) -> usize {
    usize::from(key.as_bytes()[15]) % SEGMENTS
}

/// Passes a fingerprint on, since it is part of a hash already.
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

/// Maps fingerprints to holders.
pub(crate) type Segment = HashMap<Fingerprint, Holders, BuildHasherDefault<IdentityHasher>>;
