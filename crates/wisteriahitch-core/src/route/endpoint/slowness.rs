//! How late an endpoint's first tokens are, compared with their estimates.

use serde::Serialize;
use wisteriahitch_types::DurationUs;

use super::EndpointOptions;

/// Weight of a new sample in the moving means.
const SAMPLE_SMOOTHING: f64 = 0.2;
/// Minimum estimate in microseconds for the ratio, which means little for an estimate near zero.
const MIN_EXPECTED_US: f64 = 1_000.0;

/// Deviation of the times to the first token from their estimates, as a ratio and as a difference.
///
/// Each alone misleads: the ratio is large where the estimate is near zero, as at an idle plain
/// service, and the difference is large where the estimate is large, as for long prompts. An
/// endpoint counts as slow only by both.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Slowness {
    /// Moving mean of the time divided by its estimate.
    pub ratio: f64,
    /// Moving mean of the time minus its estimate, in microseconds.
    pub excess_us: f64,
}

impl Slowness {
    /// Returns the deviation of one time from its estimate.
    pub(crate) fn from_sample(actual: DurationUs, expected: DurationUs) -> Self {
        Self {
            ratio: actual.as_f64() / expected.as_f64().max(MIN_EXPECTED_US),
            excess_us: actual.as_f64() - expected.as_f64(),
        }
    }

    /// Returns the moving means with one more sample.
    pub(crate) fn updated_with(self, sample: Self) -> Self {
        let blend = |mean: f64, sample: f64| mean + SAMPLE_SMOOTHING * (sample - mean);
        Self {
            ratio: blend(self.ratio, sample.ratio),
            excess_us: blend(self.excess_us, sample.excess_us),
        }
    }

    /// Returns whether both measures are far above the `median` of a service.
    pub(crate) fn is_far_above(self, median: Self, options: &EndpointOptions) -> bool {
        let median_excess_us = median.excess_us.max(0.0) * options.slow_factor;
        let allowed_us = median_excess_us + options.slow_margin_us.as_f64();
        self.ratio > median.ratio * options.slow_factor && self.excess_us > allowed_us
    }

    /// Returns the lower median of each measure, or `None` if `values` is empty.
    ///
    /// The lower median makes the slower one of a pair stand out.
    pub(crate) fn median(values: &[Self]) -> Option<Self> {
        Some(Self {
            ratio: lower_median(values.iter().map(|value| value.ratio))?,
            excess_us: lower_median(values.iter().map(|value| value.excess_us))?,
        })
    }
}

fn lower_median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    let middle = values.len().checked_sub(1)? / 2;
    values.get(middle).copied()
}
