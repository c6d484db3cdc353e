//! Whether an endpoint may get a call now: evacuated zones, and endpoints right after their start.

use std::collections::{BTreeSet, HashMap};

use wisteriahitch_types::{
    AvailabilityZone, DurationUs, EndpointInstance, EndpointStart, ServiceName, TimeUs,
};

use super::endpoint_row::EndpointRow;
use super::endpoint_table::EndpointTable;
use super::evacuated_zones::ZoneChange;
use super::permit_shares::{HOLD_US, LONGEST_GAP_US, PermitShare, PermitShares};
use super::rate_limit::RateLimit;

/// What cold endpoints of a service bear.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServiceColdness {
    /// Permits of each.
    pub limit: RateLimit,
    /// How long one is cold after its start.
    pub start_us: DurationUs,
}

/// How fresh the shares of permits are.
#[derive(Clone, Copy, Debug)]
pub(super) struct SharesAsOf {
    known_at_us: TimeUs,
    usable_at_us: Option<TimeUs>,
}

/// Says whether an endpoint may get a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may.
    Open,
    /// It is cold, and may get one under this permit.
    Permit(usize),
    /// It is cold, and may get none before this time.
    Cold(TimeUs),
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
    pub fn set_evacuated(
        &mut self,
        zones: BTreeSet<AvailabilityZone>,
        now: TimeUs,
    ) -> Vec<ZoneChange> {
        let changes = self.evacuated.replace(zones);
        for change in &changes {
            if let ZoneChange::Restored(zone) = change {
                self.assume_cold(zone, now);
            }
        }
        changes
    }

    fn assume_cold(&mut self, zone: &AvailabilityZone, now: TimeUs) {
        for row in self
            .rows
            .values_mut()
            .filter(|row| row.endpoint.zone == *zone)
        {
            if let Some(cold) = self.cold_limits.get(&row.endpoint.service) {
                row.cold.assume_until(now + cold.start_us);
            }
        }
    }

    /// Returns whether a connection to an endpoint must first say which process is at its other end.
    ///
    /// One that has started again under its id is cold, and its registration may take seconds or, without the store,
    /// minutes to be read. Where no start is told, an id names one process; where no limit is stated, it doesn't matter.
    /// Engines alone are asked: who has no weights may have no report, and would get no call at all.
    pub fn needs_start(&self, instance: &EndpointInstance) -> bool {
        let row = self.get(instance).filter(|_| instance.start.is_some());
        let row = row.filter(|row| !row.endpoint.weights.is_empty());
        row.is_some_and(|row| self.cold_limits.contains_key(&row.endpoint.service))
    }

    /// Notes which start a process has told on a connection to an endpoint, and returns whether the endpoint counts as
    /// cold since.
    pub fn saw_start(
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
        let is_new = row.cold.saw_start(instance.start, seen);
        if is_new {
            let until_us = now + cold.start_us;
            row.cold
                .turn(Some(&cold.limit), now, |state| state.assume_until(until_us));
        }
        is_new
    }

    /// Takes over what cold endpoints of each service bear.
    pub fn set_cold_limits(&mut self, limits: HashMap<ServiceName, ServiceColdness>) {
        self.cold_limits = limits;
    }

    /// Takes over how many permits of each cold endpoint this daemon holds. To be called several times a second.
    pub fn set_shares(&mut self, shares: &PermitShares, now: TimeUs) {
        self.shares = Some(SharesAsOf {
            known_at_us: now,
            usable_at_us: shares.usable_at(),
        });
        for row in self.rows.values_mut() {
            if !row.cold.is_cold(now) {
                // Whoever holds permits when it turns cold again is found out anew.
                row.cold.permits.share = PermitShare::default();
                continue;
            }
            if let Some(cold) = self.cold_limits.get(&row.endpoint.service) {
                let id = &row.endpoint.instance.id;
                row.cold.permits.share = shares.share(id, cold.limit.permits, now);
            }
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

    /// Says whether an endpoint may get a call now.
    pub fn admission(&self, row: &EndpointRow, now: TimeUs) -> Admission {
        if self.is_evacuated(row) {
            return Admission::Evacuated;
        }
        let Some(limit) = self.cold_limit(row, now) else {
            return Admission::Open;
        };
        let shares = self.fresh_shares(now);
        if let Some(permit) = shares.and_then(|_| row.cold.permits.free(limit, now)) {
            return Admission::Permit(permit);
        }
        let usable_at = shares.and_then(|shares| shares.usable_at_us);
        // Without a view of the members, one may begin now at the earliest.
        let usable_at = usable_at.unwrap_or(now + HOLD_US);
        let free_at = row
            .cold
            .permits
            .next_free_at(limit)
            .unwrap_or(now + limit.window_us);
        Admission::Cold(free_at.max(usable_at).min(row.cold.until_us))
    }

    /// Returns as of when shares are known, unless that is too long ago to go by them.
    fn fresh_shares(&self, now: TimeUs) -> Option<SharesAsOf> {
        let is_fresh = |shares: &SharesAsOf| now.since(shares.known_at_us) <= LONGEST_GAP_US;
        self.shares.filter(is_fresh)
    }

    /// Uses the permit under which a call was placed, so that no other call is placed under it.
    pub fn use_permit(&mut self, instance: &EndpointInstance, permit: usize, now: TimeUs) {
        if let Some(row) = self.get_mut(instance) {
            row.cold.permits.use_up(permit, now);
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
    pub fn admits(
        &mut self,
        instance: &EndpointInstance,
        permit: Option<usize>,
        now: TimeUs,
    ) -> bool {
        let Some(row) = self.get(instance) else {
            return true;
        };
        let permit = match (self.admission(row, now), permit) {
            (Admission::Evacuated, _) => return false,
            (Admission::Open, _) => return true,
            (_, Some(permit)) if self.fresh_shares(now).is_some() => permit,
            // It has turned cold since.
            (Admission::Permit(permit), None) => permit,
            _ => return false,
        };
        let row = self.get_mut(instance);
        let Some(row) = row.filter(|row| row.cold.permits.holds(permit, now)) else {
            return false;
        };
        row.cold.permits.use_up(permit, now);
        true
    }
}
