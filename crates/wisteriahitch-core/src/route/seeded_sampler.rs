//! A small deterministic random number generator for one decision.

/// Increment of the SplitMix64 generator by Steele, Lea and Flood.
const STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// A SplitMix64 generator seeded for one decision, so that policies keep no generator state.
#[derive(Clone, Debug)]
pub(crate) struct SeededSampler(u64);

impl SeededSampler {
    /// Creates a generator from `seed`.
    pub(crate) fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns the next 64 random bits.
    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(STEP);
        let mut bits = self.0;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^ (bits >> 31)
    }

    /// Returns a random number less than `bound`, or zero if `bound` is zero.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        let wide = u128::from(self.next()) * bound as u128;
        (wide >> u64::BITS) as usize
    }
}
