//! Budget for retries by the system itself.

use serde::Serialize;

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
    /// Retries earned by each request, from 0 to 1.
    share: f64,
    /// Retries available now.
    saved: f64,
    /// Maximum of `saved`.
    max_saved: f64,
    granted: u64,
    denied: u64,
}

impl RetryBudget {
    /// Creates a budget of `share` retries per request; `share` is clamped to 0 to 1.
    pub fn new(share: f64) -> Self {
        Self {
            share: share.clamp(0.0, 1.0),
            saved: INITIAL_RETRIES,
            max_saved: DEFAULT_MAX_SAVED,
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
        self.saved = 0.0;
        self
    }

    /// Changes the maximum of saved retries; excess ones are dropped.
    pub fn set_max_saved(&mut self, max_saved: f64) {
        self.max_saved = max_saved.max(0.0);
        self.saved = self.saved.min(self.max_saved);
    }

    /// Returns the number of retries available.
    pub fn available(&self) -> f64 {
        self.saved
    }

    /// Changes the retries earned by each request; clamped to 0 to 1.
    pub fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.0, 1.0);
    }

    /// Records a caller's request, which earns a part of a retry. Retries must not be recorded.
    pub fn record_request(&mut self) {
        self.saved = (self.saved + self.share).min(self.max_saved);
    }

    /// Takes one retry from the budget and returns whether there was one.
    pub fn try_acquire(&mut self) -> bool {
        let is_granted = self.share > 0.0 && self.saved >= 1.0;
        match is_granted {
            true => {
                self.saved -= 1.0;
                self.granted += 1;
            }
            false => self.denied += 1,
        }
        is_granted
    }
}
