//! Estimates of how long calls take.

use std::collections::HashMap;
use std::time::Duration;

use parking_lot::Mutex;
use wisteriahitch_types::{DurationUs, ServiceName};

/// Estimate before the first call has ended, in microseconds: a short answer of an engine with free
/// capacity.
const INITIAL_ESTIMATE_US: f64 = 800_000.0;

/// Weight of the newest call in the moving averages.
const NEWEST_SAMPLE_WEIGHT: f64 = 0.05;

/// Moving averages by service of the time from the arrival of a call to its end.
#[derive(Debug, Default)]
pub(crate) struct CallDurations(Mutex<HashMap<ServiceName, Means>>);

#[derive(Clone, Copy, Debug)]
struct Means {
    /// Average duration of a call, in microseconds.
    call_us: f64,
    /// Average duration in microseconds, in which each call is weighted by the tokens that it
    /// occupied in the engine's memory.
    token_us: f64,
    /// Average number of tokens that a call occupies in the engine's memory.
    tokens: f64,
}

impl Default for Means {
    fn default() -> Self {
        Self {
            call_us: INITIAL_ESTIMATE_US,
            token_us: INITIAL_ESTIMATE_US,
            tokens: 1.0,
        }
    }
}

impl CallDurations {
    /// Records a call that ended successfully and occupied `tokens` tokens of the engine's memory.
    pub(crate) fn record(&self, service: &ServiceName, elapsed: Duration, tokens: u64) {
        let elapsed_us = elapsed.as_micros() as f64;
        let tokens = tokens as f64 + 1.0;
        let mut means = self.0.lock();
        let mean = means.entry(service.clone()).or_default();
        mean.call_us += (elapsed_us - mean.call_us) * NEWEST_SAMPLE_WEIGHT;
        mean.tokens += (tokens - mean.tokens) * NEWEST_SAMPLE_WEIGHT;
        let weight = (NEWEST_SAMPLE_WEIGHT * tokens / mean.tokens).min(1.0);
        mean.token_us += (elapsed_us - mean.token_us) * weight;
    }

    /// Returns how long a call occupies a slot, and how long a token stays in an engine's memory.
    pub(crate) fn estimate(&self, service: &ServiceName) -> (DurationUs, DurationUs) {
        let mean = self.0.lock().get(service).copied().unwrap_or_default();
        let from_us = |us: f64| DurationUs::from_secs_f64(us / 1_000_000.0);
        (from_us(mean.call_us), from_us(mean.token_us))
    }
}
