//! Refusals: error answers that the daemon itself gives.

use wisteriahitch_types::{Code, DurationUs};

/// Error answer of the daemon to a call that gets no answer from an endpoint.
///
/// The code says whether the call has run. If it says "not run", this must be true.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Numbered code.
    pub code: Code,
    /// Time after which the caller may retry.
    pub retry_after_us: Option<DurationUs>,
    /// Estimated queue that was too long, and the bound that it exceeds; for the log.
    pub queue_and_bound_us: Option<(DurationUs, DurationUs)>,
}

impl Refusal {
    /// Creates a refusal with a code alone.
    pub const fn new(code: Code) -> Self {
        Self {
            code,
            retry_after_us: None,
            queue_and_bound_us: None,
        }
    }

    /// Sets the estimated queue that was too long, and the bound that it exceeds.
    pub const fn with_queue(mut self, queue_us: DurationUs, bound_us: DurationUs) -> Self {
        self.queue_and_bound_us = Some((queue_us, bound_us));
        self
    }

    /// Sets the time after which the caller may retry.
    pub const fn retry_after(mut self, wait_us: DurationUs) -> Self {
        self.retry_after_us = Some(wait_us);
        self
    }
}
