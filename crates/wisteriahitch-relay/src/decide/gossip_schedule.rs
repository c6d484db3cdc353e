//! When a daemon tells the others of the calls that it has sent.
//!
//! Load pattern: a long prompt goes to an engine that was idle, and occupies it for some hundred
//! milliseconds. Until the others hear of it they take the engine for the least loaded one and send
//! their short calls there, where these wait behind the prompt until they are late; one would notice
//! by short calls whose first event comes hundreds of milliseconds after it was expected, at engines
//! that the daemon knew nothing of. So work that takes long is told at once, and the rest at the
//! usual interval. `docs/design/decisions.md` has the figures.

use wisteriahitch_types::{DurationUs, TimeUs};

/// Unread prompt tokens, sent since the last message, that can't wait for the next one: engines read
/// them in about twenty milliseconds, which is as much as a short call takes there.
const URGENT_TOKENS: u64 = 1_000;

/// Least time between two messages that don't wait for their turn. It bounds what a burst costs: a
/// system call for each daemon that is told.
const MIN_SEND_INTERVAL_US: DurationUs = DurationUs::from_ms(10);

/// Says when the next message is due.
#[derive(Clone, Debug, Default)]
pub struct GossipSchedule {
    /// Nothing was told before the first message, which is due at once.
    last_sent_us: TimeUs,
    unsent_tokens: u64,
}

impl GossipSchedule {
    /// Notes a call that was sent, and returns whether the next message is due earlier by it.
    pub fn record_dispatch(&mut self, unread_tokens: u64) -> bool {
        let was_urgent = self.is_urgent();
        self.unsent_tokens = self.unsent_tokens.saturating_add(unread_tokens);
        self.is_urgent() && !was_urgent
    }

    /// Returns when the next message is due, if nothing can't wait at `interval_us` after the last.
    pub fn due_at(&self, interval_us: DurationUs) -> TimeUs {
        match self.is_urgent() {
            true => self.earliest_send().min(self.last_sent_us + interval_us),
            false => self.last_sent_us + interval_us,
        }
    }

    /// Returns when the next message may leave at the earliest, whatever asks for it.
    pub fn earliest_send(&self) -> TimeUs {
        self.last_sent_us + MIN_SEND_INTERVAL_US
    }

    /// Notes that everything was told.
    pub fn record_send(&mut self, now: TimeUs) {
        self.last_sent_us = now;
        self.unsent_tokens = 0;
    }

    fn is_urgent(&self) -> bool {
        self.unsent_tokens >= URGENT_TOKENS
    }
}
