//! How many requests of one service run, and which wait.

use std::collections::HashMap;

use wisteriahitch_types::{DurationUs, RequestId, TimeUs};

use super::fair_queue::{FairQueue, Rank};

/// Part of a new sample in the moving mean of the time between two ends.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Holds the requests of one service.
#[derive(Clone, Debug)]
pub(crate) struct Gate {
    pub(crate) queue: FairQueue,
    /// Waiting requests by their place in the queue.
    pub(crate) requests: HashMap<Rank, RequestId>,
    pub(crate) running: usize,
    pub(crate) capacity: usize,
    last_end_at_us: Option<TimeUs>,
    end_interval_us: f64,
}

impl Gate {
    /// Builds a gate that lets `capacity` requests run at once.
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            queue: FairQueue::default(),
            requests: HashMap::new(),
            running: 0,
            capacity,
            last_end_at_us: None,
            end_interval_us: 0.0,
        }
    }

    /// Returns whether another request may start.
    pub(crate) fn has_room(&self) -> bool {
        self.running < self.capacity
    }

    /// Records the end of a running request.
    pub(crate) fn ended(&mut self, now: TimeUs) {
        self.running = self.running.saturating_sub(1);
        if let Some(last) = self.last_end_at_us {
            let sample = now.since(last).as_f64();
            self.end_interval_us += SAMPLE_WEIGHT * (sample - self.end_interval_us);
        }
        self.last_end_at_us = Some(now);
    }

    /// Estimates when the requests that wait will have started.
    pub(crate) fn drain_time(&self) -> DurationUs {
        DurationUs::new((self.queue.len() as f64 * self.end_interval_us) as u64)
    }
}
