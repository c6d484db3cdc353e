//! Brings endpoints to the wanted state, a few at a time.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use wisteriahitch_types::{DurationUs, EndpointId, ModelName, Share, TimeUs};

use super::choosing::{count_at_target, version_before};
use super::confirmation::Confirmation;
use super::rollout::Rollout;
use super::{
    Blocked, EndpointOrder, EndpointReport, PlannedOrder, RolloutProgress, WantedEndpoint,
    WantedState,
};

/// Holds the bounds of rollouts.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct PlannerSettings {
    /// Different reports in a row that must show an order's effect.
    pub wanted_reads: u32,
    /// Failed loads of a version after which its rollout stops and goes back.
    pub max_failures: u32,
    /// Part of a model's endpoints that stays ready.
    pub ready_share: Share,
    /// Longest time from an order to its last confirmation.
    pub confirm_us: DurationUs,
    /// Pause after a failed order before the endpoint is given another one.
    pub retry_us: DurationUs,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            wanted_reads: 2,
            max_failures: 2,
            ready_share: Share::try_from(0.5).unwrap_or(Share::ONE),
            confirm_us: DurationUs::from_ms(60_000),
            retry_us: DurationUs::from_ms(5_000),
        }
    }
}

/// Holds what the planner looks at.
#[derive(Clone, Copy, Debug)]
pub struct SiteView<'a> {
    /// What the configuration wants.
    pub wanted: &'a WantedState,
    /// What every endpoint last reported.
    pub reports: &'a BTreeMap<EndpointId, EndpointReport>,
    /// Endpoints that this daemon may give orders to now.
    pub owned: &'a BTreeSet<EndpointId>,
    /// Loads that this daemon may have under way at once; none without a lease of loads.
    pub load_slots: u32,
}

/// Plans orders, follows them, and stops a rollout that fails.
///
/// The shell asks the lease for a grant right before it sends a planned order, and tells the end
/// with [`OrderPlanner::order_done`].
#[derive(Clone, Debug, Default, Serialize)]
pub struct OrderPlanner {
    pub(super) settings: PlannerSettings,
    pub(super) rollouts: BTreeMap<ModelName, Rollout>,
    pub(super) running: BTreeMap<EndpointId, Confirmation>,
    pub(super) resting_until_us: BTreeMap<EndpointId, TimeUs>,
    pub(super) blocked: BTreeMap<EndpointId, (ModelName, Blocked)>,
}

