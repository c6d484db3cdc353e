//! Until when an endpoint counts as cold, that is, takes only few calls after its start.
//!
//! A cold endpoint crashes at a call rate well above the one that its service states, so permits
//! bound the calls that it gets ([`super::rate_limit`]). `docs/design/cold-endpoints.md` gives the
//! reasons.

use wisteriahitch_types::{EndpointStart, TimeUs};

use super::rate_limit::{RateLimit, ReservedPermits};

/// Cold period of one endpoint, and the permits that this daemon uses during it.
#[derive(Clone, Debug, Default)]
pub struct ColdState {
    /// End of the cold period.
    pub until_us: TimeUs,
    /// Earliest end of the cold period, whatever the endpoint reports.
    assumed_until_us: TimeUs,
    /// Start of the process that answered last, if it differs from the registered start.
    /// `Some(None)` means that the process reported no start.
    unregistered_start: Option<Option<EndpointStart>>,
    /// Permits that this daemon holds.
    pub permits: ReservedPermits,
}

impl ColdState {
    /// Creates the state of an endpoint that is cold until `until_us`.
    pub(super) fn cold_until(until_us: TimeUs) -> Self {
        Self {
            until_us,
            ..Self::default()
        }
    }

    /// Returns whether the endpoint is cold.
    pub fn is_cold(&self, now: TimeUs) -> bool {
        self.until_us > now
    }

    /// Applies the end of the cold period that the endpoint reports.
    pub(super) fn set_reported_until(&mut self, until_us: TimeUs) {
        self.until_us = until_us.max(self.assumed_until_us);
    }

    /// Keeps the endpoint cold until `until_us` at least, whatever it reports.
    pub(super) fn extend_until(&mut self, until_us: TimeUs) {
        self.assumed_until_us = self.assumed_until_us.max(until_us);
        self.until_us = self.until_us.max(until_us);
    }

    /// Records the start of the process that answers at the endpoint's address. Returns whether it
    /// may be another process than the one that answered before; a process that reports no start
    /// always may.
    pub(super) fn record_seen_start(
        &mut self,
        registered: Option<EndpointStart>,
        seen: Option<EndpointStart>,
    ) -> bool {
        let known = self.unregistered_start.unwrap_or(registered);
        self.unregistered_start = (seen != registered).then_some(seen);
        seen.is_none() || seen != known
    }

    /// Makes a change that may start a cold period. If it does, earlier calls were sent without
    /// permits, so all permits count as just used.
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
