//! Computes how many requests this daemon may run and how loaded it is.

use std::sync::Arc;

use wisteriahitch_config::Configuration;
use wisteriahitch_core::fleet::MembershipEvent;
use wisteriahitch_types::ServiceName;

use crate::shared::Shared;

/// Requests in flight allowed per batch slot of the endpoints. Above 1, so that an endpoint always
/// has its next request; further requests queue here, where fairness among workspaces is enforced.
const CAPACITY_PER_SLOT: f64 = 1.25;

/// Minimum number of requests of a service that a daemon may run, whatever the endpoints report.
const MIN_CAPACITY: usize = 4;

/// Load, in permille, that is published as full.
const MAX_LOAD_PERMILLE: f64 = 1_000.0;

/// Sets the capacity of every service from its endpoints' reports, and publishes this daemon's
/// load.
///
/// The daemons share the endpoints. Without a limit at each daemon, a burst of one workspace would
/// queue at the endpoints, where other workspaces' requests can no longer be put before it.
pub(crate) fn update_capacity(shared: &Arc<Shared>) {
    let Some(in_force) = shared.in_force.load_full() else {
        return;
    };
    shared.update_quota_shares();
    let now = shared.clock.now();
    for (name, capacity) in service_capacities(shared, &in_force.configuration) {
        shared
            .admission
            .step(|admission| admission.set_capacity(&name, capacity, now));
    }
    let snapshot = shared.admission.snapshot();
    let running: usize = snapshot
        .iter()
        .map(|gate| gate.running + gate.waiting)
        .sum();
    let capacity: usize = snapshot.iter().map(|gate| gate.capacity).sum();
    let load = (running as f64 / capacity.max(1) as f64).min(1.0);
    let permille = (load * MAX_LOAD_PERMILLE) as u32;
    shared.handle_membership_event(MembershipEvent::Load(permille));
}

fn service_capacities(shared: &Shared, configuration: &Configuration) -> Vec<(ServiceName, usize)> {
    let daemons = f64::from(shared.count_daemons());
    let router = shared.router.lock();
    let services = configuration.services.keys();
    services
        .map(|name| {
            let slots = router.endpoints.ready_slots(name) as f64;
            let capacity = slots * CAPACITY_PER_SLOT / daemons;
            (name.clone(), (capacity.ceil() as usize).max(MIN_CAPACITY))
        })
        .collect()
}
