//! Work that callers ask for, as a rate that forgets what is long past.
//!
//! Load pattern: calls of one service differ in their work by a factor of twenty. Counted as calls,
//! a workspace with few long ones would look modest while it keeps the endpoints busy.

use wisteriahitch_types::{DurationUs, TimeUs};

/// Time after which work counts for a third: long enough for some calls of each workspace to fall
/// into it, and short enough for a sudden rise to show before callers have given up.
const MEMORY_US: DurationUs = DurationUs::from_ms(1_000);

/// Work of one call that counts at most, in milliseconds of an endpoint; no engine reads a prompt for
/// longer.
pub(super) const MAX_CALL_WORK_MS: f64 = 60_000.0;

/// An exponentially weighted rate of work.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WorkRate {
    ms_per_s: f64,
    updated_at_us: TimeUs,
}

impl WorkRate {
    /// Adds a call's work, in milliseconds of an endpoint.
    pub(super) fn add(&mut self, work_ms: f64, now: TimeUs) {
        self.ms_per_s = self.at(now) + work_ms / MEMORY_US.as_secs_f64();
        self.updated_at_us = now;
    }

    /// Returns the rate in milliseconds of an endpoint per second.
    pub(super) fn at(&self, now: TimeUs) -> f64 {
        let memories = now.since(self.updated_at_us).as_secs_f64() / MEMORY_US.as_secs_f64();
        self.ms_per_s * (-memories).exp()
    }
}
