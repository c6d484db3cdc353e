//! How often the system itself repeats requests.

use serde::Serialize;

/// Retries that may follow a quiet start before requests have paid for them.
const INITIAL_RETRIES: f64 = 3.0;
/// Most retries that can be saved up, so that a quiet hour doesn't pay for a burst.
const DEFAULT_MAX_SAVED: f64 = 20.0;

/// Keeps retries a bounded share of the requests.
///
/// Without it, a fault of all endpoints would multiply the load by the number of attempts, which
/// keeps them down; one would notice by attempts growing while answers fall.
#[derive(Clone, Debug, Serialize)]
pub struct RetryBudget {
    share: f64,
    saved: f64,
    max_saved: f64,
    granted: u64,
    denied: u64,
}

impl RetryBudget {
    /// Builds a budget of `share` retries a request; a value outside 0 to 1 counts as the nearer.
    pub fn new(share: f64) -> Self {
        Self {
            share: share.clamp(0.0, 1.0),
            saved: INITIAL_RETRIES,
            max_saved: DEFAULT_MAX_SAVED,
            granted: 0,
            denied: 0,
        }
    }

    /// Sets how many retries can be saved up, and starts with none of them.
    ///
    /// Where several daemons share a budget, each may save up its part of the whole; a daemon that
    /// started with a full one after each restart would let the whole be exceeded.
    pub fn with_max_saved(mut self, max_saved: f64) -> Self {
        self.set_max_saved(max_saved);
        self.saved = 0.0;
        self
    }

    /// Takes over another bound on saved retries.
    pub fn set_max_saved(&mut self, max_saved: f64) {
        self.max_saved = max_saved.max(0.0);
        self.saved = self.saved.min(self.max_saved);
    }

    /// Returns how many retries are left.
    pub fn available(&self) -> f64 {
        self.saved
    }

    /// Takes over another share.
    pub fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.0, 1.0);
    }

    /// Records a request of a caller; retries are not counted here.
    pub fn record_request(&mut self) {
        self.saved = (self.saved + self.share).min(self.max_saved);
    }

    /// Takes one retry out of the budget, if there is one left.
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
