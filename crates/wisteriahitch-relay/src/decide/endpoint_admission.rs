//! Decides whether an endpoint may get a call now.
//!
//! Endpoints in evacuated zones get no calls. Endpoints right after their start and endpoints that
//! name a limit get few, and endpoints that have asked for rest get none until it is over.

use std::collections::{BTreeSet, HashMap};

use wisteriahitch_types::{
    AvailabilityZone, DurationUs, EndpointInstance, EndpointStart, ServiceName, TimeUs,
};

use super::endpoint_row::EndpointRow;
use super::endpoint_table::EndpointTable;
use super::evacuated_zones::ZoneChange;
use super::permit_shares::{
    MAX_OBSERVATION_GAP_US, MinorityShare, PERMIT_ACTIVATION_DELAY_US, PermitShare, PermitShares,
};
use super::rate_limit::{RateLimit, ReservedPermits};

/// Limit on the calls to each cold endpoint of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServiceColdLimit {
    /// Permits of each cold endpoint.
    pub limit: RateLimit,
    /// How long an endpoint is cold after its start.
    pub cold_period_us: DurationUs,
}

/// When the permit shares were last updated, and from when the shares of the newest view of the
/// members may be used.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShareTimes {
    updated_at_us: TimeUs,
    usable_at_us: Option<TimeUs>,
}

/// Which bound a permit belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PermitSource {
    Cold,
    Named,
}

impl PermitSource {
    fn cause(self) -> LimitCause {
        match self {
            PermitSource::Cold => LimitCause::Cold,
            PermitSource::Named => LimitCause::Named,
        }
    }
}

/// Why an endpoint gets no call for a while.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitCause {
    /// The endpoint has just started.
    Cold,
    /// The endpoint names a limit itself.
    Named,
    /// The endpoint has turned away a call of this daemon and asked for rest.
    Resting,
}

/// Permits under which an endpoint gets one call: one for each bound that applies to it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallPermits {
    cold: Option<usize>,
    named: Option<usize>,
}

impl CallPermits {
    /// Returns whether the call needs no permit.
    pub fn is_empty(self) -> bool {
        self == Self::default()
    }

    fn get(self, source: PermitSource) -> Option<usize> {
        match source {
            PermitSource::Cold => self.cold,
            PermitSource::Named => self.named,
        }
    }

    fn set(&mut self, source: PermitSource, permit: usize) {
        match source {
            PermitSource::Cold => self.cold = Some(permit),
            PermitSource::Named => self.named = Some(permit),
        }
    }
}

/// A bound that applies to an endpoint now.
struct CallBound<'a> {
    source: PermitSource,
    limit: &'a RateLimit,
    reserved: &'a ReservedPermits,
    /// When the bound ends by itself; [`TimeUs::MAX`] if it doesn't.
    ends_at_us: TimeUs,
}

/// Whether an endpoint may get a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The endpoint may get a call.
    Open,
    /// The endpoint's calls are bounded, and it may get one under these permits.
    Permit(CallPermits),
    /// The endpoint may get no call before this time.
    Limited(LimitCause, TimeUs),
    /// The endpoint's zone is evacuated.
    Evacuated,
}

impl Admission {
    /// Returns whether the endpoint may get a call now.
    pub fn is_open(self) -> bool {
        matches!(self, Admission::Open | Admission::Permit(_))
    }
}

impl EndpointTable {
    /// Replaces the set of evacuated zones, and returns what has changed.
    ///
    /// Endpoints of a zone that is no longer evacuated count as cold from then on: operators
    /// restart them during an evacuation, and the last registration may be older than the restart.
    pub fn set_evacuated_zones(
        &mut self,
        zones: BTreeSet<AvailabilityZone>,
        now: TimeUs,
    ) -> Vec<ZoneChange> {
        let changes = self.evacuated.replace(zones);
        for change in &changes {
            if let ZoneChange::Restored(zone) = change {
                self.mark_zone_cold(zone, now);
            }
        }
        changes
    }

    fn mark_zone_cold(&mut self, zone: &AvailabilityZone, now: TimeUs) {
        for row in self
            .rows
            .values_mut()
            .filter(|row| row.endpoint.zone == *zone)
        {
            if let Some(cold) = self.cold_limits.get(&row.endpoint.service) {
                row.cold.extend_until(now + cold.cold_period_us);
            }
        }
    }

    /// Returns whether a connection to an endpoint must first ask which process answers there.
    ///
    /// An endpoint that has restarted under its id is cold, and reading its new registration may
    /// take seconds, or minutes while the store is down. The check isn't needed where endpoints
    /// report no start, since an id names one process there, nor where the service has no limit for
    /// cold endpoints. Only engines are asked: an endpoint without weights may have no report, and
    /// would get no call at all.
    pub fn must_verify_start(&self, instance: &EndpointInstance) -> bool {
        let row = self.get(instance).filter(|_| instance.start.is_some());
        let row = row.filter(|row| !row.endpoint.weights.is_empty());
        row.is_some_and(|row| self.cold_limits.contains_key(&row.endpoint.service))
    }

