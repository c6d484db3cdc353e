//! The process's monotonic clock.

use std::time::Instant;

use wisteriahitch_types::{DurationUs, TimeUs};

/// A clock that counts from the start of the process. Decisions use no other time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub(crate) fn new() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Returns the time since the start.
    pub(crate) fn now(&self) -> TimeUs {
        TimeUs::new(DurationUs::from(self.started.elapsed()).get())
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
