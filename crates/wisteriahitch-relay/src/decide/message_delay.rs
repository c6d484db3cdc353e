//! How long messages were delayed on their way.

use wisteriahitch_types::{DurationUs, TimeUs};

/// How long a minimum lag is used before it is measured again. The clocks of two VMs drift apart by
/// some milliseconds a minute.
const MIN_LAG_WINDOW_US: DurationUs = DurationUs::from_ms(10_000);

/// Tells delayed messages from prompt ones, without synchronized clocks.
///
/// A daemon that was suspended receives the messages of that time late. The ages that they state
/// were right when they were sent; counted from their arrival, information that is seconds old
/// would look new. So each message carries its sender's time. The difference to the receiver's time
/// is its lag, and a message counts as delayed by the excess over the lowest lag of the last
/// seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct MessageDelay {
    window_began_at_us: TimeUs,
    min_lag_us: Option<i64>,
    /// Minimum lag in the previous window.
    previous_min_lag_us: Option<i64>,
}

impl MessageDelay {
    /// Records a message by its sender's clock and this daemon's, and returns by how much it was
    /// delayed.
    pub fn record(&mut self, sent_at: TimeUs, now: TimeUs) -> DurationUs {
        if now.since(self.window_began_at_us) >= MIN_LAG_WINDOW_US {
            self.window_began_at_us = now;
            self.previous_min_lag_us = self.min_lag_us.take();
        }
        let lag_us = now.get().cast_signed() - sent_at.get().cast_signed();
        self.min_lag_us = Some(self.min_lag_us.unwrap_or(lag_us).min(lag_us));
        let minima = self.min_lag_us.into_iter().chain(self.previous_min_lag_us);
        let min_lag_us = minima.min().unwrap_or(lag_us);
        DurationUs::new(lag_us.saturating_sub(min_lag_us).unsigned_abs())
    }
}
