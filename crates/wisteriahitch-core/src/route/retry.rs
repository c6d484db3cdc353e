//! Budget for retries by the system itself.

use serde::Serialize;

/// Integer units per retry. Floating-point sums of fractions are inexact: five fifths may be less than
/// one.
const UNITS_PER_RETRY: u64 = 1_000_000;
/// Retries available at the start, before requests have earned any.
const INITIAL_RETRIES: f64 = 3.0;
/// Default maximum of saved retries, so that a quiet period doesn't earn a burst of retries.
const DEFAULT_MAX_SAVED: f64 = 20.0;

/// Limits retries to a fraction of the requests.
///
/// Without it, a fault of all endpoints would multiply the load by the number of attempts and keep
/// them down: attempts would rise while answers fall.
#[derive(Clone, Debug, Serialize)]
pub struct RetryBudget {
    /// Units earned by each request, at most those of a retry.
    share_units: u64,
    /// Units available now.
    saved_units: u64,
    /// Maximum of `saved_units`.
    max_saved_units: u64,
    granted: u64,
    denied: u64,
}

impl RetryBudget {
    /// Creates a budget of `share` retries per request; `share` is clamped to 0 to 1.
    pub fn new(share: f64) -> Self {
        Self {
            share_units: units(share.clamp(0.0, 1.0)),
            saved_units: units(INITIAL_RETRIES),
            max_saved_units: units(DEFAULT_MAX_SAVED),
            granted: 0,
            denied: 0,
        }
    }

    /// Sets the maximum of saved retries and starts with none.
    ///
    /// If several daemons share a budget, each may save its part of the total. A daemon that
    /// started with a full part after each restart would let the total be exceeded.
    pub fn with_max_saved(mut self, max_saved: f64) -> Self {
        self.set_max_saved(max_saved);
        self.saved_units = 0;
        self
    }

    /// Changes the maximum of saved retries; excess ones are dropped.
    pub fn set_max_saved(&mut self, max_saved: f64) {
        self.max_saved_units = units(max_saved);
        self.saved_units = self.saved_units.min(self.max_saved_units);
    }

    /// Fills the budget up to its maximum.
    pub fn fill(&mut self) {
        self.saved_units = self.max_saved_units;
    }

    /// Returns the number of retries available, for logs.
    pub fn available(&self) -> f64 {
        self.saved_units as f64 / UNITS_PER_RETRY as f64
    }

    /// Returns whether a retry is available.
    pub fn has_retry(&self) -> bool {
        self.share_units > 0 && self.saved_units >= UNITS_PER_RETRY
    }

    /// Changes the retries earned by each request; clamped to 0 to 1.
    pub fn set_share(&mut self, share: f64) {
        self.share_units = units(share.clamp(0.0, 1.0));
    }

    /// Records a caller's request, which earns a part of a retry. Retries must not be recorded.
    pub fn record_request(&mut self) {
        let saved_units = self.saved_units.saturating_add(self.share_units);
        self.saved_units = saved_units.min(self.max_saved_units);
    }

    /// Takes one retry from the budget and returns whether there was one.
    pub fn try_acquire(&mut self) -> bool {
        let is_granted = self.has_retry();
        match is_granted {
            true => {
                self.saved_units -= UNITS_PER_RETRY;
                self.granted += 1;
            }
            false => self.denied += 1,
        }
        is_granted
    }
}

/// Returns a number of retries in units.
fn units(retries: f64) -> u64 {
    (retries.max(0.0) * UNITS_PER_RETRY as f64).round() as u64
}
