//! What is held about orders.

use std::collections::BTreeMap;

use parking_lot::Mutex;
use serde_json::{Value, json};
use wisteriahitch_core::fleet::{
    EndpointReport, LeaseGroup, LeaseHolder, LeaseSettings, LeaseTable, ModelOnEndpoint,
    OrderPlanner, PlannerSettings, RolloutProgress,
};
use wisteriahitch_types::EndpointId;
use wisteriahitch_wire::engine::LoadReport;

/// Holds the lease, the plan and what the endpoints last reported.
///
/// One lease stands for all orders of the site: at today's size one daemon gives them all, and
/// the bound on loads at once then needs no agreement (`docs/design/orders.md`).
pub(crate) struct OrderState {
    /// Leases.
    pub(crate) leases: Mutex<LeaseTable>,
    /// What is ordered next.
    pub(crate) planner: Mutex<OrderPlanner>,
    /// Last report of every engine.
    pub(crate) reports: Mutex<BTreeMap<EndpointId, EndpointReport>>,
    /// How far each rollout has come, where this daemon gives the orders.
    pub(crate) progress: Mutex<Vec<RolloutProgress>>,
}

impl OrderState {
    /// Builds the state of a daemon that holds no lease.
    pub(crate) fn new(me: LeaseHolder) -> Self {
        Self {
            leases: Mutex::new(LeaseTable::new(me, LeaseSettings::default())),
            planner: Mutex::new(OrderPlanner::new(PlannerSettings::default())),
            reports: Mutex::default(),
            progress: Mutex::default(),
        }
    }

    /// Returns the group under whose lease every order is given.
    pub(crate) fn group() -> LeaseGroup {
        LeaseGroup::RolloutSlot(0)
    }

    /// Takes over an engine's report.
    pub(crate) fn record_engine_report(&self, endpoint: &EndpointId, report: &LoadReport) {
        let models = report.models.iter().map(|model| ModelOnEndpoint {
            model: model.model.clone(),
            weight_version: model.weight_version.clone(),
            adapters: model.adapters.clone(),
            is_ready: model.ready,
        });
        let report = EndpointReport {
            made_at_ms: report.made_at_ms,
            models: models.collect(),
            role: report.role.clone(),
            is_leaving: report.leaving,
            open_requests: report.running + report.queued,
            batch_slots: report.batch_slots,
        };
        self.reports.lock().insert(endpoint.clone(), report);
    }

    /// Shows leases and plan, for the dump.
    pub(crate) fn snapshot(&self) -> Value {
        json!({
            "leases": self.leases.lock().status(),
            "planner": *self.planner.lock(),
            "progress": *self.progress.lock(),
        })
    }
}
