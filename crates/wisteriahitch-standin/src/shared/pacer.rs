//! Work that takes its time one piece after the other.

use std::time::Duration;

use tokio::time::Instant;

/// Longest lateness that the next piece makes up for.
///
/// The timer wakes up to a millisecond late; without this, short pieces would run far under rate.
const MAX_CATCH_UP: Duration = Duration::from_millis(5);

/// Gives the times at which the pieces of one server's work are done.
#[derive(Debug)]
pub(crate) struct Pacer {
    free_at: Instant,
}

impl Pacer {
    /// Builds a pacer that is free now.
    pub(crate) fn new() -> Self {
        Self {
            free_at: Instant::now(),
        }
    }

    /// Takes on a piece that lasts `span` and returns when it is done.
    ///
    /// Whoever books has waited for the piece before, so one that isn't done yet was given up. Its
    /// time is free again; otherwise a reader that leaves would hold up all that follow.
    pub(crate) fn schedule(&mut self, span: Duration) -> Instant {
        let now = Instant::now();
        let earliest = now.checked_sub(MAX_CATCH_UP).unwrap_or(now);
        let was_free_recently = self.free_at >= earliest && self.free_at <= now;
        let start = if was_free_recently { self.free_at } else { now };
        self.free_at = start + span;
        self.free_at
    }
}
