//! Plans orders to endpoints and sends them.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use wisteriahitch_core::fleet::{
    DesiredState, EndpointOrder, LeaseEvent, OrderGrant, PlannedOrder, SiteView,
};
use wisteriahitch_types::EndpointId;
use wisteriahitch_wire::engine::{EngineErrorKind, Order};

use super::OrderState;
use crate::shared::{InForce, Shared};

/// Interval between two planning rounds.
const PLANNING_INTERVAL: Duration = Duration::from_millis(200);

/// Renews the lease, plans orders and sends them until the process stops.
pub(crate) async fn run_orders(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(PLANNING_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = shared.end.cancelled() => return,
            _ = ticks.tick() => {}
        }
        if let Some(in_force) = shared.in_force.load_full() {
            shared
                .orders
                .leases
                .lock()
                .set_groups([OrderState::group()]);
            shared.handle_lease_event(LeaseEvent::Tick);
            plan_orders(&shared, &in_force);
        }
    }
}

fn plan_orders(shared: &Arc<Shared>, in_force: &InForce) {
    let now = shared.clock.now();
    let wanted = DesiredState::from_configuration(&in_force.configuration);
    let holds_lease = shared
        .orders
        .leases
        .lock()
        .held_groups()
        .any(|group| *group == OrderState::group());
    let owned: BTreeSet<EndpointId> = match holds_lease {
        true => wanted.endpoints.keys().cloned().collect(),
        false => BTreeSet::new(),
    };
    let load_slots = if holds_lease {
        wanted.rollout_parallel
    } else {
        0
    };
    let planned = {
        let reports = shared.orders.reports.lock();
        let view = SiteView {
            desired: &wanted,
            reports: &reports,
            owned: &owned,
            load_slots,
        };
        let mut planner = shared.orders.planner.lock();
        let planned = planner.plan(view, now);
        *shared.orders.progress.lock() = planner.progress(view);
        planned
    };
    for order in planned {
        issue_order(shared, order);
    }
}

/// Sends an order if the lease still allows it at this moment.
fn issue_order(shared: &Arc<Shared>, planned: PlannedOrder) {
    let now = shared.clock.now();
    let grant = shared
        .orders
        .leases
        .lock()
        .try_grant_order(&OrderState::group(), now);
    match grant {
        Ok(grant) => {
            tokio::spawn(send_order(Arc::clone(shared), planned, grant));
        }
        Err(code) => {
            log::debug!("{code} no order to {}", planned.endpoint);
            shared
                .orders
                .planner
                .lock()
                .order_withdrawn(&planned.endpoint);
        }
    }
}

async fn send_order(shared: Arc<Shared>, planned: PlannedOrder, grant: OrderGrant) {
    let PlannedOrder { endpoint, order } = planned;
    log::info!("order to {endpoint} under {}: {order:?}", grant.fence);
    let result = match shared.endpoint_address(&endpoint) {
        Some(address) => {
            let order = wire_order(order);
            shared
                .clients
                .engine
                .order(address, grant.fence, order, grant.timeout_us)
                .await
        }
        None => Ok(()),
    };
    if let Err(error) = &result {
        log::warn!("{} order to {endpoint} failed: {error}", error.code());
    }
    // An order that timed out may still take effect; the endpoint's next report decides.
    let may_have_applied = match &result {
        Ok(()) => true,
        Err(error) => error.kind() == EngineErrorKind::Timeout,
    };
    let now = shared.clock.now();
    shared
        .orders
        .planner
        .lock()
        .order_done(&endpoint, may_have_applied, now);
    shared.handle_lease_event(LeaseEvent::OrderDone(OrderState::group()));
}

fn wire_order(order: EndpointOrder) -> Order {
    match order {
        EndpointOrder::LoadModel {
            model,
            weight_version,
        } => Order::LoadModel {
            model,
            weight_version,
        },
        EndpointOrder::UnloadModel { model } => Order::UnloadModel { model },
        EndpointOrder::LoadAdapter { model, adapter } => Order::LoadAdapter { model, adapter },
        EndpointOrder::UnloadAdapter { model, adapter } => Order::UnloadAdapter { model, adapter },
        EndpointOrder::SetRole { role } => Order::SetRole { role },
    }
}
