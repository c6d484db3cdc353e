//! Planner that brings endpoints to the desired state, a few at a time.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use wisteriahitch_types::{DurationUs, EndpointId, ModelName, Share, TimeUs};

use super::choosing::{count_at_target, previous_version};
use super::confirmation::Confirmation;
use super::rollout::Rollout;
use super::{
    BlockReason, DesiredEndpoint, DesiredState, EndpointOrder, EndpointReport, PlannedOrder,
    RolloutProgress,
};

/// Limits and times of rollouts.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct PlannerSettings {
    /// Number of different reports in a row that must confirm an order.
    #[serde(rename = "wanted_reads")]
    pub required_reports: u32,
    /// Number of failed loads of a version after which its rollout stops and is rolled back.
    pub max_failures: u32,
    /// Fraction of a model's endpoints that must stay ready.
    #[serde(rename = "ready_share")]
    pub min_ready_share: Share,
    /// Maximum time from planning an order to its last confirmation; after it the order counts as
    /// failed.
    #[serde(rename = "confirm_us")]
    pub confirmation_timeout_us: DurationUs,
    /// Time after a failed order during which the endpoint gets no other order.
    #[serde(rename = "retry_us")]
    pub retry_backoff_us: DurationUs,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            required_reports: 2,
            max_failures: 2,
            min_ready_share: Share::try_from(0.5).unwrap_or(Share::ONE),
            confirmation_timeout_us: DurationUs::from_ms(60_000),
            retry_backoff_us: DurationUs::from_ms(5_000),
        }
    }
}

/// Input of the planner.
#[derive(Clone, Copy, Debug)]
pub struct SiteView<'a> {
    /// Desired state by the configuration.
    pub desired: &'a DesiredState,
    /// Last report of each endpoint.
    pub reports: &'a BTreeMap<EndpointId, EndpointReport>,
    /// Endpoints that this daemon may give orders to now.
    pub owned: &'a BTreeSet<EndpointId>,
    /// Maximum number of concurrent loads that this daemon may order; 0 without a rollout lease.
    pub load_slots: u32,
}

/// Plans orders, tracks them until reports confirm them, and rolls back a failing rollout.
///
/// The caller requests a grant from the lease right before it sends a planned order, and reports
/// the result by [`OrderPlanner::order_done`].
#[derive(Clone, Debug, Default, Serialize)]
pub struct OrderPlanner {
    pub(super) settings: PlannerSettings,
    pub(super) rollouts: BTreeMap<ModelName, Rollout>,
    /// Orders that are not confirmed by reports yet.
    #[serde(rename = "running")]
    pub(super) unconfirmed_orders: BTreeMap<EndpointId, Confirmation>,
    /// Endpoints that get no order until this time after a failure.
    #[serde(rename = "resting_until_us")]
    pub(super) backoff_until_us: BTreeMap<EndpointId, TimeUs>,
    /// Reasons why loads have to wait, as of the last call of [`OrderPlanner::plan`].
    pub(super) blocked: BTreeMap<EndpointId, (ModelName, BlockReason)>,
}

