//! How old what is known of the platform's store is, and when a watch that says nothing is given up.
//!
//! A watch is silent while nothing changes, and it is as silent after its connection has died without a word, or
//! while the answer is held up on the way. Taken for the first, the second leaves a daemon with old routes,
//! keys, endpoints and weights for as long as the watch may wait, and lets it call unknown what the store
//! has long acknowledged; one would notice by refusals as unknown whose configuration is seconds old. So a
//! daemon keeps for each kind of object the time as of which it knows everything, and never takes
//! silence for an answer.
//!
//! Load pattern: answers are paid for, and daemons are many. One daemon, the first by hash among those that
//! the store answers, has its watches answered after a short time and tells the others as of when
//! everything is known; their watches wait long. Where nobody confirms any more what is known, they give
//! their watches up one after the other, in the order of the hash, and ask anew: the first answer
//! serves all. `docs/design/platform.md` has the figures.

use wisteriahitch_types::{DurationUs, TimeUs};

/// Time for the way of a call and its answer, also where the store is slow: it answers within 330 ms then.
const ANSWER_SLACK_US: DurationUs = DurationUs::from_ms(700);

/// Time between two daemons' giving up, for the answer of the one before and its message to the others.
const GIVE_UP_STAGGER_US: DurationUs = DurationUs::from_ms(200);

/// Shortest wait of a watch. Where changes follow each other the answer as of which everything is known was
/// asked for by the watch before, and without it the next one would have no time to wait at all.
const MIN_WATCH_WAIT_US: DurationUs = DurationUs::from_ms(50);

/// The times by which one kind of objects is followed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StalenessLimits {
    /// Age of what is known at which the daemon that confirms it for all has it confirmed again.
    pub confirm_us: DurationUs,
    /// Longest wait of the watches of all others.
    pub wait_us: DurationUs,
    /// Age up to which what isn't known may be called unknown, which is final for a caller.
    pub final_us: DurationUs,
}

impl StalenessLimits {
    /// Returns how long the store may keep a watch waiting, for the daemon at this place of the order
    /// in which daemons ask, if everything is known as of `as_of`.
    pub fn wait(&self, place: usize, as_of: Option<TimeUs>, now: TimeUs) -> DurationUs {
        if place > 0 {
            return self.wait_us;
        }
        let age_us = as_of.map_or(DurationUs::ZERO, |as_of| now.since(as_of));
        let left_us = self.confirm_us.get().saturating_sub(age_us.get());
        DurationUs::new(left_us)
            .max(MIN_WATCH_WAIT_US)
            .min(self.wait_us)
    }

    /// Returns when a watch that was asked for at `asked_at` is given up if nothing is confirmed by then.
    pub fn give_up_at(&self, place: usize, as_of: Option<TimeUs>, asked_at: TimeUs) -> TimeUs {
        let place = u64::try_from(place).unwrap_or(u64::MAX);
        let stagger_us = DurationUs::new(GIVE_UP_STAGGER_US.get().saturating_mul(place));
        let confirmed_by_us = self.confirm_us + ANSWER_SLACK_US;
        let due_at = as_of.unwrap_or(asked_at) + confirmed_by_us + stagger_us;
        // Asked a moment ago, it may still be answered.
        due_at.max(asked_at + ANSWER_SLACK_US)
    }

    /// Returns whether something that isn't known may be called unknown.
    pub fn is_final(&self, as_of: Option<TimeUs>, now: TimeUs) -> bool {
        as_of.is_some_and(|as_of| now.since(as_of) <= self.final_us)
    }
}

/// Returns as of when everything is known after a watch was answered.
///
/// An answer may have been under way for long. One without changes was given no earlier than at the end
/// of the wait, and one with changes no earlier than it was asked for.
pub fn answered_as_of(
    asked_at: TimeUs,
    wait_us: DurationUs,
    has_changes: bool,
    now: TimeUs,
) -> TimeUs {
    let end_at = asked_at + wait_us;
    match has_changes || now < end_at {
        true => asked_at,
        false => end_at,
    }
}
