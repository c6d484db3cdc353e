//! For how long a message was under way.

use wisteriahitch_types::{DurationUs, TimeUs};

/// Time after which the least lag is measured anew. Clocks of two VMs drift apart by some milliseconds a minute.
const MIN_LAG_WINDOW_US: DurationUs = DurationUs::from_ms(10_000);

/// Tells messages that were held up from those that came at once, by clocks that needn't agree.
///
/// A daemon that was suspended finds the messages of that time waiting. What they say of ages was right when
/// they were sent; taken as of their arrival, news that are seconds old would look new. So each message
/// carries its sender's time, and its lag counts above the least one of the last seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct MessageDelay {
    window_began_at_us: TimeUs,
    min_lag_us: Option<i64>,
    /// The least lag of the time before.
    previous_min_lag_us: Option<i64>,
}

impl MessageDelay {
    /// Notes a message, by its sender's clock and by the own one, and returns for how long it was held up.
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
