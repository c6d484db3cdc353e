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
    /// The estimate that the call can't be served in time, if that is the reason; for the log.
    pub excess_queue: Option<ExcessQueue>,
    /// Part of the work of the call's workspace that is admitted, in thousandths, if the call is
    /// refused because it has had its share; for the log.
    pub share_permille: Option<u16>,
}

/// Queue at the best endpoint that is too long for a call, and what the estimate is based on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ExcessQueue {
    /// Estimated wait for other calls.
    pub queue_us: DurationUs,
    /// Maximum wait for the call.
    pub bound_us: DurationUs,
    /// Unfinished calls at the endpoint that this daemon counts.
    pub own_running: u32,
    /// Unfinished calls at the endpoint that other daemons report.
    pub peers_running: u32,
    /// Endpoints that were compared.
    pub candidates: usize,
    /// Endpoints of the service that are suspected of being unreachable for all daemons.
    pub suspected: usize,
}

impl Refusal {
    /// Creates a refusal with a code alone.
    pub const fn new(code: Code) -> Self {
        Self {
            code,
            retry_after_us: None,
            excess_queue: None,
            share_permille: None,
        }
    }

    /// Sets the estimate of the queue that is too long.
    pub const fn with_excess_queue(mut self, excess_queue: ExcessQueue) -> Self {
        self.excess_queue = Some(excess_queue);
        self
    }

    /// Sets the share that is used up.
    pub const fn with_share(mut self, share_permille: u16) -> Self {
        self.share_permille = Some(share_permille);
        self
    }

    /// Sets the time after which the caller may retry.
    pub const fn retry_after(mut self, wait_us: DurationUs) -> Self {
        self.retry_after_us = Some(wait_us);
        self
    }
}
