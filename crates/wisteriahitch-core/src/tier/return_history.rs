//! Statistics of when the blocks of a workspace are used again.

use serde::Serialize;
use wisteriahitch_types::DurationUs;

/// Number of buckets for the gaps between uses. Each bucket is twice as long as the one before; the
/// first ends at one second, and the last holds every gap above 48 days.
const GAP_BUCKETS: usize = 24;

/// Number of classes by uses of a block: once, twice, more often.
const USE_CLASSES: usize = 3;

/// Uses and returns assumed in each class at the start, so that a new workspace's blocks are saved
/// until its history shows that they don't return.
const PRIOR_USES: f64 = 8.0;
const PRIOR_RETURNS: f64 = 4.0;

/// Gaps assumed in each bucket at the start.
const PRIOR_GAPS_PER_BUCKET: f64 = 0.25;

/// Number of samples at which all counts are halved, so that recent behaviour outweighs older.
const MAX_SAMPLES: f64 = 20_000.0;

const FIRST_BUCKET_END_US: u64 = 1_000_000;

/// Estimates the probability that a block is used again while a store still keeps it.
///
/// Its size is fixed.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ReturnHistory {
    uses: [f64; USE_CLASSES],
    returns: [f64; USE_CLASSES],
    gaps: [f64; GAP_BUCKETS],
}

impl ReturnHistory {
    /// Records one use of a block that now has `uses` uses.
    pub fn record_use(&mut self, uses: u32) {
        let class = class_of(uses);
        self.uses[class] += 1.0;
        if self.uses[class] > MAX_SAMPLES {
            self.uses[class] /= 2.0;
            self.returns[class] /= 2.0;
        }
    }

    /// Records that a block with `uses` uses was used again after `gap`.
    pub fn record_return(&mut self, uses: u32, gap: DurationUs) {
        self.returns[class_of(uses)] += 1.0;
        self.gaps[bucket_of(gap)] += 1.0;
        if self.gaps.iter().sum::<f64>() > MAX_SAMPLES {
            self.gaps.iter_mut().for_each(|count| *count /= 2.0);
        }
    }

    /// Returns the probability that a block with `uses` uses is used again after more than
    /// `residency`, when the endpoint has evicted it, and within `retention`, while a store still
    /// keeps it.
    pub fn return_probability(
        &self,
        uses: u32,
        residency: DurationUs,
        retention: DurationUs,
    ) -> f64 {
        let class = class_of(uses);
        let return_fraction =
            (self.returns[class] + PRIOR_RETURNS) / (self.uses[class] + PRIOR_USES);
        return_fraction.min(1.0) * self.gap_fraction(residency, retention)
    }

    fn gap_fraction(&self, residency: DurationUs, retention: DurationUs) -> f64 {
        let first = bucket_of(residency);
        let last = bucket_of(retention);
        let total: f64 = self
            .gaps
            .iter()
            .map(|count| count + PRIOR_GAPS_PER_BUCKET)
            .sum();
        let in_range: f64 = self
            .gaps
            .iter()
            .enumerate()
            .filter(|(bucket, _)| (first..=last).contains(bucket))
            .map(|(_, count)| count + PRIOR_GAPS_PER_BUCKET)
            .sum();
        in_range / total
    }
}

fn class_of(uses: u32) -> usize {
    (uses.max(1) as usize - 1).min(USE_CLASSES - 1)
}

fn bucket_of(gap: DurationUs) -> usize {
    let seconds = gap.get() / FIRST_BUCKET_END_US;
    let doublings = u64::BITS - seconds.leading_zeros();
    (doublings as usize).min(GAP_BUCKETS - 1)
}
