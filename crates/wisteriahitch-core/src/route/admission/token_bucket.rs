//! Token bucket with a debt.

use serde::Serialize;
use wisteriahitch_types::{DurationUs, TimeUs};

/// Burst capacity, in seconds of the rate.
const BURST_WINDOW_S: f64 = 2.0;

/// A token bucket that allows a burst of two seconds of its rate.
///
/// The level may fall below zero, so that a request larger than the burst passes eventually instead
/// of never.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct TokenBucket {
    /// Amount that is added per second.
    rate_per_s: f64,
    /// Amount that may pass now; negative while there is a debt.
    level: f64,
    /// When the level was last brought up to date.
    filled_at_us: TimeUs,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(crate) fn new(rate_per_s: f64, now: TimeUs) -> Self {
        let mut bucket = Self {
            rate_per_s,
            level: 0.0,
            filled_at_us: now,
        };
        bucket.level = bucket.capacity();
        bucket
    }

    /// Changes the rate and keeps the level, up to the new capacity.
    pub(crate) fn set_rate(&mut self, rate_per_s: f64, now: TimeUs) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.level = self.level.min(self.capacity());
    }

    /// Returns the time until something may pass; zero if it may pass now.
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

    /// Removes `amount` from the level, which may become negative.
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
