//! An answer of the daemon's own that is no success.

use wisteriahitch_types::{Code, DurationUs};

/// Says why a call gets no answer from an endpoint.
///
/// The code says whether the call has run; a refusal that says "not run" must be true.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Numbered code.
    pub code: Code,
    /// When the caller may come back.
    pub retry_after_us: Option<DurationUs>,
    /// The queue that was too long and its bound, for the log.
    pub queue_and_bound_us: Option<(DurationUs, DurationUs)>,
}

impl Refusal {
    /// Builds a refusal.
    pub const fn new(code: Code) -> Self {
        Self {
            code,
            retry_after_us: None,
            queue_and_bound_us: None,
        }
    }

    /// Adds the queue that was too long, and its bound.
    pub const fn with_queue(mut self, queue_us: DurationUs, bound_us: DurationUs) -> Self {
        self.queue_and_bound_us = Some((queue_us, bound_us));
        self
    }

    /// Adds when the caller may come back.
    pub const fn retry_after(mut self, wait_us: DurationUs) -> Self {
        self.retry_after_us = Some(wait_us);
        self
    }
}