impl OrderPlanner {
    /// Creates a planner without rollouts.
    pub fn new(settings: PlannerSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Processes the current reports and returns the orders to give now.
    pub fn plan(&mut self, site: SiteView<'_>, now: TimeUs) -> Vec<PlannedOrder> {
        self.update_rollouts(site);
        self.check_confirmations(site, now);
        self.update_phases(site);
        self.blocked.clear();
        self.backoff_until_us.retain(|_, until| *until > now);
        let mut planned = Vec::new();
        for (endpoint, desired) in &site.desired.endpoints {
            if let Some(order) = self.next_order(endpoint, desired, site) {
                let confirmation = Confirmation::new(order.clone(), now);
                self.unconfirmed_orders
                    .insert(endpoint.clone(), confirmation);
                let endpoint = endpoint.clone();
                planned.push(PlannedOrder { endpoint, order });
            }
        }
        planned
    }

    /// Records the result of sending an order: the endpoint accepted it (`is_success`), or it
    /// failed or could not be sent.
    pub fn order_done(&mut self, endpoint: &EndpointId, is_success: bool, now: TimeUs) {
        match self.unconfirmed_orders.get_mut(endpoint) {
            Some(unconfirmed) if is_success => unconfirmed.is_answered = true,
            Some(_) => self.record_failure(endpoint, now),
            None => {}
        }
    }

    /// Records that an order was not sent because the lease did not allow it; this is not a
    /// failure.
    pub fn order_withdrawn(&mut self, endpoint: &EndpointId) {
        self.unconfirmed_orders.remove(endpoint);
    }

    /// Returns the endpoint that is to load next, even if another daemon gives it orders. The
    /// daemon that does is the owner to set with
    /// [`LeaseTable::set_rollout_owner`](crate::fleet::LeaseTable::set_rollout_owner).
    pub fn next_to_load<'a>(&self, site: SiteView<'a>) -> Option<&'a EndpointId> {
        let is_next = |endpoint: &EndpointId, desired: &DesiredEndpoint| {
            if self
                .unconfirmed_orders
                .get(endpoint)
                .is_some_and(|r| r.order.is_load())
            {
                return true;
            }
            let report = site.reports.get(endpoint).filter(|r| !r.is_leaving);
            let order = report.and_then(|report| self.next_needed_order(desired, report));
            let load = order.filter(EndpointOrder::is_load);
            let model = load.as_ref().and_then(EndpointOrder::model);
            model.is_some_and(|model| self.can_take_out_of_service(endpoint, model, site))
        };
        let mut endpoints = site.desired.endpoints.iter();
        endpoints
            .find(|(endpoint, desired)| is_next(endpoint, desired))
            .map(|(endpoint, _)| endpoint)
    }

    /// Returns whether an endpoint's order is not confirmed yet. Until then the endpoint must get
    /// no requests for a version that it does not report.
    pub fn has_unconfirmed_order(&self, endpoint: &EndpointId) -> bool {
        self.unconfirmed_orders.contains_key(endpoint)
    }

    /// Returns the rollout progress of every model, for operators.
    pub fn progress(&self, site: SiteView<'_>) -> Vec<RolloutProgress> {
        let progress = |(model, rollout): (&ModelName, &Rollout)| RolloutProgress {
            model: model.clone(),
            from: rollout.from.clone(),
            to: rollout.to.clone(),
            phase: rollout.phase,
            total: site.desired.endpoints_with_model(model).count(),
            done: count_at_target(model, rollout, site),
            loading: self.endpoints_loading(model),
            failures: rollout.failures,
            blocked: self.block_reasons(model),
        };
        self.rollouts.iter().map(progress).collect()
    }

    pub(super) fn endpoints_loading(&self, model: &ModelName) -> Vec<EndpointId> {
        self.unconfirmed_orders
            .iter()
            .filter(|(_, unconfirmed)| {
                unconfirmed.order.is_load() && unconfirmed.order.model() == Some(model)
            })
            .map(|(endpoint, _)| endpoint.clone())
            .collect()
    }

    pub(super) fn block_reasons(&self, model: &ModelName) -> Vec<(EndpointId, BlockReason)> {
        self.blocked
            .iter()
            .filter(|(_, (of, _))| of == model)
            .map(|(endpoint, (_, reason))| (endpoint.clone(), *reason))
            .collect()
    }

    /// Starts a rollout for each model whose desired version has changed, and removes obsolete
    /// rollouts and orders.
    pub(super) fn update_rollouts(&mut self, site: SiteView<'_>) {
        let versions = site.desired.desired_versions();
        self.rollouts
            .retain(|model, _| versions.contains_key(model));
        for (model, version) in versions {
            let is_known = self.rollouts.get(model).is_some_and(|r| r.to == *version);
            if !is_known {
                let from = previous_version(model, version, site);
                let rollout = Rollout::new(from, version.clone());
                self.rollouts.insert(model.clone(), rollout);
            }
        }
        self.unconfirmed_orders
            .retain(|endpoint, _| site.desired.endpoints.contains_key(endpoint));
    }

    pub(super) fn check_confirmations(&mut self, site: SiteView<'_>, now: TimeUs) {
        let (required_reports, confirmation_timeout_us) = (
            self.settings.required_reports,
            self.settings.confirmation_timeout_us,
        );
        let mut failed = Vec::new();
        self.unconfirmed_orders.retain(|endpoint, unconfirmed| {
            let report = site.reports.get(endpoint);
            let is_confirmed =
                report.is_some_and(|report| unconfirmed.record_report(report, required_reports));
            let is_late = now.since(unconfirmed.started_at_us) >= confirmation_timeout_us;
            if is_late && !is_confirmed {
                failed.push(endpoint.clone());
            }
            !is_confirmed
        });
        for endpoint in failed {
            self.record_failure(&endpoint, now);
        }
    }

    pub(super) fn record_failure(&mut self, endpoint: &EndpointId, now: TimeUs) {
        let Some(unconfirmed) = self.unconfirmed_orders.remove(endpoint) else {
            return;
        };
        let until = now + self.settings.retry_backoff_us;
        self.backoff_until_us.insert(endpoint.clone(), until);
        let model = unconfirmed
            .order
            .model()
            .filter(|_| unconfirmed.order.is_load());
        if let Some(rollout) = model.and_then(|model| self.rollouts.get_mut(model)) {
            rollout.record_failure(self.settings.max_failures);
        }
    }

    pub(super) fn update_phases(&mut self, site: SiteView<'_>) {
        for (model, rollout) in &mut self.rollouts {
            let total = site.desired.endpoints_with_model(model).count();
            let is_complete = count_at_target(model, rollout, site) == total;
            rollout.update_phase(is_complete);
        }
    }
}