impl OrderPlanner {
    /// Starts without any rollout.
    pub fn new(settings: PlannerSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Looks at the site and returns the orders to give now.
    pub fn plan(&mut self, site: SiteView<'_>, now: TimeUs) -> Vec<PlannedOrder> {
        self.follow_wanted(site);
        self.confirm(site, now);
        self.note_complete(site);
        self.blocked.clear();
        self.resting_until_us.retain(|_, until| *until > now);
        let mut planned = Vec::new();
        for (endpoint, wanted) in &site.wanted.endpoints {
            if let Some(order) = self.next_order(endpoint, wanted, site) {
                let confirmation = Confirmation::new(order.clone(), now);
                self.running.insert(endpoint.clone(), confirmation);
                let endpoint = endpoint.clone();
                planned.push(PlannedOrder { endpoint, order });
            }
        }
        planned
    }

    /// Notes that an order was answered (`is_good`), or failed or could not be given.
    pub fn order_done(&mut self, endpoint: &EndpointId, is_good: bool, now: TimeUs) {
        match self.running.get_mut(endpoint) {
            Some(running) if is_good => running.is_answered = true,
            Some(_) => self.fail(endpoint, now),
            None => {}
        }
    }

    /// Notes that an order wasn't sent, because the lease didn't allow it; no failure of its own.
    pub fn order_withdrawn(&mut self, endpoint: &EndpointId) {
        self.running.remove(endpoint);
    }

    /// Returns the endpoint that is to load next, whoever may give it orders; its owner is the one
    /// for [`LeaseTable::set_rollout_owner`](crate::fleet::LeaseTable::set_rollout_owner).
    pub fn next_to_load<'a>(&self, site: SiteView<'a>) -> Option<&'a EndpointId> {
        let is_next = |endpoint: &EndpointId, wanted: &WantedEndpoint| {
            if self
                .running
                .get(endpoint)
                .is_some_and(|r| r.order.is_load())
            {
                return true;
            }
            let report = site.reports.get(endpoint).filter(|r| !r.is_leaving);
            let order = report.and_then(|report| self.difference(wanted, report));
            let load = order.filter(EndpointOrder::is_load);
            let model = load.as_ref().and_then(EndpointOrder::model);
            model.is_some_and(|model| self.can_spare(endpoint, model, site))
        };
        let mut endpoints = site.wanted.endpoints.iter();
        endpoints
            .find(|(endpoint, wanted)| is_next(endpoint, wanted))
            .map(|(endpoint, _)| endpoint)
    }

    /// Returns whether an endpoint's present order isn't confirmed yet; it then gets no work for a
    /// version that it doesn't report.
    pub fn is_changing(&self, endpoint: &EndpointId) -> bool {
        self.running.contains_key(endpoint)
    }

    /// Returns how far every model is, for operators.
    pub fn progress(&self, site: SiteView<'_>) -> Vec<RolloutProgress> {
        let progress = |(model, rollout): (&ModelName, &Rollout)| RolloutProgress {
            model: model.clone(),
            from: rollout.from.clone(),
            to: rollout.to.clone(),
            phase: rollout.phase,
            total: site.wanted.holders(model).count(),
            done: count_at_target(model, rollout, site),
            loading: self.loading_of(model),
            failures: rollout.failures,
            blocked: self.blocked_of(model),
        };
        self.rollouts.iter().map(progress).collect()
    }

    pub(super) fn loading_of(&self, model: &ModelName) -> Vec<EndpointId> {
        self.running
            .iter()
            .filter(|(_, running)| running.order.is_load() && running.order.model() == Some(model))
            .map(|(endpoint, _)| endpoint.clone())
            .collect()
    }

    pub(super) fn blocked_of(&self, model: &ModelName) -> Vec<(EndpointId, Blocked)> {
        self.blocked
            .iter()
            .filter(|(_, (of, _))| of == model)
            .map(|(endpoint, (_, reason))| (endpoint.clone(), *reason))
            .collect()
    }

    /// Starts a rollout for every model whose wanted version is new.
    pub(super) fn follow_wanted(&mut self, site: SiteView<'_>) {
        let versions = site.wanted.versions();
        self.rollouts
            .retain(|model, _| versions.contains_key(model));
        for (model, version) in versions {
            let is_known = self.rollouts.get(model).is_some_and(|r| r.to == *version);
            if !is_known {
                let from = version_before(model, version, site);
                let rollout = Rollout::new(from, version.clone());
                self.rollouts.insert(model.clone(), rollout);
            }
        }
        self.running
            .retain(|endpoint, _| site.wanted.endpoints.contains_key(endpoint));
    }

    pub(super) fn confirm(&mut self, site: SiteView<'_>, now: TimeUs) {
        let (reads, confirm_us) = (self.settings.wanted_reads, self.settings.confirm_us);
        let mut failed = Vec::new();
        self.running.retain(|endpoint, running| {
            let report = site.reports.get(endpoint);
            let is_confirmed = report.is_some_and(|report| running.take(report, reads));
            let is_late = now.since(running.started_at_us) >= confirm_us;
            if is_late && !is_confirmed {
                failed.push(endpoint.clone());
            }
            !is_confirmed
        });
        for endpoint in failed {
            self.fail(&endpoint, now);
        }
    }

    pub(super) fn fail(&mut self, endpoint: &EndpointId, now: TimeUs) {
        let Some(running) = self.running.remove(endpoint) else {
            return;
        };
        let until = now + self.settings.retry_us;
        self.resting_until_us.insert(endpoint.clone(), until);
        let model = running.order.model().filter(|_| running.order.is_load());
        if let Some(rollout) = model.and_then(|model| self.rollouts.get_mut(model)) {
            rollout.fail(self.settings.max_failures);
        }
    }

    pub(super) fn note_complete(&mut self, site: SiteView<'_>) {
        for (model, rollout) in &mut self.rollouts {
            let total = site.wanted.holders(model).count();
            let is_complete = count_at_target(model, rollout, site) == total;
            rollout.note_complete(is_complete);
        }
    }
}
