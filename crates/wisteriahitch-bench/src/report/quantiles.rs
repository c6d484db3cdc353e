//! Quantiles of spans of time.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

const GREATEST_US: u64 = 600_000_000;
const DIGITS: u8 = 3;

/// Holds the quantiles of many spans.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Quantiles {
    /// Spans.
    pub count: u64,
    /// Middle one.
    pub p50_ms: f64,
    /// 95 in 100 are not longer.
    pub p95_ms: f64,
    /// 99 in 100 are not longer.
    pub p99_ms: f64,
    /// Mean.
    pub mean_ms: f64,
}

impl Quantiles {
    /// Gathers spans in microseconds; a longer one than ten minutes counts as that long.
    pub fn of(spans_us: impl IntoIterator<Item = u64>) -> Self {
        let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, GREATEST_US, DIGITS) else {
            return Self::default();
        };
        for span_us in spans_us {
            histogram.saturating_record(span_us.clamp(1, GREATEST_US));
        }
        let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            count: histogram.len(),
            p50_ms: at(0.5),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
            mean_ms: histogram.mean() / 1_000.0,
        }
    }
}
