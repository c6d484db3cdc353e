//! How often the system itself repeats requests.

use serde::Serialize;

/// Retries that may follow a quiet start before requests have paid for them.
const FIRST_RETRIES: f64 = 3.0;
/// Most retries that can be saved up, so that a quiet hour doesn't pay for a burst.
const MAX_SAVED: f64 = 20.0;

/// Keeps retries a bounded share of the requests.
///
/// Without it, a fault of all endpoints would multiply the load by the number of attempts, which
/// keeps them down; one would notice by attempts growing while answers fall.
#[derive(Clone, Debug, Serialize)]
pub struct RetryBudget {
    share: f64,
    saved: f64,
    granted: u64,
    denied: u64,
}

impl RetryBudget {
    /// Builds a budget of `share` retries a request; a value outside 0 to 1 counts as the nearer.
    pub fn new(share: f64) -> Self {
        Self {
            share: share.clamp(0.0, 1.0),
            saved: FIRST_RETRIES,
            granted: 0,
            denied: 0,
        }
    }

    /// Takes over another share.
    pub fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.0, 1.0);
    }

    /// Records a request of a caller; retries are not counted here.
    pub fn request(&mut self) {
        self.saved = (self.saved + self.share).min(MAX_SAVED);
    }

    /// Takes one retry out of the budget, if there is one left.
    pub fn try_take(&mut self) -> bool {
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
