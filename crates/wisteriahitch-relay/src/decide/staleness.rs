//! How old the known state of the platform's store is, and when an unanswered watch is given up.
//!
//! A watch is silent while nothing changes, and just as silent after its connection has failed
//! without notice or while the answer is delayed. If silence counted as "no change", a daemon would
//! keep outdated routes, keys, endpoints and weights for as long as the watch may wait, and would
//! refuse as unknown what the store has long acknowledged, such as configuration that is seconds
//! old. So a daemon keeps, for each kind of object, the time as of which its knowledge is complete,
//! and never treats silence as an answer.
//!
//! Answers cost money, and there are many daemons. One daemon, the first by hash among those that
//! reach the store, has its watches answered after a short wait and sends the others the time as of
//! which everything is known; their watches wait long. If nobody confirms this any more, the
//! daemons give up their watches one after the other, in the order of the hash, and ask again: the
//! first answer serves all. The daemons that don't watch the store ask in the same way, because
//! a hub that reaches the store has not necessarily confirmed the objects that they know.
//! `docs/design/platform.md` has the figures.

use wisteriahitch_types::{DurationUs, TimeUs};

/// Time allowed for a request and its answer in transit, also while the store is slow, when it
/// answers within 330 ms.
const ANSWER_SLACK_US: DurationUs = DurationUs::from_ms(700);

/// Maximum time between two daemons' giving up their watches: enough for the first one's answer and
/// its message to the others.
const MAX_STAGGER_US: DurationUs = DurationUs::from_ms(200);

/// Minimum wait of a watch. While changes follow each other, the time as of which everything is
/// known is that of the previous watch's request. Without this minimum, the next watch would have
/// no time to wait at all.
const MIN_WATCH_WAIT_US: DurationUs = DurationUs::from_ms(50);

/// Limits on the age of what is known about one kind of object.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StalenessLimits {
    /// Age at which the daemon that confirms the state for all has it confirmed again.
    pub confirm_us: DurationUs,
    /// Maximum wait of the watches of all other daemons.
    pub wait_us: DurationUs,
    /// Maximum age of an unconfirmed state before the last daemon in the order queries the store.
    pub last_query_us: DurationUs,
    /// Maximum age of what is known at which an object may be reported as unknown. For a caller
    /// such an answer is final.
    pub final_us: DurationUs,
}

/// A daemon's place in the order in which daemons query the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueryRank {
    /// Number of daemons that query the store before this one.
    pub place: usize,
    /// Number of places.
    pub places: usize,
}

impl QueryRank {
    /// Rank of a daemon that doesn't wait for any other one.
    pub const FIRST: Self = Self {
        place: 0,
        places: 1,
    };
}

impl StalenessLimits {
    /// Returns how long the store may keep a watch waiting; everything is known as of `as_of`.
    pub fn wait(&self, rank: QueryRank, as_of: Option<TimeUs>, now: TimeUs) -> DurationUs {
        if rank.place > 0 {
            return self.wait_us;
        }
        let age_us = as_of.map_or(DurationUs::ZERO, |as_of| now.since(as_of));
        let left_us = self.confirm_us.get().saturating_sub(age_us.get());
        DurationUs::new(left_us)
            .max(MIN_WATCH_WAIT_US)
            .min(self.wait_us)
    }

    /// Returns when a daemon queries the store unless a confirmation arrives before.
    ///
    /// Whatever the size of the fleet, the last daemon queries the store early enough to be answered within the
    /// bound. It doesn't know whether the daemons before it can reach the store, or whether it
    /// would receive their updates.
    pub fn query_at(&self, rank: QueryRank, as_of: TimeUs) -> TimeUs {
        let first_us = self.confirm_us + ANSWER_SLACK_US;
        let window_us = self.last_query_us.get().saturating_sub(first_us.get());
        let place = u64::try_from(rank.place).unwrap_or(u64::MAX);
        let places = u64::try_from(rank.places).unwrap_or(u64::MAX).max(1);
        let evenly_us = window_us.saturating_mul(place) / places;
        let stagger_us = MAX_STAGGER_US.get().saturating_mul(place).min(evenly_us);
        as_of + first_us + DurationUs::new(stagger_us)
    }

    /// Returns when a watch requested at `asked_at` is given up unless a confirmation arrives
    /// before.
    pub fn give_up_at(&self, rank: QueryRank, as_of: Option<TimeUs>, asked_at: TimeUs) -> TimeUs {
        let due_at = self.query_at(rank, as_of.unwrap_or(asked_at));
        // A watch that was requested a moment ago may still be answered.
        due_at.max(asked_at + ANSWER_SLACK_US)
    }

    /// Returns whether an object that isn't known may be reported as unknown.
    pub fn is_final(&self, as_of: Option<TimeUs>, now: TimeUs) -> bool {
        as_of.is_some_and(|as_of| now.since(as_of) <= self.final_us)
    }
}

/// Returns the time as of which everything is known after a watch was answered.
///
/// The answer may have been delayed. One without changes was given at the end of the wait at the
/// earliest, and one with changes not before the request.
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
