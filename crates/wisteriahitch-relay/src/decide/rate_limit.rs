//! Permits for the calls that an endpoint takes from all daemons together.
//!
//! A bound on the calls of an endpoint counts what all daemons send, and no daemon sees what the others do in the same
//! moment. So the endpoint has a number of permits, each good for one call in a window, and each permit has one daemon
//! ([`super::permit_shares`]). Endpoints right after their start and endpoints that name a limit are bounded alike.
//! `docs/design/endpoint-limits.md` gives the reasons.

use wisteriahitch_types::{DurationUs, TimeUs};

use super::permit_shares::PermitShare;

/// What a deployment allows beyond a stated rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateBound {
    /// Multiple of the rate.
    pub rate_ratio: f64,
    /// Calls beyond that in any span.
    pub burst_calls: f64,
    /// Span in which the calls are counted.
    pub span_us: DurationUs,
}

/// The part of the bound that all permits of an endpoint together use. Two views of the members may be in force at
/// once, and each gives out all permits.
const PERMITTED_FRACTION: f64 = 0.5;

/// What the clocks of a daemon and of an endpoint may differ by in a window.
const MAX_CLOCK_DRIFT_US: DurationUs = DurationUs::from_ms(20);

/// The permits of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RateLimit {
    /// How many there are.
    pub permits: u32,
    /// How long each is used up after a call.
    pub window_us: DurationUs,
}

impl RateLimit {
    /// Derives the permits from the calls a second that an endpoint bears and what the deployment allows beyond.
    ///
    /// ```
    /// use wisteriahitch_relay::{RateBound, RateLimit};
    /// use wisteriahitch_types::DurationUs;
    ///
    /// let bound = RateBound {
    ///     rate_ratio: 1.5,
    ///     burst_calls: 5.0,
    ///     span_us: DurationUs::from_ms(1_000),
    /// };
    /// assert_eq!(RateLimit::new(8.8, bound).permits, 8);
    /// ```
    pub fn new(calls_per_s: f64, bound: RateBound) -> Self {
        let span_s = bound.span_us.as_secs_f64();
        let calls_per_span = calls_per_s * span_s;
        let max_per_span = calls_per_span * bound.rate_ratio + bound.burst_calls;
        let permitted_per_span = calls_per_span.min(max_per_span * PERMITTED_FRACTION);
        if permitted_per_span >= 1.0 {
            return Self {
                permits: permitted_per_span as u32,
                window_us: bound.span_us + MAX_CLOCK_DRIFT_US,
            };
        }
        if permitted_per_span <= 0.0 || max_per_span < 1.0 {
            return Self {
                permits: 0,
                window_us: bound.span_us,
            };
        }
        // One permit, used less than once in a span.
        Self {
            permits: 1,
            window_us: DurationUs::from_secs_f64(span_s / permitted_per_span) + MAX_CLOCK_DRIFT_US,
        }
    }
}

/// Which of an endpoint's permits one daemon holds, and when it used them.
#[derive(Clone, Debug, Default)]
pub struct ReservedPermits {
    /// How many it may use.
    pub share: PermitShare,
    /// When each was last used.
    used_at_us: Vec<Option<TimeUs>>,
}

impl ReservedPermits {
    /// Returns the first permit that may be used now.
    pub fn first_free(&self, limit: &RateLimit, now: TimeUs) -> Option<usize> {
        (0..self.share.at(now)).find(|permit| self.free_at(*permit, limit) <= now)
    }

    /// Returns when the next permit is free that this daemon may use now or later; none where there is none.
    pub fn next_free_at(&self, limit: &RateLimit) -> Option<TimeUs> {
        (0..self.share.max())
            .map(|permit| self.free_at(permit, limit))
            .min()
    }

    /// Returns whether this daemon holds a permit.
    pub fn contains(&self, permit: usize, now: TimeUs) -> bool {
        permit < self.share.at(now)
    }

    /// Uses a permit, or renews its use when the call's bytes leave.
    pub fn mark_used(&mut self, permit: usize, now: TimeUs) {
        if self.used_at_us.len() <= permit {
            self.used_at_us.resize(permit + 1, None);
        }
        self.used_at_us[permit] = Some(now);
    }

    /// Takes all permits for just used, where calls were sent without them.
    pub(super) fn mark_all_used(&mut self, limit: &RateLimit, now: TimeUs) {
        self.used_at_us = vec![Some(now); limit.permits as usize];
    }

    fn free_at(&self, permit: usize, limit: &RateLimit) -> TimeUs {
        let used_at = self.used_at_us.get(permit).copied().flatten();
        used_at.map_or(TimeUs::ZERO, |used_at| used_at + limit.window_us)
    }
}
