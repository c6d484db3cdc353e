//! Pacing of work that is done in pieces, one after the other.

use std::time::Duration;

use tokio::time::Instant;

/// Maximum delay of a timer that the next piece makes up for.
///
/// The timer fires up to 1 ms late; without catching up, short pieces would run far below the rate.
const MAX_CATCH_UP: Duration = Duration::from_millis(5);

/// Computes the times at which successive pieces of work are done.
#[derive(Debug)]
pub(crate) struct Pacer {
    free_at: Instant,
}

impl Pacer {
    /// Builds an idle pacer.
    pub(crate) fn new() -> Self {
        Self {
            free_at: Instant::now(),
        }
    }

    /// Schedules a piece that lasts `duration` and returns the time at which it is done.
    ///
    /// Callers wait for the previous piece before they schedule the next one. A previous piece that
    /// is still in progress was therefore abandoned, and its remaining time is not charged;
    /// otherwise a reader that disconnects would delay all that follow.
    pub(crate) fn schedule(&mut self, duration: Duration) -> Instant {
        let now = Instant::now();
        let earliest = now.checked_sub(MAX_CATCH_UP).unwrap_or(now);
        let was_free_recently = self.free_at >= earliest && self.free_at <= now;
        let start = if was_free_recently { self.free_at } else { now };
        self.free_at = start + duration;
        self.free_at
    }
}
