//! A short run of random numbers that follows from one.

/// Increment of the SplitMix64 generator by Steele, Lea and Flood.
const STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Gives the random numbers of one decision, so that a policy keeps no generator of its own.
#[derive(Clone, Debug)]
pub(crate) struct SeededSampler(u64);

impl SeededSampler {
    /// Begins the run that follows from `seed`.
    pub(crate) fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns the next number.
    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(STEP);
        let mut bits = self.0;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^ (bits >> 31)
    }

    /// Returns a number below `bound`, or zero where that is zero.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        let wide = u128::from(self.next()) * bound as u128;
        (wide >> u64::BITS) as usize
    }
}
