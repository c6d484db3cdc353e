//! How many calls an endpoint bears right after its start.
//!
//! A cold endpoint crashes at a rate well above the one that its service states. The bound counts what all daemons
//! send, and no daemon sees what the others do in the same second. So each cold endpoint has a number of permits, each
//! good for one call in a window, and each permit has one daemon ([`super::cold_shares`]).
//! `docs/design/cold-endpoints.md` gives the reasons.

use wisteriahitch_types::{DurationUs, EndpointStart, TimeUs};

use super::cold_shares::PermitShare;

/// What a deployment allows beyond the rate that a service states.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// Multiple of the rate.
    pub rate_ratio: f64,
    /// Calls beyond that in any second.
    pub burst_calls: f64,
}

/// The part of the bound that all permits of an endpoint together use. Two views of the members may be in force at
/// once, and each gives out all permits.
const PERMITTED_SHARE: f64 = 0.5;

/// Shortest window of a permit, the second in which the bound counts calls.
const SECOND_US: DurationUs = DurationUs::from_ms(1_000);

/// What the clocks of a daemon and of an endpoint may differ by in a window.
const CLOCK_MARGIN_US: DurationUs = DurationUs::from_ms(20);

/// The permits of each cold endpoint of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdLimit {
    /// How many there are.
    pub permits: u32,
    /// How long each is used up after a call.
    pub window_us: DurationUs,
}

impl ColdLimit {
    /// Derives the permits from the calls a second that a cold endpoint bears and what the deployment allows beyond.
    ///
    /// ```
    /// use wisteriahitch_relay::{ColdBound, ColdLimit};
    ///
    /// let bound = ColdBound { rate_ratio: 1.5, burst_calls: 5.0 };
    /// assert_eq!(ColdLimit::new(8.8, bound).permits, 8);
    /// ```
    pub fn new(calls_per_s: f64, bound: ColdBound) -> Self {
        let most_per_s = calls_per_s * bound.rate_ratio + bound.burst_calls;
        let permitted_per_s = calls_per_s.min(most_per_s * PERMITTED_SHARE);
        if permitted_per_s >= 1.0 {
            return Self {
                permits: permitted_per_s as u32,
                window_us: SECOND_US + CLOCK_MARGIN_US,
            };
        }
        if permitted_per_s <= 0.0 || most_per_s < 1.0 {
            return Self {
                permits: 0,
                window_us: SECOND_US,
            };
        }
        // One permit, used less than once a second.
        Self {
            permits: 1,
            window_us: DurationUs::from_secs_f64(1.0 / permitted_per_s) + CLOCK_MARGIN_US,
        }
    }
}

/// What one daemon knows and uses of one endpoint's coldness.
#[derive(Clone, Debug, Default)]
pub struct ColdState {
    /// Until when it is cold.
    pub until_us: TimeUs,
    /// Until when it is taken to be cold, whatever it says.
    assumed_until_us: TimeUs,
    /// Start of the process that answered last, where it isn't the registered one or tells none.
    other_start: Option<Option<EndpointStart>>,
    /// How many of its permits this daemon may use.
    pub share: PermitShare,
    /// When each permit that this daemon holds was last used.
    used_at_us: Vec<Option<TimeUs>>,
}

impl ColdState {
    /// Starts with an endpoint that is cold until a time.
    pub(super) fn until(until_us: TimeUs) -> Self {
        Self {
            until_us,
            ..Self::default()
        }
    }

    /// Returns whether it is cold.
    pub fn is_cold(&self, now: TimeUs) -> bool {
        self.until_us > now
    }

    /// Takes over what it says itself.
    pub(super) fn told_until(&mut self, until_us: TimeUs) {
        self.until_us = until_us.max(self.assumed_until_us);
    }

    /// Takes it for cold until a time at least.
    pub(super) fn assume_until(&mut self, until_us: TimeUs) {
        self.assumed_until_us = self.assumed_until_us.max(until_us);
        self.until_us = self.until_us.max(until_us);
    }

    /// Notes the start of the process that answers there now, and returns whether it isn't known to be the one that
    /// answered before.
    pub(super) fn saw_start(
        &mut self,
        registered: Option<EndpointStart>,
        seen: Option<EndpointStart>,
    ) -> bool {
        let known = self.other_start.unwrap_or(registered);
        self.other_start = (seen != registered).then_some(seen);
        seen.is_none() || seen != known
    }

    /// Returns the first permit that may be used now.
    pub fn free_permit(&self, limit: &ColdLimit, now: TimeUs) -> Option<usize> {
        (0..self.share.at(now)).find(|permit| self.free_at(*permit, limit) <= now)
    }

    /// Returns when the next permit is free that this daemon may use now or later; none where there is none.
    pub fn next_free_at(&self, limit: &ColdLimit) -> Option<TimeUs> {
        (0..self.share.most())
            .map(|permit| self.free_at(permit, limit))
            .min()
    }

    /// Uses a permit, or renews its use when the call's bytes leave. Returns whether this daemon still holds it.
    pub fn use_permit(&mut self, permit: usize, now: TimeUs) -> bool {
        if permit >= self.share.at(now) {
            return false;
        }
        if self.used_at_us.len() <= permit {
            self.used_at_us.resize(permit + 1, None);
        }
        self.used_at_us[permit] = Some(now);
        true
    }

    /// Makes a change that may turn it cold. Where it does, calls were sent to it without permits, and all permits count
    /// as just used.
    pub(super) fn turn(
        &mut self,
        limit: Option<&ColdLimit>,
        now: TimeUs,
        change: impl FnOnce(&mut Self),
    ) {
        let was_cold = self.is_cold(now);
        change(self);
        if let Some(limit) = limit.filter(|_| !was_cold && self.is_cold(now)) {
            self.used_at_us = vec![Some(now); limit.permits as usize];
        }
    }

    fn free_at(&self, permit: usize, limit: &ColdLimit) -> TimeUs {
        let used_at = self.used_at_us.get(permit).copied().flatten();
        used_at.map_or(TimeUs::ZERO, |used_at| used_at + limit.window_us)
    }
}
