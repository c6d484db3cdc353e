//! Whether a watch was answered without delay, so that the changes in its answer were just written.
//!
//! A bound that an operator's change sets off counts from the store's acknowledgement of the change.
//! A daemon learns of most changes at once, from a watch that was already waiting. It learns late
//! where its watch was given up or listed anew, its answer was delayed, or the process was
//! suspended. If it counted the bound from learning, it would use replaced weights for seconds
//! beyond the bound; if it assumed the oldest possible time for each change, it would stop using
//! them up to two seconds early in every rollout.
//!
//! Load pattern: operators replace the weights of a model every few seconds while the engines are
//! fully used, and each daemon that stops using the replaced ones sends all of its calls to the few
//! engines that have loaded the new ones.

use wisteriahitch_types::{DurationUs, TimeUs};

/// Delay of an answer, or of a process, that may remain unnoticed. The store answers within 330 ms
/// while it is slow, so a change in an earlier answer may have been written before the request.
pub(crate) const MAX_UNNOTICED_DELAY_US: DurationUs = DurationUs::from_ms(400);

/// Time after a process has been resumed within which it receives what arrived meanwhile.
const RESUMPTION_US: DurationUs = DurationUs::from_ms(500);

/// When the process has run, as far as its timers show.
#[derive(Clone, Copy, Debug)]
pub struct ProcessActivity {
    seen_at_us: TimeUs,
    resumed_at_us: Option<TimeUs>,
}

impl ProcessActivity {
    /// Creates the record of a process that has just started.
    pub const fn new(now: TimeUs) -> Self {
        Self {
            seen_at_us: now,
            resumed_at_us: None,
        }
    }

    /// Records that the process runs. Must be called more often than every
    /// `MAX_UNNOTICED_DELAY_US`.
    pub fn record(&mut self, now: TimeUs) {
        if now.since(self.seen_at_us) > MAX_UNNOTICED_DELAY_US {
            self.resumed_at_us = Some(now);
        }
        self.seen_at_us = now;
    }

    /// Returns whether what the process receives now has arrived just now, and not while it was
    /// suspended.
    pub fn is_continuous(&self, now: TimeUs) -> bool {
        let is_recent = |at: TimeUs| now.since(at) < RESUMPTION_US;
        now.since(self.seen_at_us) <= MAX_UNNOTICED_DELAY_US
            && !self.resumed_at_us.is_some_and(is_recent)
    }
}

/// An answer of the store to a watch, with changes.
#[derive(Clone, Copy, Debug)]
pub struct WatchAnswer {
    /// When the watch was requested.
    pub asked_at: TimeUs,
    /// How long the store was to keep it open.
    pub wait_us: DurationUs,
    /// Since when a peer has had objects that this daemon didn't know; `None` if none has.
    pub newer_at_peer_since: Option<TimeUs>,
    /// When the process has run.
    pub activity: ProcessActivity,
}

impl WatchAnswer {
    /// Returns whether the changes in the answer, received at `now`, were just written.
    pub fn is_timely(&self, now: TimeUs) -> bool {
        let waited_us = now.since(self.asked_at);
        let is_reported_before = |since: TimeUs| now.since(since) > MAX_UNNOTICED_DELAY_US;
        waited_us > MAX_UNNOTICED_DELAY_US
            && waited_us <= self.wait_us + MAX_UNNOTICED_DELAY_US
            && !self.newer_at_peer_since.is_some_and(is_reported_before)
            && self.activity.is_continuous(now)
    }
}
