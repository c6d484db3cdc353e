//! Selection of an endpoint's next order, and of the reason why it has to wait.

use std::collections::BTreeMap;

use wisteriahitch_types::{EndpointId, ModelName, WeightVersion};

use super::confirmation::is_done;
use super::readiness::can_spare;
use super::rollout::Rollout;
use super::{
    Blocked, EndpointOrder, EndpointReport, OrderPlanner, RolloutPhase, SiteView, WantedEndpoint,
    WantedModel,
};

impl OrderPlanner {
    /// Returns the next order of an endpoint, and records the reason if a load has to wait.
    pub(super) fn next_order(
        &mut self,
        endpoint: &EndpointId,
        wanted: &WantedEndpoint,
        site: SiteView<'_>,
    ) -> Option<EndpointOrder> {
        let is_free =
            !self.running.contains_key(endpoint) && !self.resting_until_us.contains_key(endpoint);
        if !is_free {
            return None;
        }
        let Some(report) = site.reports.get(endpoint) else {
            self.block_all(endpoint, wanted, Blocked::NoReport);
            return None;
        };
        if report.is_leaving {
            return None;
        }
        let order = self.difference(wanted, report)?;
        let reason = self.find_block(endpoint, &order, site);
        let Some(reason) = reason else {
            return Some(order);
        };
        if let Some(model) = order.model() {
            let model = model.clone();
            self.blocked.insert(endpoint.clone(), (model, reason));
        }
        None
    }

    pub(super) fn block_all(
        &mut self,
        endpoint: &EndpointId,
        wanted: &WantedEndpoint,
        reason: Blocked,
    ) {
        if let Some(first) = wanted.models.first() {
            let entry = (first.model.clone(), reason);
            self.blocked.insert(endpoint.clone(), entry);
        }
    }

    /// Returns the first order that an endpoint needs to reach the wanted state: the role first,
    /// then weights, adapters, and last models to unload.
    pub(super) fn difference(
        &self,
        wanted: &WantedEndpoint,
        report: &EndpointReport,
    ) -> Option<EndpointOrder> {
        let role = wanted.service.to_string();
        let set_role = EndpointOrder::SetRole { role };
        let loads = wanted.models.iter().filter_map(|w| self.load_of(w));
        let adapters = wanted.models.iter().flat_map(|w| adapter_orders(w, report));
        let drops = report
            .models
            .iter()
            .filter(|loaded| !wanted.models.iter().any(|w| w.model == loaded.model))
            .map(|loaded| EndpointOrder::UnloadModel {
                model: loaded.model.clone(),
            });
        let mut orders = std::iter::once(set_role)
            .chain(loads)
            .chain(adapters)
            .chain(drops);
        orders.find(|order| !is_done(order, report))
    }

    pub(super) fn load_of(&self, wanted: &WantedModel) -> Option<EndpointOrder> {
        let target = self.rollouts.get(&wanted.model)?.target()?;
        Some(EndpointOrder::LoadModel {
            model: wanted.model.clone(),
            weight_version: target.clone(),
        })
    }

    pub(super) fn find_block(
        &self,
        endpoint: &EndpointId,
        order: &EndpointOrder,
        site: SiteView<'_>,
    ) -> Option<Blocked> {
        if !site.owned.contains(endpoint) {
            return Some(Blocked::NoLease);
        }
        let model = order.model().filter(|_| order.is_load())?;
        if site.load_slots == 0 {
            return Some(Blocked::NoLease);
        }
        let max_loads = site.load_slots.min(site.wanted.rollout_parallel);
        if self.loads_under_way(site) >= max_loads {
            return Some(Blocked::TooManyLoading);
        }
        if self.waits_for_first(model, site) {
            return Some(Blocked::FirstNotConfirmed);
        }
        (!self.can_spare(endpoint, model, site)).then_some(Blocked::NeededForLoad)
    }

    pub(super) fn can_spare(
        &self,
        endpoint: &EndpointId,
        model: &ModelName,
        site: SiteView<'_>,
    ) -> bool {
        let busy: Vec<EndpointId> = self.running.keys().cloned().collect();
        let share = self.settings.ready_share;
        can_spare(endpoint, model, site.wanted, site.reports, &busy, share)
    }

    /// Returns the number of loads in progress, by this daemon's orders or by other endpoints'
    /// reports.
    pub(super) fn loads_under_way(&self, site: SiteView<'_>) -> u32 {
        let ours = self.running.values().filter(|r| r.order.is_load()).count();
        let others = site
            .reports
            .iter()
            .filter(|(id, report)| report.is_loading() && !self.running.contains_key(*id))
            .count();
        (ours + others) as u32
    }

    /// Returns whether the version has not been confirmed on any endpoint and one endpoint is
    /// loading it.
    pub(super) fn waits_for_first(&self, model: &ModelName, site: SiteView<'_>) -> bool {
        let Some(rollout) = self.rollouts.get(model) else {
            return false;
        };
        let is_new = rollout.phase == RolloutPhase::Running && rollout.from.is_some();
        is_new && count_at_target(model, rollout, site) == 0 && !self.loading_of(model).is_empty()
    }
}

fn adapter_orders(
    wanted: &WantedModel,
    report: &EndpointReport,
) -> impl Iterator<Item = EndpointOrder> {
    let model = wanted.model.clone();
    let loaded = report.model(&model).map_or(&[][..], |m| &m.adapters[..]);
    let missing = wanted.adapters.iter().map({
        let model = model.clone();
        move |adapter| EndpointOrder::LoadAdapter {
            model: model.clone(),
            adapter: adapter.clone(),
        }
    });
    let surplus = loaded
        .iter()
        .filter(|adapter| !wanted.adapters.contains(adapter))
        .map(move |adapter| EndpointOrder::UnloadAdapter {
            model: model.clone(),
            adapter: adapter.clone(),
        });
    let orders: Vec<EndpointOrder> = missing.chain(surplus).collect();
    orders.into_iter()
}

/// Returns the most frequently reported version other than `wanted`.
pub(super) fn version_before(
    model: &ModelName,
    wanted: &WeightVersion,
    site: SiteView<'_>,
) -> Option<WeightVersion> {
    let mut counts: BTreeMap<&WeightVersion, usize> = BTreeMap::new();
    let reports = site
        .wanted
        .holders(model)
        .filter_map(|id| site.reports.get(id));
    for loaded in reports.filter_map(|report| report.model(model)) {
        if loaded.weight_version != *wanted {
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
    let is_there = |report: &EndpointReport| {
        report.is_ready_for(model) && report.model(model).map(|m| &m.weight_version) == Some(target)
    };
    site.wanted
        .holders(model)
        .filter(|id| site.reports.get(*id).is_some_and(is_there))
        .count()
}