    /// Records the start that a process reports on a connection to an endpoint. Returns whether
    /// this starts a cold period.
    pub fn record_seen_start(
        &mut self,
        instance: &EndpointInstance,
        seen: Option<EndpointStart>,
        now: TimeUs,
    ) -> bool {
        let row = self.rows.get_mut(&instance.id);
        let Some(row) = row.filter(|row| row.instance() == instance) else {
            return false;
        };
        let Some(cold) = self.cold_limits.get(&row.endpoint.service) else {
            return false;
        };
        let is_new = row.cold.record_seen_start(instance.start, seen);
        if is_new {
            let until_us = now + cold.cold_period_us;
            row.cold
                .apply_change(Some(&cold.limit), now, |state| state.extend_until(until_us));
        }
        is_new
    }

    /// Replaces the limits of cold endpoints by service.
    pub fn set_cold_limits(&mut self, limits: HashMap<ServiceName, ServiceColdLimit>) {
        self.cold_limits = limits;
    }

    /// Updates how many permits of each bounded endpoint this daemon may use. Must be called
    /// several times a second.
    pub fn set_permit_shares(&mut self, shares: &PermitShares, now: TimeUs) {
        self.shares = Some(ShareTimes {
            updated_at_us: now,
            usable_at_us: shares.usable_at(),
        });
        for row in self.rows.values_mut() {
            let id = &row.endpoint.instance.id;
            let share = |limit: &RateLimit, rule| shares.share(id, limit.permits, rule, now);
            let cold = match row.cold.is_cold(now) {
                true => self.cold_limits.get(&row.endpoint.service),
                false => None,
            };
            // Outside a cold period the share is reset, since other daemons may hold the permits
            // when the next one begins.
            row.cold.permits.share = cold.map_or(PermitShare::default(), |cold| {
                share(&cold.limit, MinorityShare::Nothing)
            });
            if let Some(named) = row.statements.limit.stated_mut() {
                let limit = named.active_limit(self.limit_ttl_us, now);
                named.permits.share = limit.map_or(PermitShare::default(), |limit| {
                    share(limit, MinorityShare::Proportional)
                });
            }
        }
    }

    /// Returns how many endpoints are cold and bounded, for the metrics.
    pub fn cold_count(&self, now: TimeUs) -> usize {
        let is_cold = |row: &&EndpointRow| self.cold_limit(row, now).is_some();
        self.iter().filter(is_cold).count()
    }

    /// Returns the limit of a cold endpoint; `None` if the endpoint isn't cold or the deployment
    /// sets no bound.
    fn cold_limit(&self, row: &EndpointRow, now: TimeUs) -> Option<&RateLimit> {
        if !row.cold.is_cold(now) {
            return None;
        }
        let cold = self.cold_limits.get(&row.endpoint.service)?;
        Some(&cold.limit)
    }

