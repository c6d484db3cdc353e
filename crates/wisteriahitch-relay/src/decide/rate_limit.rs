//! Permits that bound the calls an endpoint gets from all daemons together.
//!
//! The bound counts the calls of all daemons, and no daemon knows what the others send at the same
//! moment. So an endpoint has a number of permits, each of which allows one call per window and
//! belongs to one daemon ([`super::permit_shares`]). Endpoints right after their start and
//! endpoints that name a limit are bounded alike. `docs/design/endpoint-limits.md` gives the
//! reasons.

use wisteriahitch_types::{DurationUs, TimeUs};

use super::permit_shares::PermitShare;

/// How many calls a deployment allows beyond a stated rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateBound {
    /// Factor on the stated rate.
    pub rate_ratio: f64,
    /// Additional calls in any span.
    pub burst_calls: f64,
    /// Length of the span in which calls are counted.
    pub span_us: DurationUs,
}

/// Fraction of the bound that all permits of an endpoint use together. Two views of the members may
/// be in force at once, and each of them assigns all permits.
const PERMITTED_FRACTION: f64 = 0.5;

/// Maximum drift between the clocks of a daemon and an endpoint within a window.
const MAX_CLOCK_DRIFT_US: DurationUs = DurationUs::from_ms(20);

/// Permits of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RateLimit {
    /// Number of permits.
    pub permits: u32,
    /// How long a permit can't be used again after a call.
    pub window_us: DurationUs,
}

impl RateLimit {
    /// Derives the permits from the rate of calls per second that an endpoint states, and from what
    /// the deployment allows beyond it.
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
        // One permit with a window longer than the span.
        Self {
            permits: 1,
            window_us: DurationUs::from_secs_f64(span_s / permitted_per_span) + MAX_CLOCK_DRIFT_US,
        }
    }
}

/// One daemon's permits of an endpoint, and when it last used them.
#[derive(Clone, Debug, Default)]
pub struct ReservedPermits {
    /// How many of the permits this daemon may use.
    pub share: PermitShare,
    /// When each permit was last used; `None` if never.
    used_at_us: Vec<Option<TimeUs>>,
}

impl ReservedPermits {
    /// Returns the first permit that may be used now.
    pub fn first_free(&self, limit: &RateLimit, now: TimeUs) -> Option<usize> {
        (0..self.share.at(now)).find(|permit| self.free_at(*permit, limit) <= now)
    }

    /// Returns when this daemon may use a permit next; `None` if it has none now or later.
    pub fn next_free_at(&self, limit: &RateLimit) -> Option<TimeUs> {
        (0..self.share.max())
            .map(|permit| self.free_at(permit, limit))
            .min()
    }

    /// Returns whether this daemon may use a permit at all, used up or not.
    pub fn contains(&self, permit: usize, now: TimeUs) -> bool {
        permit < self.share.at(now)
    }

    /// Marks a permit as used now: when a call is placed, and again when its bytes are sent.
    pub fn mark_used(&mut self, permit: usize, now: TimeUs) {
        if self.used_at_us.len() <= permit {
            self.used_at_us.resize(permit + 1, None);
        }
        self.used_at_us[permit] = Some(now);
    }

    /// Marks all permits as just used, after calls were sent without permits.
    pub(super) fn mark_all_used(&mut self, limit: &RateLimit, now: TimeUs) {
        self.used_at_us = vec![Some(now); limit.permits as usize];
    }

    fn free_at(&self, permit: usize, limit: &RateLimit) -> TimeUs {
        let used_at = self.used_at_us.get(permit).copied().flatten();
        used_at.map_or(TimeUs::ZERO, |used_at| used_at + limit.window_us)
    }
}
