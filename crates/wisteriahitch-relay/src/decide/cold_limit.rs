//! Until when an endpoint bears few calls after its start.
//!
//! A cold endpoint crashes at a rate well above the one that its service states. Permits bound what it gets
//! ([`super::rate_limit`]). `docs/design/cold-endpoints.md` gives the reasons.

use wisteriahitch_types::{EndpointStart, TimeUs};

use super::rate_limit::{RateLimit, ReservedPermits};

/// What one daemon knows and uses of one endpoint's coldness.
#[derive(Clone, Debug, Default)]
pub struct ColdState {
    /// Until when it is cold.
    pub until_us: TimeUs,
    /// Until when it is taken to be cold, whatever it says.
    assumed_until_us: TimeUs,
    /// Start of the process that answered last, where it isn't the registered one or tells none.
    unregistered_start: Option<Option<EndpointStart>>,
    /// Permits that this daemon holds.
    pub permits: ReservedPermits,
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
    pub(super) fn set_reported_until(&mut self, until_us: TimeUs) {
        self.until_us = until_us.max(self.assumed_until_us);
    }

    /// Takes it for cold until a time at least.
    pub(super) fn extend_until(&mut self, until_us: TimeUs) {
        self.assumed_until_us = self.assumed_until_us.max(until_us);
        self.until_us = self.until_us.max(until_us);
    }

    /// Notes the start of the process that answers there now, and returns whether it isn't known to be the one that
    /// answered before.
    pub(super) fn record_seen_start(
        &mut self,
        registered: Option<EndpointStart>,
        seen: Option<EndpointStart>,
    ) -> bool {
        let known = self.unregistered_start.unwrap_or(registered);
        self.unregistered_start = (seen != registered).then_some(seen);
        seen.is_none() || seen != known
    }

    /// Makes a change that may turn it cold. Where it does, calls were sent to it without permits, and all permits count
    /// as just used.
    pub(super) fn apply_change(
        &mut self,
        limit: Option<&RateLimit>,
        now: TimeUs,
        change: impl FnOnce(&mut Self),
    ) {
        let was_cold = self.is_cold(now);
        change(self);
        if let Some(limit) = limit.filter(|_| !was_cold && self.is_cold(now)) {
            self.permits.mark_all_used(limit, now);
        }
    }
}
