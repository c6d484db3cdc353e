//! Capacity reserved for refused calls, by the retry time that each refusal stated.
//!
//! Load pattern: an overload lasts for seconds. Callers that all get about the
//! same short retry time find the same overload, and a call that is refused twice is lost. Room is kept for
//! the time that was named rather than for a caller, since each attempt has an id of its own.

use std::collections::VecDeque;

use wisteriahitch_types::{DurationUs, TimeUs};

/// Length of a bucket: callers return within about as much of the named time.
const BUCKET_US: DurationUs = DurationUs::from_ms(250);

/// Number of buckets. Callers wait for a third of their time at most, and few have more than 20 s.
const BUCKETS: usize = 32;

/// Number of buckets before the named time in which the room can be used.
const EARLY_BUCKETS: usize = 1;

/// Number of buckets after the named time in which the room can be used. Callers return to any daemon,
/// so that a daemon that sees a few calls a second meets those of the others now and then.
const LATE_BUCKETS: usize = 4;

/// Room that is kept at one daemon for calls that return to a service.
#[derive(Debug, Default)]
pub struct PromisedRoom {
    /// Number of the first bucket since the start of the clock.
    first: u64,
    /// Promised work of each bucket in milliseconds of an endpoint, from `first` on.
    promised_ms: VecDeque<f64>,
}

impl PromisedRoom {
    /// Keeps room for a call at the earliest time from `min_wait_us` to `max_wait_us` at which there
    /// is some, and returns the wait; `None` if there is no room by then.
    ///
    /// `room_ms_per_s` is the work that may be promised per second; `position` from 0 to 1 spreads
    /// callers over the bucket.
    pub fn promise(
        &mut self,
        work_ms: f64,
        room_ms_per_s: f64,
        (min_wait_us, max_wait_us): (DurationUs, DurationUs),
        position: f64,
        now: TimeUs,
    ) -> Option<DurationUs> {
        self.advance(now);
        let earliest = bucket_of(now + min_wait_us) + 1;
        let room_ms = room_ms_per_s * BUCKET_US.as_secs_f64();
        let mut promised_ms = 0.0;
        for index in 0..BUCKETS {
            promised_ms += self.promised_ms.get(index).copied().unwrap_or(0.0);
            let bucket = self.first + index as u64;
            let in_bucket = DurationUs::from_secs_f64(BUCKET_US.as_secs_f64() * position);
            let wait_us = (bucket_start(bucket) + in_bucket).since(now);
            // A call may need the room of several buckets; those up to the named time add up.
            let ahead = index.saturating_sub(LATE_BUCKETS - 1);
            let has_room = promised_ms + work_ms <= room_ms * ahead as f64;
            if bucket < earliest || !has_room {
                continue;
            }
            if wait_us > max_wait_us {
                return None;
            }
            if self.promised_ms.len() <= index {
                self.promised_ms.resize(index + 1, 0.0);
            }
            self.promised_ms[index] += work_ms;
            return Some(wait_us);
        }
        None
    }

    /// Uses room that was promised for about this time. Returns whether there was some.
    pub fn redeem(&mut self, work_ms: f64, now: TimeUs) -> bool {
        self.advance(now);
        let window = LATE_BUCKETS + 1 + EARLY_BUCKETS;
        let due_ms: f64 = self.promised_ms.iter().take(window).sum();
        // A call is admitted whole if there is room for most of it, and takes none otherwise.
        if due_ms < work_ms / 2.0 {
            return false;
        }
        let mut left_ms = work_ms;
        for promised_ms in self.promised_ms.iter_mut().take(window) {
            let used_ms = promised_ms.min(left_ms);
            *promised_ms -= used_ms;
            left_ms -= used_ms;
        }
        true
    }

    /// Returns the work that is promised for about this time, in milliseconds per second.
    pub fn due_ms_per_s(&mut self, now: TimeUs) -> f64 {
        self.advance(now);
        let window = LATE_BUCKETS + 1 + EARLY_BUCKETS;
        let due_ms: f64 = self.promised_ms.iter().take(window).sum();
        due_ms / (BUCKET_US.as_secs_f64() * window as f64)
    }

    /// Drops the buckets whose reservations have expired.
    fn advance(&mut self, now: TimeUs) {
        let first = bucket_of(now).saturating_sub(LATE_BUCKETS as u64);
        let passed = first.saturating_sub(self.first).min(BUCKETS as u64) as usize;
        let passed = passed.min(self.promised_ms.len());
        self.promised_ms.drain(..passed);
        self.first = self.first.max(first);
    }
}

fn bucket_of(at: TimeUs) -> u64 {
    at.get() / BUCKET_US.get()
}

fn bucket_start(bucket: u64) -> TimeUs {
    TimeUs::new(bucket * BUCKET_US.get())
}
