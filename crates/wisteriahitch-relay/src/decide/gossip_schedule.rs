//! When a daemon gossips the calls that it has dispatched.
//!
//! Load pattern: a long prompt goes to an idle engine and occupies it for some hundred
//! milliseconds. Until the other daemons receive the update, they consider the engine the least
//! loaded one and send it short calls, which wait behind the prompt until they are late. The
//! symptom is short calls whose first event arrives hundreds of milliseconds after it was expected,
//! at engines of which the daemon knew no load. Therefore large work is gossiped at once, and
//! everything else at the usual interval. `docs/design/decisions.md` has the figures.

use wisteriahitch_types::{DurationUs, TimeUs};

/// Unread prompt tokens dispatched since the last message from which on the next message is urgent.
/// Engines read this many in about 20 ms, which is as long as a short call takes there.
const URGENT_TOKENS: u64 = 1_000;

/// Minimum interval between two messages, also for urgent ones. It bounds the cost of a burst: one
/// system call for each receiving daemon per message.
const MIN_SEND_INTERVAL_US: DurationUs = DurationUs::from_ms(10);

/// Decides when the next gossip message is due.
#[derive(Clone, Debug, Default)]
pub struct GossipSchedule {
    /// Time of the last message; zero before the first one, which is therefore due at once.
    last_sent_us: TimeUs,
    unsent_tokens: u64,
}

impl GossipSchedule {
    /// Records a dispatched call. Returns whether this call made the next message urgent.
    pub fn record_dispatch(&mut self, unread_tokens: u64) -> bool {
        let was_urgent = self.is_urgent();
        self.unsent_tokens = self.unsent_tokens.saturating_add(unread_tokens);
        self.is_urgent() && !was_urgent
    }

    /// Returns when the next message is due: `interval_us` after the last one, or earlier if
    /// urgent.
    pub fn due_at(&self, interval_us: DurationUs) -> TimeUs {
        match self.is_urgent() {
            true => self.earliest_send().min(self.last_sent_us + interval_us),
            false => self.last_sent_us + interval_us,
        }
    }

    /// Returns the earliest time at which the next message may be sent, however urgent it is.
    pub fn earliest_send(&self) -> TimeUs {
        self.last_sent_us + MIN_SEND_INTERVAL_US
    }

    /// Records that a message with everything up to now was sent.
    pub fn record_send(&mut self, now: TimeUs) {
        self.last_sent_us = now;
        self.unsent_tokens = 0;
    }

    fn is_urgent(&self) -> bool {
        self.unsent_tokens >= URGENT_TOKENS
    }
}
