//! Whether an endpoint may get a call now: evacuated zones, endpoints right after their start, endpoints that name a limit,
//! and endpoints that have asked for rest.

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

/// What cold endpoints of a service bear.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServiceColdLimit {
    /// Permits of each.
    pub limit: RateLimit,
    /// How long one is cold after its start.
    pub cold_period_us: DurationUs,
}

/// How fresh the shares of permits are.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShareTimes {
    updated_at_us: TimeUs,
    usable_at_us: Option<TimeUs>,
}

/// Says what an endpoint's permits are given out for.
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

/// Says why an endpoint gets no call for a while.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitCause {
    /// It has just started.
    Cold,
    /// It names a limit itself.
    Named,
    /// It has turned a call of this daemon away and asked for rest.
    Resting,
}

/// The permits under which an endpoint gets one call, one for each cause that bounds it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallPermits {
    cold: Option<usize>,
    named: Option<usize>,
}

impl CallPermits {
    /// Returns whether no permit is needed.
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

/// One bound that an endpoint is under.
struct CallBound<'a> {
    source: PermitSource,
    limit: &'a RateLimit,
    reserved: &'a ReservedPermits,
    /// When it ends by itself.
    ends_at_us: TimeUs,
}

/// Says whether an endpoint may get a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may.
    Open,
    /// Its calls are bounded, and it may get one under these permits.
    Permit(CallPermits),
    /// It may get none before this time.
    Limited(LimitCause, TimeUs),
    /// Its zone is evacuated.
    Evacuated,
}

impl Admission {
    /// Returns whether the endpoint may get a call now.
    pub fn is_open(self) -> bool {
        matches!(self, Admission::Open | Admission::Permit(_))
    }
}

impl EndpointTable {
    /// Takes over which zones are evacuated, and returns what has changed.
    ///
    /// Endpoints of a zone that may be used again count as cold from then on: operators restart them meanwhile, and
    /// what they registered last may be older than that.
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

    /// Returns whether a connection to an endpoint must first say which process is at its other end.
    ///
    /// One that has started again under its id is cold, and its registration may take seconds or, without the store,
    /// minutes to be read. Where no start is told, an id names one process; where no limit is stated, it doesn't matter.
    /// Engines alone are asked: who has no weights may have no report, and would get no call at all.
    pub fn must_verify_start(&self, instance: &EndpointInstance) -> bool {
        let row = self.get(instance).filter(|_| instance.start.is_some());
        let row = row.filter(|row| !row.endpoint.weights.is_empty());
        row.is_some_and(|row| self.cold_limits.contains_key(&row.endpoint.service))
    }

    /// Notes which start a process has told on a connection to an endpoint, and returns whether the endpoint counts as
    /// cold since.
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

    /// Takes over what cold endpoints of each service bear.
    pub fn set_cold_limits(&mut self, limits: HashMap<ServiceName, ServiceColdLimit>) {
        self.cold_limits = limits;
    }

    /// Takes over how many permits of each bounded endpoint this daemon holds. To be called several times a second.
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
            // Whoever holds permits when the bound begins again is found out anew.
            row.cold.permits.share = cold.map_or(PermitShare::default(), |cold| {
                share(&cold.limit, MinorityShare::Nothing)
            });
            let named = &mut row.statements.limit;
            let limit = named.active_limit(self.limit_ttl_us, now);
            named.permits.share = limit.map_or(PermitShare::default(), |limit| {
                share(limit, MinorityShare::Proportional)
            });
        }
    }

    /// Returns how many endpoints are cold, for the metrics.
    pub fn cold_count(&self, now: TimeUs) -> usize {
        let is_cold = |row: &&EndpointRow| self.cold_limit(row, now).is_some();
        self.rows.values().filter(is_cold).count()
    }

    /// Returns the limit that an endpoint is under; none where it isn't cold or the deployment has no bound.
    fn cold_limit(&self, row: &EndpointRow, now: TimeUs) -> Option<&RateLimit> {
        if !row.cold.is_cold(now) {
            return None;
        }
        let cold = self.cold_limits.get(&row.endpoint.service)?;
        Some(&cold.limit)
    }

    /// Lists the bounds that an endpoint is under now.
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

    /// Says whether an endpoint may get a call now.
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

    /// Returns when an endpoint of a service takes the next call of this daemon; none where no endpoint takes any.
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

    /// Returns when a bound lets the next call of this daemon through.
    fn free_at(&self, bound: &CallBound<'_>, now: TimeUs) -> TimeUs {
        let shares = self.fresh_shares(now);
        let usable_at = shares.and_then(|shares| shares.usable_at_us);
        // Without a view of the members, one may begin now at the earliest.
        let usable_at = usable_at.unwrap_or(now + PERMIT_ACTIVATION_DELAY_US);
        let free_at = bound.reserved.next_free_at(bound.limit);
        let free_at = free_at.unwrap_or(now + bound.limit.window_us);
        free_at.max(usable_at).min(bound.ends_at_us)
    }

    /// Returns as of when shares are known, unless that is too long ago to go by them.
    fn fresh_shares(&self, now: TimeUs) -> Option<ShareTimes> {
        let is_fresh =
            |shares: &ShareTimes| now.since(shares.updated_at_us) <= MAX_OBSERVATION_GAP_US;
        self.shares.filter(is_fresh)
    }

    /// Uses the permits under which a call was placed, so that no other call is placed under them.
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

    /// Returns whether a call that was placed at an endpoint may be sent there now, and counts it against the
    /// endpoint's permits as of now: between placement and sending a connection may have been opened. An endpoint that
    /// is no longer known gets it: nothing is held against it.
    pub fn try_admit(
        &mut self,
        instance: &EndpointInstance,
        placed: CallPermits,
        now: TimeUs,
    ) -> bool {
        let Some(row) = self.get(instance) else {
            return true;
        };
        let is_resting = row.statements.rest_until_us > now;
        if self.is_evacuated(row) || !row.accepts_requests() || is_resting {
            return false;
        }
        let Some(permits) = self.permits_to_send(row, placed, now) else {
            return false;
        };
        self.mark_permits_used(instance, permits, now);
        true
    }

    /// Returns the permits under which a call is sent: those that it was placed with, and free ones for bounds that have
    /// begun since. None where one is missing.
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
