//! Selection of an endpoint's next order, and of the reason why it has to wait.

use std::collections::BTreeMap;

use wisteriahitch_types::{EndpointId, ModelName, WeightVersion};

use super::confirmation::is_done;
use super::readiness::can_take_out_of_service;
use super::rollout::Rollout;
use super::{
    BlockReason, DesiredEndpoint, DesiredModel, EndpointOrder, EndpointReport, OrderPlanner,
    RolloutPhase, SiteView,
};

impl OrderPlanner {
    /// Returns the next order of an endpoint, and records the reason if a load has to wait.
    pub(super) fn next_order(
        &mut self,
        endpoint: &EndpointId,
        desired: &DesiredEndpoint,
        site: SiteView<'_>,
    ) -> Option<EndpointOrder> {
        let is_free = !self.unconfirmed_orders.contains_key(endpoint)
            && !self.backoff_until_us.contains_key(endpoint);
        if !is_free {
            return None;
        }
        let Some(report) = site.reports.get(endpoint) else {
            self.record_block(endpoint, desired, BlockReason::NoReport);
            return None;
        };
        if report.is_leaving {
            return None;
        }
        let order = self.next_needed_order(desired, report)?;
        let reason = self.find_block_reason(endpoint, &order, site);
        let Some(reason) = reason else {
            return Some(order);
        };
        if let Some(model) = order.model() {
            let model = model.clone();
            self.blocked.insert(endpoint.clone(), (model, reason));
        }
        None
    }

    pub(super) fn record_block(
        &mut self,
        endpoint: &EndpointId,
        desired: &DesiredEndpoint,
        reason: BlockReason,
    ) {
        if let Some(first) = desired.models.first() {
            let entry = (first.model.clone(), reason);
            self.blocked.insert(endpoint.clone(), entry);
        }
    }

    /// Returns the first order that an endpoint needs to reach the desired state: the role first,
    /// then weights, adapters, and last models to unload.
    pub(super) fn next_needed_order(
        &self,
        desired: &DesiredEndpoint,
        report: &EndpointReport,
    ) -> Option<EndpointOrder> {
        let role = desired.service.to_string();
        let set_role = EndpointOrder::SetRole { role };
        let loads = desired.models.iter().filter_map(|w| self.load_order(w));
        let adapters = desired
            .models
            .iter()
            .flat_map(|w| adapter_orders(w, report));
        let unloads = report
            .models
            .iter()
            .filter(|loaded| !desired.models.iter().any(|w| w.model == loaded.model))
            .map(|loaded| EndpointOrder::UnloadModel {
                model: loaded.model.clone(),
            });
        let mut orders = std::iter::once(set_role)
            .chain(loads)
            .chain(adapters)
            .chain(unloads);
        orders.find(|order| !is_done(order, report))
    }

    pub(super) fn load_order(&self, desired: &DesiredModel) -> Option<EndpointOrder> {
        let target = self.rollouts.get(&desired.model)?.target()?;
        Some(EndpointOrder::LoadModel {
            model: desired.model.clone(),
            weight_version: target.clone(),
        })
    }

    pub(super) fn find_block_reason(
        &self,
        endpoint: &EndpointId,
        order: &EndpointOrder,
        site: SiteView<'_>,
    ) -> Option<BlockReason> {
        if !site.owned.contains(endpoint) {
            return Some(BlockReason::NoLease);
        }
        let model = order.model().filter(|_| order.is_load())?;
        if site.load_slots == 0 {
            return Some(BlockReason::NoLease);
        }
        let max_loads = site.load_slots.min(site.desired.rollout_parallel);
        if self.loads_in_progress(site) >= max_loads {
            return Some(BlockReason::TooManyLoading);
        }
        if self.awaits_first_confirmation(model, site) {
            return Some(BlockReason::FirstNotConfirmed);
        }
        (!self.can_take_out_of_service(endpoint, model, site)).then_some(BlockReason::NeededForLoad)
    }

    pub(super) fn can_take_out_of_service(
        &self,
        endpoint: &EndpointId,
        model: &ModelName,
        site: SiteView<'_>,
    ) -> bool {
        let busy: Vec<EndpointId> = self.unconfirmed_orders.keys().cloned().collect();
        let share = self.settings.min_ready_share;
        can_take_out_of_service(endpoint, model, site.desired, site.reports, &busy, share)
    }

    /// Returns the number of loads in progress, by this daemon's orders or by other endpoints'
    /// reports.
    pub(super) fn loads_in_progress(&self, site: SiteView<'_>) -> u32 {
        let ours = self
            .unconfirmed_orders
            .values()
            .filter(|r| r.order.is_load())
            .count();
        let others = site
            .reports
            .iter()
            .filter(|(id, report)| {
                report.is_loading() && !self.unconfirmed_orders.contains_key(*id)
            })
            .count();
        (ours + others) as u32
    }

    /// Returns whether the version has not been confirmed on any endpoint and one endpoint is
    /// loading it.
    pub(super) fn awaits_first_confirmation(&self, model: &ModelName, site: SiteView<'_>) -> bool {
        let Some(rollout) = self.rollouts.get(model) else {
            return false;
        };
        let is_new = rollout.phase == RolloutPhase::Running && rollout.from.is_some();
        is_new
            && count_at_target(model, rollout, site) == 0
            && !self.endpoints_loading(model).is_empty()
    }
}

fn adapter_orders(
    desired: &DesiredModel,
    report: &EndpointReport,
) -> impl Iterator<Item = EndpointOrder> {
    let model = desired.model.clone();
    let loaded = report.model(&model).map_or(&[][..], |m| &m.adapters[..]);
    let missing = desired.adapters.iter().map({
        let model = model.clone();
        move |adapter| EndpointOrder::LoadAdapter {
            model: model.clone(),
            adapter: adapter.clone(),
        }
    });
    let surplus = loaded
        .iter()
        .filter(|adapter| !desired.adapters.contains(adapter))
        .map(move |adapter| EndpointOrder::UnloadAdapter {
            model: model.clone(),
            adapter: adapter.clone(),
        });
    let orders: Vec<EndpointOrder> = missing.chain(surplus).collect();
    orders.into_iter()
}

/// Returns the most frequently reported version other than `desired`.
pub(super) fn previous_version(
    model: &ModelName,
    desired: &WeightVersion,
    site: SiteView<'_>,
) -> Option<WeightVersion> {
    let mut counts: BTreeMap<&WeightVersion, usize> = BTreeMap::new();
    let reports = site
        .desired
        .endpoints_with_model(model)
        .filter_map(|id| site.reports.get(id));
    for loaded in reports.filter_map(|report| report.model(model)) {
        if loaded.weight_version != *desired {
            *counts.entry(&loaded.weight_version).or_default() += 1;
        }
    }
    let most = counts.into_iter().max_by_key(|(_, count)| *count);
    most.map(|(version, _)| version.clone())
}

pub(super) fn count_at_target(model: &ModelName, rollout: &Rollout, site: SiteView<'_>) -> usize {
    let Some(target) = rollout.target() else {
        return 0;
    };
    let is_at_target = |report: &EndpointReport| {
        report.is_ready_for(model) && report.model(model).map(|m| &m.weight_version) == Some(target)
    };
    site.desired
        .endpoints_with_model(model)
        .filter(|id| site.reports.get(*id).is_some_and(is_at_target))
        .count()
}
