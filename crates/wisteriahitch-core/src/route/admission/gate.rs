//! Running and waiting requests of one service.

use std::collections::HashMap;

use wisteriahitch_types::{DurationUs, RequestId, TimeUs, WorkspaceId};

use super::fair_queue::{FairQueue, Rank};

/// Weight of a new sample in the moving mean of the time between two ends.
const END_INTERVAL_SMOOTHING: f64 = 0.1;

/// The running and waiting requests of one service.
#[derive(Clone, Debug)]
pub(crate) struct Gate {
    pub(crate) queue: FairQueue,
    /// Waiting requests by their rank in the queue.
    pub(crate) requests: HashMap<Rank, RequestId>,
    /// Number of running requests.
    pub(crate) running: usize,
    /// Maximum number of running requests.
    pub(crate) capacity: usize,
    /// When a request last ended while others were waiting; `None` if none waited.
    last_end_at_us: Option<TimeUs>,
    /// Moving mean of the time between two ends while requests wait; zero before the first sample.
    mean_end_interval_us: f64,
}

impl Gate {
    /// Creates a gate that lets `capacity` requests run at once.
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            queue: FairQueue::default(),
            requests: HashMap::new(),
            running: 0,
            capacity,
            last_end_at_us: None,
            mean_end_interval_us: 0.0,
        }
    }

    /// Returns whether another request may start.
    pub(crate) fn has_free_slot(&self) -> bool {
        self.running < self.capacity
    }

    /// Records the end of a running request.
    ///
    /// The time between two ends measures the service's throughput only while requests wait. Pauses
    /// without waiting requests would make the next burst look as if it could never be served.
    pub(crate) fn record_end(&mut self, now: TimeUs) {
        self.running = self.running.saturating_sub(1);
        if let Some(last) = self.last_end_at_us {
            let sample = now.since(last).as_f64();
            self.mean_end_interval_us = match self.mean_end_interval_us {
                0.0 => sample,
                mean => mean + END_INTERVAL_SMOOTHING * (sample - mean),
            };
        }
        let has_waiting = self.queue.len() > 0;
        self.last_end_at_us = has_waiting.then_some(now);
    }

    /// Estimates the wait of a new request of a workspace behind those that precede it, given the
    /// workspace's share of the service; zero while nothing waits.
    ///
    /// One request can always wait, so that later ends correct a wrong estimate.
    pub(crate) fn estimate_wait(
        &self,
        workspace: &WorkspaceId,
        priority: u8,
        weight: impl Fn(&WorkspaceId) -> u32,
    ) -> DurationUs {
        if self.has_free_slot() || self.queue.len() == 0 {
            return DurationUs::ZERO;
        }
        let ahead = self.queue.count_ahead_of(workspace, priority) as f64 + 1.0;
        let ends =
            (ahead / self.queue.share_of(workspace, weight)).min(self.queue.len() as f64 + 1.0);
        DurationUs::new((ends * self.mean_end_interval_us) as u64)
    }

    /// Estimates the time until all waiting requests have started.
    pub(crate) fn estimate_drain_time(&self) -> DurationUs {
        DurationUs::new((self.queue.len() as f64 * self.mean_end_interval_us) as u64)
    }
}