    /// Lists the bounds that apply to an endpoint now.
    fn bounds<'a>(
        &'a self,
        row: &'a EndpointRow,
        now: TimeUs,
    ) -> impl Iterator<Item = CallBound<'a>> {
        let cold = self.cold_limit(row, now).map(|limit| CallBound {
            source: PermitSource::Cold,
            limit,
            reserved: &row.cold.permits,
            ends_at_us: row.cold.until_us,
        });
        let named = &row.statements.limit;
        let limit = named.active_limit(self.limit_ttl_us, now);
        let named = limit.map(|limit| CallBound {
            source: PermitSource::Named,
            limit,
            reserved: &named.permits,
            ends_at_us: TimeUs::MAX,
        });
        cold.into_iter().chain(named)
    }

    /// Returns whether an endpoint may get a call now.
    pub fn admission(&self, row: &EndpointRow, now: TimeUs) -> Admission {
        if self.is_evacuated(row) {
            return Admission::Evacuated;
        }
        let mut permits = CallPermits::default();
        let rest_until_us = row.statements.rest_until_us;
        let mut limited = (rest_until_us > now).then_some((LimitCause::Resting, rest_until_us));
        for bound in self.bounds(row, now) {
            let shares = self.fresh_shares(now);
            match shares.and_then(|_| bound.reserved.first_free(bound.limit, now)) {
                Some(permit) => permits.set(bound.source, permit),
                None => {
                    let free_at = self.free_at(&bound, now);
                    let is_later = limited.is_none_or(|(_, known)| free_at > known);
                    limited = if is_later {
                        Some((bound.source.cause(), free_at))
                    } else {
                        limited
                    };
                }
            }
        }
        match limited {
            Some((cause, free_at)) => Admission::Limited(cause, free_at),
            None if permits.is_empty() => Admission::Open,
            None => Admission::Permit(permits),
        }
    }

    /// Returns the earliest time at which an endpoint of a service takes a call of this daemon;
    /// `None` if no endpoint takes any.
    pub fn next_admission_at(&self, service: &ServiceName, now: TimeUs) -> Option<TimeUs> {
        let rows = self.rows.values();
        let rows = rows.filter(|row| row.endpoint.service == *service && row.accepts_requests());
        let times = rows.filter_map(|row| match self.admission(row, now) {
            Admission::Open | Admission::Permit(_) => Some(now),
            Admission::Limited(_, free_at) => Some(free_at),
            Admission::Evacuated => None,
        });
        times.min()
    }

    /// Returns when a bound allows the next call of this daemon.
    fn free_at(&self, bound: &CallBound<'_>, now: TimeUs) -> TimeUs {
        let shares = self.fresh_shares(now);
        let usable_at = shares.and_then(|shares| shares.usable_at_us);
        // Without a usable view of the members, the earliest possible one begins now.
        let usable_at = usable_at.unwrap_or(now + PERMIT_ACTIVATION_DELAY_US);
        let free_at = bound.reserved.next_free_at(bound.limit);
        let free_at = free_at.unwrap_or(now + bound.limit.window_us);
        free_at.max(usable_at).min(bound.ends_at_us)
    }

    /// Returns the update times of the permit shares, or `None` if the last update is too long ago
    /// for the shares to be used.
    fn fresh_shares(&self, now: TimeUs) -> Option<ShareTimes> {
        let is_fresh =
            |shares: &ShareTimes| now.since(shares.updated_at_us) <= MAX_OBSERVATION_GAP_US;
        self.shares.filter(is_fresh)
    }

    /// Marks the permits under which a call was placed as used, so that no other call is placed
    /// under them.
    pub fn mark_permits_used(
        &mut self,
        instance: &EndpointInstance,
        permits: CallPermits,
        now: TimeUs,
    ) {
        let Some(row) = self.get_mut(instance) else {
            return;
        };
        if let Some(permit) = permits.cold {
            row.cold.permits.mark_used(permit, now);
        }
        if let Some(permit) = permits.named {
            row.statements.limit.permits.mark_used(permit, now);
        }
    }

    /// Lists the evacuated zones.
    pub fn evacuated(&self) -> impl Iterator<Item = &AvailabilityZone> {
        self.evacuated.iter()
    }

    /// Returns whether an endpoint's zone is evacuated.
    pub fn is_evacuated(&self, row: &EndpointRow) -> bool {
        self.evacuated.contains(&row.endpoint.zone)
    }

    /// Returns whether a call that was placed at an endpoint may be sent there now, and if so marks
    /// its permits as used now.
    ///
    /// Opening a connection between placement and sending may have taken a while. An endpoint that is
    /// no longer in the table has left or restarted meanwhile, and gets no call.
    pub fn try_admit(
        &mut self,
        instance: &EndpointInstance,
        placed: CallPermits,
        now: TimeUs,
    ) -> bool {
        self.try_admit_if(instance, placed, now, |_, row| row.accepts_requests_at(now))
    }

    /// Like [`Self::try_admit`], for a stream that may be resumed at an endpoint which is about to
    /// leave.
    pub fn try_admit_resumed(
        &mut self,
        instance: &EndpointInstance,
        placed: CallPermits,
        now: TimeUs,
    ) -> bool {
        self.try_admit_if(instance, placed, now, |table, row| {
            row.accepts_requests_at(now) || table.accepts_resumed(row, now)
        })
    }

    fn try_admit_if(
        &mut self,
        instance: &EndpointInstance,
        placed: CallPermits,
        now: TimeUs,
        accepts: impl Fn(&Self, &EndpointRow) -> bool,
    ) -> bool {
        let Some(row) = self.get(instance) else {
            return false;
        };
        let is_resting = row.statements.rest_until_us > now;
        if self.is_evacuated(row) || !accepts(self, row) || is_resting {
            return false;
        }
        let Some(permits) = self.permits_to_send(row, placed, now) else {
            return false;
        };
        self.mark_permits_used(instance, permits, now);
        true
    }

    /// Returns the permits under which a call is sent: those of its placement, and free ones for
    /// bounds that have begun since. Returns `None` if one of them isn't available.
    fn permits_to_send(
        &self,
        row: &EndpointRow,
        placed: CallPermits,
        now: TimeUs,
    ) -> Option<CallPermits> {
        let mut permits = CallPermits::default();
        for bound in self.bounds(row, now) {
            self.fresh_shares(now)?;
            let permit = placed.get(bound.source);
            let permit = permit.or_else(|| bound.reserved.first_free(bound.limit, now))?;
            if !bound.reserved.contains(permit, now) {
                return None;
            }
            permits.set(bound.source, permit);
        }
        Some(permits)
    }
}
