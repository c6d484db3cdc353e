//! Whether registrations may have lapsed because their endpoints couldn't reach the store.
//!
//! Load pattern: a watch is cut off now and then while the store answers everybody else, a store is away
//! for seconds while endpoints can't renew their registrations, and endpoints leave without notice at any
//! time. An endpoint whose registration has lapsed goes on serving and registers again soon after the
//! store is back; one that has left must get no more calls.
//!
//! A registration lapses after three heartbeats in a row were lost. So an absence means a lapse only if
//! the store may have been away for that long, and a failed call of one daemon doesn't show it: what
//! counts is the time between two answers of the store to any daemon.

use wisteriahitch_types::{DurationUs, TimeUs};

/// Time after the store's return within which lapsed registrations are known again: 2 s, which the
/// platform promises, and 0.3 s for propagation.
const REREGISTRATION_TIMEOUT_US: DurationUs = DurationUs::from_ms(2_300);

/// Why a registration is absent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AbsenceCause {
    /// The endpoint has left or died.
    Left,
    /// The registration may have lapsed because the store was away. It is back by `until_us`, unless
    /// the endpoint has left.
    MayHaveLapsed {
        /// Time up to which the registration is waited for.
        until_us: TimeUs,
    },
}

/// Outages of the store in which registrations may have lapsed, as seen by one daemon.
///
/// ```
/// use wisteriahitch_relay::{AbsenceCause, StoreOutages};
/// use wisteriahitch_types::{DurationUs, TimeUs};
///
/// let at_ms = |ms| TimeUs::ZERO + DurationUs::from_ms(ms);
/// let mut outages = StoreOutages::new(DurationUs::from_ms(2_400));
/// outages.record_answer(at_ms(1_000));
/// outages.record_failure(at_ms(1_500));
/// outages.record_answer(at_ms(2_000));
/// assert_eq!(outages.absence_cause(at_ms(2_000)), AbsenceCause::Left);
/// ```
#[derive(Clone, Debug)]
pub struct StoreOutages {
    /// Shortest time without the store in which a registration can lapse.
    shortest_us: DurationUs,
    /// Latest time at which the store is known to have answered some daemon.
    answered_at_us: Option<TimeUs>,
    /// When a call of this daemon last failed, if no answer is known to have been given since.
    failed_at_us: Option<TimeUs>,
    /// When the store was back after the last outage that was long enough.
    returned_at_us: Option<TimeUs>,
}

impl StoreOutages {
    /// Creates the state of a daemon that knows nothing of the store; registrations can lapse in an
    /// outage of `shortest_us` or longer.
    pub const fn new(shortest_us: DurationUs) -> Self {
        Self {
            shortest_us,
            answered_at_us: None,
            failed_at_us: None,
            returned_at_us: None,
        }
    }

    /// Records that a call of this daemon failed.
    pub fn record_failure(&mut self, now: TimeUs) {
        self.failed_at_us = Some(now);
    }

    /// Records that the store answered this daemon or another one at time `at`.
    pub fn record_answer(&mut self, at: TimeUs) {
        if self.answered_at_us.is_some_and(|known| at <= known) {
            return;
        }
        if self.was_away_until(at) {
            self.returned_at_us = Some(at);
        }
        self.answered_at_us = Some(at);
        self.failed_at_us = self.failed_at_us.filter(|failed_at| *failed_at > at);
    }

    /// Records that the store returned with an older copy at time `at`. The copy lacks the
    /// registrations that were written since; their endpoints write them again.
    pub fn record_restoration(&mut self, at: TimeUs) {
        self.returned_at_us = Some(at);
    }

    /// Returns why a registration is absent of which this daemon learns now.
    pub fn absence_cause(&self, now: TimeUs) -> AbsenceCause {
        let returned_at = match self.was_away_until(now) {
            // The absence was read from the store, by this daemon or a peer, so the store is back.
            true => Some(now),
            false => self.returned_at_us,
        };
        let until = returned_at.map(|at| at + REREGISTRATION_TIMEOUT_US);
        match until.filter(|until_us| now < *until_us) {
            Some(until_us) => AbsenceCause::MayHaveLapsed { until_us },
            None => AbsenceCause::Left,
        }
    }

    /// Returns whether the store may have been away for long enough up to time `at`. Silence without a
    /// failed call is none: a watch is silent while nothing changes.
    fn was_away_until(&self, at: TimeUs) -> bool {
        let silence_us = self.answered_at_us.map(|known| at.since(known));
        self.failed_at_us.is_some() && silence_us.is_none_or(|silence| silence >= self.shortest_us)
    }
}
