//! Bounds a flow by what has gathered since it last ran.

use serde::Serialize;
use wisteriahitch_types::{DurationUs, TimeUs};

/// Span whose flow may come at once.
const BURST_WINDOW_S: f64 = 2.0;

/// Lets a bounded flow through and allows a burst of two seconds' flow.
///
/// Whatever passes may leave a debt behind, so that one request larger than the burst is let
/// through in time, and not never.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct TokenBucket {
    rate_per_s: f64,
    level: f64,
    filled_at_us: TimeUs,
}

impl TokenBucket {
    /// Builds a full bucket.
    pub(crate) fn new(rate_per_s: f64, now: TimeUs) -> Self {
        let mut bucket = Self {
            rate_per_s,
            level: 0.0,
            filled_at_us: now,
        };
        bucket.level = bucket.capacity();
        bucket
    }

    /// Takes over another rate and keeps the level.
    pub(crate) fn set_rate(&mut self, rate_per_s: f64, now: TimeUs) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.level = self.level.min(self.capacity());
    }

    /// Returns how long to wait until something may pass; zero where it may now.
    pub(crate) fn time_until_available(&mut self, now: TimeUs) -> DurationUs {
        self.refill(now);
        if self.level > 0.0 {
            return DurationUs::ZERO;
        }
        let missing = 1.0_f64.min(self.capacity()) - self.level;
        match self.rate_per_s > 0.0 {
            true => DurationUs::from_secs_f64(missing / self.rate_per_s),
            false => DurationUs::MAX,
        }
    }

    /// Takes what passes.
    pub(crate) fn consume(&mut self, amount: f64) {
        self.level -= amount;
    }

    fn refill(&mut self, now: TimeUs) {
        let refilled = now.since(self.filled_at_us).as_secs_f64() * self.rate_per_s;
        self.level = (self.level + refilled).min(self.capacity());
        self.filled_at_us = self.filled_at_us.max(now);
    }

    fn capacity(&self) -> f64 {
        (self.rate_per_s * BURST_WINDOW_S).max(1.0)
    }
}
