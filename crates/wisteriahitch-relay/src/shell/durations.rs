//! How long calls last.

use std::collections::HashMap;
use std::time::Duration;

use parking_lot::Mutex;
use wisteriahitch_types::{DurationUs, ServiceName};

/// What a call is taken to last until one has ended: a short answer of an engine that isn't full.
const FIRST_GUESS_US: f64 = 800_000.0;

/// Weight of the newest call in the moving mean.
const NEWEST_WEIGHT: f64 = 0.05;

/// Moving means by service, from the sending of a call to its end.
#[derive(Debug, Default)]
pub(crate) struct Durations(Mutex<HashMap<ServiceName, f64>>);

impl Durations {
    /// Notes a call that has ended well.
    pub(crate) fn note(&self, service: &ServiceName, taken: Duration) {
        let mut means = self.0.lock();
        let mean = means.entry(service.clone()).or_insert(FIRST_GUESS_US);
        *mean += (taken.as_micros() as f64 - *mean) * NEWEST_WEIGHT;
    }

    /// Returns the mean of a service.
    pub(crate) fn of(&self, service: &ServiceName) -> DurationUs {
        let mean_us = self
            .0
            .lock()
            .get(service)
            .copied()
            .unwrap_or(FIRST_GUESS_US);
        DurationUs::from_secs_f64(mean_us / 1_000_000.0)
    }
}
