//! State of the orders to endpoints.

use std::collections::BTreeMap;

use parking_lot::Mutex;
use serde_json::{Value, json};
use wisteriahitch_core::fleet::{
    EndpointReport, LeaseGroup, LeaseHolder, LeaseSettings, LeaseTable, ModelOnEndpoint,
    OrderPlanner, PlannerSettings, RolloutProgress,
};
use wisteriahitch_types::EndpointId;
use wisteriahitch_wire::engine::LoadReport;

/// The lease, the planner and the endpoints' latest reports.
///
/// One lease covers all orders of the site. At today's size one daemon can issue them all, and
/// limiting concurrent model loads then needs no agreement between daemons
/// (`docs/design/orders.md`).
pub(crate) struct OrderState {
    /// Leases.
    pub(crate) leases: Mutex<LeaseTable>,
    /// Plans the next orders.
    pub(crate) planner: Mutex<OrderPlanner>,
    /// Latest report of every engine.
    pub(crate) reports: Mutex<BTreeMap<EndpointId, EndpointReport>>,
    /// Progress of each rollout, as of this daemon's latest planning round.
    pub(crate) progress: Mutex<Vec<RolloutProgress>>,
}

impl OrderState {
    /// Creates the state of a daemon that holds no lease.
    pub(crate) fn new(me: LeaseHolder) -> Self {
        Self {
            leases: Mutex::new(LeaseTable::new(me, LeaseSettings::default())),
            planner: Mutex::new(OrderPlanner::new(PlannerSettings::default())),
            reports: Mutex::default(),
            progress: Mutex::default(),
        }
    }

    /// Returns the lease group that covers every order.
    pub(crate) fn group() -> LeaseGroup {
        LeaseGroup::RolloutSlot(0)
    }

    /// Records an engine's report.
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

    /// Returns leases, plan and rollout progress for the debug dump.
    pub(crate) fn snapshot(&self) -> Value {
        json!({
            "leases": self.leases.lock().status(),
            "planner": *self.planner.lock(),
            "progress": *self.progress.lock(),
        })
    }
}
